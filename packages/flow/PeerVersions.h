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

  /** Time allowed for the store's watch to deliver a reported version. */
  static constexpr Duration kStoreGracePeriod = Milliseconds(400);
  /** Minimum interval between two selections. */
  static constexpr Duration kRetryInterval = Milliseconds(500);

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
};

} // namespace bilberryfield
