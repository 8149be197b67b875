// A stand-in of the platform's store: objects by kind with one revision
// counter, conditional writes, watches with a bounded history, restorations
// from a copy, and faults on request.

#include "HttpPaths.h"
#include "HttpServer.h"
#include "StandInMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP and port of the API.");

namespace {

using namespace bilberryfield;
using nlohmann::json;

constexpr size_t kMaxValueBytes = size_t{ 1024 } * 1024;
constexpr size_t kHistoryEvents = 1000;

struct Event
{
  uint64_t m_revision = 0;
  std::string m_kind;
  json m_event;
};

HttpOutgoing
AnswerInEra(uint64_t aEra, uint16_t aStatus, const json& aBody = nullptr)
{
  return { aStatus,
           { { kStoreEraHeader, std::to_string(aEra) } },
           "application/json",
           aBody.is_null() ? "" : aBody.dump() };
}

class Objects
{
public:
  HttpOutgoing Error(uint16_t aStatus)
  {
    std::lock_guard lock(m_mutex);
    return Answer(aStatus);
  }

  HttpOutgoing Read(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_objects[aKind].find(aName);
    return found == m_objects[aKind].end() ? Answer(404)
                                           : Answer(200, found->second);
  }

  HttpOutgoing List(const std::string& aKind)
  {
    std::lock_guard lock(m_mutex);
    json items = json::array();
    for (const auto& [name, object] : m_objects[aKind]) {
      items.push_back(object);
    }
    return Answer(
      200, { { "items", items }, { "more", false }, { "at", m_revision } });
  }

  HttpOutgoing Watch(const std::string& aKind,
                     uint64_t aRevision,
                     std::chrono::milliseconds aWait)
  {
    std::unique_lock lock(m_mutex);
    json events = json::array();
    uint64_t era = m_era;
    m_changed.wait_for(lock, aWait, [&] {
      events = EventsAfter(aKind, aRevision);
      return !events.empty() || IsHistoryGone(aRevision) || era != m_era;
    });
    if (era != m_era) {
      return Answer(503);
    }
    if (IsHistoryGone(aRevision)) {
      return Answer(410);
    }
    return Answer(200, { { "events", events }, { "at", m_revision } });
  }

  HttpOutgoing Create(const std::string& aKind, const json& aObject)
  {
    std::lock_guard lock(m_mutex);
    auto name = aObject.at("meta").at("name").get<std::string>();
    auto found = m_objects[aKind].find(name);
    if (found != m_objects[aKind].end()) {
      return Answer(409, found->second);
    }
    return Answer(201, Store(aKind, name, aObject));
  }

  HttpOutgoing Replace(const std::string& aKind,
                       const std::string& aName,
                       const json& aObject)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_objects[aKind].find(aName);
    if (found == m_objects[aKind].end()) {
      return Answer(404);
    }
    uint64_t present = found->second["meta"]["revision"];
    if (aObject.at("meta").value("revision", present) != present) {
      return Answer(409, found->second);
    }
    if (found->second["spec"] == aObject.at("spec")) {
      return Answer(200, found->second);
    }
    return Answer(200, Store(aKind, aName, aObject));
  }

  /** aRevision is the one that the object has to have; 0 for any. */
  HttpOutgoing Remove(const std::string& aKind,
                      const std::string& aName,
                      uint64_t aRevision)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_objects[aKind].find(aName);
    if (found == m_objects[aKind].end()) {
      return Answer(404);
    }
    json object = found->second;
    if (aRevision != 0 && object["meta"]["revision"] != aRevision) {
      return Answer(409, object);
    }
    m_objects[aKind].erase(found);
    Record(aKind, { { "removed", true }, { "object", object } });
    return Answer(200, object);
  }

  void DropHistory()
  {
    std::lock_guard lock(m_mutex);
    m_history.clear();
    m_oldest = m_revision;
    m_changed.notify_all();
  }

  /** Keeps a copy of all objects, from which Restore starts. */
  void TakeCopy()
  {
    std::lock_guard lock(m_mutex);
    m_copy = { m_objects, m_revision };
  }

  /**
   * Goes back to the copy: the writes since are gone, revisions are given out
   * again from the copy's, and the history before is not available. The
   * operator writes a configuration again that the copy lacks. Watches that
   * wait are ended with an error.
   */
  void Restore()
  {
    std::lock_guard lock(m_mutex);
    std::map<std::string, json> configurations = m_objects[kConfigKind];
    m_objects = m_copy.m_objects;
    m_revision = m_copy.m_revision;
    m_oldest = m_revision;
    m_history.clear();
    m_era += 1;
    for (const auto& [name, object] : configurations) {
      if (m_objects[kConfigKind][name]["spec"] != object["spec"]) {
        Store(kConfigKind, name, object);
      }
    }
    m_changed.notify_all();
  }

