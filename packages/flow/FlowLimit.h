#pragma once

#include "Time.h"

#include <cstdint>

namespace bilberryfield {

/**
 * How many flows a server may have at a time, so that its slots are never idle
 * while callers wait and no longer queue than needed stands inside it. A flow
 * needs a slot from its request on, which comes a round trip after its opening
 * packet; where balancers are slow, more flows have to be opened ahead.
 */
class FlowLimit
{
public:
  /** A request came this long after its flow's opening packet. */
  void OnRequest(Duration aSinceSyn);

  /** An answer came this long after its request. */
  void OnAnswer(Duration aSinceRequest);

  /** Most flows at a server that runs so many requests at a time. */
  uint32_t MaxFlows(uint32_t aSlots) const;

private:
  /** Moving means, microseconds; 0 before the first sample. */
  double m_handshakeUs = 0;
  double m_serviceTimeUs = 0;
};

} // namespace bilberryfield
