#include "RequestOrder.h"

#include <utility>

namespace bilberryfield {

namespace {

/**
 * Time after an expired wait in which no further request waits. Waits expire
 * when callers need more than the server's capacity for longer than a request
 * may wait. Further waits would then only delay requests that are served in any
 * case.
 */
constexpr Duration kSuspension = Seconds(1);

// A packet that ends its flow is not held back, since the server and the
// journal need the end of a flow at once.
bool
EndsFlow(const PacketHeader& aHeader)
{
  return aHeader.Has(kFin) || aHeader.Has(kReset);
}

} // namespace

RequestStep
RequestOrder::OnPacket(TimePoint aNow,
                       QueuedPacket aPacket,
                       bool aIsServerFull,
                       std::optional<uint8_t> aNextSynPriority)
{
  FlowKey flow = aPacket.m_header.FlowFromCaller();
  bool isWaiting = m_queue.Contains(flow);
  if (m_queue.ContainsPacket(aPacket.m_header) && !EndsFlow(aPacket.m_header)) {
    return RequestStep::Drop;
  }
  bool mayWait = !EndsFlow(aPacket.m_header) && m_queue.HasRoomFor(flow);
  if (isWaiting && !mayWait) {
    Flush(aNow, flow);
    m_released.back().m_packets.push_back(std::move(aPacket));
    return RequestStep::Wait;
  }
  if (isWaiting) {
    m_queue.Add(aNow, std::move(aPacket));
    return RequestStep::Wait;
  }
  bool isBlocked =
    aIsServerFull && aNextSynPriority && *aNextSynPriority < aPacket.m_priority;
  if (!mayWait || !isBlocked || aNow < m_suspendedUntil) {
    return RequestStep::Deliver;
  }
  m_heldCount += 1;
  m_queue.Add(aNow, std::move(aPacket));
  return RequestStep::WaitBegin;
}

void
RequestOrder::Release(TimePoint aNow,
                      RequestWaitEnd aEnd,
                      WaitingRequest aRequest)
{
  m_released.push_back(
    { { aEnd, aNow - aRequest.m_since }, std::move(aRequest.m_packets) });
}

void
RequestOrder::Flush(TimePoint aNow, const FlowKey& aFlow)
{
  if (std::optional<WaitingRequest> request = m_queue.TakeFlow(aFlow)) {
    Release(aNow, RequestWaitEnd::Flushed, std::move(*request));
  }
}

void
RequestOrder::ReleaseExpired(TimePoint aNow, TimePoint aNextCall)
{
  for (WaitingRequest& request : m_queue.TakeExpired(aNextCall)) {
    m_suspendedUntil = aNow + kSuspension;
    Release(aNow, RequestWaitEnd::Expired, std::move(request));
  }
}

void
RequestOrder::ReleaseUnblocked(TimePoint aNow,
                               std::optional<uint8_t> aNextSynPriority)
{
  while (std::optional<uint8_t> priority = m_queue.NextPriority()) {
    if (aNextSynPriority && *aNextSynPriority < *priority) {
      return;
    }
    ReleaseNext(aNow);
  }
}

void
RequestOrder::ReleaseNext(TimePoint aNow)
{
  if (std::optional<WaitingRequest> request = m_queue.TakeNext()) {
    m_urgentCount = 0;
    Release(aNow, RequestWaitEnd::Served, std::move(*request));
  }
}

void
RequestOrder::OnSynServed()
{
  m_urgentCount = m_queue.Size() > 0 ? m_urgentCount + 1 : 0;
}

// Strict priority would make all requests wait for the whole time limit while
// urgent callers alone need the server's capacity.
bool
RequestOrder::IsShareDue() const
{
  return m_queue.Size() > 0 && m_urgentCount >= SynQueue::kUrgentBurst;
}

std::vector<ReleasedRequest>
RequestOrder::TakeReleased()
{
  return std::exchange(m_released, {});
}

} // namespace bilberryfield