private:
  // Called with the lock, so that an answer tells the era of its contents.
  HttpOutgoing Answer(uint16_t aStatus, const json& aBody = nullptr) const
  {
    return AnswerInEra(m_era, aStatus, aBody);
  }

  using Kinds = std::map<std::string, std::map<std::string, json>>;
  struct Copy
  {
    Kinds m_objects;
    uint64_t m_revision = 1;
  };

  // The history also lacks revisions that were not given out yet.
  bool IsHistoryGone(uint64_t aRevision) const
  {
    return aRevision < m_oldest || aRevision > m_revision;
  }

  json EventsAfter(const std::string& aKind, uint64_t aRevision) const
  {
    json events = json::array();
    for (const Event& event : m_history) {
      if (event.m_revision > aRevision && event.m_kind == aKind) {
        events.push_back(event.m_event);
      }
    }
    return events;
  }

  json Store(const std::string& aKind, const std::string& aName, json aObject)
  {
    aObject["meta"]["name"] = aName;
    aObject["meta"]["revision"] = m_revision + 1;
    m_objects[aKind][aName] = aObject;
    Record(aKind, { { "removed", false }, { "object", aObject } });
    return aObject;
  }

  void Record(const std::string& aKind, json aEvent)
  {
    m_history.push_back({ ++m_revision, aKind, std::move(aEvent) });
    if (m_history.size() > kHistoryEvents) {
      m_oldest = m_history.front().m_revision;
      m_history.pop_front();
    }
    m_changed.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Kinds m_objects;
  Copy m_copy;
  std::deque<Event> m_history;
  uint64_t m_era = 1;
  uint64_t m_revision = 1;
  /** Watches from before this revision have lost events. */
  uint64_t m_oldest = 0;
};

struct Faults
{
  std::atomic<bool> m_isOut{ false };
  /** Writes that take effect and are answered with an error. */
  std::atomic<int> m_lostAnswers{ 0 };
};

uint64_t
Number(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

HttpOutgoing
Write(Objects& aObjects,
      const HttpIncoming& aRequest,
      const std::string& aKind,
      const std::string& aName)
{
  if (aRequest.m_body.size() > kMaxValueBytes) {
    return aObjects.Error(413);
  }
  if (aRequest.m_method == "DELETE") {
    return aObjects.Remove(
      aKind, aName, Number(aRequest.Parameter("revision")));
  }
  json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("meta")) {
    return aObjects.Error(400);
  }
  return aName.empty() ? aObjects.Create(aKind, body)
                       : aObjects.Replace(aKind, aName, body);
}

HttpOutgoing
SetFaults(Objects& aObjects, Faults& aFaults, const HttpIncoming& aRequest)
{
  if (!aRequest.Parameter("outage").empty()) {
    aFaults.m_isOut = aRequest.Parameter("outage") == "1";
  }
  if (!aRequest.Parameter("lost").empty()) {
    aFaults.m_lostAnswers = std::atoi(aRequest.Parameter("lost").c_str());
  }
  if (aRequest.Parameter("compact") == "1") {
    aObjects.DropHistory();
  }
  if (aRequest.Parameter("copy") == "1") {
    aObjects.TakeCopy();
  }
  if (aRequest.Parameter("restore") == "1") {
    aObjects.Restore();
  }
  return { 200, {}, "", "" };
}

HttpOutgoing
Handle(Objects& aObjects, Faults& aFaults, const HttpIncoming& aRequest)
{
  if (aRequest.m_path == "/faults") {
    return SetFaults(aObjects, aFaults, aRequest);
  }
  if (aFaults.m_isOut) {
    return aObjects.Error(503);
  }
  if (!aRequest.m_path.starts_with(kObjectsPath)) {
    return aObjects.Error(404);
  }
  std::string rest = aRequest.m_path.substr(std::string(kObjectsPath).size());
  size_t slash = rest.find('/');
  std::string kind = rest.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (aRequest.m_method != "GET") {
    HttpOutgoing written = Write(aObjects, aRequest, kind, name);
    if (aFaults.m_lostAnswers > 0) {
      aFaults.m_lostAnswers -= 1;
      return aObjects.Error(504);
    }
    return written;
  }
  if (!name.empty()) {
    return aObjects.Read(kind, name);
  }
  std::string watch = aRequest.Parameter("watch");
  if (watch.empty()) {
    return aObjects.List(kind);
  }
  return aObjects.Watch(
    kind,
    Number(watch),
    std::chrono::milliseconds(Number(aRequest.Parameter("wait-ms"))));
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  sigset_t signals = BlockStopSignals();
  Objects objects;
  Faults faults;
  HttpServer server({}, [&](HttpIncoming aRequest, HttpReply aReply) {
    // A watch waits, so it must not hold up the server's threads.
    std::thread([&, request = std::move(aRequest), reply = std::move(aReply)] {
      reply(Handle(objects, faults, request));
    }).detach();
  });
  Result<uint16_t> port = server.Start(absl::GetFlag(FLAGS_listen));
  if (!port) {
    std::cerr << port.error() << "\n";
    return 1;
  }
  PrintPorts({ *port });
  WaitForStop(signals);
  std::_Exit(0);
}
