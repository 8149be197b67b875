#include "OpeningBacklog.h"

#include <algorithm>

namespace bilberryfield {

void
OpeningBacklog::Add(const PacketHeader& aHeader, PacketBytes aBytes)
{
  if (m_openings.size() == kMaxOpenings) {
    m_openings.erase(m_openings.begin());
    m_leftOut += 1;
  }
  m_openings.push_back({ aHeader, { aBytes.begin(), aBytes.end() } });
}

// A copy tells that its caller has waited for hundreds of milliseconds.
void
OpeningBacklog::SortByWorth()
{
  std::reverse(m_openings.begin(), m_openings.end());
  std::stable_sort(m_openings.begin(),
                   m_openings.end(),
                   [](const Opening& aLeft, const Opening& aRight) {
                     return aLeft.m_header.CopyNumber() <
                            aRight.m_header.CopyNumber();
                   });
}

} // namespace bilberryfield
