// SYN packets that wait at the agent of a full server: the order in which they
// are served, and how their wait ends.

#include "FullServer.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const TimePoint kStart{ Seconds(100) };

QueuedSyn
SynFrom(uint16_t aCaller, uint32_t aRetransmission = 0, uint8_t aPriority = 0)
{
  QueuedSyn syn;
  syn.m_priority = aPriority;
  syn.m_header.m_source = { 0x64400001, aCaller };
  syn.m_header.m_destination = kDeskAddress;
  syn.m_header.m_flags = kSyn;
  syn.m_header.m_ack = aRetransmission;
  return syn;
}

uint16_t
CallerOf(const std::optional<QueuedSyn>& aSyn)
{
  return aSyn ? aSyn->m_header.m_source.m_port : 0;
}

} // namespace

Test(QueuedSyns, AreServedInOrderOfArrivalWhileTheQueueIsShort)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1));
  queue.Add(kStart + Milliseconds(1), SynFrom(2));
  cr_assert_eq(CallerOf(queue.TakeNext(kStart + Milliseconds(20))), 1);
  cr_assert_eq(CallerOf(queue.TakeNext(kStart + Milliseconds(20))), 2);
}

Test(QueuedSyns, AreServedNewestFirstWhileTheQueueStands)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1));
  queue.Add(kStart + Milliseconds(30), SynFrom(2));
  queue.Add(kStart + Milliseconds(35), SynFrom(3));
  TimePoint later = kStart + SynQueue::kStandingQueueDelay;
  cr_assert_eq(CallerOf(queue.TakeNext(later)), 3);
}

Test(QueuedSyns, ThatAreFirstTransmissionsGoBeforeRetransmissions)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1, 2));
  queue.Add(kStart, SynFrom(2, 1));
  queue.Add(kStart, SynFrom(3, 0));
  cr_assert_eq(CallerOf(queue.TakeNext(kStart)), 3);
  cr_assert_eq(CallerOf(queue.TakeNext(kStart)), 2);
  cr_assert_eq(CallerOf(queue.TakeNext(kStart)), 1);
}

Test(QueuedSyns, WithHigherPriorityGoFirst)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1, 0, 2));
  queue.Add(kStart, SynFrom(2, 1, 1));
  queue.Add(kStart, SynFrom(3, 0, 1));
  cr_assert_eq(CallerOf(queue.TakeNext(kStart)), 3);
  cr_assert_eq(CallerOf(queue.TakeNext(kStart)), 1);
  cr_assert_eq(CallerOf(queue.TakeNext(kStart)), 2);
}

Test(QueuedSyns, WithLowerPriorityAreNotStarved)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1, 0, 2));
  for (uint16_t i = 2; i < 10; ++i) {
    queue.Add(kStart, SynFrom(i, 0, 1));
  }
  std::vector<uint16_t> served;
  for (uint32_t i = 0; i <= SynQueue::kUrgentBurst; ++i) {
    served.push_back(CallerOf(queue.TakeNext(kStart)));
  }
  cr_assert_eq(served.back(), 1);
}

Test(QueuedSyns, AreReplacedByTheirRetransmissions)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1, 0));
  queue.Add(kStart + Milliseconds(200), SynFrom(1, 1));
  cr_assert_eq(queue.Size(), 1);
  cr_assert_eq(queue.TakeNext(kStart)->m_header.RetransmissionCount(), 1);
  cr_assert(!queue.Contains(SynFrom(1).m_header.FlowFromCaller()));
}

Test(QueuedSyns, ExpireWhenTheNextRetransmissionIsOverdue)
{
  SynQueue queue;
  queue.Add(kStart, SynFrom(1, 0));
  queue.Add(kStart, SynFrom(2, 2));
  cr_assert(queue.TakeExpired(kStart + Milliseconds(200)).empty());
  cr_assert_eq(queue.TakeExpired(kStart + Milliseconds(250)).size(), 1);
  cr_assert_eq(queue.TakeExpired(kStart + Milliseconds(750)).size(), 1);
}

Test(QueuedSyns, AreBoundedAndTheOldestIsEvicted)
{
  SynQueue queue;
  for (uint16_t i = 1; i <= SynQueue::kMaxPackets; ++i) {
    cr_assert(!queue.Add(kStart, SynFrom(i)));
  }
  cr_assert_eq(CallerOf(queue.Add(kStart, SynFrom(60'000))), 1);
  cr_assert_eq(queue.Size(), SynQueue::kMaxPackets);
}

namespace {

constexpr uint32_t kSlots = 2;
constexpr uint16_t kWaitingCaller = 10;

} // namespace

Test(QueuedSyns, ReachTheServerAsSoonAsAFlowEnds)
{
  FullServer server(kSlots);
  cr_assert_eq(server.Agent().BusyFlows(), kSlots + 1);
  cr_assert(server.Open(kWaitingCaller, 0) == FlowAgentAction::Queue);
  cr_assert(server.TakeDequeuedPackets().empty());
  cr_assert_eq(server.Load().m_busy, kSlots + 2);
  server.End(1);
  std::vector<DequeuedPacket> ends = server.TakeDequeuedPackets();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Deliver);
  cr_assert_eq(ends[0].m_packet.m_balancerIp, FullServer::kBalancer);
  cr_assert_eq(server.Agent().QueuedSynCount(), 0);
}

Test(QueuedSyns, ThatAreRetransmissionsDoNotCountAsLoad)
{
  FullServer server(kSlots);
  server.Open(kWaitingCaller, 1);
  cr_assert_eq(server.Load().m_busy, kSlots + 1);
}

Test(QueuedSyns, AreReturnedWhenTheServerDrains)
{
  FullServer server(kSlots);
  server.Open(kWaitingCaller, 0);
  server.Heartbeat(true);
  std::vector<DequeuedPacket> ends = server.TakeDequeuedPackets();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Return);
  cr_assert(ends[0].m_decision.m_reason == ReturnReason::NotAccepting);
  cr_assert_eq(ends[0].m_decision.m_balancerIp, FullServer::kBalancer);
}

Test(QueuedSyns, AreReturnedWhenTheAgentStops)
{
  FullServer server(kSlots);
  server.Open(kWaitingCaller, 0);
  server.Agent().BeginShutdown();
  cr_assert_eq(server.TakeDequeuedPackets().size(), 1);
  cr_assert_eq(server.Agent().QueuedSynCount(), 0);
}

// A caller is reset only if it sends no further retransmission.
Test(QueuedSyns, AreResetOnlyAfterTheLastRetransmission)
{
  FullServer server(kSlots);
  server.Open(kWaitingCaller, 1);
  server.Open(kWaitingCaller + 1, 2);
  std::vector<DequeuedPacket> ends = server.RunFor(Seconds(1));
  cr_assert_eq(ends.size(), 2);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Drop);
  cr_assert(ends[1].m_decision.m_action == FlowAgentAction::Reset);
  cr_assert(ends[0].m_decision.m_reason == ReturnReason::Full);
  cr_assert(ends[1].m_decision.m_reason == ReturnReason::Full);
}
