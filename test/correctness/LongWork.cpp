// Requests of long-running classes must not occupy all slots of a server that
// also serves short ones, which would then have to wait for a long one to end.

#include "AdmissionQueue.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

ServiceConfig
ServiceWith(std::vector<TrafficClass> aClasses)
{
  ServiceConfig service;
  service.m_name = "images";
  service.m_classes = std::move(aClasses);
  return service;
}

int
StartedLongRequests(const ServiceConfig& aService)
{
  AdmissionQueue queue({ .m_slots = 4, .m_longShare = 0.25 });
  queue.Configure(aService);
  TimePoint now{ Seconds(1) };
  for (uint64_t id = 1; id <= 8; ++id) {
    queue.Offer(now, { id, { "images", "cover" }, now, now + Seconds(60) });
  }
  int starts = 0;
  while (queue.StartNext()) {
    ++starts;
  }
  return starts;
}

} // namespace

Test(LongWork, IsLimitedToItsShareOfSlotsBesideShortWork)
{
  TrafficClass cover{ .m_name = "cover", .m_work = WorkLength::Long };
  TrafficClass lookup{ .m_name = "lookup" };
  cr_assert(StartedLongRequests(ServiceWith({ lookup, cover })) == 1);
}

Test(LongWork, UsesAllSlotsOfAServerWithoutShortWork)
{
  TrafficClass cover{ .m_name = "cover", .m_work = WorkLength::Long };
  cr_assert(StartedLongRequests(ServiceWith({ cover })) == 4);
}
