#include "SynBacklog.h"

#include <algorithm>

namespace bilberryfield {

void
SynBacklog::Add(const PacketHeader& aHeader, PacketBytes aBytes)
{
  if (m_syns.size() == kMaxPackets) {
    m_syns.erase(m_syns.begin());
    m_discardedCount += 1;
  }
  m_syns.push_back({ aHeader, { aBytes.begin(), aBytes.end() } });
}

// The caller of a retransmitted SYN has already waited for hundreds of
// milliseconds.
void
SynBacklog::SortForPlacement()
{
  std::reverse(m_syns.begin(), m_syns.end());
  std::stable_sort(
    m_syns.begin(), m_syns.end(), [](const Syn& aFirst, const Syn& aSecond) {
      return aFirst.m_header.RetransmissionCount() <
             aSecond.m_header.RetransmissionCount();
    });
}

} // namespace bilberryfield
