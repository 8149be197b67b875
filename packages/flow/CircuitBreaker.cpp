#include "CircuitBreaker.h"

#include <algorithm>
#include <bit>

namespace bilberryfield {

namespace {

/** Last flows that are considered, as a mask of CircuitBreaker's bits. */
constexpr uint32_t kRecentFlows = 0xFF;
/** Resets among the last flows that open the circuit. */
constexpr int kMaxResets = 3;
/** Resets in a row that open the circuit. */
constexpr uint32_t kConsecutiveResets = 0x3;
constexpr Duration kMinBackoff = Milliseconds(250);
constexpr Duration kMaxBackoff = Seconds(2);
/** Answered probes that close the circuit. */
constexpr uint32_t kProbesToClose = 2;
/** Time after which an unanswered probe makes room for another one. */
constexpr Duration kProbeTimeout = Seconds(1);
/** Time without an idempotent flow after which any flow may be the probe. */
constexpr Duration kIdempotentWait = Seconds(1);
/** Time that the circuit has to stay closed for the backoff to start anew. */
constexpr Duration kStableTime = Seconds(10);

} // namespace

CircuitState
CircuitBreaker::State(TimePoint aNow) const
{
  if (m_isClosed) {
    return CircuitState::Closed;
  }
  return aNow < m_openUntil ? CircuitState::Open : CircuitState::HalfOpen;
}

bool
CircuitBreaker::IsProbing(TimePoint aNow) const
{
  return m_hasProbe && aNow - m_probedAt < kProbeTimeout;
}

bool
CircuitBreaker::MayAdmit(TimePoint aNow, bool aIsIdempotent) const
{
  switch (State(aNow)) {
    case CircuitState::Closed:
      return true;
    case CircuitState::Open:
      return false;
    case CircuitState::HalfOpen:
      break;
  }
  bool isSuitable = aIsIdempotent || aNow - m_openUntil >= kIdempotentWait;
  return isSuitable && !IsProbing(aNow);
}

void
CircuitBreaker::OnAdmitted(TimePoint aNow)
{
  if (State(aNow) == CircuitState::HalfOpen) {
    m_hasProbe = true;
    m_probedAt = aNow;
  }
}

void
CircuitBreaker::OnAnswer(TimePoint aNow)
{
  if (m_isClosed) {
    m_recentResets = (m_recentResets << 1U) & kRecentFlows;
    return;
  }
  // While the circuit is open, answers belong to flows from before.
  if (State(aNow) == CircuitState::Open || !m_hasProbe) {
    return;
  }
  m_hasProbe = false;
  m_answeredProbes += 1;
  if (m_answeredProbes >= kProbesToClose) {
    m_isClosed = true;
    m_closedAt = aNow;
    m_recentResets = 0;
  }
}

void
CircuitBreaker::OnReset(TimePoint aNow)
{
  if (!m_isClosed) {
    if (State(aNow) == CircuitState::HalfOpen) {
      Open(aNow);
    }
    return;
  }
  m_recentResets = ((m_recentResets << 1U) | 1U) & kRecentFlows;
  bool isInARow = (m_recentResets & kConsecutiveResets) == kConsecutiveResets;
  if (isInARow || std::popcount(m_recentResets) >= kMaxResets) {
    Open(aNow);
  }
}

void
CircuitBreaker::Open(TimePoint aNow)
{
  bool wasStable = m_isClosed && aNow - m_closedAt >= kStableTime;
  m_backoff = wasStable || m_backoff == Duration(0)
                ? kMinBackoff
                : std::min(2 * m_backoff, kMaxBackoff);
  m_isClosed = false;
  m_openUntil = aNow + m_backoff;
  m_answeredProbes = 0;
  m_hasProbe = false;
}

} // namespace bilberryfield
