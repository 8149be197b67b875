#include "MonitorRing.h"

#include "Rendezvous.h"

#include <algorithm>
#include <set>

namespace bilberryfield {

namespace {

bool
IsInOneDomain(const std::vector<const Monitor*>& aMonitors)
{
  return std::all_of(
    aMonitors.begin(), aMonitors.end(), [&](const Monitor* aMonitor) {
      return aMonitor->m_domain == aMonitors.front()->m_domain;
    });
}

} // namespace

MonitorRing::MonitorRing(const std::vector<MemberRecord>& aRecords)
{
  std::set<std::string> domains;
  for (const MemberRecord& record : aRecords) {
    if (record.m_role == Role::Balancer && IsPresent(record)) {
      m_ring.push_back({ StableHash(record.m_id),
                         { record.m_id, record.m_address, record.m_domain } });
      domains.insert(record.m_domain);
    }
  }
  std::sort(m_ring.begin(),
            m_ring.end(),
            [](const RingEntry& aLeft, const RingEntry& aRight) {
              return aLeft.m_hash < aRight.m_hash;
            });
  m_domainCount = domains.size();
}

std::vector<const Monitor*>
MonitorRing::MonitorsOf(const std::string& aMemberId) const
{
  std::vector<const Monitor*> monitors;
  monitors.reserve(kMonitors);
  auto start = std::lower_bound(m_ring.begin(),
                                m_ring.end(),
                                StableHash(aMemberId),
                                [](const RingEntry& aEntry, uint64_t aHash) {
                                  return aEntry.m_hash < aHash;
                                });
  auto first = static_cast<size_t>(start - m_ring.begin());
  for (size_t seen = 0; seen < m_ring.size(); ++seen) {
    const Monitor& candidate = m_ring[(first + seen) % m_ring.size()].m_monitor;
    if (candidate.m_id == aMemberId) {
      continue;
    }
    // The last monitor has to add a second domain, because a member is marked
    // as dead only after monitors of two domains suspect it.
    bool mustDiffer = monitors.size() == kMonitors - 1 && m_domainCount > 1 &&
                      IsInOneDomain(monitors);
    if (mustDiffer && candidate.m_domain == monitors.front()->m_domain) {
      continue;
    }
    monitors.push_back(&candidate);
    if (monitors.size() == kMonitors) {
      break;
    }
  }
  return monitors;
}

bool
MonitorRing::IsMonitorOf(const std::string& aMonitorId,
                         const std::string& aMemberId) const
{
  auto monitors = MonitorsOf(aMemberId);
  return std::any_of(
    monitors.begin(), monitors.end(), [&](const Monitor* aMonitor) {
      return aMonitor->m_id == aMonitorId;
    });
}

bool
MonitorRing::IsAmongFirstOfDomain(const std::string& aId,
                                  const std::string& aDomain,
                                  size_t aCount) const
{
  size_t seen = 0;
  for (const auto& [hash, monitor] : m_ring) {
    if (monitor.m_domain != aDomain) {
      continue;
    }
    if (monitor.m_id == aId) {
      return true;
    }
    if (++seen == aCount) {
      return false;
    }
  }
  return false;
}

} // namespace bilberryfield
