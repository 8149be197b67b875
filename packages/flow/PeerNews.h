#pragma once

#include "FlowMessages.h"

#include <optional>

namespace bilberryfield {

/** What a balancer has itself, to compare with what it hears of. */
struct OwnVersions
{
  uint64_t m_routes = 0;
  uint64_t m_agents = 0;
  /** The store's list of agents is being followed without a failure. */
  bool m_isStoreFollowed = false;
};

/**
 * Notices, from what agents report, that another balancer has newer routes or
 * a newer list of agents than this one can get from the store.
 */
class PeerNews
{
public:
  void OnReport(TimePoint aNow,
                const VersionHolder& aRoutes,
                const VersionHolder& aAgents);

  /** The balancer to ask now, if any; it is given again after kAskAgain. */
  std::optional<Endpoint> WhomToAsk(TimePoint aNow, const OwnVersions& aOwn);

  /** Time in which the store's own watch usually brings the same news. */
  static constexpr Duration kStoreGoesFirst = Milliseconds(400);
  static constexpr Duration kAskAgain = Milliseconds(500);

private:
  struct News
  {
    VersionHolder m_newest;
    TimePoint m_heardAt;
  };

  static void Note(TimePoint aNow, const VersionHolder& aHeard, News& aNews);

  News m_routes;
  News m_agents;
  std::optional<TimePoint> m_askedAt;
};

} // namespace bilberryfield
