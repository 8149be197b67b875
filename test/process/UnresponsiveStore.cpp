#include "AgentEntryCodec.h"
#include "BuildFolder.h"
#include "FlowCluster.h"
#include "StoreClient.h"
#include "WaitForStore.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryfield;

TestSuite(UnresponsiveStore, .fini = Process::KillAll);

namespace {

bool
WaitUntilAllReady(FlowCluster& aCluster, size_t aBalancers, Duration aTimeout)
{
  TimePoint deadline = EventLoop::Now() + aTimeout;
  while (EventLoop::Now() < deadline) {
    size_t ready = 0;
    for (size_t i = 0; i < aBalancers; ++i) {
      std::optional<nlohmann::json> status = aCluster.StatusOf(i);
      ready += status && status->at("ready").get<bool>() ? 1 : 0;
    }
    if (ready == aBalancers) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

} // namespace

// After a power loss the balancers start with no routes or agents while the
// store may still be unresponsive; calls made during that time are never
// answered. Waiting for their full timeout would delay readiness after the
// store has recovered.
Test(UnresponsiveStore, BalancersBecomeReadySoonAfterItRecovers)
{
  constexpr size_t kBalancers = 2;
  FlowCluster cluster(BuildFolder(), kBalancers, 2);
  cluster.Start();
  cr_assert(WaitUntilAllReady(cluster, kBalancers, Seconds(5)));
  cluster.Link().SetMode(LinkMode::Swallow);
  for (size_t i = 0; i < kBalancers; ++i) {
    cluster.Balancer(i).Kill();
  }
  for (size_t i = 0; i < kBalancers; ++i) {
    cluster.StartBalancer(i);
  }
  std::this_thread::sleep_for(Milliseconds(300));
  cluster.Link().SetMode(LinkMode::Pass);
  cr_assert(WaitUntilAllReady(cluster, kBalancers, Milliseconds(800)));
}

// An agent flushes its journal before it exits. With an unresponsive store the
// flush must not exceed the shutdown limit: the platform would kill the agent,
// and the VM could not be released until then.
Test(UnresponsiveStore, DoesNotDelayAnAgentBeyondItsShutdownLimit)
{
  FlowCluster cluster(BuildFolder(), 1, 1);
  cluster.m_shutdownLimit = Milliseconds(600);
  cluster.Start();
  FlowCallers callers(
    cluster.CallerListen(), cluster.Targets(), { FlowCluster::Service() });
  cr_assert(callers.WaitForReady(1));
  callers.Start(Milliseconds(10));
  std::this_thread::sleep_for(Milliseconds(500));
  cr_assert_gt(callers.Stop().m_answered, 10);
  cluster.Link().SetMode(LinkMode::Swallow);
  TimePoint start = EventLoop::Now();
  cluster.Agent(0).Signal(SIGTERM);
  cr_assert_eq(cluster.Agent(0).Wait(), 0);
  Duration elapsed = EventLoop::Now() - start;
  constexpr Duration kTolerance = Milliseconds(300);
  cr_assert_lt(
    elapsed, cluster.m_shutdownLimit + kTolerance, "%ld us", elapsed.count());
}

// The event of a new agent is lost on a connection that stays open. A balancer
// that starts later lists the agent, and agents pass the newer position on.
Test(UnresponsiveStore, DoesNotHideANewAgentThatAnotherBalancerKnows)
{
  FlowCluster cluster(BuildFolder(), 2, 1);
  cluster.Start();
  cr_assert(WaitUntilAllReady(cluster, 2, Seconds(5)));
  std::this_thread::sleep_for(Milliseconds(500));
  cluster.Link().SetMode(LinkMode::Swallow);
  StoreClient store(cluster.StoreAddress());
  AgentEntry entry{ "desk", "a", { 0x7F020008, 8000 } };
  auto written = WaitForStore<StoreWrite>([&](auto aOnEnd) {
    store.Create(kAgentKind, "127.2.0.8", ToJson(entry), aOnEnd);
  });
  cr_assert(written.has_value());
  std::this_thread::sleep_for(Milliseconds(300));
  cluster.Link().SetMode(LinkMode::Pass);
  cluster.Balancer(1).Kill();
  cluster.StartBalancer(1);
  auto isKnown = [&] {
    auto status = cluster.StatusOf(0);
    return status && status->at("agents").size() == 2;
  };
  TimePoint deadline = EventLoop::Now() + Seconds(3);
  while (!isKnown() && EventLoop::Now() < deadline) {
    std::this_thread::sleep_for(Milliseconds(20));
  }
  cr_assert(isKnown());
}
