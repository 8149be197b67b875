#include "FakeFlowNet.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kCurrentAgent = 0x0A010001;
constexpr uint32_t kOtherAgent = 0x0A010002;
constexpr uint32_t kAckNumber = 5'001;

RouteTablePointer
RoutesTo(uint64_t aVersion, const std::vector<std::string>& aServices)
{
  auto routes = std::make_shared<RouteTable>();
  routes->m_version = aVersion;
  if (!aServices.empty()) {
    Route route{ "desk", kDeskAddress, {}, 1, {} };
    for (const std::string& service : aServices) {
      route.m_targets.push_back({ service, 1 });
    }
    routes->m_routes[kDeskAddress] = route;
  }
  return routes;
}

/** A balancer with an agent of "desk" and one of "desk-next". Neither server is
 * known to have the flow whose packet arrives. */
struct SearchingBalancer
{
  SearchingBalancer()
  {
    m_balancer.EnableLostFlowResets();
    m_balancer.Agents().SetListed(
      m_now,
      { 1, 1 },
      { { "desk-next", "a", { kCurrentAgent, 8000 } },
        { "desk", "a", { kOtherAgent, 8000 } } });
    RunFor(Seconds(1));
  }

  void RunFor(Duration aTime)
  {
    for (TimePoint end = m_now + aTime; m_now < end;
         m_now += FlowBalancer::kTick) {
      m_balancer.SetAgentsCurrent(m_now, true);
      Record(m_balancer.OnTick(m_now));
    }
  }

  void SendPacket()
  {
    PacketHeader header = SynPacket();
    header.m_flags = kAck;
    header.m_ack = kAckNumber;
    header.m_length = 100;
    std::vector<uint8_t> bytes(8);
    Record(m_balancer.OnCallerPacket(m_now, header, bytes));
  }

  void Answer(uint32_t aAgentIp, FlowOwnership aOwnership)
  {
    FlowKey flow = SynPacket().FlowFromCaller();
    Record(m_balancer.OnAnswer(m_now, aAgentIp, { flow, aOwnership }));
  }

  void Record(const std::vector<BalancerStep>& aSteps)
  {
    for (const BalancerStep& step : aSteps) {
      m_queried.insert(step.m_queriedAgents.begin(),
                       step.m_queriedAgents.end());
      m_resets += step.m_action == FlowBalancerAction::Reset ? 1 : 0;
      if (step.m_action == FlowBalancerAction::Forward) {
        m_forwardedTo = step.m_agentIp;
      }
    }
  }

  TimePoint m_now{ Seconds(100) };
  FlowBalancer m_balancer{ "a", 1 };
  std::set<uint32_t> m_queried;
  size_t m_resets = 0;
  uint32_t m_forwardedTo = 0;
};

} // namespace

// Guards against resets of open flows by balancers that started after the
// flows' route was moved to another service.
Test(MovedRoutes, OpenFlowsOutliveARestartOfTheBalancers)
{
  FakeFlowNet net(1);
  net.m_resetsLostFlows = true;
  net.m_requestTime = Seconds(20);
  for (int i = 0; i < 3; ++i) {
    net.AddBalancer("a");
    net.AddServer("desk", "a", 50);
    net.AddServer("desk-next", "a", 50);
  }
  net.SetRoutes({ { "r", kDeskAddress, { { "desk", 1 } }, 1, {} } });
  net.RunFor(Seconds(2));
  for (int i = 0; i < 30; ++i) {
    net.OpenFlow(kDeskAddress);
    net.RunFor(Milliseconds(5));
  }
  net.RunFor(Seconds(1));
  net.SetRoutes({ { "r", kDeskAddress, { { "desk-next", 1 } }, 1, {} } });
  net.RunFor(Seconds(1));
  for (size_t i = 0; i < 3; ++i) {
    net.RestartBalancer(i);
    for (size_t flow = 0; flow < net.Flows().size(); ++flow) {
      net.RepeatRequest(flow);
    }
    net.RunFor(Milliseconds(1300));
  }
  net.RunFor(Seconds(20));
  for (const FakeFlow& flow : net.Flows()) {
    cr_assert(flow.m_state == FlowState::Answered,
              "a flow ended in state %d",
              static_cast<int>(flow.m_state));
    cr_assert(net.ServiceOf(flow.m_server) == "desk");
  }
}

// Guards against a reset by a balancer that never saw the version of the routes
// under which another one placed the flow.
Test(MovedRoutes, AFlowOfASkippedVersionIsFound)
{
  SearchingBalancer site;
  site.m_balancer.SetRoutes(RoutesTo(1, { "desk-next" }));
  site.m_balancer.SetRoutes(RoutesTo(3, { "desk-next" }));
  site.SendPacket();
  site.Answer(kCurrentAgent, FlowOwnership::No);
  cr_assert_eq(site.m_resets, 0);
  cr_assert(site.m_queried.contains(kOtherAgent));
  site.Answer(kOtherAgent, FlowOwnership::Yes);
  cr_assert_eq(site.m_forwardedTo, kOtherAgent);
}

