#pragma once

#include "Messages.h"
#include "MonitorRing.h"
#include "PauseDetector.h"

#include <deque>
#include <optional>
#include <random>
#include <unordered_map>

namespace bilberryfield {

/** Intervals, timeouts and message sizes of the membership protocol. */
struct MembershipOptions
{
  /** Time between two calls of Membership::OnTick. */
  Duration m_tick = Milliseconds(250);
  /** Time between two heartbeats of this balancer to its monitors. */
  Duration m_heartbeatEvery = Seconds(1);
  /** Time without a heartbeat after which a monitor suspects a member. */
  Duration m_suspectAfter = Milliseconds(3000);
  /** A longer gap between two ticks counts as a pause of this process. */
  Duration m_pauseLimit = Milliseconds(1500);
  /**
   * Time after a pause for which the membership is stale unless a message from
   * another balancer is received.
   */
  Duration m_staleLimit = Seconds(3);
  /** Time without a change after which the initial sync counts as complete. */
  Duration m_quietPeriod = Seconds(1);
  /** Time after which the initial sync counts as complete in any case. */
  Duration m_settleLimit = Seconds(5);
  /** Time between two digests sent to a random balancer. */
  Duration m_syncEvery = Seconds(5);
  /** Time between two searches for members without a heartbeat timeout. */
  Duration m_sweepEvery = Seconds(4);
  /**
   * Time for which records of dead members are kept and dead balancers are
   * still sent digests.
   */
  Duration m_deadRetention = std::chrono::hours(2);
  /** Number of balancers that each gossip round is sent to. */
  size_t m_fanOut = 3;
  /** Maximum number of records in a gossip message. */
  size_t m_recordsPerGossip = 12;
  /** Records per reply to a digest; a single larger bucket is sent whole. */
  size_t m_recordsPerSync = 200;
};

/** A message to send to the process at a peer address. */
struct SendToPeer
{
  std::string m_address;
  PeerMessage m_message;
};

/** Order-dependent hash for comparing two lists of addresses. */
uint64_t
AddressesHash(const std::vector<std::string>& aAddresses);

/**
 * One balancer's view of all members. Each member sends heartbeats to a few
 * monitors, changes spread by gossip, and periodic digests transfer the records
 * that gossip did not deliver.
 */
class Membership
{
public:
  using Options = MembershipOptions;

  Membership(Options aOptions, MemberRecord aSelf, uint64_t aSeed);

  /** Adds addresses to gossip with while no other balancer is present. */
  void AddSeeds(const std::vector<std::string>& aAddresses);

  /** Processes a heartbeat and returns the reply for the same link. */
  HeartbeatReply OnHeartbeat(TimePoint aNow,
                             const Heartbeat& aHeartbeat,
                             uint64_t aConfigVersion);

  /** Processes a reply to this balancer's own heartbeat. */
  void OnHeartbeatReply(const HeartbeatReply& aReply);

  /** Applies the records of a gossip message. */
  void OnGossip(TimePoint aNow, const Gossip& aGossip);

  /** Compares a digest and returns the records of the differing buckets. */
  std::vector<SendToPeer> OnSyncDigest(const SyncDigest& aDigest);

  /** Applies the records, and returns this balancer's own if requested. */
  std::vector<SendToPeer> OnSyncRecords(TimePoint aNow,
                                        const SyncRecords& aRecords);

  /** Must be called every Options::m_tick; returns the messages to send. */
  std::vector<SendToPeer> OnTick(TimePoint aNow, uint64_t aConfigVersion);

  /** Sets this balancer's own state and queues it for gossip. */
  void SetSelfState(MemberState aState);

  /** This balancer's own record. */
  const MemberRecord& Self() const { return m_self; }

  /** All records, including this balancer's own. */
  std::vector<MemberRecord> Records() const;

  /** Increases with each change to any record. */
  uint64_t Version() const { return m_version; }

  /**
   * True after a pause of this process until a message from another balancer
   * is received, for at most Options::m_staleLimit. Always false if no other
   * balancer is present.
   */
  bool IsStale(TimePoint aNow) const;

  /**
   * True once the initial sync is complete: no other member's record changed
   * for Options::m_quietPeriod, or Options::m_settleLimit has passed since the
   * first tick.
   */
  bool IsSettled(TimePoint aNow) const;

  /** The current assignment of monitors to members. */
  const MonitorRing& Ring() const;

  /** Up to aCount addresses of present balancers of this failure domain. */
  std::vector<std::string> DomainAddresses(size_t aCount) const;

private:
  struct MemberEntry
  {
    MemberRecord m_record;
    /** Number of gossip rounds that the record is still sent in. */
    uint32_t m_roundsLeft = 0;
    TimePoint m_changedAt;
    uint64_t m_idHash = 0;
    uint64_t m_fingerprint = 0;
  };

  /** Peer addresses of the other balancers, by state. */
  struct OtherBalancers
  {
    std::vector<std::string> m_present;
    std::vector<std::string> m_dead;
  };

  bool ApplyRecord(TimePoint aNow, const MemberRecord& aRecord);
  void MarkDeadIfConfirmed(MemberRecord& aRecord) const;
  void RefuteIfSuspected(const MemberRecord& aRecord);
  void QueueForGossip(MemberEntry& aEntry);
  void SuspectSilentMembers(TimePoint aNow);
  void StartTimeoutsOfUnreported(TimePoint aNow);
  void EvictOldDeadRecords(TimePoint aNow);
  void RestartHeartbeatTimeouts(TimePoint aNow);
  std::vector<std::string> GossipTargets();
  const OtherBalancers& Others() const;
  void OnBalancersChanged();
  std::vector<MemberRecord> TakeGossipRecords();
  std::vector<SendToPeer> OwnHeartbeats(uint64_t aConfigVersion) const;
  SyncDigest MakeDigest() const;
  std::vector<uint32_t> BucketHashes(size_t aCount) const;
  SyncRecords RecordsInBuckets(const std::vector<uint32_t>& aBuckets,
                               uint32_t aBucketCount) const;
  std::string PickRandom(const std::vector<std::string>& aAddresses);

  Options m_options;
  MemberRecord m_self;
  std::mt19937_64 m_random;
  PauseDetector m_pauseDetector;
  std::unordered_map<std::string, MemberEntry> m_members;
  /** Last heartbeat of each member that this balancer monitors. */
  std::unordered_map<std::string, TimePoint> m_lastHeartbeats;
  /** Ids of the members whose records are queued for gossip. */
  std::deque<std::string> m_gossipQueue;
  std::vector<std::string> m_seeds;
  uint64_t m_version = 0;
  std::optional<TimePoint> m_firstTick;
  /** Time of the last change to another member's record. */
  std::optional<TimePoint> m_lastChange;
  /** Set from a pause until a message from another balancer is received. */
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
