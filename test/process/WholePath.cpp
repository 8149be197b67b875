#include "ProcessFixture.h"

using namespace bilberryfield;

TestSuite(WholePath, .fini = Process::KillAll);

Test(WholePath, ServesTwoServicesWhileABalancerDiesAndAServerDrains)
{
  cr_assert(sodium_init() >= 0);
  Cluster cluster(
    { BuildFolder(), 3, { { "catalogue", 3, 4 }, { "images", 2, 4 } }, 1 });
  cluster.Start();
  PublishResult published = cluster.PublishServices(
    { MakeService("catalogue"), MakeService("images") });
  cr_assert(published.m_outcome == PublishOutcome::Accepted);
  cr_assert(cluster.WaitForVersion(published.m_version));
  cr_assert(cluster.WaitForMembers());

  Callers callers(
    { { "lookup", cluster.ServiceAddress(0), "/lookups" },
      { "check-in", cluster.ServiceAddress(0), "/check-ins", 10, 100, true },
      { "lookup", cluster.ServiceAddress(1), "/images", 20 } },
    1);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(1000));
  cluster.KillBalancer(0);
  SleepFor(Milliseconds(1000));
  cluster.SetDraining("catalogue-0", true);
  SleepFor(Milliseconds(3000));
  CallersReport report = callers.Stop();
  cr_assert(report.m_brokenFlows == 0);
  CheckPromises(cluster, report);
}
