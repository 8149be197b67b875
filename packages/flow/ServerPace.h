#pragma once

#include "NameTable.h"
#include "Time.h"

#include <deque>

namespace bilberryfield {

/** Why a ramp begins. */
enum class RampReason : uint8_t
{
  Start,     /**< A new incarnation of the server. */
  Recovered, /**< The server answers again after a silence. */
  Refused,   /**< The server refused or did not answer a SYN of the ramp. */
  Count,
};

inline constexpr NameTable<RampReason, 3> kRampReasonNames = { {
  { RampReason::Start, "start" },
  { RampReason::Recovered, "recovered" },
  { RampReason::Refused, "refused" },
} };

/**
 * Limits the flows at a server that has just started or recovered. The limit
 * starts at one flow and grows with each response in good time until it reaches
 * the server's full limit. The server's own response times thus set the rate of
 * the growth.
 */
class ServerPace
{
public:
  /** Sets the limit to one flow. aIsFailure: the server was down or refused a
   * flow, in contrast to its first start. */
  void Begin(TimePoint aNow, bool aIsFailure);

  /**
   * Records the response to a flow that was admitted in this ramp. aFullLimit
   * is the limit without a ramp; the ramp ends when the limit reaches it.
   */
  void OnAnswer(Duration aTime, uint32_t aFullLimit);

  /** Excludes a pause of this process from the ages of the failures. */
  void OnPause(Duration aPause);

  bool IsRamping() const { return m_isRamping; }
  /** Maximum number of flows while the server is ramping up. */
  uint32_t Limit() const { return m_limit; }

  /** Failures within kFailureMemory after which the limit grows slowly. */
  static constexpr size_t kMaxFailures = 3;
  static constexpr Duration kFailureMemory = Seconds(30);

private:
  bool m_isRamping = false;
  uint32_t m_limit = 1;
  /** The limit grows by one flow per round of responses. */
  bool m_isSlow = false;
  /** Responses in good time since the limit last changed. */
  uint32_t m_roundAnswers = 0;
  double m_meanUs = 0;
  uint32_t m_answers = 0;
  std::deque<TimePoint> m_failures;
};

} // namespace bilberryfield
