// More callers come than the servers can answer: what waits beside a server,
// in which order it is served, and what those who wait are told.

#include "FlowAgent.h"
#include "FlowSamples.h"
#include "WaitingOpenings.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const TimePoint kStart{ Seconds(100) };

WaitingOpening
OpeningOf(uint16_t aCaller, uint32_t aCopy = 0, uint8_t aPriority = 0)
{
  WaitingOpening opening;
  opening.m_priority = aPriority;
  opening.m_header.m_source = { 0x64400001, aCaller };
  opening.m_header.m_destination = kDesk;
  opening.m_header.m_flags = kSyn;
  opening.m_header.m_ack = aCopy;
  return opening;
}

uint16_t
CallerOf(const std::optional<WaitingOpening>& aOpening)
{
  return aOpening ? aOpening->m_header.m_source.m_port : 0;
}

} // namespace

Test(WaitingCallers, AreServedInTheirOrderWhileTheQueueIsShort)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1));
  waiting.Add(kStart + Milliseconds(1), OpeningOf(2));
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart + Milliseconds(20))), 1);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart + Milliseconds(20))), 2);
}

Test(WaitingCallers, AreServedNewestFirstWhileTheQueueStands)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1));
  waiting.Add(kStart + Milliseconds(30), OpeningOf(2));
  waiting.Add(kStart + Milliseconds(35), OpeningOf(3));
  TimePoint later = kStart + WaitingOpenings::kStandingQueue;
  cr_assert_eq(CallerOf(waiting.TakeNext(later)), 3);
}

Test(WaitingCallers, ThatHaveJustComeGoBeforeThoseThatSentCopies)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1, 2));
  waiting.Add(kStart, OpeningOf(2, 1));
  waiting.Add(kStart, OpeningOf(3, 0));
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 3);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 2);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 1);
}

Test(WaitingCallers, WithUrgentRequestsGoBeforeOthers)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1, 0, 2));
  waiting.Add(kStart, OpeningOf(2, 1, 1));
  waiting.Add(kStart, OpeningOf(3, 0, 1));
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 3);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 1);
  cr_assert_eq(CallerOf(waiting.TakeNext(kStart)), 2);
}

Test(WaitingCallers, WithLessUrgentRequestsAreNotStarved)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1, 0, 2));
  for (uint16_t i = 2; i < 10; ++i) {
    waiting.Add(kStart, OpeningOf(i, 0, 1));
  }
  std::vector<uint16_t> served;
  for (uint32_t i = 0; i <= WaitingOpenings::kUrgentInRow; ++i) {
    served.push_back(CallerOf(waiting.TakeNext(kStart)));
  }
  cr_assert_eq(served.back(), 1);
}

Test(WaitingCallers, HaveOnePacketEach)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1, 0));
  waiting.Add(kStart + Milliseconds(200), OpeningOf(1, 1));
  cr_assert_eq(waiting.Size(), 1);
  cr_assert_eq(waiting.TakeNext(kStart)->m_header.CopyNumber(), 1);
  cr_assert(!waiting.Contains(OpeningOf(1).m_header.FlowFromCaller()));
}

Test(WaitingCallers, LeaveWhenTheirNextCopyIsOverdue)
{
  WaitingOpenings waiting;
  waiting.Add(kStart, OpeningOf(1, 0));
  waiting.Add(kStart, OpeningOf(2, 2));
  cr_assert(waiting.TakeExpired(kStart + Milliseconds(200)).empty());
  cr_assert_eq(waiting.TakeExpired(kStart + Milliseconds(250)).size(), 1);
  cr_assert_eq(waiting.TakeExpired(kStart + Milliseconds(750)).size(), 1);
}

