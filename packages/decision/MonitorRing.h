#pragma once

#include "Member.h"

#include <map>

namespace bilberryfield {

/** A balancer that can monitor members. */
struct Monitor
{
  std::string m_id;
  std::string m_address;
  std::string m_domain;

  bool operator==(const Monitor&) const = default;
};

/**
 * Assigns a few monitors to each member by a hash ring of the balancers.
 * The monitors stand in at least two failure domains where there are two.
 */
class MonitorRing
{
public:
  MonitorRing() = default;

  /** Builds the ring from the present balancers among the records. */
  explicit MonitorRing(const std::vector<MemberRecord>& aRecords);

  /** Up to kMonitors balancers that watch this member, never itself. */
  std::vector<Monitor> MonitorsOf(const std::string& aMemberId) const;

  /** Number of failure domains that the ring's balancers stand in. */
  size_t DomainCount() const { return m_domainCount; }

  /** True when aId is among the first aCount of its domain by hash. */
  bool IsAmongFirstOfDomain(const std::string& aId,
                            const std::string& aDomain,
                            size_t aCount) const;

  static constexpr size_t kMonitors = 3;

private:
  std::map<uint64_t, Monitor> m_ring;
  size_t m_domainCount = 0;
};

} // namespace bilberryfield
