#include "ProcessFixture.h"

#include <csignal>

using namespace bilberryfield;

TestSuite(GracefulShutdown, .fini = Process::KillAll);

Test(GracefulShutdown, OfABalancerCutsNoRequest)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(40), 2);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  cluster.SignalBalancer(1, SIGTERM);
  int code = cluster.WaitForBalancer(1);
  CallersReport report = callers.Stop();
  cr_assert(code == 0);
  cr_assert(report.m_askedAgain == 0, "%lu messages lost", report.m_askedAgain);
  cr_assert(CountOutcome(report, Outcome::Unknown) == 0);
  cr_assert(report.m_brokenFlows == 0);
  CheckPromises(cluster, report);
}

Test(GracefulShutdown, OfAnAgentCutsNoRequestAndItsFlowsGoOn)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(40), 3);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  cluster.SignalAgent("catalogue-1", SIGTERM);
  int code = cluster.WaitForAgent("catalogue-1");
  SleepFor(Milliseconds(500));
  CallersReport report = callers.Stop();
  cr_assert(code == 0);
  cr_assert(CountOutcome(report, Outcome::Unknown) == 0,
            "%lu unknown",
            CountOutcome(report, Outcome::Unknown));
  cr_assert(CountOutcome(report, Outcome::NotRun) == 0);
  cr_assert(report.m_brokenFlows == 0);
  CheckPromises(cluster, report);
}
