#pragma once

#include <chrono>
#include <cstdint>

namespace bilberryfield {

/** Clock of the decision core; it has no now(), time always arrives as a value.
 */
struct DecisionClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  // The standard library asks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/** A moment of the process's own steady time, in microseconds. */
using TimePoint = DecisionClock::time_point;

/** A length of time in microseconds. */
using Duration = std::chrono::microseconds;

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** Whole milliseconds in a duration, rounded towards zero. */
constexpr int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

} // namespace bilberryfield
