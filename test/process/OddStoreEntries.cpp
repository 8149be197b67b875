#include "AgentEntryCodec.h"
#include "BuildFolder.h"
#include "FlowCluster.h"
#include "StoreClient.h"
#include "WaitForStore.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

TestSuite(OddStoreEntries, .fini = Process::KillAll);

namespace {

void
WriteObject(FlowCluster& aCluster,
            const std::string& aName,
            const nlohmann::json& aContent)
{
  StoreClient store(aCluster.StoreAddress());
  auto written = WaitForStore<StoreWrite>(
    [&](auto aOnEnd) { store.Create(kAgentKind, aName, aContent, aOnEnd); });
  cr_assert(written.has_value());
}

bool
WaitForAgent(FlowCluster& aCluster, size_t aBalancer, const std::string& aIp)
{
  TimePoint deadline = EventLoop::Now() + Seconds(3);
  while (EventLoop::Now() < deadline) {
    auto status = aCluster.StatusOf(aBalancer);
    nlohmann::json agents =
      status ? status->at("agents") : nlohmann::json::array();
    for (const nlohmann::json& agent : agents) {
      if (agent.at("agent") == aIp) {
        return true;
      }
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

void
WriteAgent(FlowCluster& aCluster, const std::string& aIp)
{
  WriteObject(aCluster,
              aIp,
              { { "service", "desk" },
                { "failure_domain", "a" },
                { "packets", aIp + ":8000" } });
}

} // namespace

// Guards against balancers that no longer learn of new agents, because another
// writer has left a deeply nested entry in the store.
Test(OddStoreEntries, BalancersKeepFollowingTheAgents)
{
  FlowCluster cluster(BuildFolder(), 2, 1);
  cluster.Start();
  WriteAgent(cluster, "127.9.0.1");
  cr_assert(WaitForAgent(cluster, 0, "127.9.0.1"));
  constexpr int kDepth = 3000;
  nlohmann::json nested;
  for (int i = 0; i < kDepth; ++i) {
    nested = nlohmann::json::array({ std::move(nested) });
  }
  WriteObject(cluster, "odd", nested);
  WriteAgent(cluster, "127.9.0.2");
  cr_assert(WaitForAgent(cluster, 0, "127.9.0.2"), "a watch stopped");
  cluster.Balancer(1).Kill();
  cluster.StartBalancer(1);
  cr_assert(WaitForAgent(cluster, 1, "127.9.0.2"), "a listing failed");
  cr_assert(cluster.EndedByThemselves().empty());
}
