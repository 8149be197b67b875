#pragma once

#include "FlowMessages.h"

#include <optional>

namespace bilberryfield {

/** The versions that this balancer has, to compare with reported ones. */
struct LocalVersions
{
  RoutesVersion m_routes = 0;
  StorePosition m_agents;
  /** The watch of the agent list in the store is working. */
  bool m_isAgentListWatched = false;
};

/**
 * Tracks the newest versions of routes and agent list that agents report, and
 * selects a balancer to fetch them from when the store does not deliver them.
 */
class PeerVersions
{
public:
  /** Records the versions in an agent's report and the balancers that hold
   * them. */
  void OnReport(TimePoint aNow,
                const RoutesHolder& aRoutes,
                const AgentsHolder& aAgents);

  /** Returns the balancer to fetch versions from, if a reported version is
   * newer and kStoreGracePeriod has passed; at most once per kRetryInterval. */
  std::optional<Endpoint> SelectPeer(TimePoint aNow, const LocalVersions& aOwn);

  /**
   * True if an agent list that is newer than aOwn was reported so long ago that
   * the store's watch would have delivered it, if it worked. aBatchDelay is the
   * delay between two watches. At most once per kRenewInterval.
   */
  bool IsWatchOverdue(TimePoint aNow,
                      const StorePosition& aOwn,
                      Duration aBatchDelay);

  /** True if an agent list that is newer than aOwn was reported. */
  bool HasNewerAgents(const StorePosition& aOwn) const
  {
    return m_agents.m_latest.m_version > aOwn;
  }

  /** Time allowed for the store's watch to deliver a reported version. */
  static constexpr Duration kStoreGracePeriod = Milliseconds(400);
  /** Minimum interval between two selections. */
  static constexpr Duration kRetryInterval = Milliseconds(500);
  /** Minimum interval between two renewals of a watch. */
  static constexpr Duration kRenewInterval = Seconds(2);

private:
  template<typename Version>
  struct Newest
  {
    VersionHolder<Version> m_latest;
    /** When an agent first reported this version. */
    TimePoint m_reportedAt;
  };

  template<typename Version>
  static void Update(TimePoint aNow,
                     const VersionHolder<Version>& aReported,
                     Newest<Version>& aNewest);
  template<typename Version>
  static bool IsDue(TimePoint aNow,
                    const Newest<Version>& aNewest,
                    const Version& aOwn);

  Newest<RoutesVersion> m_routes;
  Newest<StorePosition> m_agents;
  std::optional<TimePoint> m_selectedAt;
  std::optional<TimePoint> m_overdueAt;
};

} // namespace bilberryfield
