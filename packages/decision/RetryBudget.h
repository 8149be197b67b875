#pragma once

#include <algorithm>

namespace bilberryfield {

/** Token bucket that limits retries to a fixed ratio of first attempts. */
class RetryBudget
{
public:
  /** aRatio is retries per first attempt; aBurst is the bucket's capacity. */
  RetryBudget(double aRatio, double aBurst)
    : m_ratio(aRatio)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  /** Adds the tokens that a first attempt earns. */
  void OnFirstAttempt() { m_tokens = std::min(m_burst, m_tokens + m_ratio); }

  /** Takes the token for one retry; false if there is none. */
  bool TryTake()
  {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  double m_ratio;
  double m_burst;
  double m_tokens;
};

} // namespace bilberryfield
