#pragma once

#include "NameTable.h"
#include "Time.h"

#include <cstddef>
#include <cstdint>

namespace bilberryfield {

/** Whether a backend server gets new flows, judged by how earlier flows ended.
 */
enum class CircuitState : uint8_t
{
  Closed,   /**< The server gets new flows. */
  Open,     /**< It gets none until the backoff has passed. */
  HalfOpen, /**< It gets one flow at a time as a probe. */
};

inline constexpr NameTable<CircuitState, 3> kCircuitStateNames = { {
  { CircuitState::Closed, "closed" },
  { CircuitState::Open, "open" },
  { CircuitState::HalfOpen, "half-open" },
} };

/** Returns the names of CircuitState; selected by argument type. */
constexpr const auto&
NamesOf(CircuitState)
{
  return kCircuitStateNames;
}

/**
 * Stops new flows to a backend server that accepts flows and then resets their
 * requests without an answer. Such a server is free again at once, so it looks
 * idle and would attract most of the new flows. After a backoff, single flows
 * probe it.
 */
class CircuitBreaker
{
public:
  CircuitState State(TimePoint aNow) const;

  /** True if a new flow may go to the server. A probe needs a flow whose
   * requests are idempotent, because its caller may have to repeat them; if
   * none arrives for a while, any flow will do. */
  bool MayAdmit(TimePoint aNow, bool aIsIdempotent) const;

  /** Records a flow that goes to the server. */
  void OnAdmitted(TimePoint aNow);
  /** Records a request that the server answered. */
  void OnAnswer(TimePoint aNow);
  /** Records a request that the server reset without an answer. */
  void OnReset(TimePoint aNow);
  /** Forgets the earlier flows, which another incarnation had. */
  void OnNewIncarnation() { *this = {}; }

  /** True while a probe waits for its end. */
  bool IsProbing(TimePoint aNow) const;

private:
  void Open(TimePoint aNow);

  bool m_isClosed = true;
  /** Ends of the last flows while closed; a set bit is a reset, the lowest bit
   * is the last flow. */
  uint32_t m_recentResets = 0;
  uint32_t m_answeredProbes = 0;
  Duration m_backoff{ 0 };
  TimePoint m_openUntil;
  TimePoint m_closedAt;
  TimePoint m_probedAt;
  bool m_hasProbe = false;
};

} // namespace bilberryfield
