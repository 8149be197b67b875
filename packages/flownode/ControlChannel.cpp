#include "ControlChannel.h"

#include "FlowCodec.h"
#include "Log.h"

namespace bilberryfield {

ControlChannel::ControlChannel(EventLoop& aLoop,
                               uint16_t aPort,
                               OnMessage aOnMessage)
  : m_loop(aLoop)
  , m_port(aPort)
  , m_onMessage(std::move(aOnMessage))
{
}

Result<void>
ControlChannel::Open(uint32_t aIp)
{
  return m_loop.OpenSocket(
    { aIp, m_port },
    [this](auto aBytes, const Endpoint& aFrom) { OnDatagram(aBytes, aFrom); },
    m_socket);
}

void
ControlChannel::Send(uint32_t aIp, const FlowMessage& aMessage)
{
  SendToAll({ aIp }, aMessage);
}

void
ControlChannel::SendToAll(const std::vector<uint32_t>& aIps,
                          const FlowMessage& aMessage)
{
  if (aIps.empty()) {
    return;
  }
  std::string text = EncodeFlowMessage(aMessage);
  PacketBytes bytes(reinterpret_cast<const uint8_t*>(text.data()), text.size());
  for (uint32_t ip : aIps) {
    m_socket->Send(bytes, { ip, m_port });
  }
}

void
ControlChannel::OnDatagram(std::span<uint8_t> aBytes, const Endpoint& aFrom)
{
  std::string_view text(reinterpret_cast<const char*>(aBytes.data()),
                        aBytes.size());
  Result<FlowMessage> message = DecodeFlowMessage(text, ToText(aFrom));
  if (!message) {
    Log(LogLevel::Warning,
        "message-rejected",
        { { "peer", message.error().m_peer },
          { "detail", message.error().m_detail } });
    return;
  }
  m_onMessage(*message, aFrom.m_ip);
}

} // namespace bilberryfield
