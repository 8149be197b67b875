#pragma once

#include "Packet.h"
#include "Time.h"

#include <vector>

namespace bilberryfield {

/**
 * Opening packets that arrived together, in the order in which they are worth
 * serving: those of callers that have just begun to wait come first. A VM that
 * cannot keep up serves some callers in time instead of all of them late, and
 * leaves out the others, whose callers send a copy soon.
 */
class OpeningBacklog
{
public:
  /** Takes an opening packet; the oldest leaves when there are too many. */
  void Add(const PacketHeader& aHeader, PacketBytes aBytes);

  /**
   * Calls aPlace(header, bytes) for each packet, those of the newest flows
   * first, until aNow() is kPlacingLimit after its first value. Forgets the
   * others.
   */
  template<typename Clock, typename Place>
  void TakeAll(Clock aNow, Place aPlace)
  {
    SortByWorth();
    TimePoint end = aNow() + kPlacingLimit;
    for (auto it = m_openings.begin(); it != m_openings.end(); ++it) {
      if (aNow() > end) {
        m_leftOut += static_cast<uint64_t>(m_openings.end() - it);
        break;
      }
      aPlace(it->m_header, std::span<uint8_t>(it->m_bytes));
    }
    m_openings.clear();
  }

  size_t Size() const { return m_openings.size(); }
  /** Packets that were not served, so far. */
  uint64_t LeftOut() const { return m_leftOut; }

  /** Time for opening packets before packets of open flows get their turn. */
  static constexpr Duration kPlacingLimit = Milliseconds(25);
  static constexpr size_t kMaxOpenings = 256;

private:
  struct Opening
  {
    PacketHeader m_header;
    std::vector<uint8_t> m_bytes;
  };

  void SortByWorth();

  std::vector<Opening> m_openings;
  uint64_t m_leftOut = 0;
};

} // namespace bilberryfield
