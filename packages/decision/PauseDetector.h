#pragma once

#include "Time.h"

#include <optional>

namespace bilberryfield {

/** Finds out that the process was paused, from gaps between its events. */
class PauseDetector
{
public:
  /** aLimit is the longest gap that counts as running. */
  explicit PauseDetector(Duration aLimit)
    : m_limit(aLimit)
  {
  }

  /** Records an event; the length of the pause before it, or zero. */
  Duration OnEvent(TimePoint aNow)
  {
    Duration gap = m_last ? aNow - *m_last : Duration(0);
    m_last = aNow;
    return gap > m_limit ? gap : Duration(0);
  }

private:
  Duration m_limit;
  std::optional<TimePoint> m_last;
};

} // namespace bilberryfield
