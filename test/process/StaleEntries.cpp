#include "BuildFolder.h"
#include "FlowCluster.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryfield;

TestSuite(StaleEntries, .fini = Process::KillAll);

namespace {

constexpr Milliseconds kStaleAfter{ 1500 };

std::unique_ptr<FlowCluster>
StartCluster()
{
  auto cluster = std::make_unique<FlowCluster>(BuildFolder(), 2, 3);
  cluster->m_staleEntryAfter = kStaleAfter;
  cluster->Start();
  return cluster;
}

bool
WaitForListedAgents(const FlowCluster& aCluster,
                    size_t aCount,
                    Duration aTimeout)
{
  TimePoint deadline = EventLoop::Now() + aTimeout;
  while (EventLoop::Now() < deadline) {
    if (aCluster.ListedAgents().size() == aCount) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

} // namespace

Test(StaleEntries, EntryOfAFailedVmIsRemoved)
{
  auto cluster = StartCluster();
  cr_assert(WaitForListedAgents(*cluster, 3, Seconds(5)));
  cluster->Agent(1).Kill();
  cluster->Server(1).Kill();
  cr_assert(WaitForListedAgents(*cluster, 2, 4 * kStaleAfter));
}

Test(StaleEntries, WronglyRemovedEntryIsRestored)
{
  auto cluster = StartCluster();
  cr_assert(WaitForListedAgents(*cluster, 3, Seconds(5)));
  cluster->Agent(1).Signal(SIGSTOP);
  cr_assert(WaitForListedAgents(*cluster, 2, 4 * kStaleAfter));
  cluster->Agent(1).Signal(SIGCONT);
  cr_assert(WaitForListedAgents(*cluster, 3, 4 * kStaleAfter));
}

// An agent that is started again after its server has ended must not leave the
// entry of its previous start behind: searches would wait for it.
Test(StaleEntries, StoppedAgentWithoutAServerRemovesTheEntryOfAnEarlierStart)
{
  FlowCluster cluster(BuildFolder(), 2, 3);
  cluster.Start();
  cr_assert(WaitForListedAgents(cluster, 3, Seconds(5)));
  cluster.Agent(1).Kill();
  cluster.Server(1).Kill();
  cluster.StartAgent(1);
  // Until its signal handlers are installed, a signal would kill the agent.
  std::this_thread::sleep_for(Milliseconds(300));
  cluster.Agent(1).Signal(SIGTERM);
  cr_assert(WaitForListedAgents(cluster, 2, Seconds(5)));
}

// The entry of an agent beside a living server has to stay during a restart, or
// balancers would take the list without it for complete and reset its flows.
Test(StaleEntries, EntryStaysWhileAnAgentIsRestarted)
{
  FlowCluster cluster(BuildFolder(), 2, 3);
  cluster.Start();
  cr_assert(WaitForListedAgents(cluster, 3, Seconds(5)));
  cluster.Agent(1).Signal(SIGTERM);
  cr_assert(not WaitForListedAgents(cluster, 2, Seconds(2)));
}
