// A stand-in of the platform's metadata store.
#pragma once

#include "Http.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

class Store
{
public:
  explicit Store(const Endpoint& listen)
    : m_server(listen, [this](const HttpMessage& r) { return Handle(r); })
  {
  }

  // What the operator writes; the return is the acknowledgement.
  void WriteConfiguration(const json& spec)
  {
    std::lock_guard lock(m_mutex);
    Put("config", "main", spec);
  }

private:
  struct Event
  {
    uint64_t revision;
    std::string kind;
    json event;
  };

  static HttpMessage Answer(int status, const json& body = nullptr)
  {
    HttpMessage answer;
    answer.status = status;
    answer.body = body.is_null() ? "" : body.dump();
    return answer;
  }

  static std::string Parameter(const std::string& query,
                               const std::string& name)
  {
    size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
      return "";
    }
    size_t start = at + name.size() + 1;
    return query.substr(start, query.find('&', start) - start);
  }

  HttpMessage Handle(const HttpMessage& request)
  {
    Sleep(4); // the time of an answer on the users' platform
    const std::string prefix = "/bilberryfield/objects/";
    size_t question = request.path.find('?');
    std::string path = request.path.substr(0, question);
    std::string query =
      question == std::string::npos ? "" : request.path.substr(question + 1);
    if (path.rfind(prefix, 0) != 0) {
      return Answer(404);
    }
    std::string rest = path.substr(prefix.size());
    size_t slash = rest.find('/');
    std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock(m_mutex);
    if (request.method == "GET" && !Parameter(query, "watch").empty()) {
      return Watch(lock, kind, query);
    }
    if (request.method == "GET") {
      return name.empty() ? List(kind) : Read(kind, name);
    }
    return Write(request, kind, name);
  }

  HttpMessage List(const std::string& kind)
  {
    json items = json::array();
    for (const auto& [name, object] : m_objects[kind]) {
      items.push_back(object);
    }
    return Answer(
      200, { { "items", items }, { "more", false }, { "at", m_revision } });
  }

  HttpMessage Read(const std::string& kind, const std::string& name)
  {
    auto found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? Answer(404)
                                          : Answer(200, found->second);
  }

  HttpMessage Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& kind,
                    const std::string& query)
  {
    uint64_t after = strtoull(Parameter(query, "watch").c_str(), nullptr, 10);
    long waitMs = atol(Parameter(query, "wait-ms").c_str());
    json events = json::array();
    m_changed.wait_for(lock, milliseconds(waitMs), [&] {
      for (const Event& event : m_history) {
        if (event.revision > after && event.kind == kind) {
          events.push_back(event.event);
        }
      }
      return !events.empty();
    });
    return Answer(200, { { "events", events }, { "at", m_revision } });
  }

  HttpMessage Write(const HttpMessage& request,
                    const std::string& kind,
                    std::string name)
  {
    if (request.method == "DELETE") {
      auto found = m_objects[kind].find(name);
      if (found == m_objects[kind].end()) {
        return Answer(404);
      }
      json object = found->second;
      m_objects[kind].erase(found);
      AddEvent(kind, object, true);
      return Answer(200, object);
    }
    json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta")) {
      return Answer(400);
    }
    if (request.method == "POST") {
      name = body["meta"].value("name", "");
      if (m_objects[kind].contains(name)) {
        return Answer(409, m_objects[kind][name]);
      }
      return Answer(201, Put(kind, name, body["spec"]));
    }
    if (!m_objects[kind].contains(name)) {
      return Answer(404);
    }
    json& present = m_objects[kind][name];
    uint64_t revision = present["meta"]["revision"];
    if (body["meta"].value("revision", revision) != revision) {
      return Answer(409, present);
    }
    if (present["spec"] == body["spec"]) {
      return Answer(200, present);
    }
    return Answer(200, Put(kind, name, body["spec"]));
  }

  json Put(const std::string& kind, const std::string& name, const json& spec)
  {
    json object = { { "meta",
                      { { "name", name },
                        { "revision", m_revision + 1 },
                        { "created", 1 },
                        { "finalizers", json::array() },
                        { "deleting", false } } },
                    { "spec", spec },
                    { "status", nullptr } };
    m_objects[kind][name] = object;
    AddEvent(kind, object, false);
    return object;
  }

  void AddEvent(const std::string& kind, const json& object, bool isRemoved)
  {
    m_history.push_back({ ++m_revision,
                          kind,
                          { { "object", object }, { "removed", isRemoved } } });
    m_changed.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, json>> m_objects;
  std::vector<Event> m_history;
  uint64_t m_revision = 1;
  HttpServer m_server;
};

} // namespace review
