// How many flows a server gets at a time while callers wait.

#include "FlowLimit.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kSlots = 3;

FlowLimit
RoomAfter(Duration aOpening, Duration aWork)
{
  FlowLimit room;
  for (int i = 0; i < 50; ++i) {
    room.OnRequest(aOpening);
    room.OnAnswer(aWork);
  }
  return room;
}

} // namespace

Test(ServerRooms, HoldOneFlowMoreThanSlotsAtFirst)
{
  cr_assert_eq(FlowLimit().MaxFlows(kSlots), kSlots + 1);
}

Test(ServerRooms, HoldOneFlowMoreThanSlotsWhileRoundTripsAreShort)
{
  FlowLimit room = RoomAfter(Milliseconds(7), Milliseconds(25));
  cr_assert_eq(room.MaxFlows(kSlots), kSlots + 1);
}

// Balancers that cannot keep up delay the requests of flows that are open;
// three slots of 30 ms need three flows on their way for 30 ms.
Test(ServerRooms, CoverLongRoundTrips)
{
  FlowLimit room = RoomAfter(Milliseconds(31), Milliseconds(30));
  cr_assert_eq(room.MaxFlows(kSlots), 2 * kSlots + 1);
}

Test(ServerRooms, AreBounded)
{
  FlowLimit room = RoomAfter(Seconds(1), Milliseconds(1));
  cr_assert_leq(room.MaxFlows(kSlots), 5 * kSlots + 1);
}
