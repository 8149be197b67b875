#pragma once

#include <algorithm>

namespace bilberryfield {

/** Keeps retries to a fixed ratio of first tries, with a small burst. */
class RetryBudget
{
public:
  /** aRatio is retries per first try; aBurst the most that can be saved up. */
  RetryBudget(double aRatio, double aBurst)
    : m_ratio(aRatio)
    , m_burst(aBurst)
    , m_saved(aBurst)
  {
  }

  /** Counts a first try, which earns a part of a retry. */
  void OnFirstTry() { m_saved = std::min(m_burst, m_saved + m_ratio); }

  /** Takes one retry out of the budget; false when there is none left. */
  bool TryTake()
  {
    if (m_saved < 1.0) {
      return false;
    }
    m_saved -= 1.0;
    return true;
  }

private:
  double m_ratio;
  double m_burst;
  double m_saved;
};

} // namespace bilberryfield
