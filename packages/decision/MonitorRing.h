#pragma once

#include "Member.h"

#include <vector>

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

  /**
   * Up to kMonitors balancers that watch this member, never itself. The
   * pointers are valid as long as the ring.
   */
  std::vector<const Monitor*> MonitorsOf(const std::string& aMemberId) const;

  /** True when aMonitorId is one of the monitors of the member. */
  bool IsMonitorOf(const std::string& aMonitorId,
                   const std::string& aMemberId) const;

  /** Number of failure domains that the ring's balancers stand in. */
  size_t DomainCount() const { return m_domainCount; }

  /** True when aId is among the first aCount of its domain by hash. */
  bool IsAmongFirstOfDomain(const std::string& aId,
                            const std::string& aDomain,
                            size_t aCount) const;

  static constexpr size_t kMonitors = 3;

private:
  struct Place
  {
    uint64_t m_hash = 0;
    Monitor m_monitor;
  };

  /** Sorted by hash. */
  std::vector<Place> m_ring;
  size_t m_domainCount = 0;
};

} // namespace bilberryfield
