#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kLookups{ 0xC6120001, 443 };
const Endpoint kRenewals{ 0xC6120001, 8080 };

struct OverloadedCluster
{
  FakeFlowNet m_net{ 11 };
  std::vector<uint32_t> m_servers;

  // Four balancers and servers with four slots; renewals are more urgent.
  explicit OverloadedCluster(int aServers)
  {
    for (int i = 0; i < 4; ++i) {
      m_net.AddBalancer("a");
    }
    for (int i = 0; i < aServers; ++i) {
      m_servers.push_back(m_net.AddServer("desk", "a", 4));
    }
    m_net.SetRoutes(
      { { "lookups", kLookups, { { "desk", 1 } }, 2, Milliseconds(150) },
        { "renewals", kRenewals, { { "desk", 1 } }, 1, Milliseconds(200) } });
    m_net.RunFor(Seconds(2));
    m_net.m_requestTime = Milliseconds(40);
  }

  // Opens flows at a constant rate; every fifth is a renewal.
  void Arrive(int aCount, Duration aTime)
  {
    for (int i = 0; i < aCount; ++i) {
      m_net.OpenFlow(i % 5 == 0 ? kRenewals : kLookups);
      m_net.RunFor(aTime / aCount);
    }
  }
};

} // namespace

// Callers time out while they wait. Their remaining requests and flows must not
// block the servers for callers that still need an answer.
Test(FlowOverload, CallersThatTimedOutDoNotBlockTheServers)
{
  OverloadedCluster cluster(2);
  cluster.m_net.m_callerTimeout = Milliseconds(300);
  cluster.Arrive(600, Seconds(1));
  cluster.m_net.RunFor(Milliseconds(1500));
  size_t before = cluster.m_net.Flows().size();
  cluster.Arrive(100, Seconds(1));
  cluster.m_net.RunFor(Seconds(3));
  size_t answered = 0;
  for (size_t i = before; i < cluster.m_net.Flows().size(); ++i) {
    bool isAnswered = cluster.m_net.Flow(i).m_state == FlowState::Answered;
    answered += isAnswered ? 1 : 0;
  }
  cr_assert_eq(answered, 100, "%zu of 100 answered", answered);
}
