#include "ServerPace.h"

#include "CountedMean.h"

namespace bilberryfield {

namespace {

/** A response is in good time up to this multiple of the mean. */
constexpr double kGoodTimeFactor = 2;
/** Least weight of a new sample in the mean response time. */
constexpr double kSmoothingFactor = 0.1;

} // namespace

void
ServerPace::Begin(TimePoint aNow, bool aIsFailure)
{
  while (!m_failures.empty() && aNow - m_failures.front() >= kFailureMemory) {
    m_failures.pop_front();
  }
  if (aIsFailure) {
    m_failures.push_back(aNow);
  }
  m_isSlow = m_failures.size() >= kMaxFailures;
  m_isRamping = true;
  m_limit = 1;
  m_roundAnswers = 0;
  m_meanUs = 0;
  m_answers = 0;
}

// Doubling finds the full limit of a healthy server within a few responses. A
// server that fails repeatedly may fail because of the load, so its limit grows
// by one flow only after as many responses as it has flows.
void
ServerPace::OnAnswer(Duration aTime, uint32_t aFullLimit)
{
  if (!m_isRamping) {
    return;
  }
  auto sample = static_cast<double>(aTime.count());
  bool isInGoodTime = m_answers == 0 || sample <= kGoodTimeFactor * m_meanUs;
  m_answers += 1;
  AddToMean(m_meanUs, m_answers, sample, kSmoothingFactor);
  if (isInGoodTime) {
    m_roundAnswers += 1;
    if (!m_isSlow || m_roundAnswers >= m_limit) {
      m_limit += 1;
      m_roundAnswers = 0;
    }
  }
  m_isRamping = m_limit < aFullLimit;
}

void
ServerPace::OnPause(Duration aPause)
{
  for (TimePoint& failure : m_failures) {
    failure += aPause;
  }
}

} // namespace bilberryfield
