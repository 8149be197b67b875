#pragma once

#include "Time.h"

#include <optional>

namespace bilberryfield {

/** Detects pauses of the process from the gaps between its events. */
class PauseDetector
{
public:
  /** A gap longer than aLimit counts as a pause. */
  explicit PauseDetector(Duration aLimit)
    : m_limit(aLimit)
  {
  }

  /**
   * Records an event. Returns the length of the pause before it, or zero if
   * there was none.
   */
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
