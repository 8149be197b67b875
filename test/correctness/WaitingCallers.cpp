// More callers come than the servers can answer: what waits beside a server,
// in which order it is served, and what those who wait are told.

#include "FullServer.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const TimePoint kStart{ Seconds(100) };

QueuedSyn
OpeningOf(uint16_t aCaller, uint32_t aCopy = 0, uint8_t aPriority = 0)
{
  QueuedSyn opening;
  opening.m_priority = aPriority;
  opening.m_header.m_source = { 0x64400001, aCaller };
  opening.m_header.m_destination = kDeskAddress;
  opening.m_header.m_flags = kSyn;
  opening.m_header.m_ack = aCopy;
  return opening;
}

uint16_t
CallerOf(const std::optional<QueuedSyn>& aOpening)
{
  return aOpening ? aOpening->m_header.m_source.m_port : 0;
}

} // namespace

Test(WaitingCallers, AreServedInTheirOrderWhileTheQueueIsShort)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1));
  waiting.Add(kStart + Milliseconds(1), OpeningOf(2));
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart + Milliseconds(20))), 1);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart + Milliseconds(20))), 2);
}

Test(WaitingCallers, AreServedNewestFirstWhileTheQueueStands)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1));
  waiting.Add(kStart + Milliseconds(30), OpeningOf(2));
  waiting.Add(kStart + Milliseconds(35), OpeningOf(3));
  TimePoint later = kStart + SynQueue::kStandingQueueDelay;
  cr_assert_eq(CallerOf(waiting.TakeNext(later)), 3);
}

Test(WaitingCallers, ThatHaveJustComeGoBeforeThoseThatSentCopies)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1, 2));
  waiting.Add(kStart, OpeningOf(2, 1));
  waiting.Add(kStart, OpeningOf(3, 0));
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 3);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 2);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 1);
}

Test(WaitingCallers, WithUrgentRequestsGoBeforeOthers)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1, 0, 2));
  waiting.Add(kStart, OpeningOf(2, 1, 1));
  waiting.Add(kStart, OpeningOf(3, 0, 1));
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 3);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 1);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 2);
}

Test(WaitingCallers, WithLessUrgentRequestsAreNotStarved)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1, 0, 2));
  for (uint16_t i = 2; i < 10; ++i) {
    waiting.Add(kStart, OpeningOf(i, 0, 1));
  }
  std::vector<uint16_t> served;
  for (uint32_t i = 0; i <= SynQueue::kUrgentBurst; ++i) {
    served.push_back(CallerOf(waiting.TakeNext(kStart)));
  }
  cr_assert_eq(served.back(), 1);
}

Test(WaitingCallers, HaveOnePacketEach)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1, 0));
  waiting.Add(kStart + Milliseconds(200), OpeningOf(1, 1));
  cr_assert_eq(waiting.Size(), 1);
  cr_assert_eq(waiting.TakeNext(kStart)->m_header.RetransmissionCount(), 1);
  cr_assert(!waiting.Contains(OpeningOf(1).m_header.FlowFromCaller()));
}

Test(WaitingCallers, LeaveWhenTheirNextCopyIsOverdue)
{
  SynQueue waiting;
  waiting.Add(kStart, OpeningOf(1, 0));
  waiting.Add(kStart, OpeningOf(2, 2));
  cr_assert(waiting.TakeExpired(kStart + Milliseconds(200)).empty());
  cr_assert_eq(waiting.TakeExpired(kStart + Milliseconds(250)).size(), 1);
  cr_assert_eq(waiting.TakeExpired(kStart + Milliseconds(750)).size(), 1);
}

Test(WaitingCallers, AreBoundedAndTheOldestLeave)
{
  SynQueue waiting;
  for (uint16_t i = 1; i <= SynQueue::kMaxPackets; ++i) {
    cr_assert(!waiting.Add(kStart, OpeningOf(i)));
  }
  cr_assert_eq(CallerOf(waiting.Add(kStart, OpeningOf(60'000))), 1);
  cr_assert_eq(waiting.Size(), SynQueue::kMaxPackets);
}

namespace {

constexpr uint32_t kSlots = 2;
constexpr uint16_t kWaiting = 10;

} // namespace

Test(WaitingCallers, ReachTheServerAsSoonAsAFlowEnds)
{
  FullServer server(kSlots);
  cr_assert_eq(server.Agent().BusyFlows(), kSlots + 1);
  cr_assert(server.Open(kWaiting, 0) == FlowAgentAction::Queue);
  cr_assert(server.TakeDequeuedSyns().empty());
  cr_assert_eq(server.Agent().Load().m_busy, kSlots + 2);
  server.End(1);
  std::vector<DequeuedSyn> ends = server.TakeDequeuedSyns();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Deliver);
  cr_assert_eq(ends[0].m_syn.m_balancerIp, FullServer::kBalancer);
  cr_assert_eq(server.Agent().QueuedSynCount(), 0);
}

Test(WaitingCallers, ThatSentCopiesAreNoLoadForNewOnes)
{
  FullServer server(kSlots);
  server.Open(kWaiting, 1);
  cr_assert_eq(server.Agent().Load().m_busy, kSlots + 1);
}

Test(WaitingCallers, AreHandedBackWhenTheServerDrains)
{
  FullServer server(kSlots);
  server.Open(kWaiting, 0);
  server.Heartbeat(true);
  std::vector<DequeuedSyn> ends = server.TakeDequeuedSyns();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Return);
  cr_assert(ends[0].m_decision.m_reason == ReturnReason::NotAccepting);
  cr_assert_eq(ends[0].m_decision.m_balancerIp, FullServer::kBalancer);
}

Test(WaitingCallers, AreHandedBackWhenTheAgentStops)
{
  FullServer server(kSlots);
  server.Open(kWaiting, 0);
  server.Agent().BeginShutdown();
  cr_assert_eq(server.TakeDequeuedSyns().size(), 1);
  cr_assert_eq(server.Agent().QueuedSynCount(), 0);
}

// A caller is told only when no copy of it comes any more.
Test(WaitingCallers, AreToldAtTheEndOfTheirAttempt)
{
  FullServer server(kSlots);
  server.Open(kWaiting, 1);
  server.Open(kWaiting + 1, 2);
  std::vector<DequeuedSyn> ends = server.Pass(Seconds(1));
  cr_assert_eq(ends.size(), 2);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Drop);
  cr_assert(ends[1].m_decision.m_action == FlowAgentAction::Reset);
  cr_assert(ends[0].m_decision.m_reason == ReturnReason::Full);
  cr_assert(ends[1].m_decision.m_reason == ReturnReason::Full);
}
