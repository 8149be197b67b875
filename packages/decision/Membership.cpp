#include "Membership.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bilberryfield {

namespace {

constexpr size_t kMembersPerBucket = 16;
constexpr size_t kMaxBuckets = 4096;
constexpr double kGossipRepeats = 3.0;

size_t
BucketCountFor(size_t aMembers)
{
  size_t count = 1;
  while (count * kMembersPerBucket < aMembers && count < kMaxBuckets) {
    count *= 2;
  }
  return count;
}

uint32_t
BucketOf(uint64_t aIdHash, size_t aCount)
{
  return static_cast<uint32_t>(aIdHash % aCount);
}

} // namespace

uint64_t
AddressesHash(const std::vector<std::string>& aAddresses)
{
  uint64_t hash = 0;
  for (const std::string& address : aAddresses) {
    hash = StableHash(address, hash);
  }
  return hash;
}

Membership::Membership(Options aOptions, MemberRecord aSelf, uint64_t aSeed)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_random(aSeed)
  , m_pauseDetector(aOptions.m_pauseLimit)
{
  ApplyRecord(TimePoint{}, m_self);
}

void
Membership::AddSeeds(const std::vector<std::string>& aAddresses)
{
  for (const std::string& address : aAddresses) {
    bool isNew =
      std::find(m_seeds.begin(), m_seeds.end(), address) == m_seeds.end();
    if (isNew && address != m_self.m_address) {
      m_seeds.push_back(address);
    }
  }
}

bool
Membership::IsStale(TimePoint aNow) const
{
  return m_pausedAt && aNow - *m_pausedAt < m_options.m_staleLimit &&
         !Others().m_present.empty();
}

bool
Membership::IsSettled(TimePoint aNow) const
{
  bool isQuiet =
    m_lastChange && aNow - *m_lastChange >= m_options.m_quietPeriod;
  bool isOverdue =
    m_firstTick && aNow - *m_firstTick >= m_options.m_settleLimit;
  return isQuiet || isOverdue;
}

const MonitorRing&
Membership::Ring() const
{
  if (!m_isRingCurrent) {
    m_ring = MonitorRing(Records());
    m_isRingCurrent = true;
  }
  return m_ring;
}

std::vector<MemberRecord>
Membership::Records() const
{
  std::vector<MemberRecord> records;
  records.reserve(m_members.size());
  for (const auto& [id, entry] : m_members) {
    records.push_back(entry.m_record);
  }
  return records;
}

void
Membership::OnBalancersChanged()
{
  m_isRingCurrent = false;
  m_areOthersCurrent = false;
}

void
Membership::QueueForGossip(MemberEntry& aEntry)
{
  // A record is sent a few times the logarithm of the number of members, after
  // which nearly every balancer has it. Digests deliver it to the others.
  double members = static_cast<double>(m_members.size());
  bool isQueued = aEntry.m_roundsLeft > 0;
  double sends = kGossipRepeats * std::log2(members + 1);
  aEntry.m_roundsLeft = static_cast<uint32_t>(
    std::ceil(sends / static_cast<double>(m_options.m_fanOut)));
  if (!isQueued) {
    m_gossipQueue.push_back(aEntry.m_record.m_id);
  }
}

void
Membership::MarkDeadIfConfirmed(MemberRecord& aRecord) const
{
  if (!IsPresent(aRecord) || aRecord.m_suspectedBy.empty()) {
    return;
  }
  std::set<std::string> domains;
  for (const SuspectingMonitor& monitor : aRecord.m_suspectedBy) {
    domains.insert(monitor.m_domain);
  }
  // All monitors of a domain that lost its uplink suspect every member outside
  // it, so monitors of two domains have to agree if there are two domains.
  size_t needed = std::min<size_t>(2, m_ring.DomainCount());
  if (domains.size() >= std::max<size_t>(1, needed)) {
    aRecord.m_state = MemberState::Dead;
  }
}

bool
Membership::ApplyRecord(TimePoint aNow, const MemberRecord& aRecord)
{
  auto found = m_members.find(aRecord.m_id);
  if (found == m_members.end()) {
    // A record of an absent member is never added. Otherwise two balancers
    // could send an evicted record back and forth forever.
    if (!IsPresent(aRecord)) {
      return false;
    }
    found = m_members.emplace(aRecord.m_id, MemberEntry{}).first;
    found->second.m_record = aRecord;
    found->second.m_idHash = StableHash(aRecord.m_id);
  } else {
    MemberRecord merged = Merge(found->second.m_record, aRecord);
    MarkDeadIfConfirmed(merged);
    if (merged == found->second.m_record) {
      return false;
    }
    found->second.m_record = std::move(merged);
  }
  found->second.m_fingerprint = Fingerprint(found->second.m_record);
  found->second.m_changedAt = aNow;
  QueueForGossip(found->second);
  if (aRecord.m_role == Role::Balancer) {
    OnBalancersChanged();
  }
  ++m_version;
  if (aRecord.m_id != m_self.m_id) {
    m_lastChange = aNow;
  }
  return true;
}

