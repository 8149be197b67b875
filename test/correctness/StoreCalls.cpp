#include "StoreWatchTiming.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

/** Calls of all readers of a kind while its objects change one by one. */
size_t
CallsFor(size_t aReaders, size_t aChanges, Duration aTime)
{
  Duration gap = aTime / static_cast<Duration::rep>(aChanges);
  size_t calls = 0;
  for (Duration now{ 0 }; now < aTime; ++calls) {
    now += std::max(gap, BatchDelay(aChanges));
  }
  return calls * aReaders;
}

} // namespace

// 107 balancers follow a list of 204 agents that are replaced one by one in
// ten seconds; with the shortest pause they would call 7,000 times.
Test(StoreCalls, DoNotGrowWithChangesTimesReaders)
{
  cr_assert_leq(CallsFor(107, 204, Seconds(10)), 600);
  cr_assert_leq(CallsFor(2'300, 14'000, Seconds(10)), 12'000);
}

// Of N balancers whose watches all went silent, the first begins anew after
// about the N-th part of a wait; there are fewer balancers than agents.
Test(StoreCalls, ShowAConfigurationSoonAfterASilence)
{
  for (size_t balancers : { 3, 16, 107, 2'300 }) {
    size_t agents = 3 * balancers;
    Duration first = kMaxWatchTimeout;
    for (size_t i = 0; i < balancers; ++i) {
      double phase =
        (static_cast<double>(i) + 0.5) / static_cast<double>(balancers);
      Duration wait = ConfigWatchTimeout(agents, phase);
      // The watch of balancer i had waited for a part of its time already.
      auto left = std::chrono::duration_cast<Duration>(wait * phase);
      first = std::min(first, left);
    }
    cr_assert_leq(first.count(), Duration(Milliseconds(1500)).count());
  }
}

// A small deployment hears of each change as soon as before.
Test(StoreCalls, AreMadeAtOnceWhereThereAreFew)
{
  cr_assert(BatchDelay(10) == kMinBatchDelay);
}
