#include "ServerTracker.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr Duration kHeartbeatInterval = Milliseconds(800);
const TimePoint kStart{ Seconds(100) };

ServerHeartbeat
Heartbeat(const std::string& aId,
          uint64_t aStartMs,
          uint64_t aSequence,
          bool aIsDraining = false)
{
  return { aId, aStartMs, aSequence, "desk", {}, 4, aIsDraining, {} };
}

} // namespace

Test(ServerIncarnations, ALateHeartbeatOfAnEarlierIncarnationIsIgnored)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("old", 1000, 9));
  tracker.OnHeartbeat(kStart, Heartbeat("new", 2000, 1));
  cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("old", 1000, 10, true)) ==
            HeartbeatResult::Outdated);
  cr_assert(tracker.Condition(kStart) == ServerCondition::Ready);
}

Test(ServerIncarnations, AnOutOfOrderHeartbeatIsIgnored)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5, true));
  cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 4)) ==
            HeartbeatResult::Outdated);
  cr_assert(tracker.Condition(kStart) == ServerCondition::Draining);
}

Test(ServerIncarnations, ADrainIsFinal)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5, true));
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 6));
  cr_assert(tracker.Condition(kStart) == ServerCondition::Draining);
}

Test(ServerIncarnations, ARestartUnderTheSameIdIsANewIncarnation)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 50, true));
  cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("s", 3000, 1)) ==
            HeartbeatResult::NewIncarnation);
  cr_assert(tracker.Condition(kStart) == ServerCondition::Ready);
}

// If the agent missed the first heartbeat of an incarnation, the server may
// hold flows that the agent has not seen.
Test(ServerIncarnations, OnlyAFirstHeartbeatIsReportedAsNew)
{
  ServerTracker fromFirst(kHeartbeatInterval);
  cr_assert(fromFirst.OnHeartbeat(kStart, Heartbeat("s", 1000, 1)) ==
            HeartbeatResult::NewIncarnation);
  ServerTracker fromSecond(kHeartbeatInterval);
  cr_assert(fromSecond.OnHeartbeat(kStart, Heartbeat("s", 1000, 2)) ==
            HeartbeatResult::Accepted);
}

// Guards against an agent that takes a running server for one that has just
// started, because the delayed heartbeat of an earlier server came first.
Test(ServerIncarnations, AServerAfterALateHeartbeatIsNotReportedAsNew)
{
  constexpr uint64_t kProcessStartMs = 60'000;
  for (uint64_t lateSequence : { 1U, 7U }) {
    ServerTracker tracker(kHeartbeatInterval, kProcessStartMs);
    cr_assert(
      tracker.OnHeartbeat(kStart, Heartbeat("old", 20'000, lateSequence)) ==
      HeartbeatResult::Accepted);
    cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("s", 40'000, 12)) ==
              HeartbeatResult::OtherIncarnation);
    cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("next", 61'000, 1)) ==
              HeartbeatResult::NewIncarnation);
  }
}

// The wall clock may have jumped back between two starts.
Test(ServerIncarnations, AnEarlierStartTimeIsAcceptedOnceTheOtherIsSilent)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("first", 5000, 5));
  TimePoint later = kStart + 4 * kHeartbeatInterval;
  cr_assert(tracker.OnHeartbeat(later, Heartbeat("second", 3000, 1)) ==
            HeartbeatResult::NewIncarnation);
  cr_assert(tracker.Condition(later) == ServerCondition::Ready);
}

Test(ServerIncarnations, AServerThatLeftStaysGone)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5));
  tracker.OnLeave("other");
  cr_assert(tracker.Condition(kStart) == ServerCondition::Ready);
  tracker.OnLeave("s");
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 6));
  cr_assert(tracker.Condition(kStart) == ServerCondition::Gone);
}

Test(ServerIncarnations, ASilentServerIsReadyAgainWithItsNextPacket)
{
  ServerTracker tracker(kHeartbeatInterval);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5));
  tracker.OnSynTimeout();
  cr_assert(tracker.Condition(kStart) == ServerCondition::Silent);
  tracker.OnPacket(kStart + Milliseconds(10));
  cr_assert(tracker.Condition(kStart + Milliseconds(10)) ==
            ServerCondition::Ready);
}
