#include "EvacuationReader.h"
#include "FakeFlowNet.h"
#include "FlowCodec.h"
#include "FlowSamples.h"
#include "FullServer.h"
#include "PeerSync.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kFirstBalancer = 0x0A000001;
constexpr uint32_t kSecondBalancer = 0x0A000002;
const EvacuationSet kNone{ { 1, 10 }, {} };
const EvacuationSet kEvacuatedA{ { 1, 20 }, { "a" } };
const EvacuationSet kReturned{ { 1, 30 }, {} };

/** Two balancers in domain a, three servers there and two in domain b. */
struct TwoDomains
{
  TwoDomains()
  {
    for (size_t i = 0; i < 2; ++i) {
      m_net.AddBalancer("a");
      Tell(i, kNone);
    }
    for (int i = 0; i < 3; ++i) {
      m_serversInA.push_back(m_net.AddServer("desk", "a"));
    }
    m_net.AddServer("desk", "b");
    m_net.AddServer("desk", "b");
    m_net.SetRoutes({ DeskRoutes()->m_routes.at(kDeskAddress) });
    m_net.RunFor(Seconds(2));
  }

  void Tell(size_t aBalancer, const EvacuationSet& aSet)
  {
    m_net.Balancer(aBalancer).Agents().EvacuatedDomains().Update(m_net.Now(),
                                                                 aSet);
  }

  void OpenFlowsFor(Duration aTime)
  {
    for (TimePoint end = m_net.Now() + aTime; m_net.Now() < end;) {
      m_net.OpenFlow(kDeskAddress);
      m_net.RunFor(Milliseconds(4));
    }
  }

  uint32_t SynCountInA() const
  {
    uint32_t count = 0;
    for (uint32_t ip : m_serversInA) {
      count += m_net.SynCountAt(ip);
    }
    return count;
  }

  size_t FlowsNotIn(FlowState aState) const
  {
    return static_cast<size_t>(std::count_if(
      m_net.Flows().begin(), m_net.Flows().end(), [&](const FakeFlow& aFlow) {
        return aFlow.m_state != aState;
      }));
  }

  FakeFlowNet m_net{ 5 };
  std::vector<uint32_t> m_serversInA;
};

Subscribe
SubscriptionWith(const EvacuationSet& aSet)
{
  Subscribe message;
  message.m_reportedTag = ServiceTag("desk");
  message.m_evacuations = aSet;
  return message;
}

StoreWatcher::Objects
Objects(const std::vector<std::pair<std::string, std::string>>& aContents)
{
  StoreWatcher::Objects objects;
  for (const auto& [name, content] : aContents) {
    objects[name] = { name, { 1, 5 }, content };
  }
  return objects;
}

} // namespace

// The balancer that gets all packets is told nothing by the store, as when its
// watch is silent, and by the agents' reports only later. Until then the agents
// return its SYN packets.
Test(Evacuations, HoldAtABalancerThatLearnsLate)
{
  TwoDomains domains;
  domains.m_net.SetRotation({ 1 });
  domains.OpenFlowsFor(Milliseconds(200));
  cr_assert_gt(domains.SynCountInA(), 0);
  domains.m_net.m_relaysEvacuations = false;
  domains.Tell(0, kEvacuatedA);
  domains.OpenFlowsFor(Milliseconds(500));
  uint32_t before = domains.SynCountInA();
  uint64_t returned = domains.m_net.ReturnCount();
  domains.OpenFlowsFor(Seconds(1));
  cr_assert_gt(domains.m_net.ReturnCount(), returned);
  domains.m_net.m_relaysEvacuations = true;
  domains.OpenFlowsFor(Seconds(2));
  returned = domains.m_net.ReturnCount();
  domains.OpenFlowsFor(Seconds(1));
  cr_assert_eq(domains.m_net.ReturnCount(), returned);
  cr_assert_eq(domains.SynCountInA(), before);
  domains.m_net.RunFor(Seconds(2));
  cr_assert_eq(domains.FlowsNotIn(FlowState::Answered), 0);
}

