#pragma once

#include "Packet.h"
#include "Time.h"

#include <vector>

namespace bilberryfield {

/**
 * A batch of received SYN packets, placed in order of urgency: first
 * transmissions before retransmissions, and the newest first among equals. An
 * overloaded VM thus serves some callers in time instead of all of them late.
 * The SYNs that it discards are retransmitted by their callers.
 */
class SynBacklog
{
public:
  /** Adds a SYN packet; discards the oldest one beyond kMaxPackets. */
  void Add(const PacketHeader& aHeader, PacketBytes aBytes);

  /**
   * Calls aPlace(header, bytes) for each packet in order of urgency until
   * kPlacementBudget has elapsed by aNow(). Discards the others.
   */
  template<typename Clock, typename Place>
  void PlaceAll(Clock aNow, Place aPlace)
  {
    SortForPlacement();
    TimePoint end = aNow() + kPlacementBudget;
    for (auto it = m_syns.begin(); it != m_syns.end(); ++it) {
      if (aNow() > end) {
        m_discardedCount += static_cast<uint64_t>(m_syns.end() - it);
        break;
      }
      aPlace(it->m_header, std::span<uint8_t>(it->m_bytes));
    }
    m_syns.clear();
  }

  size_t Size() const { return m_syns.size(); }
  /** Total number of packets discarded. */
  uint64_t DiscardedCount() const { return m_discardedCount; }

  /** Maximum time spent on SYN packets before packets of open flows are served.
   */
  static constexpr Duration kPlacementBudget = Milliseconds(25);
  static constexpr size_t kMaxPackets = 256;

private:
  struct Syn
  {
    PacketHeader m_header;
    std::vector<uint8_t> m_bytes;
  };

  void SortForPlacement();

  std::vector<Syn> m_syns;
  uint64_t m_discardedCount = 0;
};

} // namespace bilberryfield
