#pragma once

#include "Messages.h"
#include "MonitorRing.h"
#include "PauseDetector.h"

#include <deque>
#include <optional>
#include <random>
#include <unordered_map>

namespace bilberryfield {

/** Times and budgets of the membership protocol. */
struct MembershipOptions
{
  Duration m_tick = Milliseconds(250);
  /** Time between two heartbeats of this balancer to its monitors. */
  Duration m_heartbeatEvery = Seconds(1);
  /** Silence after which a monitor accuses a member. */
  Duration m_suspectAfter = Milliseconds(3000);
  /** A gap between ticks that counts as a pause of this process. */
  Duration m_pauseLimit = Milliseconds(1500);
  /** Time after a pause for which the process waits to hear from others. */
  Duration m_staleLimit = Seconds(3);
  /** Time without news after which a start counts as over. */
  Duration m_quietFor = Seconds(1);
  /** Time after which a start counts as over in any case. */
  Duration m_settleLimit = Seconds(5);
  /** Time between two digests to a random balancer. */
  Duration m_syncEvery = Seconds(5);
  /** Time between two sweeps for members that nobody reports. */
  Duration m_sweepEvery = Seconds(4);
  /** Time for which dead members are remembered and dead balancers tried. */
  Duration m_deadRetention = std::chrono::hours(2);
  /** Balancers that a gossip round goes to. */
  size_t m_fanOut = 3;
  /** Records in one gossip message. */
  size_t m_recordsPerGossip = 12;
  /** Records in one answer to a digest. */
  size_t m_recordsPerSync = 200;
};

/** A message for another process, by its peer address. */
struct SendToPeer
{
  std::string m_address;
  PeerMessage m_message;
};

/** A hash that tells whether two lists of addresses are the same. */
uint64_t
AddressesHash(const std::vector<std::string>& aAddresses);

/**
 * The balancers' view of all members: heartbeats are watched by a few
 * monitors, changes spread by gossip, and digests repair what gossip missed.
 */
class Membership
{
public:
  using Options = MembershipOptions;

  Membership(Options aOptions, MemberRecord aSelf, uint64_t aSeed);

  /** Adds peer addresses of balancers to ask when no member is known. */
  void AddSeeds(const std::vector<std::string>& aAddresses);

  /** Takes a heartbeat; the reply goes back on the same link. */
  HeartbeatReply OnHeartbeat(TimePoint aNow,
                             const Heartbeat& aHeartbeat,
                             uint64_t aConfigVersion);

  /** Takes a reply to this balancer's own heartbeat. */
  void OnHeartbeatReply(const HeartbeatReply& aReply);

  /** Takes the records of a gossip message. */
  void OnGossip(TimePoint aNow, const Gossip& aGossip);

  /** Compares a digest and sends the records of differing buckets. */
  std::vector<SendToPeer> OnSyncDigest(const SyncDigest& aDigest);

  /** Takes the records of a repair, and sends this side's back if asked. */
  std::vector<SendToPeer> OnSyncRecords(TimePoint aNow,
                                        const SyncRecords& aRecords);

  /** To be called every Options::m_tick. */
  std::vector<SendToPeer> OnTick(TimePoint aNow, uint64_t aConfigVersion);

  /** States a new condition of this balancer itself. */
  void SetSelfState(MemberState aState);

  /** This balancer's own record. */
  const MemberRecord& Self() const { return m_self; }

  /** Every record known, this balancer's own included. */
  std::vector<MemberRecord> Records() const;

  /** Grows with each change to any record. */
  uint64_t Version() const { return m_version; }

  /**
   * True while no other balancer was heard since a pause of this process,
   * though some are known; at most Options::m_staleLimit.
   */
  bool IsStale(TimePoint aNow) const;

  /**
   * True once the news of the start has come in: nothing changed for
   * Options::m_quietFor, or Options::m_settleLimit has passed.
   */
  bool IsSettled(TimePoint aNow) const;

  /** The current assignment of monitors. */
  const MonitorRing& Ring() const;

  /** Peer addresses of a few present balancers of this failure domain. */
  std::vector<std::string> DomainAddresses(size_t aCount) const;

private:
  struct Known
  {
    MemberRecord m_record;
    /** Gossip rounds that still carry the record. */
    uint32_t m_roundsLeft = 0;
    TimePoint m_changedAt;
    uint64_t m_idHash = 0;
    uint64_t m_fingerprint = 0;
  };

  /** Peer addresses of the other balancers. */
  struct OtherBalancers
  {
    std::vector<std::string> m_present;
    std::vector<std::string> m_dead;
  };

  bool Learn(TimePoint aNow, const MemberRecord& aRecord);
  void MarkDeadIfConfirmed(MemberRecord& aRecord) const;
  void RefuteIfAccused(const MemberRecord& aRecord);
  void QueueForGossip(Known& aKnown);
  void AccuseSilentMembers(TimePoint aNow);
  void SweepUnreported(TimePoint aNow);
  void ForgetOldDead(TimePoint aNow);
  void ForgiveAll(TimePoint aNow);
  std::vector<std::string> GossipTargets();
  const OtherBalancers& Others() const;
  void OnBalancersChanged();
  std::vector<MemberRecord> TakeGossipRecords();
  std::vector<SendToPeer> OwnHeartbeats(uint64_t aConfigVersion) const;
  SyncDigest MakeDigest() const;
  std::vector<uint32_t> BucketHashes(size_t aCount) const;
  SyncRecords RecordsOf(const std::vector<uint32_t>& aBuckets,
                        uint32_t aBucketCount) const;
  std::string RandomOf(const std::vector<std::string>& aAddresses);

  Options m_options;
  MemberRecord m_self;
  std::mt19937_64 m_random;
  PauseDetector m_pause;
  std::unordered_map<std::string, Known> m_members;
  /** Last heartbeat of each member that this balancer monitors. */
  std::unordered_map<std::string, TimePoint> m_lastHeard;
  /** Ids whose records wait to be gossiped. */
  std::deque<std::string> m_gossipQueue;
  std::vector<std::string> m_seeds;
  uint64_t m_version = 0;
  std::optional<TimePoint> m_firstTick;
  /** Time of the last news of another member. */
  std::optional<TimePoint> m_lastChange;
  /** Set from a pause until another balancer is heard. */
  std::optional<TimePoint> m_pausedAt;
  TimePoint m_nextHeartbeat;
  TimePoint m_nextSync;
  TimePoint m_nextSweep;
  mutable MonitorRing m_ring;
  mutable bool m_isRingCurrent = false;
  mutable OtherBalancers m_others;
  mutable bool m_areOthersCurrent = false;
};

} // namespace bilberryfield
