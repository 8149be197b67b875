#pragma once

#include "QueuedPacket.h"
#include "Time.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace bilberryfield {

/** A SYN packet that waits at an agent until its server can take a new flow. */
using QueuedSyn = QueuedPacket;

/**
 * SYN packets that wait for a full server. First transmissions are served
 * before retransmissions, and the most urgent first among these. Packets that
 * are equal in both are served in order of arrival while the queue is short.
 * Once one of them has waited for kStandingQueueDelay, callers arrive faster
 * than the server answers, and the newest packet is served first. Less urgent
 * callers are guaranteed a share, see kUrgentBurst. The queue holds one packet
 * per flow, the latest transmission.
 */
class SynQueue
{
public:
  /**
   * Adds a packet, which replaces an earlier transmission of the same SYN.
   * Evicts and returns the least important packet if there are more than
   * kMaxPackets: most retransmissions, then least urgent, then oldest.
   */
  std::optional<QueuedSyn> Add(TimePoint aNow, QueuedSyn aSyn);

  /** Removes and returns the packet to serve next, if any. */
  std::optional<QueuedSyn> TakeNext(TimePoint aNow);

  /** Removes and returns packets whose caller has since retransmitted the SYN
   * or timed out. */
  std::vector<QueuedSyn> TakeExpired(TimePoint aNow);

  /** Removes and returns all packets, first transmissions first, then by
   * priority and newest first. */
  std::vector<QueuedSyn> TakeAll();

  bool Contains(const FlowKey& aFlow) const { return m_ranks.contains(aFlow); }
  size_t Size() const { return m_entries.size(); }
  /** Priority of the packet that comes first by transmission and priority;
   * std::nullopt if the queue is empty. */
  std::optional<uint8_t> NextPriority() const;
  /** Number of first transmissions; only these are served before a new first
   * transmission. */
  size_t FirstTransmissions() const { return m_firstTransmissions; }

  static constexpr size_t kMaxPackets = 256;
  /** Waiting time of the oldest packet that indicates a standing queue. */
  static constexpr Duration kStandingQueueDelay = Milliseconds(40);
  /** Packets served in a row before a less urgent packet with the same number
   * of retransmissions is served. */
  static constexpr uint32_t kUrgentBurst = 4;

private:
  /** Order of entries under overload; the largest rank is evicted first. */
  struct Rank
  {
    uint32_t m_retransmissions = 0;
    uint8_t m_priority = 0;
    /** Decreases with each added packet, so that the newest sorts first. */
    uint64_t m_recency = 0;

    auto operator<=>(const Rank&) const = default;
  };

  struct Entry
  {
    QueuedSyn m_syn;
    TimePoint m_queuedAt;
  };

  using Entries = absl::btree_map<Rank, Entry>;

  /** The entries with the same number of retransmissions and priority. */
  struct Group
  {
    Entries::iterator m_newest;
    Entries::iterator m_oldest;
  };

  Group GroupAt(Entries::iterator aNewest);
  /** The group to serve next. The queue must not be empty. */
  Group NextGroup();
  QueuedSyn Take(Entries::iterator aEntry);

  Entries m_entries;
  absl::flat_hash_map<FlowKey, Rank> m_ranks;
  uint64_t m_nextRecency = UINT64_MAX;
  size_t m_firstTransmissions = 0;
  /** Packets served while less urgent ones waited, since the last one of those
   * was served. */
  uint32_t m_urgentCount = 0;
};

} // namespace bilberryfield
