#include "ProcessFixture.h"

using namespace bilberryfield;

TestSuite(Joining, .fini = Process::KillAll);

Test(Joining, OfABalancerRefusesNoRequest)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(), 9);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  cluster.AddBalancer();
  SleepFor(Milliseconds(4000));
  uint64_t carried =
    cluster.BalancerStatus(3).at("outcomes").at("served").get<uint64_t>();
  CallersReport report = callers.Stop();
  cr_assert(carried > 0);
  cr_assert(CountOutcome(report, Outcome::NotRun) == 0);
  cr_assert(CountOutcome(report, Outcome::Unknown) == 0);
  cr_assert(report.m_brokenFlows == 0);
  CheckPromises(cluster, report);
}
