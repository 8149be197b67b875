#include "FakeFleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

// Users require that all balancers apply a drain or failure of a server within
// a few seconds and any other change within 11 s.
constexpr Duration kFewSeconds = Seconds(5);
constexpr Duration kEverywhere = Seconds(11);

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
      record.m_accusers.push_back({ id, id });
    }
  }
  return record;
}

FakeFleet
ReadyFleet(uint64_t aSeed)
{
  FakeFleet fleet(6, 9, 3, aSeed);
  fleet.Pass(kEverywhere);
  RC_ASSERT(fleet.IsAllAlive());
  return fleet;
}

} // namespace

Test(Members, MergeIsAJoin)
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

Test(Members, KnowEachOtherAfterTheStart)
{
  cr_assert(rc::check("all members are known everywhere after a start",
                      [] { ReadyFleet(*rc::gen::arbitrary<uint64_t>()); }));
}

Test(Members, NoticeADeathAndARestart)
{
  cr_assert(rc::check("a death is known, then the restart is", [] {
    FakeFleet fleet = ReadyFleet(*rc::gen::arbitrary<uint64_t>());
    std::string victim = *rc::gen::elementOf(fleet.Ids());
    fleet.Kill(victim);
    fleet.Pass(kEverywhere);
    RC_ASSERT(fleet.IsEverywhere(victim, MemberState::Dead));
    fleet.Restart(victim);
    fleet.Pass(kEverywhere);
    RC_ASSERT(fleet.IsAllAlive());
  }));
}

Test(Members, HearOfADrainWithinSeconds)
{
  cr_assert(rc::check("a drain is known within a few seconds", [] {
    FakeFleet fleet = ReadyFleet(*rc::gen::arbitrary<uint64_t>());
    fleet.Drain("agent-7");
    fleet.Pass(kFewSeconds);
    RC_ASSERT(fleet.IsEverywhere("agent-7", MemberState::Draining));
  }));
}

Test(Members, BelieveNoDeathThatOneDomainAloneSees)
{
  cr_assert(rc::check("a domain that is cut off convinces nobody", [] {
    FakeFleet fleet = ReadyFleet(*rc::gen::arbitrary<uint64_t>());
    std::string cut = *rc::gen::elementOf(fleet.Ids());
    fleet.SetReachable([&](const std::string& aFrom, const std::string& aTo) {
      return aFrom != cut && aTo != cut;
    });
    fleet.Pass(Seconds(30));
    for (const std::string& id : fleet.Ids()) {
      if (id != cut) {
        // All other members are alive at all other balancers.
        for (const std::string& other : fleet.Ids()) {
          if (other != cut && other.starts_with("balancer")) {
            RC_ASSERT(fleet.StateAt(other, id) == MemberState::Alive);
          }
        }
      }
    }
    fleet.SetReachable(
      [](const std::string&, const std::string&) { return true; });
    fleet.Pass(Seconds(30));
    RC_ASSERT(fleet.IsAllAlive());
  }));
}

Test(Members, ComeTogetherAfterRegionsWereApart)
{
  // Few seeds, because simulating an hour takes long.
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    FakeFleet fleet(6, 9, 3, seed);
    fleet.Pass(kEverywhere);
    auto isFar = [&](const std::string& aId) {
      return fleet.DomainOf(aId) == "domain-0";
    };
    fleet.SetReachable([&](const std::string& aFrom, const std::string& aTo) {
      return isFar(aFrom) == isFar(aTo);
    });
    fleet.Pass(std::chrono::hours(1));
    fleet.SetReachable(
      [](const std::string&, const std::string&) { return true; });
    fleet.Pass(Seconds(60));
    cr_assert(fleet.IsAllAlive(), "seed %d", int(seed));
  }
}

Test(Members, OutliveAPausedBalancer)
{
  cr_assert(rc::check("a balancer that wakes accuses nobody", [] {
    FakeFleet fleet = ReadyFleet(*rc::gen::arbitrary<uint64_t>());
    fleet.Pause("balancer-2");
    fleet.Pass(Seconds(*rc::gen::inRange(2, 60)));
    fleet.Resume("balancer-2");
    fleet.Pass(kEverywhere);
    RC_ASSERT(fleet.IsAllAlive());
  }));
}