void
Membership::RefuteIfSuspected(const MemberRecord& aRecord)
{
  bool concernsThisIncarnation =
    aRecord.m_id == m_self.m_id &&
    aRecord.m_incarnation == m_self.m_incarnation &&
    aRecord.m_revision >= m_self.m_revision;
  if (concernsThisIncarnation &&
      (!aRecord.m_suspectedBy.empty() || aRecord.m_state != m_self.m_state)) {
    m_self.m_revision = aRecord.m_revision + 1;
  }
}

void
Membership::SetSelfState(MemberState aState)
{
  m_self.m_state = aState;
  m_self.m_revision += 1;
  MemberEntry& entry = m_members.at(m_self.m_id);
  entry.m_record = m_self;
  entry.m_fingerprint = Fingerprint(m_self);
  QueueForGossip(entry);
  OnBalancersChanged();
  ++m_version;
}

HeartbeatReply
Membership::OnHeartbeat(TimePoint aNow,
                        const Heartbeat& aHeartbeat,
                        uint64_t aConfigVersion)
{
  const MemberRecord& record = aHeartbeat.m_record;
  HeartbeatReply reply;
  reply.m_configVersion = aConfigVersion;
  ApplyRecord(aNow, record);
  auto found = m_members.find(record.m_id);
  if (found != m_members.end() && found->second.m_record != record) {
    reply.m_storedRecords.push_back(found->second.m_record);
  }
  for (const Monitor* monitor : Ring().MonitorsOf(record.m_id)) {
    reply.m_monitors.push_back(monitor->m_address);
    if (monitor->m_id == m_self.m_id) {
      m_lastHeartbeats[record.m_id] = aNow;
    }
  }
  if (AddressesHash(reply.m_monitors) == aHeartbeat.m_monitorsHash) {
    reply.m_monitors.clear();
  }
  return reply;
}

void
Membership::OnHeartbeatReply(const HeartbeatReply& aReply)
{
  for (const MemberRecord& record : aReply.m_storedRecords) {
    RefuteIfSuspected(record);
  }
  m_pausedAt.reset();
}

void
Membership::OnGossip(TimePoint aNow, const Gossip& aGossip)
{
  m_pausedAt.reset();
  for (const MemberRecord& record : aGossip.m_records) {
    if (record.m_id == m_self.m_id) {
      RefuteIfSuspected(record);
      ApplyRecord(aNow, m_self);
    } else {
      ApplyRecord(aNow, record);
    }
  }
}

void
Membership::SuspectSilentMembers(TimePoint aNow)
{
  for (auto lastHeartbeat = m_lastHeartbeats.begin();
       lastHeartbeat != m_lastHeartbeats.end();) {
    auto entry = m_members.find(lastHeartbeat->first);
    bool isSilent = aNow - lastHeartbeat->second >= m_options.m_suspectAfter;
    bool isPresent =
      entry != m_members.end() && IsPresent(entry->second.m_record);
    if (!isSilent && isPresent) {
      ++lastHeartbeat;
      continue;
    }
    bool isMonitoredHere =
      Ring().IsMonitorOf(m_self.m_id, lastHeartbeat->first);
    if (isPresent && isMonitoredHere) {
      MemberRecord suspectRecord = entry->second.m_record;
      suspectRecord.m_suspectedBy = { { m_self.m_id, m_self.m_domain } };
      ApplyRecord(aNow, suspectRecord);
    }
    lastHeartbeat = m_lastHeartbeats.erase(lastHeartbeat);
  }
}

void
Membership::StartTimeoutsOfUnreported(TimePoint aNow)
{
  // If a member failed together with all of its monitors, no heartbeat timeout
  // is running for it. Its new monitors start one here.
  for (const auto& [id, entry] : m_members) {
    bool isReported = id == m_self.m_id || m_lastHeartbeats.contains(id);
    if (!isReported && IsPresent(entry.m_record) &&
        Ring().IsMonitorOf(m_self.m_id, id)) {
      m_lastHeartbeats[id] = aNow;
    }
  }
}

