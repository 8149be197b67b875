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
  return { { 1, 77 }, aIsSameDomain, aBusy, 4, aAnswerUs };
}

PlacementChoice
Choose(const std::vector<PlacementCandidate>& aCandidates)
{
  std::mt19937_64 random(1);
  return *ChoosePlacement(aCandidates, random);
}

} // namespace

Test(FlowPlacement, PrefersAFreeServerInTheSameDomain)
{
  cr_assert_eq(Choose({ Candidate(false, 0), Candidate(true, 3) }).m_index, 1);
}

Test(FlowPlacement, ChoosesAnotherDomainWhenThatSavesMuchWaiting)
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

// Load of a busy hour: several balancers that cannot see each other's
// placements share few slots. Callers must wait only if every slot is in use.
Test(FlowPlacement, DoesNotQueueShortRequestsWhileSlotsAreFree)
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
  // 12 slots of 13 ms serve 923 flows per second; this is 60% of that rate.
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

// Balancers with the same load reports place flows on the same server before
// its next report. The reference is a single queue for all servers, which no
// placement can beat. One flow in a hundred may exceed its time in the
// reference by more than one running and one waiting request.
Test(FlowPlacement, QueuesEvenlyWhenAllSlotsAreInUse)
{
  constexpr size_t kServers = 10;
  constexpr size_t kSlots = 4;
  constexpr Milliseconds kRequestTime{ 13 };
  constexpr Milliseconds kTransitTime{ 10 };
  FakeFlowNet net(3);
  for (int i = 0; i < 8; ++i) {
    net.AddBalancer("a");
  }
  for (size_t i = 0; i < kServers; ++i) {
    net.AddServer("desk", "a", kSlots);
  }
  net.SetRoutes(TwoRoutes());
  net.RunFor(Seconds(2));
  net.m_requestTime = kRequestTime;
  // 40 slots of 13 ms serve 3,077 flows per second; this is 95% of that rate.
  std::mt19937_64 random(3);
  std::exponential_distribution<double> gap(2.92);
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> slots;
  for (size_t i = 0; i < kServers * kSlots; ++i) {
    slots.push(net.Now());
  }
  std::vector<Duration> reference;
  for (int i = 0; i < 12'000; ++i) {
    net.RunFor(Duration(static_cast<int64_t>(gap(random) * 1000)));
    net.OpenFlow(kDeskAddress);
    TimePoint end = std::max(slots.top(), net.Now()) + kRequestTime;
    slots.pop();
    slots.push(end);
    reference.push_back(end - net.Now());
  }
  net.RunFor(Seconds(3));
  size_t late = 0;
  for (size_t i = 0; i < reference.size(); ++i) {
    const FakeFlow& flow = net.Flow(i);
    late += flow.m_answeredAt - flow.m_openedAt >
            reference[i] + 2 * kRequestTime + kTransitTime;
  }
  cr_assert_leq(late, reference.size() / 100, "%zu late", late);
}
