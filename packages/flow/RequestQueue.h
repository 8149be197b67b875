#pragma once

#include "QueuedPacket.h"
#include "Time.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace bilberryfield {

/** The packets of a request on an open flow that wait at an agent, in the order
 * of their arrival. */
struct WaitingRequest
{
  TimePoint m_since;
  std::vector<QueuedPacket> m_packets;
};

/**
 * Requests on open flows that wait for a full server, at most one for each
 * flow. The most urgent is served first; requests that are equally urgent are
 * served in order of arrival.
 */
class RequestQueue
{
public:
  /** Adds a packet behind the waiting packets of its flow. The caller has
   * checked HasRoomFor. */
  void Add(TimePoint aNow, QueuedPacket aPacket);

  /** Removes and returns the request to serve next, if any. */
  std::optional<WaitingRequest> TakeNext();

  /** Removes and returns the requests that have waited for kMaxRequestWait,
   * oldest first. */
  std::vector<WaitingRequest> TakeExpired(TimePoint aNow);

  /** Removes and returns the request of a flow, if one waits. */
  std::optional<WaitingRequest> TakeFlow(const FlowKey& aFlow);

  bool Contains(const FlowKey& aFlow) const { return m_ranks.contains(aFlow); }
  /** True if a transmission of this data packet waits. */
  bool ContainsPacket(const PacketHeader& aHeader) const;
  /** True if a further packet of the flow may wait. */
  bool HasRoomFor(const FlowKey& aFlow) const;
  /** Number of waiting requests. */
  size_t Size() const { return m_requests.size(); }
  /** Priority of the request to serve next; std::nullopt if none waits. */
  std::optional<uint8_t> NextPriority() const;

  /** Longest wait of a request. Its caller retransmits it after 200 ms. */
  static constexpr Duration kMaxRequestWait = Milliseconds(120);
  static constexpr size_t kMaxPacketsPerFlow = 4;
  static constexpr size_t kMaxRequests = 256;

private:
  /** Order in which requests are served; the smallest rank is the next. */
  struct Rank
  {
    uint8_t m_priority = 0;
    uint64_t m_arrival = 0;

    auto operator<=>(const Rank&) const = default;
  };

  using Requests = absl::btree_map<Rank, WaitingRequest>;

  WaitingRequest Take(Requests::iterator aEntry);

  Requests m_requests;
  absl::flat_hash_map<FlowKey, Rank> m_ranks;
  uint64_t m_nextArrival = 0;
};

} // namespace bilberryfield
