#include "RequestOrder.h"

#include <utility>

namespace bilberryfield {

namespace {

// A packet that ends its flow is not held back, since the server and the
// journal need the end of a flow at once.
bool
EndsFlow(const PacketHeader& aHeader)
{
  return aHeader.Has(kFin) || aHeader.Has(kReset);
}

} // namespace

// A request that arrives while others wait stays behind them. Otherwise it
// would take the slot that the waiting ones are about to get.
bool
RequestOrder::MustWait(const QueuedPacket& aPacket,
                       bool aIsServerFull,
                       std::optional<uint8_t> aNextSynPriority) const
{
  if (!aIsServerFull) {
    return false;
  }
  std::optional<uint8_t> nextRequest = m_queue.NextPriority();
  bool isBehindSyn = aNextSynPriority && *aNextSynPriority < aPacket.m_priority;
  bool isBehindRequest = nextRequest && *nextRequest <= aPacket.m_priority;
  return isBehindSyn || isBehindRequest;
}

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
  if (!mayWait || !MustWait(aPacket, aIsServerFull, aNextSynPriority)) {
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
RequestOrder::ReleaseExpired(TimePoint aNow)
{
  for (WaitingRequest& request : m_queue.TakeExpired(aNow)) {
    Release(aNow, RequestWaitEnd::Expired, std::move(request));
  }
}

void
RequestOrder::ReleaseAll(TimePoint aNow)
{
  while (std::optional<WaitingRequest> request = m_queue.TakeNext()) {
    Release(aNow, RequestWaitEnd::Released, std::move(*request));
  }
}

// Strict priority would make less urgent callers wait for the whole time limit
// whenever urgent ones alone need the server's capacity.
bool
RequestOrder::IsTurnOfRequest(std::optional<uint8_t> aNextSynPriority)
{
  std::optional<uint8_t> request = m_queue.NextPriority();
  if (!request || !aNextSynPriority) {
    return request.has_value();
  }
  bool isRequestUrgent = *request <= *aNextSynPriority;
  if (*request == *aNextSynPriority) {
    return true;
  }
  m_urgentCount += 1;
  if (m_urgentCount <= SynQueue::kUrgentBurst) {
    return isRequestUrgent;
  }
  m_urgentCount = 0;
  return !isRequestUrgent;
}

bool
RequestOrder::ReleaseNext(TimePoint aNow,
                          std::optional<uint8_t> aNextSynPriority)
{
  if (!IsTurnOfRequest(aNextSynPriority)) {
    return false;
  }
  Release(aNow, RequestWaitEnd::Served, *m_queue.TakeNext());
  return true;
}

std::vector<ReleasedRequest>
RequestOrder::TakeReleased()
{
  return std::exchange(m_released, {});
}

} // namespace bilberryfield
