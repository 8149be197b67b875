#include "WaitingOpenings.h"

#include <algorithm>
#include <array>

namespace bilberryfield {

namespace {

// A caller sends copies 200 ms and 600 ms after its first packet and ends its
// attempt after 1.4 s. A copy may be some milliseconds late; after the last
// one, the end comes a little before the caller's own.
constexpr std::array<Duration, 3> kWaitOfCopy = { Milliseconds(230),
                                                  Milliseconds(430),
                                                  Milliseconds(700) };

Duration
WaitOf(const PacketHeader& aHeader)
{
  size_t last = kWaitOfCopy.size() - 1;
  return kWaitOfCopy[std::min<size_t>(aHeader.CopyNumber(), last)];
}

} // namespace

std::optional<WaitingOpening>
WaitingOpenings::Add(TimePoint aNow, WaitingOpening aOpening)
{
  FlowKey flow = aOpening.m_header.FlowFromCaller();
  if (auto earlier = m_ranks.find(flow); earlier != m_ranks.end()) {
    Take(m_openings.find(earlier->second));
  }
  Rank rank{ aOpening.m_header.CopyNumber(),
             aOpening.m_priority,
             m_nextRecency-- };
  m_ranks.emplace(flow, rank);
  m_firstCopies += rank.m_copyNumber == 0 ? 1 : 0;
  m_openings.emplace(rank, Entry{ std::move(aOpening), aNow });
  if (m_openings.size() <= kMaxOpenings) {
    return std::nullopt;
  }
  return Take(std::prev(m_openings.end()));
}

WaitingOpening
WaitingOpenings::Take(Entries::iterator aEntry)
{
  WaitingOpening opening = std::move(aEntry->second.m_opening);
  m_ranks.erase(opening.m_header.FlowFromCaller());
  m_firstCopies -= aEntry->first.m_copyNumber == 0 ? 1 : 0;
  m_openings.erase(aEntry);
  return opening;
}

WaitingOpenings::Group
WaitingOpenings::GroupAt(Entries::iterator aNewest)
{
  Rank end = aNewest->first;
  end.m_recency = UINT64_MAX;
  return { aNewest, std::prev(m_openings.upper_bound(end)) };
}

// Strict order of priority would leave nothing to the others when the urgent
// callers alone are too many.
WaitingOpenings::Group
WaitingOpenings::NextGroup()
{
  Group urgent = GroupAt(m_openings.begin());
  auto next = std::next(urgent.m_oldest);
  bool hasLessUrgent =
    next != m_openings.end() &&
    next->first.m_copyNumber == urgent.m_newest->first.m_copyNumber;
  if (!hasLessUrgent) {
    return urgent;
  }
  m_urgentInRow += 1;
  if (m_urgentInRow <= kUrgentInRow) {
    return urgent;
  }
  m_urgentInRow = 0;
  return GroupAt(next);
}

std::optional<WaitingOpening>
WaitingOpenings::TakeNext(TimePoint aNow)
{
  if (m_openings.empty()) {
    return std::nullopt;
  }
  Group group = NextGroup();
  Duration longest = aNow - group.m_oldest->second.m_since;
  return Take(longest >= kStandingQueue ? group.m_newest : group.m_oldest);
}

std::vector<WaitingOpening>
WaitingOpenings::TakeExpired(TimePoint aNow)
{
  std::vector<Rank> expired;
  for (const auto& [rank, entry] : m_openings) {
    if (aNow - entry.m_since >= WaitOf(entry.m_opening.m_header)) {
      expired.push_back(rank);
    }
  }
  std::vector<WaitingOpening> taken;
  taken.reserve(expired.size());
  for (const Rank& rank : expired) {
    taken.push_back(Take(m_openings.find(rank)));
  }
  return taken;
}

std::vector<WaitingOpening>
WaitingOpenings::TakeAll()
{
  std::vector<WaitingOpening> all;
  all.reserve(m_openings.size());
  for (auto& [rank, entry] : m_openings) {
    all.push_back(std::move(entry.m_opening));
  }
  m_openings.clear();
  m_ranks.clear();
  m_firstCopies = 0;
  return all;
}

} // namespace bilberryfield
