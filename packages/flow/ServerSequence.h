#pragma once

#include "Packet.h"

namespace bilberryfield {

/** What an acknowledgement number says about a flow at a server. */
enum class AckOrigin : uint8_t
{
  Unknown, /**< Nobody has seen all that the server has sent on the flow. */
  Server,  /**< The number is one that the server has sent. */
  Foreign, /**< The server has not sent the number: another one has the flow. */
};

/**
 * The sequence numbers that a server has sent on a flow, as its agent has seen
 * them. A caller acknowledges only what it was sent, and all packets of a
 * server pass its agent, so the numbers tell which of two servers that answered
 * the same SYN packet has the flow.
 */
class ServerSequence
{
public:
  /** Handles a packet of the server. aIsSeenFromStart: the agent has seen all
   * packets that the server sent on the flow before a SYN-ACK packet. */
  void OnPacket(const PacketHeader& aHeader, bool aIsSeenFromStart);

  /** Tells where a caller's acknowledgement number comes from. */
  AckOrigin OriginOf(uint32_t aAck) const;

  /** The server has answered the SYN packet. */
  bool IsKnown() const { return m_isKnown; }

private:
  bool m_isKnown = false;
  bool m_isSeenFromStart = false;
  /** Number of the SYN-ACK packet. */
  uint32_t m_first = 0;
  /** The number after the highest one that was sent. */
  uint32_t m_next = 0;
  /** Numbers from the first byte to m_next, at most kMaxDistance. */
  uint32_t m_sent = 0;
};

} // namespace bilberryfield
