#include "EvacuationReader.h"
#include "FakeFlowNet.h"
#include "FlowCodec.h"
#include "FlowSamples.h"
#include "FullServer.h"
#include "PeerSync.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

using Names = std::vector<std::string>;

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kServerInB = 99;
const EvacuationSet kNone{ { 1, 10 }, {} };
const EvacuationSet kEvacuatedA{ { 1, 20 }, { "a" } };

/** Two balancers and a server in domain a, and a server in domain b. */
struct TwoDomains
{
  TwoDomains()
  {
    for (size_t i = 0; i < 2; ++i) {
      m_net.AddBalancer("a");
      Tell(i, kNone);
    }
    m_net.AddServer("desk", "b", 12);
    m_net.SetRoutes({ DeskRoutes()->m_routes.at(kDeskAddress) });
    m_net.RunFor(Seconds(2));
  }

  void Tell(size_t aBalancer, const EvacuationSet& aSet)
  {
    AgentList& agents = m_net.Balancer(aBalancer).Agents();
    agents.EvacuatedDomains().Update(m_net.Now(), aSet);
  }

  void OpenFlowsFor(Duration aTime)
  {
    for (TimePoint end = m_net.Now() + aTime; m_net.Now() < end;) {
      m_net.OpenFlow(kDeskAddress);
      m_net.RunFor(Milliseconds(4));
    }
  }

  uint32_t SynCountInA() const { return m_net.SynCountAt(m_serverInA); }

  void CheckAllAnswered()
  {
    m_net.RunFor(Seconds(2));
    for (const FakeFlow& flow : m_net.Flows()) {
      cr_assert(flow.m_state == FlowState::Answered);
    }
  }

  FakeFlowNet m_net{ 5 };
  uint32_t m_serverInA = m_net.AddServer("desk", "a", 12);
};

/** A balancer in domain a with 20 servers there, the first of which reports a
 * set, and one server in domain b. */
struct DeskBalancer : FlowBalancer
{
  explicit DeskBalancer(const EvacuationSet& aSet)
    : FlowBalancer("a", 1)
  {
    RequireEvacuations();
    SetRoutes(DeskRoutes());
    std::vector<AgentEntry> entries = { { "desk", "b", { kServerInB, 8000 } } };
    for (uint32_t ip = 1; ip <= 20; ++ip) {
      entries.push_back({ "desk", "a", { ip, 8000 } });
    }
    Agents().SetListed(kStart, { 1, 1 }, entries);
    Report(aSet);
    OnTick(kStart);
  }

  void Report(const EvacuationSet& aSet)
  {
    AgentReport report = ReadyReport({ 1, 8000 }, "a");
    report.m_evacuations = aSet;
    Agents().OnReport(kStart, report);
  }

  BalancerStep Open(TimePoint aNow, uint32_t aSeq = 9)
  {
    PacketHeader syn = SynPacket();
    syn.m_seq = aSeq;
    return OnCallerPacket(aNow, syn, {})[0];
  }
};

Subscribe
SubscriptionWith(const EvacuationSet& aSet)
{
  Subscribe message;
  message.m_reportedTag = ServiceTag("desk");
  message.m_evacuations = aSet;
  return message;
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
  domains.OpenFlowsFor(Seconds(1));
  cr_assert_eq(domains.SynCountInA(), before);
  domains.CheckAllAnswered();
}

// A flow would otherwise be refused after eight servers of a large domain
// returned it, although another domain has free servers.
Test(Evacuations, ReturnedFlowLeavesTheDomainAtOnce)
{
  DeskBalancer balancer(kNone);
  uint32_t first = balancer.Open(kStart).m_agentIp;
  cr_assert_neq(first, kServerInB);
  const BalancerStep& second = balancer.OnReturnedPacket(
    kStart, SynPacket(), {}, first, ReturnReason::Evacuated)[0];
  cr_assert_eq(second.m_agentIp, kServerInB);
}

