#include "BuildFolder.h"
#include "FlowCluster.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryfield;

TestSuite(ColdServers, .fini = Process::KillAll);

namespace {

// Three balancers, each of which places more flows than a cold server may get
// in all.
struct ColdCluster
{
  FlowCluster m_cluster{ BuildFolder(), 3, 4 };
  std::optional<FlowCallers> m_callers;

  ColdCluster()
  {
    m_cluster.m_warmup = WarmupRule();
    m_cluster.Start();
    m_callers.emplace(m_cluster.CallerListen(),
                      m_cluster.Targets(),
                      std::vector<Endpoint>{ FlowCluster::Service() });
    cr_assert(m_callers->WaitForReady(3));
    m_callers->Start(Milliseconds(5));
    Wait(Milliseconds(500));
  }

  static void Wait(Duration aTime) { std::this_thread::sleep_for(aTime); }

  void Drain(size_t aServer)
  {
    m_cluster.Server(aServer).Signal(SIGTERM);
    cr_assert_eq(m_cluster.Server(aServer).Wait(), 0);
  }

  void CheckBound() const
  {
    size_t most = MostColdArrivals(m_cluster.Arrivals());
    cr_assert_gt(most, 0);
    cr_assert_leq(most,
                  m_cluster.m_warmup->MaxFlows(),
                  "%zu new flows in a second, %zu are permitted",
                  most,
                  m_cluster.m_warmup->MaxFlows());
  }
};

} // namespace

// Guards against balancers that each keep a bound of their own.
Test(ColdServers, AllBalancersTogetherKeepTheBound)
{
  ColdCluster loaded;
  loaded.Drain(0);
  loaded.m_cluster.StartServer(0, true);
  loaded.Wait(loaded.m_cluster.m_warmup->m_duration);
  FlowTally tally = loaded.m_callers->Stop();
  loaded.CheckBound();
  cr_assert_eq(tally.m_answered, tally.m_opened);
}

// Guards against a count that starts anew with the next incarnation.
Test(ColdServers, ServerKilledWhileColdKeepsTheBound)
{
  ColdCluster loaded;
  loaded.Drain(0);
  loaded.m_cluster.StartServer(0, true);
  loaded.Wait(Milliseconds(1000));
  loaded.m_cluster.Server(0).Kill();
  loaded.m_cluster.StartServer(0, true);
  loaded.Wait(Milliseconds(2000));
  loaded.CheckBound();
}

// Guards against an agent that forgets the flows of the last second, or the
// declared rate, when it starts.
Test(ColdServers, AgentRestartedBesideAColdServerKeepsTheBound)
{
  ColdCluster loaded;
  loaded.Drain(0);
  loaded.m_cluster.StartServer(0, true);
  loaded.Wait(Milliseconds(1000));
  loaded.m_cluster.Agent(0).Kill();
  loaded.m_cluster.StartAgent(0);
  loaded.Wait(Milliseconds(2000));
  loaded.CheckBound();
}
