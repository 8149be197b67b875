#pragma once

#include "HttpServer.h"

#include <map>
#include <nlohmann/json.hpp>

namespace bilberryfield {

/** What an operator's request is answered with. */
struct AdminAnswer
{
  uint16_t m_status = 200;
  nlohmann::json m_body;
};

/** Operators' HTTP interface: JSON answers to a fixed set of paths. */
class AdminServer
{
public:
  /** Answers one path; called on the loop's thread. */
  using Route = std::function<AdminAnswer(const HttpIncoming&)>;
  /** Runs a function on the loop's thread. */
  using Post = std::function<void(std::function<void()>)>;

  explicit AdminServer(Post aPost);

  /** Adds a route, for example "GET /status". Before Start. */
  void Add(const std::string& aMethodAndPath, Route aRoute);

  /** Listens at an IP and port and returns the port. */
  Result<uint16_t> Start(const std::string& aIpAndPort);

  void Stop();

private:
  void Handle(HttpIncoming aRequest, HttpReply aReply);

  Post m_post;
  std::map<std::string, Route> m_routes;
  HttpServer m_server;
};

} // namespace bilberryfield
