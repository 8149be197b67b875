#include "PeerVersions.h"

namespace bilberryfield {

void
PeerVersions::Update(TimePoint aNow,
                     const VersionHolder& aReported,
                     NewestVersion& aNewest)
{
  if (aReported.m_version > aNewest.m_latest.m_version) {
    aNewest = { aReported, aNow };
  } else if (aReported.m_version == aNewest.m_latest.m_version) {
    // Any holder of the version will do; the one reported last is most likely
    // alive.
    aNewest.m_latest.m_holder = aReported.m_holder;
  }
}

void
PeerVersions::OnReport(TimePoint aNow,
                       const VersionHolder& aRoutes,
                       const VersionHolder& aAgents)
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
  auto isDue = [&](const NewestVersion& aNewest, uint64_t aOwnVersion) {
    return aNewest.m_latest.m_version > aOwnVersion &&
           aNow - aNewest.m_reportedAt >= kStoreGracePeriod;
  };
  const NewestVersion* due = nullptr;
  if (isDue(m_routes, aOwn.m_routes)) {
    due = &m_routes;
  } else if (!aOwn.m_isAgentListWatched && isDue(m_agents, aOwn.m_agents)) {
    due = &m_agents;
  }
  if (!due) {
    return std::nullopt;
  }
  m_selectedAt = aNow;
  return due->m_latest.m_holder;
}

} // namespace bilberryfield
