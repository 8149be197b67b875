#pragma once

#include "FlowMessages.h"

#include <optional>

namespace bilberryfield {

/** What a balancer has itself, to compare with what it hears of. */
struct LocalVersions
{
  uint64_t m_routes = 0;
  uint64_t m_agents = 0;
  /** The store's list of agents is being followed without a failure. */
  bool m_isAgentListWatched = false;
};

/**
 * Notices, from what agents report, that another balancer has newer routes or
 * a newer list of agents than this one can get from the store.
 */
class PeerVersions
{
public:
  void OnReport(TimePoint aNow,
                const VersionHolder& aRoutes,
                const VersionHolder& aAgents);

  /** The balancer to ask now, if any; it is given again after kRetryInterval.
   */
  std::optional<Endpoint> SelectPeer(TimePoint aNow, const LocalVersions& aOwn);

  /** Time in which the store's own watch usually brings the same versions. */
  static constexpr Duration kStoreGracePeriod = Milliseconds(400);
  static constexpr Duration kRetryInterval = Milliseconds(500);

private:
  struct NewestVersion
  {
    VersionHolder m_latest;
    TimePoint m_reportedAt;
  };

  static void Update(TimePoint aNow,
                     const VersionHolder& aReported,
                     NewestVersion& aNewest);

  NewestVersion m_routes;
  NewestVersion m_agents;
  std::optional<TimePoint> m_askedAt;
};

} // namespace bilberryfield
