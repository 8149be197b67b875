#include "AdminServer.h"

namespace bilberryfield {

namespace {

HttpOutgoing
JsonAnswer(const AdminAnswer& aAnswer)
{
  return { aAnswer.m_status,
           {},
           "application/json",
           aAnswer.m_body.dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

} // namespace

AdminServer::AdminServer(Post aPost)
  : m_post(std::move(aPost))
  , m_server({ .m_threads = 1 },
             [this](HttpIncoming aRequest, HttpReply aReply) {
               Handle(std::move(aRequest), std::move(aReply));
             })
{
}

void
AdminServer::Add(const std::string& aMethodAndPath, Route aRoute)
{
  m_routes[aMethodAndPath] = std::move(aRoute);
}

Result<uint16_t>
AdminServer::Start(const std::string& aIpAndPort)
{
  return m_server.Start(aIpAndPort);
}

void
AdminServer::Stop()
{
  m_server.Stop();
}

void
AdminServer::Handle(HttpIncoming aRequest, HttpReply aReply)
{
  auto found = m_routes.find(aRequest.m_method + " " + aRequest.m_path);
  if (found == m_routes.end()) {
    return aReply(JsonAnswer({ 404, { { "error", "no such path" } } }));
  }
  m_post([route = found->second,
          request = std::move(aRequest),
          reply = std::move(aReply)] { reply(JsonAnswer(route(request))); });
}

} // namespace bilberryfield