Test(WaitingCallers, AreBoundedAndTheOldestLeave)
{
  WaitingOpenings waiting;
  for (uint16_t i = 1; i <= WaitingOpenings::kMaxOpenings; ++i) {
    cr_assert(!waiting.Add(kStart, OpeningOf(i)));
  }
  cr_assert_eq(CallerOf(waiting.Add(kStart, OpeningOf(60'000))), 1);
  cr_assert_eq(waiting.Size(), WaitingOpenings::kMaxOpenings);
}

namespace {

/** An agent whose server has two slots and as many flows as it may get. */
struct FullServer
{
  FullServer()
  {
    m_agent.OnHeartbeat(kStart, { "s", 1, 1, "desk", {}, 2, false, {} });
    for (uint16_t caller = 1; caller <= 3; ++caller) {
      cr_assert(Open(kStart, caller).m_action == FlowAgentAction::Deliver);
    }
  }

  AgentVerdict Open(TimePoint aNow, uint16_t aCaller, uint32_t aCopy = 0)
  {
    PacketHeader header = OpeningOf(aCaller, aCopy).m_header;
    header.m_tag = ServiceTag("desk");
    header.m_mark = kAnyQueue;
    return m_agent.OnBalancerPacket(aNow, header, {}, 7);
  }

  void Request(TimePoint aNow, uint16_t aCaller)
  {
    PacketHeader header = OpeningOf(aCaller).m_header;
    header.m_tag = ServiceTag("desk");
    header.m_flags = kAck;
    header.m_length = 100;
    m_agent.OnBalancerPacket(aNow, header, {}, 7);
    m_agent.OnHeartbeat(aNow,
                        { "s", 1, ++m_sequence, "desk", {}, 2, false, {} });
  }

  void End(TimePoint aNow, uint16_t aCaller)
  {
    PacketHeader header;
    header.m_source = kDesk;
    header.m_destination = { 0x64400001, aCaller };
    header.m_flags = kFin;
    m_agent.OnServerPacket(aNow, header);
  }

  static FlowAgentOptions Options()
  {
    FlowAgentOptions options;
    options.m_service = "desk";
    return options;
  }

  FlowAgent m_agent{ Options(), kStart };
  uint64_t m_sequence = 1;
};

} // namespace

Test(WaitingCallers, ReachTheServerAsSoonAsAFlowEnds)
{
  FullServer server;
  cr_assert(server.Open(kStart, 4).m_action == FlowAgentAction::Wait);
  cr_assert(server.m_agent.TakeWaitEnds(kStart).empty());
  cr_assert_eq(server.m_agent.Load().m_busy, 4);
  server.End(kStart + Milliseconds(5), 1);
  std::vector<WaitEnd> ends =
    server.m_agent.TakeWaitEnds(kStart + Milliseconds(5));
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_verdict.m_action == FlowAgentAction::Deliver);
  cr_assert_eq(ends[0].m_opening.m_balancerIp, 7);
  cr_assert_eq(server.m_agent.WaitingCount(), 0);
}

Test(WaitingCallers, AreHandedBackWhenTheServerDrains)
{
  FullServer server;
  server.Open(kStart, 4);
  server.m_agent.OnHeartbeat(kStart, { "s", 1, 2, "desk", {}, 2, true, {} });
  std::vector<WaitEnd> ends = server.m_agent.TakeWaitEnds(kStart);
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_verdict.m_action == FlowAgentAction::HandBack);
  cr_assert(ends[0].m_verdict.m_reason == HandBack::NotAccepting);
  cr_assert_eq(ends[0].m_verdict.m_balancerIp, 7);
}

Test(WaitingCallers, AreHandedBackWhenTheAgentStops)
{
  FullServer server;
  server.Open(kStart, 4);
  server.m_agent.BeginShutdown();
  cr_assert_eq(server.m_agent.TakeWaitEnds(kStart).size(), 1);
  cr_assert_eq(server.m_agent.WaitingCount(), 0);
}

// A caller is told only when no copy of it comes any more.
Test(WaitingCallers, AreToldAtTheEndOfTheirAttempt)
{
  FullServer server;
  server.Open(kStart, 4, 1);
  server.Open(kStart, 5, 2);
  std::vector<FlowAgentAction> told;
  for (Duration passed{ 0 }; passed < Seconds(1); passed += FlowAgent::kTick) {
    // The flows at the server go on.
    for (uint16_t caller = 1; caller <= 3; ++caller) {
      server.Request(kStart + passed, caller);
    }
    server.m_agent.OnTick(kStart + passed);
    for (const WaitEnd& end : server.m_agent.TakeWaitEnds(kStart + passed)) {
      told.push_back(end.m_verdict.m_action);
      cr_assert(end.m_verdict.m_reason == HandBack::Full);
    }
  }
  cr_assert_eq(told.size(), 2);
  cr_assert(told[0] == FlowAgentAction::Drop);
  cr_assert(told[1] == FlowAgentAction::Reset);
}
