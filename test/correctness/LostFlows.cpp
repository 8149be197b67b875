#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kLookups{ 0xC6120001, 443 };

struct LostFlow
{
  FakeFlowNet m_net{ 1 };
  size_t m_flow = 0;
  std::vector<uint32_t> m_servers;

  // A flow whose request is running when all servers, agents and balancers
  // restart.
  explicit LostFlow(int aServers = 4)
  {
    for (int i = 0; i < 2; ++i) {
      m_net.AddBalancer("a");
    }
    for (int i = 0; i < aServers; ++i) {
      m_servers.push_back(m_net.AddServer("desk", "a"));
    }
    m_net.SetRoutes({ { "r", kLookups, { { "desk", 1 } }, 1, {} } });
    m_net.RunFor(Seconds(2));
    m_net.m_requestTime = Seconds(1);
    m_flow = m_net.OpenFlow(kLookups);
    m_net.RunFor(Milliseconds(50));
    for (uint32_t ip : m_servers) {
      m_net.RestartServer(ip);
      m_net.RestartAgent(ip);
    }
    m_net.RestartBalancer(0);
    m_net.RestartBalancer(1);
  }
};

} // namespace

// After all processes were restarted, no agent can tell whether its server has
// a flow, so its packets are sent to the candidates in turn. They must not be
// passed around indefinitely.
Test(LostFlows, DoNotLoopBetweenAgents)
{
  LostFlow lost;
  lost.m_net.RunFor(Seconds(8));
  // Each agent returns a packet at most once.
  uint64_t most =
    lost.m_net.Flow(lost.m_flow).m_sentPackets * lost.m_servers.size();
  cr_assert_leq(lost.m_net.ReturnCount(),
                most,
                "%lu packets were returned",
                lost.m_net.ReturnCount());
}

Test(LostFlows, AreResetOnceNoAgentHasThem)
{
  LostFlow lost;
  lost.m_net.RunFor(Seconds(3));
  cr_assert(lost.m_net.Flow(lost.m_flow).m_state == FlowState::Reset);
}

// Trying one agent after another does not require further queries to the
// others.
Test(LostFlows, QueryEachAgentOncePerPacket)
{
  constexpr int kServers = 40;
  LostFlow lost(kServers);
  lost.m_net.RunFor(Seconds(3));
  const FakeFlow& flow = lost.m_net.Flow(lost.m_flow);
  cr_assert(flow.m_state == FlowState::Reset);
  cr_assert_leq(lost.m_net.QueryCount(),
                uint64_t{ flow.m_sentPackets } * kServers,
                "%lu queries for %u packets",
                lost.m_net.QueryCount(),
                flow.m_sentPackets);
}
