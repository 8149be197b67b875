#pragma once

#include "Time.h"

#include <map>
#include <mutex>
#include <string>

namespace bilberryfield {

/**
 * Bounds how many lines of each event are written, and counts the others.
 * Thread-safe.
 */
class LogBudget
{
public:
  /** Lines of one event in a second, and at once after a quiet time. */
  LogBudget(double aLinesPerSecond, double aBurst);

  /** True when a line of the event may be written now. */
  bool Take(TimePoint aNow, const std::string& aEvent);

  /** Lines left out since the last call, by event. */
  std::map<std::string, uint64_t> TakeLeftOut();

private:
  struct Bucket
  {
    double m_tokens = 0;
    TimePoint m_filledAt;
    uint64_t m_leftOut = 0;
  };

  double m_linesPerSecond;
  double m_burst;
  std::mutex m_mutex;
  std::map<std::string, Bucket> m_buckets;
};

} // namespace bilberryfield
