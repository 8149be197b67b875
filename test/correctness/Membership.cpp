#include "FakeFleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

// Users require that all balancers apply a drain or failure of a server within
// a few seconds and any other change within 11 s.
constexpr Duration kDrainLimit = Seconds(5);
constexpr Duration kConvergenceLimit = Seconds(11);

MemberRecord
AnyRecord()
{
  MemberRecord record;
  record.m_id = "member";
  record.m_incarnation = *rc::gen::inRange<uint64_t>(1, 3);
  record.m_revision = *rc::gen::inRange<uint32_t>(0, 3);
  record.m_state = *rc::gen::element(
    MemberState::Alive, MemberState::Draining, MemberState::Dead);
  for (const char* id : { "a", "b", "c" }) {
    if (*rc::gen::arbitrary<bool>()) {
      record.m_suspectedBy.push_back({ id, id });
    }
  }
  return record;
}

FakeFleet
ConvergedFleet(uint64_t aSeed)
{
  FakeFleet fleet(6, 9, 3, aSeed);
  fleet.AdvanceTime(kConvergenceLimit);
  RC_ASSERT(fleet.AreAllAlive());
  return fleet;
}

} // namespace

Test(Membership, MergeIsAssociativeCommutativeAndIdempotent)
{
  cr_assert(rc::check("merge is commutative, associative, idempotent", [] {
    MemberRecord a = AnyRecord();
    MemberRecord b = AnyRecord();
    MemberRecord c = AnyRecord();
    RC_ASSERT(Merge(a, b) == Merge(b, a));
    RC_ASSERT(Merge(Merge(a, b), c) == Merge(a, Merge(b, c)));
    RC_ASSERT(Merge(a, a) == a);
  }));
}

Test(Membership, EveryBalancerSeesAllMembersAfterTheStart)
{
  cr_assert(rc::check("every balancer sees all members after the start",
                      [] { ConvergedFleet(*rc::gen::arbitrary<uint64_t>()); }));
}

Test(Membership, EveryBalancerSeesADeathAndTheRestart)
{
  cr_assert(rc::check("every balancer sees a death, then the restart", [] {
    FakeFleet fleet = ConvergedFleet(*rc::gen::arbitrary<uint64_t>());
    std::string victim = *rc::gen::elementOf(fleet.Ids());
    fleet.Kill(victim);
    fleet.AdvanceTime(kConvergenceLimit);
    RC_ASSERT(fleet.IsStateEverywhere(victim, MemberState::Dead));
    fleet.Restart(victim);
    fleet.AdvanceTime(kConvergenceLimit);
    RC_ASSERT(fleet.AreAllAlive());
  }));
}

Test(Membership, EveryBalancerSeesADrainWithinSeconds)
{
  cr_assert(rc::check("every balancer sees a drain within a few seconds", [] {
    FakeFleet fleet = ConvergedFleet(*rc::gen::arbitrary<uint64_t>());
    fleet.Drain("agent-7");
    fleet.AdvanceTime(kDrainLimit);
    RC_ASSERT(fleet.IsStateEverywhere("agent-7", MemberState::Draining));
  }));
}

Test(Membership, NoMemberIsMarkedDeadBySuspicionFromOneDomain)
{
  cr_assert(rc::check("suspicion from one domain marks nobody as dead", [] {
    FakeFleet fleet = ConvergedFleet(*rc::gen::arbitrary<uint64_t>());
    std::string isolated = *rc::gen::elementOf(fleet.Ids());
    fleet.SetReachable([&](const std::string& aFrom, const std::string& aTo) {
      return aFrom != isolated && aTo != isolated;
    });
    fleet.AdvanceTime(Seconds(30));
    for (const std::string& id : fleet.Ids()) {
      if (id != isolated) {
        // All other members are alive at all other balancers.
        for (const std::string& other : fleet.Ids()) {
          if (other != isolated && other.starts_with("balancer")) {
            RC_ASSERT(fleet.StateAt(other, id) == MemberState::Alive);
          }
        }
      }
    }
    fleet.SetReachable(
      [](const std::string&, const std::string&) { return true; });
    fleet.AdvanceTime(Seconds(30));
    RC_ASSERT(fleet.AreAllAlive());
  }));
}

Test(Membership, ConvergesAfterALongPartition)
{
  // Few seeds, because simulating an hour takes long.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    FakeFleet fleet(6, 9, 3, seed);
    fleet.AdvanceTime(kConvergenceLimit);
    auto isIsolated = [&](const std::string& aId) {
      return fleet.DomainOf(aId) == "domain-0";
    };
    fleet.SetReachable([&](const std::string& aFrom, const std::string& aTo) {
      return isIsolated(aFrom) == isIsolated(aTo);
    });
    fleet.AdvanceTime(std::chrono::hours(1));
    fleet.SetReachable(
      [](const std::string&, const std::string&) { return true; });
    fleet.AdvanceTime(Seconds(60));
    cr_assert(fleet.AreAllAlive(), "seed %d", int(seed));
  }
}

Test(Membership, NoMemberIsMarkedDeadAfterABalancerPause)
{
  cr_assert(rc::check("nobody is marked as dead after a pause", [] {
    FakeFleet fleet = ConvergedFleet(*rc::gen::arbitrary<uint64_t>());
    fleet.Pause("balancer-2");
    fleet.AdvanceTime(Seconds(*rc::gen::inRange(2, 60)));
    fleet.Resume("balancer-2");
    fleet.AdvanceTime(kConvergenceLimit);
    RC_ASSERT(fleet.AreAllAlive());
  }));
}
