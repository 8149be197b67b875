// A stand-in of the platform's object API: versions, conditional updates,
// watches, and faults on request.

#include "HttpServer.h"
#include "StandInMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP and port of the API.");

namespace {

using namespace bilberryfield;

struct Stored
{
  std::string m_value;
  uint64_t m_version = 0;
};

class Objects
{
public:
  HttpOutgoing Get(const std::string& aKey)
  {
    std::lock_guard lock(m_mutex);
    return Show(aKey);
  }

  HttpOutgoing Watch(const std::string& aKey,
                     uint64_t aSeen,
                     std::chrono::milliseconds aWait)
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(
      lock, aWait, [&] { return m_objects[aKey].m_version > aSeen; });
    if (m_objects[aKey].m_version <= aSeen) {
      return { 304, {}, "", "" };
    }
    return Show(aKey);
  }

  HttpOutgoing Put(const std::string& aKey,
                   const std::string& aValue,
                   uint64_t aExpected)
  {
    constexpr size_t kMaxValueBytes = size_t{ 1024 } * 1024;
    if (aValue.size() > kMaxValueBytes) {
      return { 413, {}, "text/plain", "value too large\n" };
    }
    std::lock_guard lock(m_mutex);
    Stored& object = m_objects[aKey];
    if (object.m_version != aExpected) {
      return { 412, {}, "text/plain", "other version\n" };
    }
    object = { aValue, ++m_lastVersion };
    m_changed.notify_all();
    return Show(aKey);
  }

  HttpOutgoing List(const std::string& aPrefix)
  {
    std::lock_guard lock(m_mutex);
    nlohmann::json names = nlohmann::json::array();
    for (const auto& [key, object] : m_objects) {
      if (object.m_version > 0 && key.starts_with(aPrefix)) {
        names.push_back(key);
      }
    }
    return { 200, {}, "application/json", names.dump() };
  }

private:
  HttpOutgoing Show(const std::string& aKey)
  {
    const Stored& object = m_objects[aKey];
    if (object.m_version == 0) {
      return { 404, {}, "", "" };
    }
    return { 200,
             { { "ETag", std::to_string(object.m_version) } },
             "application/octet-stream",
             object.m_value };
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Stored> m_objects;
  uint64_t m_lastVersion = 0;
};

struct Faults
{
  std::atomic<bool> m_isOut{ false };
  /** Writes that take effect and are answered with an error. */
  std::atomic<int> m_lostAnswers{ 0 };
};

HttpOutgoing
Answer(Objects& aObjects, Faults& aFaults, const HttpIncoming& aRequest)
{
  const std::string prefix = "/objects/";
  if (aRequest.m_path == "/faults") {
    aFaults.m_isOut = aRequest.Parameter("outage") == "1";
    aFaults.m_lostAnswers = std::atoi(aRequest.Parameter("lost").c_str());
    return { 200, {}, "", "" };
  }
  if (aFaults.m_isOut) {
    return { 503, {}, "text/plain", "outage\n" };
  }
  if (aRequest.m_path == "/list") {
    return aObjects.List(aRequest.Parameter("prefix"));
  }
  std::string key =
    aRequest.m_path.substr(std::min(prefix.size(), aRequest.m_path.size()));
  if (aRequest.m_method == "PUT") {
    HttpOutgoing stored = aObjects.Put(
      key,
      aRequest.m_body,
      std::strtoull(aRequest.Header("if-match").c_str(), nullptr, 10));
    if (aFaults.m_lostAnswers > 0) {
      aFaults.m_lostAnswers -= 1;
      return { 504, {}, "text/plain", "lost\n" };
    }
    return stored;
  }
  std::string watch = aRequest.Parameter("watch");
  if (watch.empty()) {
    return aObjects.Get(key);
  }
  return aObjects.Watch(key,
                        std::strtoull(watch.c_str(), nullptr, 10),
                        std::chrono::milliseconds(
                          std::atoi(aRequest.Parameter("wait_ms").c_str())));
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
      reply(Answer(objects, faults, request));
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
