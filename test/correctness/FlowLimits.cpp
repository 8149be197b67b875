// The maximum number of flows at a server while callers wait.

#include "FlowLimit.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kSlots = 3;

FlowLimit
LimitAfter(Duration aHandshake, Duration aRequestTime)
{
  FlowLimit limit;
  for (int i = 0; i < 50; ++i) {
    limit.OnRequest(aHandshake);
    limit.OnAnswer(aRequestTime);
  }
  return limit;
}

} // namespace

Test(FlowLimits, AllowOneFlowMoreThanSlotsInitially)
{
  cr_assert_eq(FlowLimit().MaxFlows(kSlots), kSlots + 1);
}

Test(FlowLimits, AllowOneFlowMoreThanSlotsForShortRoundTrips)
{
  FlowLimit limit = LimitAfter(Milliseconds(7), Milliseconds(25));
  cr_assert_eq(limit.MaxFlows(kSlots), kSlots + 1);
}

// Overloaded balancers delay the requests of open flows. To keep three slots of
// 30 ms busy, three flows must be in their handshake of about 30 ms.
Test(FlowLimits, GrowWithLongRoundTrips)
{
  FlowLimit limit = LimitAfter(Milliseconds(31), Milliseconds(30));
  cr_assert_eq(limit.MaxFlows(kSlots), 2 * kSlots + 1);
}

Test(FlowLimits, AreBounded)
{
  FlowLimit limit = LimitAfter(Seconds(1), Milliseconds(1));
  cr_assert_leq(limit.MaxFlows(kSlots), 5 * kSlots + 1);
}
