#include "RequestQueue.h"

#include <algorithm>
#include <utility>

namespace bilberryfield {

void
RequestQueue::Add(TimePoint aNow, QueuedPacket aPacket)
{
  FlowKey flow = aPacket.m_header.FlowFromCaller();
  auto found = m_ranks.find(flow);
  if (found == m_ranks.end()) {
    Rank rank{ aPacket.m_priority, m_nextArrival++ };
    found = m_ranks.emplace(flow, rank).first;
    m_requests.emplace(rank, WaitingRequest{ aNow, {} });
  }
  m_requests.at(found->second).m_packets.push_back(std::move(aPacket));
}

WaitingRequest
RequestQueue::Take(Requests::iterator aEntry)
{
  WaitingRequest request = std::move(aEntry->second);
  m_ranks.erase(request.m_packets.front().m_header.FlowFromCaller());
  m_requests.erase(aEntry);
  return request;
}

std::optional<WaitingRequest>
RequestQueue::TakeNext()
{
  if (m_requests.empty()) {
    return std::nullopt;
  }
  return Take(m_requests.begin());
}

std::vector<WaitingRequest>
RequestQueue::TakeExpired(TimePoint aNow)
{
  std::vector<Rank> expired;
  for (const auto& [rank, request] : m_requests) {
    if (aNow - request.m_since >= kMaxRequestWait) {
      expired.push_back(rank);
    }
  }
  std::ranges::sort(expired, {}, &Rank::m_arrival);
  std::vector<WaitingRequest> taken;
  taken.reserve(expired.size());
  for (const Rank& rank : expired) {
    taken.push_back(Take(m_requests.find(rank)));
  }
  return taken;
}

std::optional<WaitingRequest>
RequestQueue::TakeFlow(const FlowKey& aFlow)
{
  auto found = m_ranks.find(aFlow);
  if (found == m_ranks.end()) {
    return std::nullopt;
  }
  return Take(m_requests.find(found->second));
}

bool
RequestQueue::ContainsPacket(const PacketHeader& aHeader) const
{
  auto found = m_ranks.find(aHeader.FlowFromCaller());
  if (found == m_ranks.end() || aHeader.m_length == 0) {
    return false;
  }
  return std::ranges::any_of(
    m_requests.at(found->second).m_packets, [&](const QueuedPacket& aPacket) {
      return aPacket.m_header.m_seq == aHeader.m_seq &&
             aPacket.m_header.m_length == aHeader.m_length;
    });
}

bool
RequestQueue::HasRoomFor(const FlowKey& aFlow) const
{
  auto found = m_ranks.find(aFlow);
  if (found == m_ranks.end()) {
    return m_requests.size() < kMaxRequests;
  }
  return m_requests.at(found->second).m_packets.size() < kMaxPacketsPerFlow;
}

std::optional<uint8_t>
RequestQueue::NextPriority() const
{
  if (m_requests.empty()) {
    return std::nullopt;
  }
  return m_requests.begin()->first.m_priority;
}

} // namespace bilberryfield
