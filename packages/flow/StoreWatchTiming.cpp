#include "StoreWatchTiming.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kMaxBatchDelay = Seconds(2);
constexpr Duration kBatchDelayPerObject = Milliseconds(10);
constexpr Duration kMinWatchTimeout = Seconds(4);
constexpr Duration kWatchTimeoutPerAgent = Milliseconds(400);
/** Fraction of the timeout that the random jitter can subtract. */
constexpr double kWatchJitter = 0.4;

} // namespace

// Changes often occur in bursts, and one call can return several. A kind with
// many objects has many changes and many readers; without a longer delay, the
// total number of calls would grow with the square of the deployment's size.
Duration
BatchDelay(size_t aObjects)
{
  auto objects = static_cast<Duration::rep>(aObjects);
  return std::clamp<Duration>(
    objects * kBatchDelayPerObject, kMinBatchDelay, kMaxBatchDelay);
}

// A connection can lose data without an error at either end, so that a watch
// misses changes of the configuration until it is restarted. Balancers fetch
// newer versions from each other, so it suffices that one of them restarts its
// watch soon. The more balancers there are, the longer each timeout can be.
Duration
ConfigWatchTimeout(size_t aAgents, double aRandom)
{
  auto agents = static_cast<Duration::rep>(aAgents);
  auto longest = std::clamp<Duration>(
    agents * kWatchTimeoutPerAgent, kMinWatchTimeout, kMaxWatchTimeout);
  auto part = 1 - kWatchJitter * aRandom;
  return std::chrono::duration_cast<Duration>(longest * part);
}

} // namespace bilberryfield
