#pragma once

#include "Time.h"

#include <cstdint>

namespace bilberryfield {

/**
 * Limits the flows at a server, so that no slot is idle while callers wait and
 * the queue inside the server stays short. A flow occupies a slot only from its
 * request on, which arrives a round trip after its SYN packet. The longer this
 * takes, for example behind slow balancers, the more flows beyond the number of
 * slots must be admitted.
 */
class FlowLimit
{
public:
  /** Records the time from a flow's SYN packet to its request. */
  void OnRequest(Duration aSinceSyn);

  /** Records the time from a request to its answer. */
  void OnAnswer(Duration aSinceRequest);

  /** Maximum number of flows at a server that runs aSlots requests at a time.
   */
  uint32_t MaxFlows(uint32_t aSlots) const;

  /** True if a server with aBusy flows may get one more. aLessUrgent of them
   * are open flows with a request that is less urgent than the new flow. */
  bool MayAdmit(uint32_t aSlots, uint32_t aBusy, uint32_t aLessUrgent) const;

private:
  /** Moving averages in microseconds; 0 before the first sample. */
  double m_handshakeUs = 0;
  double m_serviceTimeUs = 0;
};

} // namespace bilberryfield
