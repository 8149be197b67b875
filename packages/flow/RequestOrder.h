#pragma once

#include "NameTable.h"
#include "RequestQueue.h"
#include "SynQueue.h"

namespace bilberryfield {

/** Why the wait of a request ended. */
enum class RequestWaitEnd : uint8_t
{
  Served,  /**< The server had room, or no more urgent SYN waited. */
  Expired, /**< It waited for RequestQueue::kMaxRequestWait. */
  Flushed, /**< The flow was closed or its caller sent further packets. */
};

inline constexpr NameTable<RequestWaitEnd, 3> kRequestWaitEndNames = { {
  { RequestWaitEnd::Served, "served" },
  { RequestWaitEnd::Expired, "expired" },
  { RequestWaitEnd::Flushed, "flushed" },
} };

/** The wait of a request that has ended. */
struct RequestWait
{
  RequestWaitEnd m_end = RequestWaitEnd::Served;
  Duration m_waited{};
};

/** A request whose wait has ended, with the packets to deliver in order. */
struct ReleasedRequest
{
  RequestWait m_wait;
  std::vector<QueuedPacket> m_packets;
};

/** What happens to a packet of an open flow. */
enum class RequestStep : uint8_t
{
  Deliver,   /**< It is delivered at once. */
  WaitBegin, /**< It waits, as the first packet of its request. */
  Wait,      /**< It waits or is released behind earlier packets. */
  Drop,      /**< A transmission of it waits already. */
};

/**
 * Lets requests on open flows wait while more urgent SYN packets wait for a
 * full server. SYN packets that are not more urgent are served after them.
 * After SynQueue::kUrgentBurst more urgent SYN packets in a row, one request is
 * served.
 */
class RequestOrder
{
public:
  /**
   * Decides on a data packet of an idle flow, or any packet of a flow with
   * waiting packets. The first packet of a request waits if the server is full
   * and the next SYN packet in the queue is more urgent.
   */
  RequestStep OnPacket(TimePoint aNow,
                       QueuedPacket aPacket,
                       bool aIsServerFull,
                       std::optional<uint8_t> aNextSynPriority);

  /** Releases the waiting packets of a flow. */
  void Flush(TimePoint aNow, const FlowKey& aFlow);
  /** Releases the requests whose longest wait ends before the next call. */
  void ReleaseExpired(TimePoint aNow, TimePoint aNextCall);
  /** Releases the requests that the next SYN packet does not precede. */
  void ReleaseUnblocked(TimePoint aNow,
                        std::optional<uint8_t> aNextSynPriority);
  /** Releases the next request, if any. */
  void ReleaseNext(TimePoint aNow);
  /** Counts a SYN packet that was served, for the share of requests. */
  void OnSynServed();
  /** True if the next request is to be served before a further SYN packet. */
  bool IsShareDue() const;

  /** Returns the released requests in order, each of them once. */
  std::vector<ReleasedRequest> TakeReleased();

  /** True if packets of the flow wait. */
  bool IsWaiting(const FlowKey& aFlow) const { return m_queue.Contains(aFlow); }
  /** Number of requests that wait. */
  size_t Waiting() const { return m_queue.Size(); }
  /** Total number of requests that have waited. */
  uint64_t HeldCount() const { return m_heldCount; }

private:
  void Release(TimePoint aNow, RequestWaitEnd aEnd, WaitingRequest aRequest);

  RequestQueue m_queue;
  std::vector<ReleasedRequest> m_released;
  uint64_t m_heldCount = 0;
  /** SYN packets served in a row while requests waited. */
  uint32_t m_urgentCount = 0;
  /** Until then no further request waits. */
  TimePoint m_suspendedUntil;
};

} // namespace bilberryfield
