// Random sequences of requests and faults must never break the guarantees that
// FakeSystem checks after every step.

#include "FakeSystem.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace rc {

template<>
struct Arbitrary<FakeStep>
{
  static Gen<FakeStep> arbitrary()
  {
    return gen::build<FakeStep>(
      gen::set(&FakeStep::m_kind, gen::inRange<uint32_t>(0, 27)),
      gen::set(&FakeStep::m_first, gen::inRange<uint32_t>(0, 4000)),
      gen::set(&FakeStep::m_second, gen::inRange<uint32_t>(0, 4000)));
  }
};

} // namespace rc

namespace bilberryfield {

void
showValue(const FakeStep& aStep, std::ostream& aStream)
{
  aStream << "{" << aStep.m_kind << ", " << aStep.m_first << ", "
          << aStep.m_second << "}";
}

} // namespace bilberryfield

namespace {

constexpr int kStepsPerRun = 400;

bool
CheckGuarantees(const std::string& aName, const FakeFaults& aFaults)
{
  return rc::check(aName, [&] {
    auto steps =
      *rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<FakeStep>>());
    FakeSystem system;
    for (const FakeStep& step : steps) {
      system.Run(step, aFaults);
    }
    system.RunUntilIdle();
    RC_CLASSIFY(system.ServedCount() > 3, "served more than 3 requests");
  });
}

} // namespace

Test(RequestGuarantees, HoldOnAnUnreliableNetwork)
{
  cr_assert(CheckGuarantees("guarantees hold while links are lost",
                            { .m_kills = false, .m_drains = false }));
}

Test(RequestGuarantees, HoldWhileServersDrain)
{
  cr_assert(CheckGuarantees("guarantees hold while servers drain",
                            { .m_kills = false, .m_drains = true }));
}

Test(RequestGuarantees, HoldWhileProcessesAreKilledAndRestarted)
{
  cr_assert(
    CheckGuarantees("guarantees hold while processes are killed and restarted",
                    { .m_kills = true, .m_drains = true }));
}

Test(RequestGuarantees, HoldInLongRuns)
{
  // Runs of a fixed large length reach states that runs of a random, growing
  // length seldom reach.
  cr_assert(rc::check("guarantees hold in long runs", [] {
    auto steps = *rc::gen::container<std::vector<FakeStep>>(
      kStepsPerRun, rc::gen::arbitrary<FakeStep>());
    FakeSystem system;
    for (const FakeStep& step : steps) {
      system.Run(step, {});
    }
    system.RunUntilIdle();
    RC_TAG(std::to_string(system.ServedCount() / 20 * 20) + " or more served");
  }));
}
