// If the last retransmission of a SYN arrives at a full server, the caller must
// still get a slot that becomes free, or a reset before it times out.

#include "FullServer.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kLastRetransmission = 2;
constexpr uint16_t kLateCaller = 10;
constexpr uint16_t kNewCaller = 11;
const std::vector<uint8_t> kBytes = { 1, 2, 3 };

} // namespace

Test(LastRetransmissions, GetASlotThatBecomesFree)
{
  FullServer server(1);
  cr_assert(server.Open(kLateCaller, kLastRetransmission, kBytes) ==
            FlowAgentAction::Queue);
  cr_assert(server.RunFor(Milliseconds(200)).empty());
  server.End(1);
  std::vector<DequeuedPacket> ends = server.TakeDequeuedPackets();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Deliver);
  const auto& bytes = ends[0].m_packet.m_bytes;
  cr_assert(std::vector<uint8_t>(bytes.begin(), bytes.end()) == kBytes);
}

Test(LastRetransmissions, AreResetBeforeTheCallerTimesOut)
{
  FullServer server(1);
  server.Open(kLateCaller, kLastRetransmission);
  std::vector<DequeuedPacket> ends = server.RunFor(Milliseconds(790));
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Reset);
  cr_assert(ends[0].m_decision.m_reason == ReturnReason::Full);
}

Test(LastRetransmissions, AreServedAfterFirstTransmissions)
{
  FullServer server(1);
  server.Open(kLateCaller, kLastRetransmission);
  server.Open(kNewCaller, 0);
  server.End(1);
  std::vector<DequeuedPacket> ends = server.TakeDequeuedPackets();
  cr_assert_eq(ends.size(), 1);
  cr_assert_eq(ends[0].m_packet.m_header.m_source.m_port, kNewCaller);
}
