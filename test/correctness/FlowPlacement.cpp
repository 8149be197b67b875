#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kDesk{ 0xC6120001, 443 };
const Endpoint kImages{ 0xC6120002, 443 };

std::vector<Route>
TwoRoutes()
{
  return { { "desk", kDesk, { { "desk", 1 } }, 1, {} },
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
  cr_assert(Choose({ Candidate(true, 3) }).m_mode == OpenMode::IfFree);
  cr_assert(Choose({ Candidate(true, 4) }).m_mode == OpenMode::Queue);
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
  net.Pass(Seconds(2));
  net.m_work = Milliseconds(13);
  // 12 slots of 13 ms carry 923 flows a second; this is 60% of it.
  std::mt19937_64 random(3);
  std::exponential_distribution<double> gap(0.55);
  for (int i = 0; i < 3000; ++i) {
    net.Pass(Duration(static_cast<int64_t>(gap(random) * 1000)));
    net.OpenFlow(kDesk);
  }
  net.Pass(Seconds(3));
  size_t late = 0;
  for (const FakeFlow& flow : net.Flows()) {
    cr_assert(flow.m_state == FlowState::Answered);
    late += flow.m_answeredAt - flow.m_openedAt > Milliseconds(13 + 20) ? 1 : 0;
  }
  cr_assert_lt(late, net.Flows().size() / 50, "%zu flows waited", late);
}
