#include "BuildFolder.h"
#include "FlowCluster.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

TestSuite(SilentStore, .fini = Process::KillAll);

namespace {

bool
AreAllReadyWithin(FlowCluster& aCluster, size_t aBalancers, Duration aTime)
{
  TimePoint end = FlowLoop::Now() + aTime;
  while (FlowLoop::Now() < end) {
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

// After a loss of power nobody knows anything, and the store may be silent at
// first: calls from that time are never answered.
Test(SilentStore, BalancersAreReadySoonAfterItAnswersAgain)
{
  constexpr size_t kBalancers = 2;
  FlowCluster cluster(BuildFolder(), kBalancers, 2);
  cluster.Start();
  cr_assert(AreAllReadyWithin(cluster, kBalancers, Seconds(5)));
  cluster.Link().SetMode(LinkMode::Swallow);
  for (size_t i = 0; i < kBalancers; ++i) {
    cluster.Balancer(i).Kill();
  }
  for (size_t i = 0; i < kBalancers; ++i) {
    cluster.StartBalancer(i);
  }
  std::this_thread::sleep_for(Milliseconds(300));
  cluster.Link().SetMode(LinkMode::Pass);
  cr_assert(AreAllReadyWithin(cluster, kBalancers, Milliseconds(800)));
}
