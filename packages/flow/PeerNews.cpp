#include "PeerNews.h"

namespace bilberryfield {

void
PeerNews::Note(TimePoint aNow, const VersionHolder& aHeard, News& aNews)
{
  if (aHeard.m_version > aNews.m_newest.m_version) {
    aNews = { aHeard, aNow };
  } else if (aHeard.m_version == aNews.m_newest.m_version) {
    // Any of several holders will do; the last one heard of is likely alive.
    aNews.m_newest.m_holder = aHeard.m_holder;
  }
}

void
PeerNews::OnReport(TimePoint aNow,
                   const VersionHolder& aRoutes,
                   const VersionHolder& aAgents)
{
  Note(aNow, aRoutes, m_routes);
  Note(aNow, aAgents, m_agents);
}

std::optional<Endpoint>
PeerNews::WhomToAsk(TimePoint aNow, const OwnVersions& aOwn)
{
  if (m_askedAt && aNow - *m_askedAt < kAskAgain) {
    return std::nullopt;
  }
  auto isDue = [&](const News& aNews, uint64_t aHave) {
    return aNews.m_newest.m_version > aHave &&
           aNow - aNews.m_heardAt >= kStoreGoesFirst;
  };
  const News* news = nullptr;
  if (isDue(m_routes, aOwn.m_routes)) {
    news = &m_routes;
  } else if (!aOwn.m_isStoreFollowed && isDue(m_agents, aOwn.m_agents)) {
    news = &m_agents;
  }
  if (!news) {
    return std::nullopt;
  }
  m_askedAt = aNow;
  return news->m_newest.m_holder;
}

} // namespace bilberryfield
