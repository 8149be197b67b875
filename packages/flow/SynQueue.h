#pragma once

#include "Packet.h"
#include "Time.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <optional>
#include <vector>

namespace bilberryfield {

/** A SYN that waits at an agent until its server has room. */
struct QueuedSyn
{
  PacketHeader m_header;
  uint32_t m_balancerIp = 0;
  /** Priority of its route; 0 is the most urgent. */
  uint8_t m_priority = 0;
  /** The packet as the balancer sent it. */
  absl::InlinedVector<uint8_t, 40> m_bytes;
};

/**
 * Opening packets beside a full server. First copies go before later ones, and
 * among these the most urgent; equal ones go in the order of arrival while the
 * queue is short. Once one of them has waited for kStandingQueueDelay, more
 * callers come than the server can answer, and those that have just begun to
 * wait go first. Less urgent callers get a share of their own. A caller has one
 * packet here at the most, its newest copy.
 */
class SynQueue
{
public:
  /**
   * Takes a packet; an earlier copy of it leaves. Gives back the packet that
   * is worth least when there are too many.
   */
  std::optional<QueuedSyn> Add(TimePoint aNow, QueuedSyn aSyn);

  /** The packet that is served next, if there is one. */
  std::optional<QueuedSyn> TakeNext(TimePoint aNow);

  /** Packets whose caller has sent a later copy by now, or has given up. */
  std::vector<QueuedSyn> TakeExpired(TimePoint aNow);

  /** All packets, the newest of the first copies first. */
  std::vector<QueuedSyn> TakeAll();

  bool Contains(const FlowKey& aFlow) const { return m_ranks.contains(aFlow); }
  size_t Size() const { return m_entries.size(); }
  /** First copies among the packets; only they go before another one. */
  size_t FirstTransmissions() const { return m_firstTransmissions; }

  static constexpr size_t kMaxPackets = 256;
  /** Wait of a first copy that shows a lasting excess of callers. */
  static constexpr Duration kStandingQueueDelay = Milliseconds(40);
  /** Packets that go before less urgent ones with the same copy number until
   * one of those has its turn. */
  static constexpr uint32_t kUrgentBurst = 4;

private:
  /** Smaller ranks are worth more when there are too many callers. */
  struct Rank
  {
    uint32_t m_retransmissions = 0;
    uint8_t m_priority = 0;
    /** Falls with each packet. */
    uint64_t m_recency = 0;

    auto operator<=>(const Rank&) const = default;
  };

  struct Entry
  {
    QueuedSyn m_syn;
    TimePoint m_queuedAt;
  };

  using Entries = absl::btree_map<Rank, Entry>;

  /** Entries with the same copy number and priority. */
  struct Group
  {
    Entries::iterator m_newest;
    Entries::iterator m_oldest;
  };

  Group GroupAt(Entries::iterator aNewest);
  /** The group whose turn it is; there has to be one. */
  Group NextGroup();
  QueuedSyn Take(Entries::iterator aEntry);

  Entries m_entries;
  absl::flat_hash_map<FlowKey, Rank> m_ranks;
  uint64_t m_nextRecency = UINT64_MAX;
  size_t m_firstTransmissions = 0;
  /** Packets that went before less urgent ones since those had their turn. */
  uint32_t m_urgentCount = 0;
};

} // namespace bilberryfield
