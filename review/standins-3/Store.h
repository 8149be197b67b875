#pragma once

// The platform's store: objects by kind and name, one revision counter,
// conditional writes, watches and a history of 20 s. On request it turns the
// entry machines away by silence.

#include "Net.h"

#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>

namespace review {

class Store
{
public:
  using Json = nlohmann::json;

  bool Start(const Address& aAddress)
  {
    return m_http.Start(aAddress, [this](const HttpRequest& aRequest) {
      SleepMs(kAnswerMs);
      if (aRequest.m_method == "GET" && m_isSilent) {
        NeverAnswer();
      }
      return Handle(aRequest);
    });
  }

  /** Writes as the operator does; returns the time of the acknowledgement. */
  int64_t WriteConfig(const Json& aSpec)
  {
    std::lock_guard lock(m_mutex);
    Write("config", "main", { { "spec", aSpec } });
    return NowMs();
  }

  /** While set, reading calls get no answer. Only entry machines read; the
   * nodes beside servers write. A watch that waits is lost if a change for it
   * comes meanwhile. */
  void SetSilentToReaders(bool aIsSilent) { m_isSilent = aIsSilent; }

private:
  static constexpr int64_t kAnswerMs = 4;
  static constexpr int64_t kHistoryMs = 20'000;

  struct Event
  {
    uint64_t m_revision;
    int64_t m_atMs;
    std::string m_kind;
    Json m_event;
  };

  [[noreturn]] static void NeverAnswer()
  {
    for (;;) {
      SleepMs(60'000);
    }
  }

  HttpAnswer Handle(const HttpRequest& aRequest)
  {
    const std::string prefix = "/bilberryfield/objects/";
    if (!aRequest.m_path.starts_with(prefix)) {
      return { 404, "" };
    }
    std::string rest = aRequest.m_path.substr(prefix.size());
    size_t slash = rest.find('/');
    std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    auto query = [&](const char* aName) {
      auto found = aRequest.m_query.find(aName);
      return found == aRequest.m_query.end()
               ? uint64_t{ 0 }
               : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    std::unique_lock lock(m_mutex);
    auto& objects = m_objects[kind];
    if (aRequest.m_method == "GET" && aRequest.m_query.contains("watch")) {
      return Watch(lock, kind, query("watch"), query("wait-ms"));
    }
    auto found = objects.find(name);
    if (aRequest.m_method == "GET" && name.empty()) {
      Json items = Json::array();
      for (const auto& [key, object] : objects) {
        if (!aRequest.m_query.contains("after") ||
            key > aRequest.m_query.at("after")) {
          items.push_back(object);
        }
      }
      return { 200,
               Json{
                 { "items", items }, { "more", false }, { "at", m_revision } }
                 .dump() };
    }
    if (aRequest.m_method == "GET") {
      return found == objects.end() ? HttpAnswer{ 404, "" }
                                    : HttpAnswer{ 200, found->second.dump() };
    }
    if (aRequest.m_method == "DELETE") {
      if (found == objects.end()) {
        return { 404, "" };
      }
      Json object = found->second;
      if (query("revision") != 0 &&
          object["meta"]["revision"] != query("revision")) {
        return { 409, object.dump() };
      }
      objects.erase(found);
      Record(kind, { { "object", object }, { "removed", true } });
      return { 200, object.dump() };
    }
    Json body = Json::parse(aRequest.m_body, nullptr, false);
    if (!body.is_object() || !body.contains("meta")) {
      return { 400, "" };
    }
    if (aRequest.m_method == "POST") {
      name = body["meta"].value("name", "");
      found = objects.find(name);
      if (found != objects.end()) {
        return { 409, found->second.dump() };
      }
      return { 201, Write(kind, name, body).dump() };
    }
    if (found == objects.end()) {
      return { 404, "" };
    }
    uint64_t present = found->second["meta"]["revision"];
    if (body["meta"].value("revision", present) != present) {
      return { 409, found->second.dump() };
    }
    if (found->second["spec"] == body["spec"]) {
      return { 200, found->second.dump() };
    }
    return { 200, Write(kind, name, body).dump() };
  }

  HttpAnswer Watch(std::unique_lock<std::mutex>& aLock,
                   const std::string& aKind,
                   uint64_t aRevision,
                   uint64_t aWaitMs)
  {
    Json events = Json::array();
    auto isDue = [&] {
      events = Json::array();
      for (const Event& event : m_history) {
        if (event.m_revision > aRevision && event.m_kind == aKind) {
          events.push_back(event.m_event);
        }
      }
      return !events.empty();
    };
    if (aRevision < m_oldest || aRevision > m_revision) {
      return { 410, "" };
    }
    bool hasChange =
      m_changed.wait_for(aLock, std::chrono::milliseconds(aWaitMs), isDue);
    if (hasChange && m_isSilent) {
      aLock.unlock();
      NeverAnswer();
    }
    if (aRevision < m_oldest) {
      return { 410, "" };
    }
    return { 200, Json{ { "events", events }, { "at", m_revision } }.dump() };
  }

  // Called with the lock.
  Json Write(const std::string& aKind,
             const std::string& aName,
             const Json& aBody)
  {
    Json& object = m_objects[aKind][aName];
    uint64_t created = object.is_null()
                         ? m_revision + 1
                         : object["meta"]["created"].get<uint64_t>();
    object = { { "meta",
                 { { "name", aName },
                   { "revision", m_revision + 1 },
                   { "created", created },
                   { "finalizers", Json::array() },
                   { "deleting", false } } },
               { "spec", aBody.value("spec", Json(nullptr)) },
               { "status", nullptr } };
    Json written = object;
    Record(aKind, { { "object", written }, { "removed", false } });
    return written;
  }

  void Record(const std::string& aKind, Json aEvent)
  {
    int64_t now = NowMs();
    m_history.push_back({ ++m_revision, now, aKind, std::move(aEvent) });
    while (now - m_history.front().m_atMs > kHistoryMs) {
      m_oldest = m_history.front().m_revision;
      m_history.pop_front();
    }
    m_changed.notify_all();
  }

  HttpService m_http;
  std::atomic<bool> m_isSilent{ false };
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Json>> m_objects;
  std::deque<Event> m_history;
  uint64_t m_revision = 100;
  uint64_t m_oldest = 0;
};

} // namespace review
