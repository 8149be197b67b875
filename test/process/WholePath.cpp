#include "Callers.h"
#include "Cluster.h"

#include <criterion/criterion.h>
#include <sodium.h>

using namespace bilberryfield;

namespace {

ServiceConfig
MakeService(const std::string& aName)
{
  ServiceConfig service;
  service.m_name = aName;
  service.m_labels = { aName };
  service.m_classes = { { .m_name = "lookup" },
                        { .m_name = "check-in", .m_nonRepeatable = true } };
  service.m_defaultClass = "lookup";
  return service;
}

} // namespace

Test(WholePath, ServesTwoServicesWhileABalancerDiesAndAServerDrains)
{
  cr_assert(sodium_init() >= 0);
  const char* build = std::getenv("BILBERRY_BUILD");
  Cluster cluster({ build ? build : "build",
                    3,
                    { { "catalogue", 3, 4 }, { "images", 2, 4 } },
                    1 });
  cluster.Start();
  PublishResult published = cluster.PublishServices(
    { MakeService("catalogue"), MakeService("images") });
  cr_assert(published.m_end == PublishEnd::Accepted);
  cr_assert(cluster.WaitForVersion(published.m_version));
  cr_assert(cluster.WaitForMembers());

  Callers callers(
    { { "lookup", cluster.ServiceAddress(0), "/lookups" },
      { "check-in", cluster.ServiceAddress(0), "/check-ins", 10, 100, true },
      { "lookup", cluster.ServiceAddress(1), "/images", 20 } },
    1);
  callers.Start(8, Milliseconds(2));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  cluster.KillBalancer(0);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  cluster.SetDraining("catalogue-0", true);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CallersReport report = callers.Stop();

  cr_assert(report.m_flows > 0);
  cr_assert(report.m_brokenFlows == 0);
  cr_assert(report.m_wrongAnswers == 0);
  std::map<std::string, int> ran = cluster.RanCounts();
  for (const std::string& id : report.m_servedOnce) {
    cr_assert(ran[id] == 1, "%s ran %d times", id.c_str(), ran[id]);
  }
  for (const std::string& id : report.m_notRun) {
    cr_assert(ran[id] == 0, "%s was told not run", id.c_str());
  }
}
