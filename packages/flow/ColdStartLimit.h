#pragma once

#include "Time.h"

#include <deque>
#include <optional>

namespace bilberryfield {

/**
 * Bounds the new flows that a cold server gets in any span of one second. The
 * window counts admitted SYN packets, also those to a warm server, so that
 * those just before a restart are known.
 */
class ColdStartLimit
{
public:
  /** The server may have got flows before aTime that were not counted here, so
   * the window counts as used up at aTime. */
  void OnUncountedAdmissions(TimePoint aTime) { m_uncountedUntil = aTime; }

  /** Records an admitted SYN packet. */
  void OnAdmitted(TimePoint aNow);

  /** Time from aNow until a further SYN packet may be admitted if at most
   * aMaxFlows are admitted per window; zero if one may be admitted now. With a
   * maximum of 0 this is a whole window. */
  Duration TimeUntilAdmission(TimePoint aNow, size_t aMaxFlows) const;

  bool MayAdmit(TimePoint aNow, size_t aMaxFlows) const
  {
    return TimeUntilAdmission(aNow, aMaxFlows) == Duration(0);
  }

  /** One second, plus the time by which packets can reach the server closer
   * together than they left the agent. */
  static constexpr Duration kWindow = Milliseconds(1050);

private:
  std::deque<TimePoint> m_admissions;
  std::optional<TimePoint> m_uncountedUntil;
};

} // namespace bilberryfield
