#include "ServerSequence.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Maximum age of an acknowledgement number, in bytes sent since. Sequence
 * numbers wrap, so only half of them can be told to be earlier. */
constexpr uint32_t kMaxDistance = 1U << 31U;

} // namespace

void
ServerSequence::OnPacket(const PacketHeader& aHeader, bool aIsSeenFromStart)
{
  if (aHeader.Has(kSyn)) {
    // A copy of the SYN-ACK packet says nothing new.
    if (!m_isKnown || m_first != aHeader.m_seq) {
      m_isKnown = true;
      m_isSeenFromStart = aIsSeenFromStart;
      m_first = aHeader.m_seq;
      m_next = m_first + 1;
      m_sent = 0;
    }
    return;
  }
  if (!m_isKnown || aHeader.Has(kReset)) {
    return;
  }
  uint32_t end = aHeader.m_seq + aHeader.m_length + (aHeader.Has(kFin) ? 1 : 0);
  uint32_t added = end - m_next;
  if (added < kMaxDistance) {
    m_next = end;
    m_sent = std::min(m_sent, kMaxDistance - added) + added;
  }
}

AckOrigin
ServerSequence::OriginOf(uint32_t aAck) const
{
  if (m_isKnown && m_next - aAck <= m_sent) {
    return AckOrigin::Server;
  }
  return m_isKnown && m_isSeenFromStart ? AckOrigin::Foreign
                                        : AckOrigin::Unknown;
}

} // namespace bilberryfield