// A restarted balancer has no set, and later a newer one than the others: it
// must neither place flows too early nor leave the domain evacuated.
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
  domains.Tell(0, { { 1, 30 }, {} });
  domains.m_net.RunFor(Milliseconds(400));
  domains.Tell(1, kEvacuatedA);
  domains.m_net.SetRotation({ 1 });
  domains.OpenFlowsFor(Milliseconds(200));
  cr_assert_gt(domains.SynCountInA(), before);
  domains.CheckAllAnswered();
}

// A restarted balancer knows no set. After a pause, SYN packets may be read
// before the message that tells of an evacuation.
Test(Evacuations, MustBeKnownAndCurrentBeforeFlowsArePlaced)
{
  TimePoint resumed = kStart + Seconds(6);
  DeskBalancer balancer({});
  cr_assert_not(balancer.IsReady(kStart));
  cr_assert(balancer.Open(kStart).m_reason == FlowReason::NotYetLoaded);
  balancer.Report(kNone);
  cr_assert(balancer.IsReady(kStart));
  cr_assert(balancer.Open(kStart).m_reason == FlowReason::Placed);
  balancer.Agents().OnReport(resumed, ReadyReport({ 1, 8000 }, "a"));
  cr_assert(balancer.Open(resumed, 10).m_reason == FlowReason::NotYetLoaded);
  resumed += Evacuations::kRefreshTime;
  cr_assert(balancer.Open(resumed, 10).m_reason == FlowReason::Placed);
  FullServer server(2);
  server.Agent().OnSubscribe(kStart, 7, SubscriptionWith(kNone));
  server.Agent().OnTick(kStart);
  cr_assert(
    server.Agent().OnBalancerPacket(resumed, SynPacket(), {}, 7).m_reason ==
    ReturnReason::Starting);
}

// A caller gets its reset at once instead of waiting for its deadline, and open
// flows are finished.
Test(Evacuations, OfAllDomainsRefuseNewFlowsOnly)
{
  TwoDomains domains;
  domains.m_net.SetRotation({ 1 });
  domains.m_net.m_requestTime = Milliseconds(400);
  size_t open = domains.m_net.OpenFlow(kDeskAddress);
  domains.m_net.RunFor(Milliseconds(100));
  domains.Tell(1, { { 1, 20 }, { "a", "b", "empty" } });
  size_t refused = domains.m_net.OpenFlow(kDeskAddress);
  domains.m_net.RunFor(Milliseconds(10));
  cr_assert(domains.m_net.Flow(refused).m_state == FlowState::Reset);
  cr_assert_eq(domains.m_net.Balancer(1).ReasonCount(FlowReason::Evacuated), 1);
  domains.m_net.RunFor(Seconds(1));
  cr_assert(domains.m_net.Flow(open).m_state == FlowState::Answered);
}

// Queued SYN packets would reach the server long after the evacuation.
Test(Evacuations, AgentReturnsNewAndQueuedSynPackets)
{
  FullServer server(2);
  cr_assert(server.Open(50, 0) == FlowAgentAction::Queue);
  server.Agent().OnSubscribe(kStart, 7, SubscriptionWith(kEvacuatedA));
  std::vector<DequeuedPacket> returned = server.TakeDequeuedPackets();
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
  evacuations.Update(kStart, { { 2, 40 }, { "named" } });
  evacuations.Update(kStart, { { 2, 41 }, { "named", "rewritten" } });
  cr_assert(evacuations.Update(kStart, { { 2, 42 }, {} }));
  cr_assert_not(evacuations.Update(kStart, { { 1, 99 }, { "named" } }));
  TimePoint end = kStart + Evacuations::kRestoredGracePeriod;
  cr_assert(evacuations.TakeChanges(kStart).m_kept ==
            Names({ "lost", "rewritten" }));
  cr_assert(evacuations.InForce(end - Milliseconds(1)) == Names{ "lost" });
  cr_assert_not(evacuations.Contains(end, "lost"));
  cr_assert(evacuations.TakeChanges(end).m_lapsed == Names{ "lost" });
}

