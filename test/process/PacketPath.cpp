#include "BuildFolder.h"
#include "FlowCluster.h"
#include "StoredJournal.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryfield;

TestSuite(PacketPath, .fini = Process::KillAll);

namespace {

// Three balancers and four servers under load from callers.
struct LoadedPath
{
  FlowCluster m_cluster{ BuildFolder(), 3, 4 };
  std::optional<FlowCallers> m_callers;

  LoadedPath()
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
  LoadedPath path;
  path.Wait(Seconds(1));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenABalancerIsKilledAndStartedAgain)
{
  LoadedPath path;
  path.m_cluster.Balancer(1).Kill();
  path.Wait(Milliseconds(700));
  path.m_cluster.StartBalancer(1);
  path.Wait(Milliseconds(1500));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenABalancerIsStopped)
{
  LoadedPath path;
  path.m_cluster.Balancer(0).Signal(SIGTERM);
  cr_assert_eq(path.m_cluster.Balancer(0).Wait(), 0);
  path.Wait(Milliseconds(300));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenAnAgentIsKilledAndStartedAgain)
{
  LoadedPath path;
  path.m_cluster.Agent(2).Kill();
  path.Wait(Milliseconds(300));
  path.m_cluster.StartAgent(2);
  path.Wait(Milliseconds(1500));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, LosesNoFlowWhenAServerDrains)
{
  LoadedPath path;
  path.m_cluster.Server(0).Signal(SIGTERM);
  cr_assert_eq(path.m_cluster.Server(0).Wait(), 0);
  path.m_cluster.Agent(0).Signal(SIGTERM);
  cr_assert_eq(path.m_cluster.Agent(0).Wait(), 0);
  path.Wait(Milliseconds(300));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, ABalancerStartsFromItsPeersWhileTheStoreIsAway)
{
  LoadedPath path;
  path.m_cluster.SetStoreOutage(true);
  path.m_cluster.Balancer(2).Kill();
  path.Wait(Milliseconds(600));
  path.m_cluster.StartBalancer(2);
  cr_assert(path.m_callers->WaitForReady(3));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, AChangedSettingsFileIsReadAgainWithoutAnEnd)
{
  LoadedPath path;
  path.m_cluster.Balancer(0).Signal(SIGHUP);
  path.m_cluster.Agent(0).Signal(SIGHUP);
  cr_assert(path.m_cluster.Balancer(0).WaitForLine("\"event\":\"reloaded\""));
  cr_assert(path.m_cluster.Agent(0).WaitForLine("\"event\":\"reloaded\""));
  CheckAllAnswered(path.m_callers->Stop());
}

Test(PacketPath, TheJournalTellsWhichFlowsAServerGot)
{
  LoadedPath path;
  path.m_cluster.Server(0).Signal(SIGTERM);
  cr_assert_eq(path.m_cluster.Server(0).Wait(), 0);
  path.m_cluster.Agent(0).Signal(SIGTERM);
  cr_assert_eq(path.m_cluster.Agent(0).Wait(), 0);
  path.m_callers->Stop();

  AuditReport report =
    AuditStoredJournal(path.m_cluster.StoreAddress(), "agent-0");
  cr_assert_gt(report.m_started, 5);
  cr_assert_eq(report.m_open, 0);
  cr_assert(report.m_faults.empty());
}
