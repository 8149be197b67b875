#include "ProcessFixture.h"

#include <csignal>

using namespace bilberryfield;

TestSuite(Faults, .fini = Process::KillAll);

Test(Faults, AnAgentThatRestartsRunsNothingTwice)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(), 4);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  cluster.RestartAgent("catalogue-0");
  SleepFor(Milliseconds(1500));
  cluster.RestartAgent("catalogue-2");
  SleepFor(Milliseconds(1500));
  CheckPromises(cluster, callers.Stop());
}

Test(Faults, AFrozenAgentIsLeftAndComesBackHarmless)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(), 5);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  cluster.SignalAgent("catalogue-0", SIGSTOP);
  SleepFor(Milliseconds(5000));
  cluster.SignalAgent("catalogue-0", SIGCONT);
  SleepFor(Milliseconds(1500));
  CallersReport report = callers.Stop();
  cr_assert(report.m_brokenFlows == 0);
  CheckPromises(cluster, report);
}

Test(Faults, AFrozenBalancerWakesHarmless)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(), 6);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  cluster.SignalBalancer(2, SIGSTOP);
  SleepFor(Milliseconds(4000));
  cluster.SignalBalancer(2, SIGCONT);
  SleepFor(Milliseconds(1000));
  CheckPromises(cluster, callers.Stop());
}

Test(Faults, ServingAndJoiningGoOnWhileThePlatformIsAway)
{
  ReadyCluster cluster;
  cluster.SetPlatformFaults(true, 0);
  Callers callers(cluster.Kinds(), 7);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(500));
  // A restarted agent gets its configuration from the balancers.
  cluster.RestartAgent("catalogue-1");
  cr_assert(cluster.WaitForVersion(1));
  CallersReport report = callers.Stop();
  cr_assert(CountOutcome(report, Outcome::Served) > 0);
  CheckPromises(cluster, report);
}

Test(Faults, AnAcceptedVersionStaysInForceAfterALostAnswer)
{
  ReadyCluster cluster;
  cluster.SetPlatformFaults(false, 2);
  ServiceConfig changed = MakeService("catalogue");
  changed.m_flowLifetime = Seconds(30);
  PublishResult published = cluster.PublishServices({ changed });
  cr_assert(published.m_outcome == PublishOutcome::Accepted);
  cr_assert(published.m_version == 2);
  cr_assert(cluster.WaitForVersion(2));
}
