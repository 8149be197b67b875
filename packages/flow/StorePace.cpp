#include "StorePace.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kLongestPause = Seconds(2);
constexpr Duration kPausePerObject = Milliseconds(10);
constexpr Duration kShortestWatchWait = Seconds(4);
constexpr Duration kWatchWaitPerAgent = Milliseconds(400);
/** Part of the longest wait that the draw may take away. */
constexpr double kWatchSpread = 0.4;

} // namespace

// Changes often come in series; one call then brings several. A kind with many
// objects has many changes and many readers, so that without a longer pause the
// calls of all readers would grow with the square of the deployment's size.
Duration
GatheringPause(size_t aObjects)
{
  auto objects = static_cast<Duration::rep>(aObjects);
  return std::clamp<Duration>(
    objects * kPausePerObject, kShortestGatheringPause, kLongestPause);
}

// A connection can swallow what it carries without a sign to either end, so
// that a watch hears nothing while the configuration changes. Balancers learn
// versions from each other, so it is enough that some balancer's watch begins
// anew soon; with more balancers each may wait longer.
Duration
ConfigWatchWait(size_t aAgents, double aDraw)
{
  auto agents = static_cast<Duration::rep>(aAgents);
  auto longest = std::clamp<Duration>(
    agents * kWatchWaitPerAgent, kShortestWatchWait, kLongestWatchWait);
  auto part = 1 - kWatchSpread * aDraw;
  return std::chrono::duration_cast<Duration>(longest * part);
}

} // namespace bilberryfield
