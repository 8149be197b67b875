#pragma once

#include "Packet.h"
#include "Time.h"

#include <vector>

namespace bilberryfield {

/**
 * SYN packets that arrived together, in the order in which they are worth
 * serving: those of callers that have just begun to wait come first. A VM that
 * cannot keep up serves some callers in time instead of all of them late, and
 * leaves out the others, whose callers send a copy soon.
 */
class SynBacklog
{
public:
  /** Takes an opening packet; the oldest leaves when there are too many. */
  void Add(const PacketHeader& aHeader, PacketBytes aBytes);

  /**
   * Calls aPlace(header, bytes) for each packet, those of the newest flows
   * first, until aNow() is kPlacementBudget after its first value. Forgets the
   * others.
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
  /** Packets that were not served, so far. */
  uint64_t DiscardedCount() const { return m_discardedCount; }

  /** Time for opening packets before packets of open flows get their turn. */
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
