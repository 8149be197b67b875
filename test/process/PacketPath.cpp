#include "BuildFolder.h"
#include "FlowCluster.h"
#include "StoredJournal.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryfield;

TestSuite(PacketPath, .fini = Process::KillAll);

namespace {

// Three balancers and four servers, with callers that keep opening flows.
struct LoadedCluster
{
  FlowCluster m_cluster{ BuildFolder(), 3, 4 };
  std::optional<FlowCallers> m_callers;

  LoadedCluster()
  {
    m_cluster.Start();
    m_callers.emplace(m_cluster.CallerListen(),
                      m_cluster.Targets(),
                      std::vector<Endpoint>{ FlowCluster::Service() });
    cr_assert(m_callers->WaitForReady(3));
    m_callers->Start(Milliseconds(10));
    Wait(Milliseconds(500));
  }

  static void Wait(Duration aTime) { std::this_thread::sleep_for(aTime); }
};

void
CheckAllAnswered(const FlowTally& aTally)
{
  cr_assert_gt(aTally.m_opened, 50);
  cr_assert_eq(aTally.m_answered,
               aTally.m_opened,
               "%lu opened, %lu answered, %lu refused, %lu broken, %lu silent",
               aTally.m_opened,
               aTally.m_answered,
               aTally.m_refused,
               aTally.m_broken,
               aTally.m_silent);
}

} // namespace

Test(PacketPath, ServesFlowsEndToEnd)
{
  LoadedCluster loaded;
  loaded.Wait(Seconds(1));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenABalancerIsKilledAndRestarted)
{
  LoadedCluster loaded;
  loaded.m_cluster.Balancer(1).Kill();
  loaded.Wait(Milliseconds(700));
  loaded.m_cluster.StartBalancer(1);
  loaded.Wait(Milliseconds(1500));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenABalancerIsStopped)
{
  LoadedCluster loaded;
  loaded.m_cluster.Balancer(0).Signal(SIGTERM);
  cr_assert_eq(loaded.m_cluster.Balancer(0).Wait(), 0);
  loaded.Wait(Milliseconds(300));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenAnAgentIsKilledAndRestarted)
{
  LoadedCluster loaded;
  loaded.m_cluster.Agent(2).Kill();
  loaded.Wait(Milliseconds(300));
  loaded.m_cluster.StartAgent(2);
  loaded.Wait(Milliseconds(1500));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenAServerDrains)
{
  LoadedCluster loaded;
  loaded.m_cluster.Server(0).Signal(SIGTERM);
  cr_assert_eq(loaded.m_cluster.Server(0).Wait(), 0);
  loaded.m_cluster.Agent(0).Signal(SIGTERM);
  cr_assert_eq(loaded.m_cluster.Agent(0).Wait(), 0);
  loaded.Wait(Milliseconds(300));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, BalancerLoadsFromPeersDuringAStoreOutage)
{
  LoadedCluster loaded;
  loaded.m_cluster.SetStoreOutage(true);
  loaded.m_cluster.Balancer(2).Kill();
  loaded.Wait(Milliseconds(600));
  loaded.m_cluster.StartBalancer(2);
  cr_assert(loaded.m_callers->WaitForReady(3));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, ReloadsSettingsWithoutARestart)
{
  LoadedCluster loaded;
  loaded.m_cluster.Balancer(0).Signal(SIGHUP);
  loaded.m_cluster.Agent(0).Signal(SIGHUP);
  cr_assert(loaded.m_cluster.Balancer(0).WaitForLine("\"event\":\"reloaded\""));
  cr_assert(loaded.m_cluster.Agent(0).WaitForLine("\"event\":\"reloaded\""));
  // Flows have to be served after the reload as well.
  loaded.Wait(Milliseconds(500));
  CheckAllAnswered(loaded.m_callers->Stop());
}

Test(PacketPath, JournalRecordsTheFlowsOfAServer)
{
  LoadedCluster loaded;
  loaded.m_cluster.Server(0).Signal(SIGTERM);
  cr_assert_eq(loaded.m_cluster.Server(0).Wait(), 0);
  loaded.m_cluster.Agent(0).Signal(SIGTERM);
  cr_assert_eq(loaded.m_cluster.Agent(0).Wait(), 0);
  loaded.m_callers->Stop();

  AuditReport report =
    AuditStoredJournal(loaded.m_cluster.StoreAddress(), "agent-0");
  cr_assert_gt(report.m_started, 5);
  cr_assert_eq(report.m_open, 0);
  cr_assert(report.m_faults.empty());
}
