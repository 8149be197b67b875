#include "ServerTracker.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr Duration kEvery = Milliseconds(800);
const TimePoint kStart{ Seconds(100) };

ServerHeartbeat
Heartbeat(const std::string& aId,
          uint64_t aBorn,
          uint64_t aSequence,
          bool aIsDraining = false)
{
  return { aId, aBorn, aSequence, "desk", {}, 4, aIsDraining, {} };
}

} // namespace

Test(ServerIncarnations, ALateHeartbeatOfTheOneBeforeIsIgnored)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("old", 1000, 9));
  tracker.OnHeartbeat(kStart, Heartbeat("new", 2000, 1));
  cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("old", 1000, 10, true)) ==
            HeartbeatResult::Outdated);
  cr_assert(tracker.Condition(kStart) == ServerCondition::Ready);
}

Test(ServerIncarnations, ALateHeartbeatOfTheSameOneIsIgnored)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5, true));
  cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 4)) ==
            HeartbeatResult::Outdated);
  cr_assert(tracker.Condition(kStart) == ServerCondition::Draining);
}

Test(ServerIncarnations, ADrainIsFinal)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5, true));
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 6));
  cr_assert(tracker.Condition(kStart) == ServerCondition::Draining);
}

Test(ServerIncarnations, AStartUnderTheSameIdBeginsAnew)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 50, true));
  cr_assert(tracker.OnHeartbeat(kStart, Heartbeat("s", 3000, 1)) ==
            HeartbeatResult::NewIncarnation);
  cr_assert(tracker.Condition(kStart) == ServerCondition::Ready);
}

// Only then can the server hold flows that this process never saw.
Test(ServerIncarnations, OnlyALaterHeartbeatTellsOfAnEarlierLife)
{
  ServerTracker together(kEvery);
  cr_assert(together.OnHeartbeat(kStart, Heartbeat("s", 1000, 1)) ==
            HeartbeatResult::NewIncarnation);
  ServerTracker after(kEvery);
  cr_assert(after.OnHeartbeat(kStart, Heartbeat("s", 1000, 2)) ==
            HeartbeatResult::Accepted);
}

// The time of day may have jumped back between two starts.
Test(ServerIncarnations, AnOlderBirthIsBelievedOnceTheOtherIsSilent)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("first", 5000, 5));
  TimePoint later = kStart + 4 * kEvery;
  cr_assert(tracker.OnHeartbeat(later, Heartbeat("second", 3000, 1)) ==
            HeartbeatResult::NewIncarnation);
  cr_assert(tracker.Condition(later) == ServerCondition::Ready);
}

Test(ServerIncarnations, AServerThatSaidGoodbyeStaysGone)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5));
  tracker.OnLeave("other");
  cr_assert(tracker.Condition(kStart) == ServerCondition::Ready);
  tracker.OnLeave("s");
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 6));
  cr_assert(tracker.Condition(kStart) == ServerCondition::Gone);
}

Test(ServerIncarnations, ASilentServerIsReadyAgainWithItsNextPacket)
{
  ServerTracker tracker(kEvery);
  tracker.OnHeartbeat(kStart, Heartbeat("s", 1000, 5));
  tracker.OnSynTimeout();
  cr_assert(tracker.Condition(kStart) == ServerCondition::Silent);
  tracker.OnPacket(kStart + Milliseconds(10));
  cr_assert(tracker.Condition(kStart + Milliseconds(10)) ==
            ServerCondition::Ready);
}
