// Requests on open flows that wait at the agent of a full server while more
// urgent SYN packets wait there.

#include "OrderedServer.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kSlots = 2;
constexpr uint8_t kUrgent = 1;
constexpr uint8_t kLessUrgent = 2;
/** Open, idle flow whose request waits. */
constexpr uint16_t kWaiting = 50;
constexpr uint32_t kBalancer = 7;

/** The server of "desk", full with urgent flows, with an open flow of caller
 * kWaiting, and an urgent SYN packet of caller 60 that waits. */
struct Desk
{
  explicit Desk(uint8_t aSynPriority = kUrgent)
    : m_agent(Options(), m_now)
  {
    Heartbeat(false);
    Syn(kWaiting, kLessUrgent);
    Packet(kWaiting, 1, 100);
    Answer(kWaiting);
    for (uint16_t caller = 1; caller <= kSlots + 1; ++caller) {
      Syn(caller, aSynPriority);
      Packet(caller, 1, 100);
    }
    cr_assert(Syn(60, aSynPriority) == FlowAgentAction::Queue);
    cr_assert(m_agent.TakeDequeuedPackets(m_now).empty());
  }

  static FlowAgentOptions Options()
  {
    FlowAgentOptions options;
    options.m_service = "desk";
    options.m_orderRequests = true;
    return options;
  }

  void Heartbeat(bool aIsDraining)
  {
    m_agent.OnHeartbeat(
      m_now, { "s", 1, ++m_sequence, "desk", {}, kSlots, aIsDraining, {} });
  }

  static PacketHeader From(uint16_t aCaller)
  {
    PacketHeader header = SynPacket();
    header.m_source.m_port = aCaller;
    return header;
  }

  FlowAgentAction Syn(uint16_t aCaller, uint8_t aPriority)
  {
    PacketHeader syn = From(aCaller);
    syn.m_mark = SynMark{ kNoBusyLimit, aPriority }.Pack();
    return m_agent.OnBalancerPacket(m_now, syn, {}, kBalancer).m_action;
  }

  FlowAgentAction Packet(uint16_t aCaller,
                         uint32_t aSeq,
                         uint16_t aLength,
                         uint8_t aFlags = kAck)
  {
    PacketHeader packet = From(aCaller);
    packet.m_flags = aFlags;
    packet.m_seq = aSeq;
    packet.m_length = aLength;
    std::vector<uint8_t> bytes(30, static_cast<uint8_t>(aSeq));
    return m_agent.OnBalancerPacket(m_now, packet, bytes, kBalancer).m_action;
  }

  void Answer(uint16_t aCaller)
  {
    PacketHeader answer = From(aCaller);
    std::swap(answer.m_source, answer.m_destination);
    answer.m_flags = kAck;
    answer.m_length = 100;
    m_agent.OnServerPacket(m_now, answer);
  }

  /** Sequence numbers of the packets that kWaiting's flow delivers now. */
  std::vector<uint32_t> Delivered()
  {
    std::vector<uint32_t> seqs;
    for (const DequeuedPacket& packet : m_agent.TakeDequeuedPackets(m_now)) {
      if (packet.m_packet.m_header.m_source.m_port != kWaiting) {
        continue;
      }
      cr_assert(packet.m_decision.m_action == FlowAgentAction::Deliver);
      cr_assert_eq(packet.m_packet.m_balancerIp, kBalancer);
      uint32_t seq = packet.m_packet.m_header.m_seq;
      cr_assert_eq(packet.m_packet.m_bytes.size(), 30);
      cr_assert_eq(packet.m_packet.m_bytes[0], seq);
      seqs.push_back(seq);
    }
    return seqs;
  }

  TimePoint m_now{ Seconds(100) };
  uint64_t m_sequence = 0;
  FlowAgent m_agent;
};

using Seqs = std::vector<uint32_t>;

/** Plays 105% of what a server can do: long flows of a less urgent route, and
 * a new flow for each urgent request. */
std::vector<CallerClass>
Overload(bool aOrderRequests)
{
  // Work of one urgent and 3.5 less urgent requests in seconds.
  constexpr double kWork = 0.033 + 3.5 * 0.026;
  constexpr double kRate = 1.05 * OrderedServer::kSlots / kWork;
  std::vector<CallerClass> classes = {
    { kUrgent, Milliseconds(33), false, kRate, std::mt19937_64(1) },
    { kLessUrgent, Milliseconds(26), true, 3.5 * kRate, std::mt19937_64(2) }
  };
  OrderedServer server(aOrderRequests, 3);
  server.Play(classes, Seconds(120));
  return classes;
}

} // namespace

// Requests on long flows used to pass every SYN packet of an urgent route.
// The tolerance is the spread between seeds.
Test(RequestWaits, UrgentCallersAreInTimeAsOftenAsCallersOnOpenFlows)
{
  constexpr double kTolerance = 0.02;
  std::vector<CallerClass> before = Overload(false);
  std::vector<CallerClass> after = Overload(true);
  cr_assert_geq(after[0].InTimeShare(), after[1].InTimeShare() - kTolerance);
  cr_assert_gt(after[0].InTimeShare(), 0.85);
  size_t gained = after[0].m_inTime - before[0].m_inTime;
  size_t lost = before[1].m_inTime - after[1].m_inTime;
  cr_assert_leq(lost, gained, "%zu lost, %zu gained", lost, gained);
}

