#include "FakeFlowNet.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>
#include <queue>

using namespace bilberryfield;

namespace {

const Endpoint kImages{ 0xC6120002, 443 };

std::vector<Route>
TwoRoutes()
{
  return { { "desk", kDeskAddress, { { "desk", 1 } }, 1, {} },
           { "images", kImages, { { "images", 1 } }, 2, {} } };
}

PlacementCandidate
Candidate(bool aIsSameDomain, uint32_t aBusy, uint32_t aAnswerUs = 10'000)
{
  return { 1, aIsSameDomain, aBusy, 4, aAnswerUs };
}

PlacementChoice
Choose(const std::vector<PlacementCandidate>& aCandidates)
{
  std::mt19937_64 random(1);
  return *ChoosePlacement(aCandidates, random);
}

} // namespace

Test(FlowPlacement, PrefersAFreeServerInTheOwnDomain)
{
  cr_assert_eq(Choose({ Candidate(false, 0), Candidate(true, 3) }).m_index, 1);
}

Test(FlowPlacement, LeavesTheDomainWhenThatSavesMuchWaiting)
{
  cr_assert_eq(Choose({ Candidate(false, 0), Candidate(true, 9) }).m_index, 0);
}

Test(FlowPlacement, AvoidsASlowServerWithAFreeSlot)
{
  std::vector<PlacementCandidate> candidates = { Candidate(true, 0, 90'000),
                                                 Candidate(true, 3),
                                                 Candidate(true, 3) };
  cr_assert_neq(Choose(candidates).m_index, 0);
}

Test(FlowPlacement, QueuesOnlyWhereNoSlotIsFree)
{
  cr_assert_eq(Choose({ Candidate(true, 3) }).m_busyLimit, 4);
  cr_assert_gt(Choose({ Candidate(true, 4) }).m_busyLimit, 4);
}

// The load of a full evening hour: balancers that cannot see each other's
// placements share few slots. Callers wait only when every slot is in use.
Test(FlowPlacement, KeepsShortWorkFromQueueingBesideFreeSlots)
{
  FakeFlowNet net(3);
  for (int i = 0; i < 4; ++i) {
    net.AddBalancer("a");
  }
  for (int i = 0; i < 6; ++i) {
    net.AddServer("desk", "a", 2);
  }
  net.SetRoutes(TwoRoutes());
  net.RunFor(Seconds(2));
  net.m_requestTime = Milliseconds(13);
  // 12 slots of 13 ms carry 923 flows a second; this is 60% of it.
  std::mt19937_64 random(3);
  std::exponential_distribution<double> gap(0.55);
  for (int i = 0; i < 3000; ++i) {
    net.RunFor(Duration(static_cast<int64_t>(gap(random) * 1000)));
    net.OpenFlow(kDeskAddress);
  }
  net.RunFor(Seconds(3));
  size_t late = 0;
  for (const FakeFlow& flow : net.Flows()) {
    cr_assert(flow.m_state == FlowState::Answered);
    late += flow.m_answeredAt - flow.m_openedAt > Milliseconds(13 + 20) ? 1 : 0;
  }
  cr_assert_lt(late, net.Flows().size() / 50, "%zu flows waited", late);
}

// Balancers that see the same load place flows on the same server before they
// hear of it. A single queue before all servers is what no balancing can beat;
// one flow in a hundred may wait longer than there by more than what runs and
// one other that waits in its slot.
Test(FlowPlacement, QueuesEvenlyWhenAllSlotsAreInUse)
{
  constexpr size_t kServers = 10;
  constexpr size_t kSlots = 4;
  constexpr Milliseconds kWork{ 13 };
  constexpr Milliseconds kWays{ 10 };
  FakeFlowNet net(3);
  for (int i = 0; i < 8; ++i) {
    net.AddBalancer("a");
  }
  for (size_t i = 0; i < kServers; ++i) {
    net.AddServer("desk", "a", kSlots);
  }
  net.SetRoutes(TwoRoutes());
  net.RunFor(Seconds(2));
  net.m_requestTime = kWork;
  // 40 slots of 13 ms carry 3,077 flows a second; this is 95% of it.
  std::mt19937_64 random(3);
  std::exponential_distribution<double> gap(2.92);
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> slots;
  for (size_t i = 0; i < kServers * kSlots; ++i) {
    slots.push(net.Now());
  }
  std::vector<Duration> single;
  for (int i = 0; i < 12'000; ++i) {
    net.RunFor(Duration(static_cast<int64_t>(gap(random) * 1000)));
    net.OpenFlow(kDeskAddress);
    TimePoint end = std::max(slots.top(), net.Now()) + kWork;
    slots.pop();
    slots.push(end);
    single.push_back(end - net.Now());
  }
  net.RunFor(Seconds(3));
  size_t late = 0;
  for (size_t i = 0; i < single.size(); ++i) {
    const FakeFlow& flow = net.Flow(i);
    late += flow.m_answeredAt - flow.m_openedAt > single[i] + 2 * kWork + kWays;
  }
  cr_assert_leq(late, single.size() / 100, "%zu late", late);
}
