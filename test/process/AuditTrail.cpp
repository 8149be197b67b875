#include "ProcessFixture.h"
#include "StoredJournal.h"

#include <csignal>

using namespace bilberryfield;

TestSuite(AuditTrail, .fini = Process::KillAll);

Test(AuditTrail, OfAStoppedServerIsStoredWholeAndInOrder)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(), 8);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(1500));
  cluster.SignalAgent("catalogue-1", SIGTERM);
  cr_assert(cluster.WaitForAgent("catalogue-1") == 0);
  callers.Stop();

  AuditReport report =
    AuditStoredJournal(cluster.PlatformAddress(), "catalogue-1");
  cr_assert(report.m_started > 0);
  cr_assert(report.m_open == 0);
  cr_assert(report.m_faults.empty());
}
