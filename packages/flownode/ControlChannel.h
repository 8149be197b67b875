#pragma once

#include "EventLoop.h"
#include "FlowMessages.h"

namespace bilberryfield {

/** Control messages between balancers and agents, one per datagram. */
class ControlChannel
{
public:
  /** Called on the loop's thread with a message and its sender's IP address. */
  using OnMessage = std::function<void(const FlowMessage&, uint32_t aFromIp)>;

  /** aPort is both the local and the remote port; it is the same on all VMs. */
  ControlChannel(EventLoop& aLoop, uint16_t aPort, OnMessage aOnMessage);

  /** Starts to receive messages at an address. */
  Result<void> Open(uint32_t aIp);

  /** Sends a message; a failure is only counted. */
  void Send(uint32_t aIp, const FlowMessage& aMessage);

  /** Encodes a message once and sends it to several receivers. */
  void SendToAll(const std::vector<uint32_t>& aIps,
                 const FlowMessage& aMessage);

  uint64_t SendFailures() const { return m_socket->SendFailures(); }

private:
  void OnDatagram(std::span<uint8_t> aBytes, const Endpoint& aFrom);

  EventLoop& m_loop;
  uint16_t m_port;
  OnMessage m_onMessage;
  EventLoop::Socket* m_socket = nullptr;
};

} // namespace bilberryfield
