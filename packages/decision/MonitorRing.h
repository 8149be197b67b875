#pragma once

#include "Member.h"

#include <vector>

namespace bilberryfield {

/** A balancer that monitors members. */
struct Monitor
{
  std::string m_id;
  std::string m_address;
  std::string m_domain;

  bool operator==(const Monitor&) const = default;
};

/**
 * Assigns monitors to each member by consistent hashing over the balancers.
 * The monitors of a member are in at least two failure domains if the balancers
 * are.
 */
class MonitorRing
{
public:
  MonitorRing() = default;

  /** Builds the ring from the present balancers in aRecords. */
  explicit MonitorRing(const std::vector<MemberRecord>& aRecords);

  /**
   * Up to kMonitors balancers that monitor the member, excluding the member
   * itself. The pointers are valid as long as the ring.
   */
  std::vector<const Monitor*> MonitorsOf(const std::string& aMemberId) const;

  /** True if aMonitorId is one of the monitors of the member. */
  bool IsMonitorOf(const std::string& aMonitorId,
                   const std::string& aMemberId) const;

  /** Number of failure domains of the balancers in the ring. */
  size_t DomainCount() const { return m_domainCount; }

  /** True if aId is among the first aCount balancers of aDomain by hash. */
  bool IsAmongFirstOfDomain(const std::string& aId,
                            const std::string& aDomain,
                            size_t aCount) const;

  static constexpr size_t kMonitors = 3;

private:
  struct RingEntry
  {
    uint64_t m_hash = 0;
    Monitor m_monitor;
  };

  /** Sorted by hash. */
  std::vector<RingEntry> m_ring;
  size_t m_domainCount = 0;
};

} // namespace bilberryfield