void
Membership::EvictOldDeadRecords(TimePoint aNow)
{
  size_t evicted = std::erase_if(m_members, [&](const auto& aItem) {
    const MemberEntry& entry = aItem.second;
    return !IsPresent(entry.m_record) &&
           aNow - entry.m_changedAt > m_options.m_deadRetention;
  });
  if (evicted > 0) {
    OnBalancersChanged();
  }
}

void
Membership::RestartHeartbeatTimeouts(TimePoint aNow)
{
  // After a pause every heartbeat looks overdue because this process did not
  // read its messages. It has to receive a message from another balancer
  // before its records count as current.
  for (auto& [id, lastHeartbeat] : m_lastHeartbeats) {
    lastHeartbeat = aNow;
  }
  m_pausedAt = aNow;
  m_nextSync = aNow;
}

const Membership::OtherBalancers&
Membership::Others() const
{
  if (m_areOthersCurrent) {
    return m_others;
  }
  m_others = {};
  for (const auto& [id, entry] : m_members) {
    const MemberRecord& record = entry.m_record;
    if (record.m_role != Role::Balancer || id == m_self.m_id) {
      continue;
    }
    if (IsPresent(record)) {
      m_others.m_present.push_back(record.m_address);
    } else if (record.m_state == MemberState::Dead) {
      m_others.m_dead.push_back(record.m_address);
    }
  }
  m_areOthersCurrent = true;
  return m_others;
}

std::string
Membership::PickRandom(const std::vector<std::string>& aAddresses)
{
  std::uniform_int_distribution<size_t> pick(0, aAddresses.size() - 1);
  return aAddresses[pick(m_random)];
}

std::vector<std::string>
Membership::GossipTargets()
{
  const std::vector<std::string>& present = Others().m_present;
  if (present.empty()) {
    return m_seeds;
  }
  std::vector<std::string> targets;
  std::sample(present.begin(),
              present.end(),
              std::back_inserter(targets),
              m_options.m_fanOut,
              m_random);
  return targets;
}

std::vector<MemberRecord>
Membership::TakeGossipRecords()
{
  // Records just sent go to the end of the queue, so that all records of a
  // burst are sent in turn instead of the oldest ones filling every message.
  std::vector<MemberRecord> records;
  size_t count = std::min(m_options.m_recordsPerGossip, m_gossipQueue.size());
  for (size_t i = 0; i < count; ++i) {
    std::string id = std::move(m_gossipQueue.front());
    m_gossipQueue.pop_front();
    auto found = m_members.find(id);
    if (found == m_members.end()) {
      continue;
    }
    MemberEntry& entry = found->second;
    records.push_back(entry.m_record);
    entry.m_roundsLeft -= 1;
    if (entry.m_roundsLeft > 0) {
      m_gossipQueue.push_back(std::move(id));
    }
  }
  return records;
}

std::vector<SendToPeer>
Membership::OwnHeartbeats(uint64_t aConfigVersion) const
{
  // A balancer computes its monitors from its own ring. The hash of their
  // addresses keeps an agreeing receiver from listing them in its reply.
  std::vector<SendToPeer> sends;
  std::vector<std::string> addresses;
  addresses.reserve(MonitorRing::kMonitors);
  for (const Monitor* monitor : Ring().MonitorsOf(m_self.m_id)) {
    addresses.push_back(monitor->m_address);
  }
  Heartbeat heartbeat{ m_self, aConfigVersion, AddressesHash(addresses) };
  sends.reserve(addresses.size());
  for (const std::string& address : addresses) {
    sends.push_back({ address, heartbeat });
  }
  return sends;
}

std::vector<SendToPeer>
Membership::OnTick(TimePoint aNow, uint64_t aConfigVersion)
{
  if (!m_firstTick) {
    m_firstTick = aNow;
  }
  if (m_pauseDetector.OnEvent(aNow) > Duration(0)) {
    RestartHeartbeatTimeouts(aNow);
  }
  ApplyRecord(aNow, m_self);
  SuspectSilentMembers(aNow);
  if (aNow >= m_nextSweep) {
    m_nextSweep = aNow + m_options.m_sweepEvery;
    StartTimeoutsOfUnreported(aNow);
    EvictOldDeadRecords(aNow);
  }
  std::vector<SendToPeer> sends;
  if (aNow >= m_nextHeartbeat) {
    m_nextHeartbeat = aNow + m_options.m_heartbeatEvery;
    sends = OwnHeartbeats(aConfigVersion);
  }
  std::vector<std::string> targets = GossipTargets();
  std::vector<MemberRecord> records;
  if (!targets.empty()) {
    records = TakeGossipRecords();
  }
  for (const std::string& target : targets) {
    sends.push_back(
      { target, Gossip{ m_self.m_address, records, aConfigVersion } });
  }
  if (aNow >= m_nextSync && !targets.empty()) {
    m_nextSync = aNow + m_options.m_syncEvery;
    sends.push_back({ PickRandom(targets), MakeDigest() });
    // After a partition both sides have each other marked as dead and exclude
    // each other from gossip. A digest to a dead balancer ends this.
    const std::vector<std::string>& dead = Others().m_dead;
    if (!dead.empty()) {
      sends.push_back({ PickRandom(dead), MakeDigest() });
    }
  }
  return sends;
}