// Every agent of a large domain would otherwise be tried in turn, until the
// flow is refused although another domain has free servers.
Test(Evacuations, ReturnedFlowLeavesTheDomainAtOnce)
{
  FlowBalancer balancer("a", 1);
  balancer.SetRoutes(DeskRoutes());
  std::vector<AgentEntry> entries = { { "desk", "b", { 99, 8000 } } };
  for (uint32_t ip = 1; ip <= 20; ++ip) {
    entries.push_back({ "desk", "a", { ip, 8000 } });
  }
  balancer.Agents().SetListed(kStart, { 1, 1 }, entries);
  PacketHeader syn = SynPacket();
  uint32_t first = balancer.OnCallerPacket(kStart, syn, {})[0].m_agentIp;
  cr_assert_neq(first, 99);
  const BalancerStep& second = balancer.OnReturnedPacket(
    kStart, syn, {}, first, ReturnReason::Evacuated)[0];
  cr_assert(second.m_reason == FlowReason::PlacedAgain);
  cr_assert_eq(second.m_agentIp, 99);
}

// A restarted balancer has neither the set of before nor a stale one in the
// end: the domain takes flows again from every balancer.
Test(Evacuations, EndWithinASecondInWhichABalancerRestarts)
{
  TwoDomains domains;
  domains.Tell(0, kEvacuatedA);
  domains.Tell(1, kEvacuatedA);
  domains.m_net.RunFor(Milliseconds(300));
  uint32_t before = domains.SynCountInA();
  domains.m_net.RestartBalancer(0);
  domains.m_net.Balancer(0).RequireEvacuations();
  domains.OpenFlowsFor(Milliseconds(300));
  cr_assert_eq(domains.SynCountInA(), before);
  domains.Tell(0, kReturned);
  domains.m_net.RunFor(Milliseconds(400));
  domains.Tell(1, kEvacuatedA);
  domains.m_net.SetRotation({ 1 });
  domains.OpenFlowsFor(Milliseconds(200));
  domains.m_net.RunFor(Seconds(2));
  cr_assert_gt(domains.SynCountInA(), before);
  cr_assert_eq(domains.FlowsNotIn(FlowState::Answered), 0);
}

// Without a set, a restarted balancer cannot tell which domains are evacuated.
Test(Evacuations, MustBeKnownBeforeFlowsArePlaced)
{
  FlowBalancer balancer("a", 1);
  balancer.RequireEvacuations();
  balancer.SetRoutes(DeskRoutes());
  AgentReport report = ReadyReport({ 1, 8000 }, "a");
  balancer.Agents().SetListed(
    kStart, { 1, 1 }, { { "desk", "a", { 1, 8000 } } });
  balancer.Agents().OnReport(kStart, report);
  balancer.OnTick(kStart);
  cr_assert_not(balancer.IsReady(kStart));
  cr_assert(balancer.OnCallerPacket(kStart, SynPacket(), {})[0].m_reason ==
            FlowReason::NotYetLoaded);
  report.m_evacuations = kNone;
  balancer.Agents().OnReport(kStart, report);
  cr_assert(balancer.IsReady(kStart));
  cr_assert(balancer.OnCallerPacket(kStart, SynPacket(), {})[0].m_reason ==
            FlowReason::Placed);
}

