#pragma once

#include "Time.h"

namespace bilberryfield {

/** Current time of the steady clock. */
inline TimePoint
SteadyNow()
{
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

} // namespace bilberryfield
