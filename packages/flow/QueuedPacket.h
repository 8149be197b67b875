#pragma once

#include "Packet.h"

#include <absl/container/inlined_vector.h>

namespace bilberryfield {

/** A caller's packet that waits at an agent. */
struct QueuedPacket
{
  PacketHeader m_header;
  uint32_t m_balancerIp = 0;
  /** Priority of the route; 0 is the most urgent. */
  uint8_t m_priority = 0;
  /** The packet as the balancer sent it. */
  absl::InlinedVector<uint8_t, 40> m_bytes;
};

} // namespace bilberryfield