// An unreadable object must neither hide the others nor return a domain to
// service, and is logged once.
Test(Evacuations, SurviveUnreadableAndUnknownObjects)
{
  EvacuationReader reader;
  StoreWatcher::Objects objects = { { "b", { "b", { 1, 5 }, "{}" } } };
  reader.Read(objects, { 1, 5 });
  for (auto [name, content] : { std::pair("a", "null"),
                                std::pair("b", "7"),
                                std::pair("c", "["),
                                std::pair("nowhere", "{}") }) {
    objects[name] = { name, { 1, 6 }, content };
  }
  EvacuationReading reading = reader.Read(objects, { 1, 6 });
  cr_assert(reading.m_set.m_domains == Names({ "a", "b", "nowhere" }));
  cr_assert(reading.m_rejected == Names({ "b", "c" }));
  cr_assert(reader.Read(objects, { 1, 7 }).m_rejected.empty());
  DeskBalancer balancer(reading.m_set);
  cr_assert(balancer.Agents().EvacuatedWithoutAgents() == Names{ "nowhere" });
}

// Positions rise with every write to the store, so passing each of them on
// would cost a message to every agent.
Test(Evacuations, ArePassedOnOnlyWhenDomainsChange)
{
  AgentList agents("a");
  agents.SetListed(kStart, { 1, 1 }, { { "desk", "a", { 1, 8000 } } });
  auto subscriptionsAfter = [&](Duration aTime) {
    agents.OnReport(kStart + aTime, ReadyReport({ 1, 8000 }, "a"));
    return TakeDueSubscriptions(kStart + aTime, agents, {}, {}).size();
  };
  cr_assert_eq(subscriptionsAfter(Milliseconds(0)), 1);
  agents.EvacuatedDomains().Update(kStart, kEvacuatedA);
  cr_assert_eq(subscriptionsAfter(Milliseconds(200)), 1);
  agents.EvacuatedDomains().Update(kStart, { { 1, 25 }, { "a" } });
  cr_assert_eq(subscriptionsAfter(Milliseconds(400)), 0);

  ReportSchedule schedule(ReadyReport({ 1, 8000 }, "a"), kStart);
  schedule.OnSubscribe(kStart, 7, SubscriptionWith(kEvacuatedA));
  schedule.OnSubscribe(kStart, 8, SubscriptionWith({ { 1, 15 }, { "a" } }));
  schedule.OnSubscribe(kStart, 9, SubscriptionWith(kNone));
  DueReports due = schedule.OnTick(kStart + Seconds(1), {});
  cr_assert(due.m_reportRecipients == std::vector<uint32_t>{ 9 });
  cr_assert(due.m_report.m_evacuations == kEvacuatedA);
}

// Processes of earlier builds send no set, and where the feature is off the
// messages are those of earlier builds.
Test(Evacuations, AreUnknownInMessagesWithoutThem)
{
  for (const EvacuationSet& set : { EvacuationSet{}, kEvacuatedA }) {
    std::string message = EncodeFlowMessage(SubscriptionWith(set));
    cr_assert_eq(message.size() >
                   EncodeFlowMessage(SubscriptionWith({})).size(),
                 set.IsKnown());
    cr_assert(
      std::get<Subscribe>(*DecodeFlowMessage(message, "peer")).m_evacuations ==
      set);
    PeerSnapshot snapshot;
    snapshot.m_evacuations = set;
    nlohmann::json json = EncodeSnapshot(snapshot);
    cr_assert_eq(json.contains("evacuations"), set.IsKnown());
    cr_assert(DecodeSnapshot(json.dump(), "peer")->m_evacuations == set);
  }
}
