#include "BuildFolder.h"
#include "FlowCluster.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryfield;

TestSuite(Evacuation, .fini = Process::KillAll);

namespace {

/** Time after the acknowledgement from which no new flow reaches a server of
 * an evacuated domain. */
constexpr Duration kEvacuateBound = Seconds(5);
/** Time in which a balancer learns that a domain is back in service. */
constexpr Duration kReturnBound = Seconds(3);
/** A packet that was already on its way when its balancer learned. */
constexpr Duration kOnItsWay = Milliseconds(200);

// A balancer prefers the servers of its own domain, so the domain of balancer 0
// is evacuated.
const std::string kEvacuated = "a";
const std::string kServing = "b";

// Two failure domains with two servers each, and callers that keep opening
// flows.
struct LoadedDomains
{
  FlowCluster m_cluster;
  size_t m_balancers;
  std::optional<FlowCallers> m_callers;

  explicit LoadedDomains(size_t aBalancers)
    : m_cluster(BuildFolder(), static_cast<int>(aBalancers), 4)
    , m_balancers(aBalancers)
  {
    m_cluster.m_domains = 2;
    m_cluster.m_hasEvacuations = true;
    m_cluster.Start();
    m_callers.emplace(m_cluster.CallerListen(),
                      m_cluster.Targets(),
                      std::vector<Endpoint>{ FlowCluster::Service() });
    cr_assert(m_callers->WaitForReady(m_balancers));
    m_callers->Start(Milliseconds(10));
    Wait(Milliseconds(500));
    cr_assert_gt(Count(kEvacuated, TimePoint()), 0);
  }

  static void Wait(Duration aTime) { std::this_thread::sleep_for(aTime); }

  size_t Count(const std::string& aDomain, TimePoint aFrom) const
  {
    return m_cluster.CountArrivals(aDomain, aFrom, EventLoop::Now());
  }

  bool IsKnownEverywhere()
  {
    for (size_t i = 0; i < m_balancers; ++i) {
      auto status = m_cluster.StatusOf(i);
      if (!status ||
          status->value("evacuated_domains", nlohmann::json::array()) !=
            nlohmann::json::array({ kEvacuated })) {
        return false;
      }
    }
    return true;
  }

  // Returns the time from which no new flow may reach the domain: as soon as
  // every balancer knows, at the latest when the bound is over.
  TimePoint EvacuateAndWait()
  {
    TimePoint end = m_cluster.Evacuate(kEvacuated) + kEvacuateBound;
    while (EventLoop::Now() < end && !IsKnownEverywhere()) {
      Wait(Milliseconds(20));
    }
    return std::min(EventLoop::Now() + kOnItsWay, end);
  }

  void CheckNoneSince(TimePoint aFrom) const
  {
    cr_assert_gt(Count(kServing, aFrom), 0);
    cr_assert_eq(Count(kEvacuated, aFrom),
                 0,
                 "%zu new flows in the evacuated domain",
                 Count(kEvacuated, aFrom));
  }

  void CheckReturn()
  {
    TimePoint returned = m_cluster.ReturnToService(kEvacuated);
    while (Count(kEvacuated, returned) == 0) {
      cr_assert_lt(EventLoop::Now() - returned, kReturnBound);
      Wait(Milliseconds(50));
    }
  }

  void CheckAllAnswered()
  {
    FlowTally tally = m_callers->Stop();
    cr_assert_eq(tally.m_answered,
                 tally.m_opened,
                 "%lu opened, %lu answered",
                 tally.m_opened,
                 tally.m_answered);
  }
};

} // namespace

// Guards against balancers that never learn of the evacuation or of its end.
Test(Evacuation, EvacuatedDomainGetsNoNewFlowUntilItsReturn)
{
  LoadedDomains loaded(3);
  TimePoint bound = loaded.m_cluster.Evacuate(kEvacuated) + kEvacuateBound;
  loaded.Wait(kEvacuateBound + Seconds(1));
  loaded.CheckNoneSince(bound);
  loaded.CheckReturn();
  loaded.CheckAllAnswered();
}

// Guards against a balancer that places flows before it has read the list of
// evacuations. No other balancer serves meanwhile, so no flow is permitted.
Test(Evacuation, BalancerStartedDuringTheEvacuationPlacesNothingThere)
{
  LoadedDomains loaded(1);
  loaded.m_cluster.Evacuate(kEvacuated);
  loaded.m_cluster.Balancer(0).Kill();
  loaded.Wait(kOnItsWay);
  TimePoint started = EventLoop::Now();
  loaded.m_cluster.StartBalancer(0);
  loaded.Wait(Seconds(2));
  loaded.CheckNoneSince(started);
  loaded.CheckReturn();
}

// Guards against a balancer that loads its routes from peers but does not
// learn from them of the evacuation.
Test(Evacuation, BalancerStartedDuringAStoreOutageLearnsFromItsPeers)
{
  LoadedDomains loaded(2);
  TimePoint known = loaded.EvacuateAndWait();
  loaded.m_cluster.SetStoreOutage(true);
  loaded.m_cluster.Balancer(0).Kill();
  loaded.Wait(Milliseconds(600));
  loaded.m_cluster.StartBalancer(0);
  cr_assert(loaded.m_callers->WaitForReady(2));
  loaded.Wait(Seconds(1));
  loaded.CheckNoneSince(known);
}

// Guards against a return to service because the store lost the request. The
// operator's tool writes it again.
Test(Evacuation, StoreRestoredWithoutTheEntryEndsNoEvacuation)
{
  LoadedDomains loaded(2);
  loaded.m_cluster.CopyStore();
  TimePoint known = loaded.EvacuateAndWait();
  loaded.m_cluster.RestoreStore();
  loaded.Wait(Milliseconds(1500));
  loaded.m_cluster.Evacuate(kEvacuated);
  loaded.Wait(Milliseconds(1000));
  loaded.CheckNoneSince(known);
  loaded.CheckReturn();
  loaded.CheckAllAnswered();
}
