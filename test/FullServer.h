#pragma once

#include "FlowAgent.h"
#include "FlowSamples.h"

namespace bilberryfield {

/**
 * An agent of "desk" whose server has the maximum number of flows: those of
 * callers 1 to slots + 1. Callers are identified by their port.
 */
class FullServer
{
public:
  /** IP address of the balancer that forwards all packets. */
  static constexpr uint32_t kBalancer = 7;

  explicit FullServer(uint32_t aSlots)
    : m_slots(aSlots)
    , m_agent(Options(), m_now)
  {
    Heartbeat(false);
    for (uint16_t caller = 1; caller <= Flows(); ++caller) {
      Open(caller, 0);
    }
  }

  /** Delivers a heartbeat of the server. */
  void Heartbeat(bool aIsDraining)
  {
    m_agent.OnHeartbeat(
      m_now, { "s", 1, ++m_sequence, "desk", {}, m_slots, aIsDraining, {} });
  }

  /** Delivers a caller's SYN packet and returns the agent's action. */
  FlowAgentAction Open(uint16_t aCaller,
                       uint32_t aRetransmission,
                       PacketBytes aBytes = {})
  {
    PacketHeader syn = PacketFrom(aCaller);
    syn.m_flags = kSyn;
    syn.m_ack = aRetransmission;
    syn.m_mark = SynMark{}.Pack();
    return m_agent.OnBalancerPacket(m_now, syn, aBytes, kBalancer).m_action;
  }

  /** The server closes the flow of a caller. */
  void End(uint16_t aCaller)
  {
    PacketHeader end = PacketFrom(aCaller);
    std::swap(end.m_source, end.m_destination);
    end.m_flags = kFin;
    m_agent.OnServerPacket(m_now, end);
  }

  /** Advances the time while the flows at the server stay active, and returns
   * the waits that end. */
  std::vector<DequeuedPacket> RunFor(Duration aTime)
  {
    std::vector<DequeuedPacket> all;
    for (TimePoint end = m_now + aTime; m_now < end;) {
      m_now += FlowAgent::kTick;
      Heartbeat(false);
      for (uint16_t caller = 1; caller <= Flows(); ++caller) {
        Request(caller);
      }
      m_agent.OnTick(m_now);
      std::vector<DequeuedPacket> ends = TakeDequeuedPackets();
      all.insert(all.end(), ends.begin(), ends.end());
    }
    return all;
  }

  std::vector<DequeuedPacket> TakeDequeuedPackets()
  {
    return m_agent.TakeDequeuedPackets(m_now);
  }

  FlowAgent& Agent() { return m_agent; }
  LoadTag Load() const { return m_agent.Load(m_now); }

private:
  static FlowAgentOptions Options()
  {
    FlowAgentOptions options;
    options.m_service = "desk";
    options.m_domain = "a";
    return options;
  }

  static PacketHeader PacketFrom(uint16_t aCaller)
  {
    PacketHeader header;
    header.m_source = { 0x64400001, aCaller };
    header.m_destination = kDeskAddress;
    header.m_tag = ServiceTag("desk");
    return header;
  }

  uint16_t Flows() const { return static_cast<uint16_t>(m_slots + 1); }

  void Request(uint16_t aCaller)
  {
    PacketHeader request = PacketFrom(aCaller);
    request.m_flags = kAck;
    request.m_length = 100;
    m_agent.OnBalancerPacket(m_now, request, {}, kBalancer);
  }

  TimePoint m_now{ Seconds(100) };
  uint32_t m_slots;
  uint64_t m_sequence = 0;
  FlowAgent m_agent;
};

} // namespace bilberryfield
