#include "FlowAgent.h"
#include "FlowBalancer.h"
#include "FlowSamples.h"
#include "PauseDetector.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kAgent = 0x0A010001;
constexpr uint32_t kBalancer = 0x0A000001;
const Endpoint kPackets{ kAgent, 8000 };

std::unique_ptr<FlowBalancer>
BalancerWithAnAgent()
{
  auto balancer = std::make_unique<FlowBalancer>("a", 1);
  balancer->SetRoutes(DeskRoutes());
  balancer->Agents().SetListed(kStart, { 1, 1 }, { { "desk", "a", kPackets } });
  balancer->Agents().OnSubscribed(kStart, kAgent, Subscribe{});
  balancer->Agents().OnReport(kStart, ReadyReport(kPackets, "a"));
  balancer->OnTick(kStart);
  return balancer;
}

std::unique_ptr<FlowAgent>
AgentWithAServer()
{
  FlowAgentOptions options;
  options.m_service = "desk";
  options.m_heartbeatEvery = Milliseconds(200);
  auto agent = std::make_unique<FlowAgent>(options, kStart);
  agent->OnHeartbeat(kStart, { "s", 1, 1, "desk", {}, 4, false, {} });
  agent->OnTick(kStart);
  return agent;
}

} // namespace

// After a pause, the callers' packets received meanwhile are processed before
// the first tick and before the agents' reports received meanwhile. The agents
// then look silent, although only the balancer was paused.
Test(ProcessPauses, BalancerForwardsANewFlowAfterAPause)
{
  auto balancer = BalancerWithAnAgent();
  TimePoint resumed = kStart + Milliseconds(438);
  const auto& steps = balancer->OnCallerPacket(resumed, SynPacket(), {});
  cr_assert_eq(steps.size(), 1);
  cr_assert(steps.front().m_action == FlowBalancerAction::Forward);
}

// Without a pause, the same time without a report means that the agent failed.
Test(ProcessPauses, BalancerWithoutAPauseResetsANewFlowWhenTheAgentIsSilent)
{
  auto balancer = BalancerWithAnAgent();
  TimePoint now = kStart;
  for (; now < kStart + Milliseconds(438); now += FlowBalancer::kTick) {
    balancer->OnTick(now);
  }
  const auto& steps = balancer->OnCallerPacket(now, SynPacket(), {});
  cr_assert(steps.front().m_action == FlowBalancerAction::Reset);
}

Test(ProcessPauses, AgentKeepsItsServerReadyAfterAPause)
{
  auto agent = AgentWithAServer();
  agent->OnBalancerPacket(kStart, SynPacket(), {}, kBalancer);
  TimePoint resumed = kStart + Seconds(3);
  cr_assert(agent->TakeUnansweredSyns(resumed).empty());
  cr_assert(agent->Condition(resumed) == ServerCondition::Ready);
}

Test(ProcessPauses, AgentDeliversANewFlowAfterAPause)
{
  auto agent = AgentWithAServer();
  TimePoint resumed = kStart + Seconds(3);
  AgentDecision decision =
    agent->OnBalancerPacket(resumed, SynPacket(), {}, kBalancer);
  cr_assert(decision.m_action == FlowAgentAction::Deliver);
}

Test(ProcessPauses, AgentReturnsASynThatStaysUnansweredAfterAPause)
{
  auto agent = AgentWithAServer();
  agent->OnBalancerPacket(kStart, SynPacket(), {}, kBalancer);
  TimePoint now = kStart + Seconds(3);
  agent->OnTick(now);
  cr_assert(agent->TakeUnansweredSyns(now).empty());
  now += Milliseconds(100);
  cr_assert_eq(agent->TakeUnansweredSyns(now).size(), 1);
}
