#include "Packet.h"

#include <arpa/inet.h>
#include <charconv>

namespace bilberryfield {

std::string
IpToText(uint32_t aIp)
{
  in_addr address{ htonl(aIp) };
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return IpToText(aEndpoint.m_ip) + ":" + std::to_string(aEndpoint.m_port);
}

std::string
ToText(const FlowKey& aFlow)
{
  return ToText(aFlow.m_caller) + ">" + ToText(aFlow.m_service);
}

std::optional<uint32_t>
ParseIp(std::string_view aText)
{
  in_addr address{};
  if (inet_pton(AF_INET, std::string(aText).c_str(), &address) != 1) {
    return std::nullopt;
  }
  return ntohl(address.s_addr);
}

std::optional<Endpoint>
ParseIpAndPort(std::string_view aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::optional<uint32_t> ip = ParseIp(aText.substr(0, colon));
  uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (!ip || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Endpoint{ *ip, port };
}

} // namespace bilberryfield
