#pragma once

#include <chrono>
#include <cstdint>

namespace bilberryfield {

/**
 * Clock type of the decision library. It has no now(): the current time is
 * always passed in, so that tests can run in virtual time.
 */
struct DecisionClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  // The name is required by the standard library's Clock requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/** A point on the process's steady clock, in microseconds. */
using TimePoint = DecisionClock::time_point;

/** A time span in microseconds. */
using Duration = std::chrono::microseconds;

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** Converts a duration to milliseconds, rounded towards zero. */
constexpr int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

} // namespace bilberryfield
