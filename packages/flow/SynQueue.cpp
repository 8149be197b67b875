#include "SynQueue.h"

#include <algorithm>
#include <array>

namespace bilberryfield {

namespace {

// Maximum wait by number of retransmissions. A caller retransmits its SYN after
// 200 ms and 600 ms and times out after 1.4 s, counted from the first
// transmission. The first two limits allow for a delay of 30 ms of the next
// retransmission; the last one ends 100 ms before the caller's timeout.
constexpr std::array<Duration, 3> kMaxWaits = { Milliseconds(230),
                                                Milliseconds(430),
                                                Milliseconds(700) };

Duration
MaxWait(const PacketHeader& aHeader)
{
  size_t last = kMaxWaits.size() - 1;
  return kMaxWaits[std::min<size_t>(aHeader.RetransmissionCount(), last)];
}

} // namespace

std::optional<QueuedSyn>
SynQueue::Add(TimePoint aNow, QueuedSyn aSyn)
{
  FlowKey flow = aSyn.m_header.FlowFromCaller();
  if (auto earlier = m_ranks.find(flow); earlier != m_ranks.end()) {
    Take(m_entries.find(earlier->second));
  }
  Rank rank{ aSyn.m_header.RetransmissionCount(),
             aSyn.m_priority,
             m_nextRecency-- };
  m_ranks.emplace(flow, rank);
  m_firstTransmissions += rank.m_retransmissions == 0 ? 1 : 0;
  m_entries.emplace(rank, Entry{ std::move(aSyn), aNow });
  if (m_entries.size() <= kMaxPackets) {
    return std::nullopt;
  }
  return Take(std::prev(m_entries.end()));
}

QueuedSyn
SynQueue::Take(Entries::iterator aEntry)
{
  QueuedSyn syn = std::move(aEntry->second.m_syn);
  m_ranks.erase(syn.m_header.FlowFromCaller());
  m_firstTransmissions -= aEntry->first.m_retransmissions == 0 ? 1 : 0;
  m_entries.erase(aEntry);
  return syn;
}

SynQueue::Group
SynQueue::GroupAt(Entries::iterator aNewest)
{
  Rank end = aNewest->first;
  end.m_recency = UINT64_MAX;
  return { aNewest, std::prev(m_entries.upper_bound(end)) };
}

// Strict priority would starve less urgent callers when the urgent ones alone
// exceed the server's capacity.
SynQueue::Group
SynQueue::NextGroup()
{
  Group urgent = GroupAt(m_entries.begin());
  auto next = std::next(urgent.m_oldest);
  bool hasLessUrgent =
    next != m_entries.end() &&
    next->first.m_retransmissions == urgent.m_newest->first.m_retransmissions;
  if (!hasLessUrgent) {
    return urgent;
  }
  m_urgentCount += 1;
  if (m_urgentCount <= kUrgentBurst) {
    return urgent;
  }
  m_urgentCount = 0;
  return GroupAt(next);
}

std::optional<QueuedSyn>
SynQueue::TakeNext(TimePoint aNow)
{
  if (m_entries.empty()) {
    return std::nullopt;
  }
  Group group = NextGroup();
  Duration longest = aNow - group.m_oldest->second.m_queuedAt;
  return Take(longest >= kStandingQueueDelay ? group.m_newest : group.m_oldest);
}

std::optional<uint8_t>
SynQueue::NextPriority() const
{
  if (m_entries.empty()) {
    return std::nullopt;
  }
  return m_entries.begin()->first.m_priority;
}

std::vector<QueuedSyn>
SynQueue::TakeExpired(TimePoint aNow)
{
  std::vector<Rank> expired;
  for (const auto& [rank, entry] : m_entries) {
    if (aNow - entry.m_queuedAt >= MaxWait(entry.m_syn.m_header)) {
      expired.push_back(rank);
    }
  }
  std::vector<QueuedSyn> taken;
  taken.reserve(expired.size());
  for (const Rank& rank : expired) {
    taken.push_back(Take(m_entries.find(rank)));
  }
  return taken;
}

std::vector<QueuedSyn>
SynQueue::TakeAll()
{
  std::vector<QueuedSyn> all;
  all.reserve(m_entries.size());
  for (auto& [rank, entry] : m_entries) {
    all.push_back(std::move(entry.m_syn));
  }
  m_entries.clear();
  m_ranks.clear();
  m_firstTransmissions = 0;
  return all;
}

} // namespace bilberryfield