// Callers retransmit after 200 ms. A wait that expired shows an overload that
// further waits would not end.
Test(RequestWaits, EndWithinTheBound)
{
  Desk desk;
  constexpr Duration kOffTick = Milliseconds(5);
  desk.m_now += kOffTick;
  cr_assert(desk.Packet(kWaiting, 101, 100) == FlowAgentAction::Queue);
  cr_assert_eq(desk.m_agent.WaitingRequests(), 1);
  cr_assert_eq(desk.m_agent.Load(desk.m_now).m_busy, kSlots + 3);
  TimePoint start = desk.m_now;
  desk.m_now -= kOffTick;
  while (desk.Delivered().empty()) {
    desk.m_now += FlowAgent::kTick;
    desk.Heartbeat(false);
    desk.m_agent.OnTick(desk.m_now);
  }
  cr_assert_leq((desk.m_now - start).count(),
                RequestQueue::kMaxRequestWait.count());
  cr_assert_geq((desk.m_now - start).count(), Milliseconds(80).count());
  desk.Answer(kWaiting);
  cr_assert(desk.Packet(kWaiting, 201, 100) == FlowAgentAction::Deliver);
  cr_assert_eq(desk.m_agent.QueuedSynCount(), 1);
}

// A lost, repeated or overtaken packet would corrupt the caller's request.
Test(RequestWaits, DeliverPacketsUnchangedInOrderAndOnce)
{
  Desk desk;
  for (uint32_t seq : { 101, 101, 102, 103, 104 }) {
    desk.Packet(kWaiting, seq, 1);
    cr_assert(desk.Delivered().empty());
  }
  cr_assert(desk.Packet(kWaiting, 105, 1) == FlowAgentAction::Queue);
  cr_assert(desk.Delivered() == Seqs({ 101, 102, 103, 104, 105 }));
  cr_assert(desk.Delivered().empty());
  cr_assert(desk.Packet(kWaiting, 106, 1) == FlowAgentAction::Deliver);
}

Test(RequestWaits, AreOverBeforeTheFlowEnds)
{
  for (uint8_t flag : { kFin, kReset }) {
    Desk desk;
    desk.Packet(kWaiting, 101, 1);
    cr_assert(desk.Packet(kWaiting, 102, 0, flag) == FlowAgentAction::Queue);
    cr_assert(desk.Delivered() == Seqs({ 101, 102 }));
  }
}

Test(RequestWaits, DoNotBeginWithOnePriority)
{
  Desk desk(kLessUrgent);
  cr_assert(desk.Packet(kWaiting, 101, 100) == FlowAgentAction::Deliver);
  cr_assert_eq(desk.m_agent.HeldRequests(), 0);
}

// The slot of a first request was assigned with the flow's SYN packet.
Test(RequestWaits, DoNotBeginWithTheFirstRequest)
{
  Desk desk(kLessUrgent);
  desk.Answer(1);
  cr_assert_eq(desk.m_agent.TakeDequeuedPackets(desk.m_now).size(), 1);
  cr_assert(desk.Syn(70, kUrgent) == FlowAgentAction::Queue);
  cr_assert(desk.Packet(60, 1, 100) == FlowAgentAction::Deliver);
  cr_assert(desk.Packet(kWaiting, 101, 100) == FlowAgentAction::Queue);
}

// Urgent callers alone may need the whole server.
Test(RequestWaits, EndAfterABurstOfUrgentFlows)
{
  Desk desk;
  desk.Packet(kWaiting, 101, 100);
  for (uint16_t caller = 61; caller < 70; ++caller) {
    desk.Syn(caller, kUrgent);
  }
  constexpr uint16_t kAtServer = kSlots + 1;
  uint16_t served = 0;
  for (desk.Answer(1); desk.Delivered().empty();) {
    cr_assert_lt(served, SynQueue::kUrgentBurst);
    desk.Packet(60 + served, 1, 100);
    served += 1;
    desk.Answer(served < kAtServer ? served + 1 : 60 + served - kAtServer);
  }
  cr_assert_eq(served + 1, SynQueue::kUrgentBurst);
}

Test(RequestWaits, EndWhenTheServerDrainsOrTheAgentStops)
{
  Desk draining;
  draining.Packet(kWaiting, 101, 100);
  draining.Heartbeat(true);
  cr_assert(draining.Delivered() == Seqs({ 101 }));
  Desk stopping;
  stopping.Packet(kWaiting, 101, 100);
  stopping.m_agent.BeginShutdown();
  cr_assert(stopping.Delivered() == Seqs({ 101 }));
}

// The retransmission arrives before the agent has seen a tick.
Test(RequestWaits, EndFirstAfterAPauseOfTheAgent)
{
  Desk desk;
  desk.Packet(kWaiting, 101, 100);
  desk.m_now += Milliseconds(900);
  cr_assert(desk.Packet(kWaiting, 101, 100) == FlowAgentAction::Drop);
  desk.Answer(1);
  std::vector<DequeuedPacket> ends =
    desk.m_agent.TakeDequeuedPackets(desk.m_now);
  cr_assert_geq(ends.size(), 1);
  cr_assert_eq(ends[0].m_packet.m_header.m_source.m_port, kWaiting);
  cr_assert(ends[0].m_wait->m_end == RequestWaitEnd::Expired);
}
