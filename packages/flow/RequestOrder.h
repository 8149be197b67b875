#pragma once

#include "NameTable.h"
#include "RequestQueue.h"
#include "SynQueue.h"

namespace bilberryfield {

/** Why the wait of a request ended. */
enum class RequestWaitEnd : uint8_t
{
  Served,   /**< The server had a free slot for it. */
  Expired,  /**< It waited for RequestQueue::kMaxRequestWait. */
  Flushed,  /**< The flow was closed or its caller sent further packets. */
  Released, /**< The server or its agent stops accepting new flows. */
};

inline constexpr NameTable<RequestWaitEnd, 4> kRequestWaitEndNames = { {
  { RequestWaitEnd::Served, "served" },
  { RequestWaitEnd::Expired, "expired" },
  { RequestWaitEnd::Flushed, "flushed" },
  { RequestWaitEnd::Released, "released" },
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
 * Order of requests on open flows and of SYN packets at a full server. The more
 * urgent go first, and among equals requests on open flows, since these need
 * no handshake. After SynQueue::kUrgentBurst more urgent ones in a row, one
 * less urgent one is served.
 */
class RequestOrder
{
public:
  /**
   * Decides on a data packet of an idle flow, or any packet of a flow with
   * waiting packets. It waits if the server is full and a more urgent SYN
   * packet waits, or an equally urgent request that arrived earlier.
   */
  RequestStep OnPacket(TimePoint aNow,
                       QueuedPacket aPacket,
                       bool aIsServerFull,
                       std::optional<uint8_t> aNextSynPriority);

  /** Releases the waiting packets of a flow. */
  void Flush(TimePoint aNow, const FlowKey& aFlow);
  /** Releases the requests that have waited for the longest time allowed. */
  void ReleaseExpired(TimePoint aNow);
  /** Releases all requests. */
  void ReleaseAll(TimePoint aNow);
  /** Releases the next request if it is its turn, given the priority of the
   * next SYN packet; returns false if it is the turn of the SYN packet. */
  bool ReleaseNext(TimePoint aNow, std::optional<uint8_t> aNextSynPriority);

  /** Returns the released requests in order, each of them once. */
  std::vector<ReleasedRequest> TakeReleased();

  /** True if packets of the flow wait. */
  bool IsWaiting(const FlowKey& aFlow) const { return m_queue.Contains(aFlow); }
  /** Number of requests that wait. */
  size_t Waiting() const { return m_queue.Size(); }
  /** Total number of requests that have waited. */
  uint64_t HeldCount() const { return m_heldCount; }

private:
  bool MustWait(const QueuedPacket& aPacket,
                bool aIsServerFull,
                std::optional<uint8_t> aNextSynPriority) const;
  bool IsTurnOfRequest(std::optional<uint8_t> aNextSynPriority);
  void Release(TimePoint aNow, RequestWaitEnd aEnd, WaitingRequest aRequest);

  RequestQueue m_queue;
  std::vector<ReleasedRequest> m_released;
  uint64_t m_heldCount = 0;
  /** More urgent ones served in a row while less urgent ones waited. */
  uint32_t m_urgentCount = 0;
};

} // namespace bilberryfield