// SYN packets that arrived during a pause are read before the message that
// tells of an evacuation.
Test(Evacuations, AreNotJudgedByTheStateBeforeALongPause)
{
  FlowBalancer balancer("a", 1);
  balancer.SetRoutes(DeskRoutes());
  AgentReport report = ReadyReport({ 1, 8000 }, "a");
  report.m_evacuations = kNone;
  balancer.Agents().SetListed(
    kStart, { 1, 1 }, { { "desk", "a", { 1, 8000 } } });
  balancer.Agents().OnReport(kStart, report);
  balancer.OnTick(kStart);
  FullServer server(2);
  server.Agent().OnSubscribe(kStart, 7, SubscriptionWith(kNone));
  TimePoint resumed = kStart + Seconds(6);
  auto reason = [&](Duration aAfter) {
    return balancer.OnCallerPacket(resumed + aAfter, SynPacket(), {})[0]
      .m_reason;
  };
  cr_assert(reason(Duration(0)) == FlowReason::NotYetLoaded);
  cr_assert(reason(Evacuations::kRefreshTime) == FlowReason::Placed);
  server.Agent().OnTick(kStart);
  PacketHeader syn = SynPacket();
  AgentDecision decision =
    server.Agent().OnBalancerPacket(resumed, syn, {}, kFirstBalancer);
  cr_assert(decision.m_reason == ReturnReason::Starting);
}

// A caller gets its reset at once instead of retransmitting until its deadline,
// and flows that are open finish where they are.
Test(Evacuations, OfAllDomainsRefuseNewFlowsOnly)
{
  TwoDomains domains;
  domains.m_net.m_requestTime = Milliseconds(400);
  size_t open = domains.m_net.OpenFlow(kDeskAddress);
  domains.m_net.RunFor(Milliseconds(100));
  domains.Tell(0, { { 1, 20 }, { "a", "b", "empty" } });
  domains.Tell(1, { { 1, 20 }, { "a", "b", "empty" } });
  size_t refused = domains.m_net.OpenFlow(kDeskAddress);
  domains.m_net.RunFor(Milliseconds(10));
  cr_assert(domains.m_net.Flow(refused).m_state == FlowState::Reset);
  cr_assert_eq(domains.m_net.Balancer(0).ReasonCount(FlowReason::Evacuated) +
                 domains.m_net.Balancer(1).ReasonCount(FlowReason::Evacuated),
               1);
  domains.m_net.RunFor(Seconds(1));
  cr_assert(domains.m_net.Flow(open).m_state == FlowState::Answered);
}

// Queued SYN packets would otherwise reach the server long after the
// evacuation.
Test(Evacuations, AgentReturnsNewAndQueuedSynPackets)
{
  FullServer server(2);
  cr_assert(server.Open(50, 0) == FlowAgentAction::Queue);
  server.Agent().OnSubscribe(kStart, 7, SubscriptionWith(kEvacuatedA));
  std::vector<DequeuedSyn> returned = server.TakeDequeuedSyns();
  cr_assert_eq(returned.size(), 1);
  cr_assert(returned[0].m_decision.m_action == FlowAgentAction::Return);
  cr_assert(returned[0].m_decision.m_reason == ReturnReason::Evacuated);
  cr_assert(server.Open(51, 0) == FlowAgentAction::Return);
  // The server has this flow already.
  cr_assert(server.Open(1, 1) == FlowAgentAction::Deliver);
}

// The copy from which a store was restored may be older than the evacuation.
Test(Evacuations, StayForAWhileAfterARestorationThatLostThem)
{
  Evacuations evacuations;
  evacuations.Update(kStart, { { 1, 70 }, { "lost", "named", "rewritten" } });
  evacuations.TakeChanges(kStart);
  cr_assert(evacuations.Update(kStart, { { 2, 40 }, { "named" } }));
  cr_assert(
    evacuations.Update(kStart, { { 2, 41 }, { "named", "rewritten" } }));
  cr_assert(evacuations.Update(kStart, { { 2, 42 }, {} }));
  cr_assert_not(evacuations.Update(kStart, { { 1, 99 }, { "named" } }));
  TimePoint end = kStart + Evacuations::kRestoredGracePeriod;
  EvacuationChanges kept = evacuations.TakeChanges(kStart);
  cr_assert(kept.m_kept == std::vector<std::string>({ "lost", "rewritten" }));
  cr_assert(evacuations.InForce(end - Milliseconds(1)) ==
            std::vector<std::string>{ "lost" });
  cr_assert_not(evacuations.Contains(end, "lost"));
  cr_assert(evacuations.TakeChanges(end).m_lapsed ==
            std::vector<std::string>{ "lost" });
}

