#include "StoreWatchTiming.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kMaxBatchDelay = Seconds(2);
constexpr Duration kBatchDelayPerObject = Milliseconds(10);
constexpr Duration kMinWatchTimeout = Seconds(4);
constexpr Duration kWatchTimeoutPerAgent = Milliseconds(400);
/** Part of the longest wait that the draw may take away. */
constexpr double kWatchJitter = 0.4;

} // namespace

// Changes often come in series; one call then brings several. A kind with many
// objects has many changes and many readers, so that without a longer pause the
// calls of all readers would grow with the square of the deployment's size.
Duration
BatchDelay(size_t aObjects)
{
  auto objects = static_cast<Duration::rep>(aObjects);
  return std::clamp<Duration>(
    objects * kBatchDelayPerObject, kMinBatchDelay, kMaxBatchDelay);
}

// A connection can swallow what it carries without a sign to either end, so
// that a watch hears nothing while the configuration changes. Balancers learn
// versions from each other, so it is enough that some balancer's watch begins
// anew soon; with more balancers each may wait longer.
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