std::vector<uint32_t>
Membership::BucketHashes(size_t aCount) const
{
  std::vector<uint32_t> hashes(aCount, 0);
  for (const auto& [id, entry] : m_members) {
    if (IsPresent(entry.m_record)) {
      hashes[BucketOf(entry.m_idHash, aCount)] ^=
        static_cast<uint32_t>(entry.m_fingerprint);
    }
  }
  return hashes;
}

SyncDigest
Membership::MakeDigest() const
{
  return { m_self.m_address, BucketHashes(BucketCountFor(m_members.size())) };
}

SyncRecords
Membership::RecordsInBuckets(const std::vector<uint32_t>& aBuckets,
                             uint32_t aBucketCount) const
{
  SyncRecords reply{ m_self.m_address, aBucketCount, {}, {}, false };
  std::unordered_map<uint32_t, std::vector<const MemberRecord*>> byBucket;
  for (uint32_t bucket : aBuckets) {
    byBucket[bucket];
  }
  for (const auto& [id, entry] : m_members) {
    auto found = byBucket.find(BucketOf(entry.m_idHash, aBucketCount));
    if (found != byBucket.end()) {
      found->second.push_back(&entry.m_record);
    }
  }
  // Only whole buckets are sent, up to the maximum number of records. The
  // remaining buckets follow with later digests.
  for (uint32_t bucket : aBuckets) {
    const auto& records = byBucket[bucket];
    if (!reply.m_records.empty() &&
        reply.m_records.size() + records.size() > m_options.m_recordsPerSync) {
      break;
    }
    reply.m_buckets.push_back(bucket);
    for (const MemberRecord* record : records) {
      reply.m_records.push_back(*record);
    }
  }
  return reply;
}

std::vector<SendToPeer>
Membership::OnSyncDigest(const SyncDigest& aDigest)
{
  size_t count = aDigest.m_buckets.size();
  if (count == 0 || count > kMaxBuckets) {
    return {};
  }
  std::vector<uint32_t> own = BucketHashes(count);
  std::vector<uint32_t> differing;
  for (uint32_t bucket = 0; bucket < count; ++bucket) {
    if (own[bucket] != aDigest.m_buckets[bucket]) {
      differing.push_back(bucket);
    }
  }
  if (differing.empty()) {
    return {};
  }
  std::shuffle(differing.begin(), differing.end(), m_random);
  SyncRecords reply = RecordsInBuckets(differing, static_cast<uint32_t>(count));
  reply.m_wantReply = true;
  return { { aDigest.m_from, std::move(reply) } };
}

std::vector<SendToPeer>
Membership::OnSyncRecords(TimePoint aNow, const SyncRecords& aRecords)
{
  Gossip received{ aRecords.m_from, aRecords.m_records, 0 };
  OnGossip(aNow, received);
  bool isValid =
    aRecords.m_bucketCount > 0 && aRecords.m_bucketCount <= kMaxBuckets;
  if (!aRecords.m_wantReply || !isValid) {
    return {};
  }
  std::vector<SendToPeer> sends = {
    { aRecords.m_from,
      RecordsInBuckets(aRecords.m_buckets, aRecords.m_bucketCount) }
  };
  // Many records in one message mean that more are missing, for example after
  // a start. They are requested at once instead of with the next digest.
  if (aRecords.m_records.size() >= m_options.m_recordsPerSync / 2) {
    sends.push_back({ aRecords.m_from, MakeDigest() });
  }
  return sends;
}

std::vector<std::string>
Membership::DomainAddresses(size_t aCount) const
{
  std::vector<std::string> addresses;
  for (const auto& [id, entry] : m_members) {
    const MemberRecord& record = entry.m_record;
    bool isInOwnDomain = record.m_role == Role::Balancer && IsPresent(record) &&
                         record.m_domain == m_self.m_domain;
    if (isInOwnDomain) {
      addresses.push_back(record.m_address);
    }
  }
  std::sort(addresses.begin(), addresses.end());
  addresses.resize(std::min(addresses.size(), aCount));
  return addresses;
}

} // namespace bilberryfield
