#pragma once

#include "EventLoop.h"
#include "FlowMessages.h"

namespace bilberryfield {

/** Messages between balancers and agents, one datagram each. */
class ControlChannel
{
public:
  /** Called on the loop's thread with a message and its sender's address. */
  using OnMessage = std::function<void(const FlowMessage&, uint32_t aFromIp)>;

  /** aPort is the same on all VMs. */
  ControlChannel(EventLoop& aLoop, uint16_t aPort, OnMessage aOnMessage);

  /** Takes messages at an address. */
  Result<void> Open(uint32_t aIp);

  void Send(uint32_t aIp, const FlowMessage& aMessage);

  /** Sends one message, encoded once, to several. */
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
