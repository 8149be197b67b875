#include "PeerVersions.h"

namespace bilberryfield {

template<typename Version>
void
PeerVersions::Update(TimePoint aNow,
                     const VersionHolder<Version>& aReported,
                     Newest<Version>& aNewest)
{
  if (aReported.m_version > aNewest.m_latest.m_version) {
    aNewest = { aReported, aNow };
  } else if (aReported.m_version == aNewest.m_latest.m_version) {
    // Any holder of the version will do; the one reported last is most likely
    // alive.
    aNewest.m_latest.m_holder = aReported.m_holder;
  }
}

template<typename Version>
bool
PeerVersions::IsDue(TimePoint aNow,
                    const Newest<Version>& aNewest,
                    const Version& aOwn)
{
  return aNewest.m_latest.m_version > aOwn &&
         aNow - aNewest.m_reportedAt >= kStoreGracePeriod;
}

void
PeerVersions::OnReport(TimePoint aNow,
                       const RoutesHolder& aRoutes,
                       const AgentsHolder& aAgents)
{
  Update(aNow, aRoutes, m_routes);
  Update(aNow, aAgents, m_agents);
}

std::optional<Endpoint>
PeerVersions::SelectPeer(TimePoint aNow, const LocalVersions& aOwn)
{
  if (m_selectedAt && aNow - *m_selectedAt < kRetryInterval) {
    return std::nullopt;
  }
  std::optional<Endpoint> holder;
  if (IsDue(aNow, m_routes, aOwn.m_routes)) {
    holder = m_routes.m_latest.m_holder;
  } else if (!aOwn.m_isAgentListWatched &&
             IsDue(aNow, m_agents, aOwn.m_agents)) {
    holder = m_agents.m_latest.m_holder;
  }
  if (holder) {
    m_selectedAt = aNow;
  }
  return holder;
}

bool
PeerVersions::IsWatchOverdue(TimePoint aNow,
                             const StorePosition& aOwn,
                             Duration aBatchDelay)
{
  if (m_overdueAt && aNow - *m_overdueAt < kRenewInterval) {
    return false;
  }
  if (!IsDue(aNow - aBatchDelay, m_agents, aOwn)) {
    return false;
  }
  m_overdueAt = aNow;
  return true;
}

} // namespace bilberryfield
