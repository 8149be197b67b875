#pragma once

#include "Time.h"

#include <optional>

namespace bilberryfield {

/** Finds out that the process was paused, from gaps between its ticks. */
class PauseDetector
{
public:
  /** aLimit is the longest gap between ticks that counts as running. */
  explicit PauseDetector(Duration aLimit)
    : m_limit(aLimit)
  {
  }

  /** Records a tick; true when the process was paused before it. */
  bool OnTick(TimePoint aNow)
  {
    bool paused = m_last && aNow - *m_last > m_limit;
    m_last = aNow;
    return paused;
  }

private:
  Duration m_limit;
  std::optional<TimePoint> m_last;
};

} // namespace bilberryfield
