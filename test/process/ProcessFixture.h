#pragma once

#include "BuildFolder.h"
#include "Callers.h"
#include "Cluster.h"

#include <criterion/criterion.h>
#include <sodium.h>

namespace bilberryfield {

/** A service with a repeatable and a non-repeatable class. */
inline ServiceConfig
MakeService(const std::string& aName)
{
  ServiceConfig service;
  service.m_name = aName;
  service.m_labels = { aName };
  service.m_classes = {
    { .m_name = "lookup", .m_deadline = Seconds(5) },
    { .m_name = "check-in", .m_nonRepeatable = true, .m_deadline = Seconds(5) }
  };
  service.m_defaultClass = "lookup";
  return service;
}

/** A small system that is ready to serve the service "catalogue". */
class ReadyCluster : public Cluster
{
public:
  explicit ReadyCluster(int aServers = 3)
    : Cluster({ BuildFolder(), 3, { { "catalogue", aServers, 4 } }, 1 })
  {
    cr_assert(sodium_init() >= 0);
    Start();
    PublishResult published = PublishServices({ MakeService("catalogue") });
    cr_assert(published.m_outcome == PublishOutcome::Accepted);
    cr_assert(WaitForVersion(published.m_version));
    cr_assert(WaitForMembers());
  }

  /** Lookups and check-ins, as many of one as of the other. */
  std::vector<RequestKind> Kinds(int aWorkMs = 10) const
  {
    return {
      { "lookup", ServiceAddress(0), "/lookups", aWorkMs },
      { "check-in", ServiceAddress(0), "/check-ins", aWorkMs, 100, true }
    };
  }
};

/** Checks what every run has to keep, whatever fails. */
inline void
CheckPromises(Cluster& aCluster, const CallersReport& aReport)
{
  cr_assert(aReport.m_flows > 0);
  cr_assert(aReport.m_wrongAnswers == 0);
  std::map<std::string, int> ran = aCluster.RanCounts();
  for (const std::string& id : aReport.m_servedOnce) {
    cr_assert(ran[id] == 1, "%s ran %d times", id.c_str(), ran[id]);
  }
  for (const std::string& id : aReport.m_notRun) {
    cr_assert(ran[id] == 0, "%s was told not run", id.c_str());
  }
}

/** Number of requests with an outcome, over all classes. */
inline uint64_t
CountOutcome(const CallersReport& aReport, Outcome aOutcome)
{
  uint64_t count = 0;
  for (const auto& [name, tally] : aReport.m_classes) {
    count += tally.m_outcomes[static_cast<size_t>(aOutcome)];
  }
  return count;
}

inline void
SleepFor(Milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

} // namespace bilberryfield