// An unreadable object must neither hide the others nor return a domain to
// service, and is logged once.
Test(Evacuations, SurviveUnreadableAndUnknownObjects)
{
  EvacuationReader reader;
  reader.Read(Objects({ { "a", "{}" } }), { 1, 5 });
  auto objects = Objects(
    { { "a", "7" }, { "b", "[" }, { "c", "null" }, { "nowhere", "{}" } });
  EvacuationReading reading = reader.Read(objects, { 1, 6 });
  cr_assert(reading.m_set ==
            (EvacuationSet{ { 1, 6 }, { "a", "c", "nowhere" } }));
  cr_assert(reading.m_rejected == std::vector<std::string>({ "a", "b" }));
  cr_assert(reader.Read(objects, { 1, 7 }).m_rejected.empty());
  AgentList agents("a");
  agents.EvacuatedDomains().Update(kStart, reading.m_set);
  cr_assert(agents.EvacuatedWithoutAgents().empty());
  agents.SetListed(kStart,
                   { 1, 1 },
                   { { "desk", "a", { 1, 8000 } }, { "desk", "c", { 2, 1 } } });
  cr_assert(agents.EvacuatedWithoutAgents() ==
            std::vector<std::string>{ "nowhere" });
}

// Positions rise with every write to the store, so passing each of them on
// would cost a message to every agent.
Test(Evacuations, ArePassedOnOnlyWhenDomainsChange)
{
  AgentList agents("a");
  agents.SetListed(kStart, { 1, 1 }, { { "desk", "a", { 1, 8000 } } });
  auto countAt = [&](Duration aTime) {
    return TakeDueSubscriptions(kStart + aTime, agents, {}, {}).size();
  };
  cr_assert_eq(countAt(Milliseconds(0)), 1);
  agents.EvacuatedDomains().Update(kStart, kEvacuatedA);
  cr_assert_eq(countAt(Milliseconds(200)), 1);
  agents.EvacuatedDomains().Update(kStart, { { 1, 25 }, { "a" } });
  cr_assert_eq(countAt(Milliseconds(250)), 0);

  ReportSchedule schedule(ReadyReport({ 1, 8000 }, "a"), kStart);
  schedule.OnSubscribe(kStart, kFirstBalancer, SubscriptionWith(kEvacuatedA));
  schedule.OnSubscribe(
    kStart, kSecondBalancer, SubscriptionWith({ { 1, 15 }, { "a" } }));
  cr_assert(
    schedule.OnTick(kStart + Seconds(1), {}).m_reportRecipients.empty());
  schedule.OnSubscribe(
    kStart + Seconds(1), kSecondBalancer, SubscriptionWith(kNone));
  DueReports due = schedule.OnTick(kStart + Seconds(2), {});
  cr_assert(due.m_reportRecipients == std::vector<uint32_t>{ kSecondBalancer });
  cr_assert(due.m_report.m_evacuations == kEvacuatedA);
}

// Processes of earlier builds send no set, and where the feature is off the
// messages are those of earlier builds.
Test(Evacuations, AreUnknownInMessagesWithoutThem)
{
  std::string without = EncodeFlowMessage(SubscriptionWith({}));
  std::string with = EncodeFlowMessage(SubscriptionWith(kNone));
  cr_assert_lt(without.size(), with.size());
  auto decoded = [](const std::string& aBytes) {
    return std::get<Subscribe>(*DecodeFlowMessage(aBytes, "peer"))
      .m_evacuations;
  };
  cr_assert_not(decoded(without).IsKnown());
  cr_assert(decoded(with) == kNone);
  PeerSnapshot snapshot;
  auto copy = [&] {
    return DecodeSnapshot(EncodeSnapshot(snapshot).dump(), "peer")
      ->m_evacuations;
  };
  cr_assert_not(copy().IsKnown());
  snapshot.m_evacuations = kEvacuatedA;
  cr_assert(copy() == kEvacuatedA);
}