// Guards against a reset of a flow whose route is in a newer version than this
// balancer has.
Test(MovedRoutes, AFlowWithoutARouteIsSearchedFor)
{
  SearchingBalancer site;
  site.m_balancer.SetRoutes(RoutesTo(1, {}));
  site.SendPacket();
  cr_assert_eq(site.m_resets, 0);
  site.Answer(kCurrentAgent, FlowOwnership::No);
  site.Answer(kOtherAgent, FlowOwnership::Yes);
  cr_assert_eq(site.m_forwardedTo, kOtherAgent);
  // The flow is known now.
  site.m_forwardedTo = 0;
  site.SendPacket();
  cr_assert_eq(site.m_forwardedTo, kOtherAgent);
}

// Guards against callers that wait for a flow that no server has.
Test(MovedRoutes, AFlowThatAllAgentsDenyIsResetAtOnce)
{
  for (const std::vector<std::string>& services :
       { std::vector<std::string>{ "desk-next" }, {} }) {
    SearchingBalancer site;
    site.m_balancer.SetRoutes(RoutesTo(1, services));
    site.SendPacket();
    site.Answer(kCurrentAgent, FlowOwnership::No);
    cr_assert_eq(site.m_resets, 0);
    site.Answer(kOtherAgent, FlowOwnership::No);
    cr_assert_eq(site.m_resets, 1);
  }
}

// Guards against searches for flows that the operator has ended.
Test(MovedRoutes, AFlowOfADroppedRouteIsResetAtOnce)
{
  SearchingBalancer site;
  site.m_balancer.SetRoutes(RoutesTo(1, { "desk" }));
  site.m_balancer.SetRoutes(RoutesTo(2, {}));
  site.SendPacket();
  cr_assert_eq(site.m_resets, 1);
  cr_assert(site.m_queried.empty());
}

// Guards against a reset of a flow at an agent that became known while the
// others were being asked.
Test(MovedRoutes, AnAgentThatIsListedDuringASearchIsAskedBeforeAReset)
{
  SearchingBalancer site;
  site.m_balancer.SetRoutes(RoutesTo(1, { "desk-next" }));
  site.SendPacket();
  constexpr uint32_t kNewAgent = 0x0A010003;
  site.m_balancer.Agents().OnReport(site.m_now,
                                    ReadyReport({ kNewAgent, 8000 }, "a"));
  site.Answer(kCurrentAgent, FlowOwnership::No);
  site.Answer(kOtherAgent, FlowOwnership::No);
  cr_assert_eq(site.m_resets, 0);
  site.RunFor(FlowBalancer::kTick);
  site.SendPacket();
  site.Answer(kNewAgent, FlowOwnership::No);
  cr_assert(site.m_queried.contains(kNewAgent));
  cr_assert_eq(site.m_resets, 1);
}

// Guards against a return for another reason than the flow counting as proof
// that the flow is elsewhere. The balancer's entry of the agent is outdated.
Test(MovedRoutes, AnAgentOfAnotherServiceHasNotDeniedTheFlow)
{
  SearchingBalancer site;
  site.m_balancer.SetRoutes(RoutesTo(1, { "desk-next" }));
  PacketHeader header = SynPacket();
  header.m_flags = kAck;
  header.m_ack = kAckNumber;
  std::vector<uint8_t> bytes(8);
  site.Record(site.m_balancer.OnReturnedPacket(
    site.m_now, header, bytes, kCurrentAgent, ReturnReason::WrongService));
  cr_assert(site.m_queried.contains(kCurrentAgent));
}

// Guards against flows that are run as an earlier version of the routes says,
// after the newer one has had effect: the copy of a SYN packet stayed at the
// agent of its first transmission.
Test(MovedRoutes, ACopyOfASynPacketIsPlacedUnderTheRouteInForce)
{
  SearchingBalancer site;
  site.m_balancer.SetRoutes(RoutesTo(1, { "desk" }));
  const std::map<uint32_t, std::string> kServices = {
    { kOtherAgent, "desk" }, { kCurrentAgent, "desk-next" }
  };
  for (const auto& [ip, service] : kServices) {
    site.m_balancer.Agents().OnReport(site.m_now, ReportOf(service, ip));
  }
  PacketHeader syn = SynPacket();
  site.Record(site.m_balancer.OnCallerPacket(site.m_now, syn, {}));
  cr_assert_eq(site.m_forwardedTo, kOtherAgent);
  site.m_balancer.SetRoutes(RoutesTo(2, { "desk-next" }));
  site.m_now += Milliseconds(200);
  syn.m_ack = 1;
  site.Record(site.m_balancer.OnCallerPacket(site.m_now, syn, {}));
  cr_assert_eq(site.m_forwardedTo, kCurrentAgent);
}

// Guards against a reset by a balancer that has just restarted and gets back a
// packet that its earlier process forwarded.
Test(MovedRoutes, AReturnedPacketIsDroppedBeforeTheRoutesAreLoaded)
{
  FlowBalancer balancer("a", 1);
  PacketHeader header = SynPacket();
  header.m_flags = kAck;
  std::vector<uint8_t> bytes(8);
  const auto& steps = balancer.OnReturnedPacket(TimePoint(Seconds(100)),
                                                header,
                                                bytes,
                                                kCurrentAgent,
                                                ReturnReason::NotOwner);
  cr_assert(steps.front().m_action == FlowBalancerAction::Drop);
}
