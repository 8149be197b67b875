#include "LateOpenings.h"

namespace bilberryfield {

void
LateOpenings::Add(LateOpening aOpening)
{
  if (m_openings.size() >= kMaxOpenings) {
    // Given up at the next tick, with those that have expired.
    m_openings[m_openings.size() - kMaxOpenings].m_giveUpAt = TimePoint{};
  }
  m_openings.push_back(std::move(aOpening));
}

std::vector<LateOpening>
LateOpenings::TakeExpired(TimePoint aNow)
{
  std::vector<LateOpening> expired;
  while (!m_openings.empty() && m_openings.front().m_giveUpAt <= aNow) {
    expired.push_back(std::move(m_openings.front()));
    m_openings.pop_front();
  }
  return expired;
}

LateOpening
LateOpenings::TakeNewest()
{
  LateOpening newest = std::move(m_openings.back());
  m_openings.pop_back();
  return newest;
}

} // namespace bilberryfield
