#include "Evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberryfield {

namespace {

using Domains = std::vector<std::string>;

Domains
Difference(const Domains& aFrom, const Domains& aWithout)
{
  Domains difference;
  std::set_difference(aFrom.begin(),
                      aFrom.end(),
                      aWithout.begin(),
                      aWithout.end(),
                      std::back_inserter(difference));
  return difference;
}

void
SortUnique(Domains& aDomains)
{
  std::sort(aDomains.begin(), aDomains.end());
  aDomains.erase(std::unique(aDomains.begin(), aDomains.end()), aDomains.end());
}

} // namespace

bool
EvacuationSet::IsNewsFor(const EvacuationSet& aOlder) const
{
  return m_position > aOlder.m_position &&
         (!aOlder.IsKnown() || m_domains != aOlder.m_domains ||
          m_position.m_era != aOlder.m_position.m_era);
}

bool
Evacuations::Update(TimePoint aNow, const EvacuationSet& aSet)
{
  if (aSet.m_position <= m_set.m_position) {
    return false;
  }
  // Another process may send an unsorted set.
  EvacuationSet next = aSet;
  SortUnique(next.m_domains);
  if (IsKnown() && next.m_position.m_era != m_set.m_position.m_era) {
    KeepMissingDomains(aNow, next);
  }
  for (const std::string& domain : next.m_domains) {
    m_keptUntil.erase(domain);
  }
  m_newsCount += next.IsNewsFor(m_set) ? 1 : 0;
  m_set = std::move(next);
  return true;
}

// The restored store is a copy of a past state, which may be older than the
// evacuation.
void
Evacuations::KeepMissingDomains(TimePoint aNow, const EvacuationSet& aRestored)
{
  for (std::string& domain : Difference(InForce(aNow), aRestored.m_domains)) {
    m_keptUntil[domain] = aNow + kRestoredGracePeriod;
    m_newlyKept.push_back(std::move(domain));
  }
}

void
Evacuations::OnPause(TimePoint aNow, Duration aPause)
{
  if (aPause > kMaxPause && IsKnown()) {
    m_outdatedUntil = aNow + kRefreshTime;
  }
}

bool
Evacuations::IsOutdated(TimePoint aNow) const
{
  return aNow < m_outdatedUntil;
}

bool
Evacuations::Contains(TimePoint aNow, const std::string& aDomain) const
{
  if (std::binary_search(
        m_set.m_domains.begin(), m_set.m_domains.end(), aDomain)) {
    return true;
  }
  auto kept = m_keptUntil.find(aDomain);
  return kept != m_keptUntil.end() && aNow < kept->second;
}

std::vector<std::string>
Evacuations::InForce(TimePoint aNow) const
{
  Domains domains = m_set.m_domains;
  for (const auto& [domain, until] : m_keptUntil) {
    if (aNow < until) {
      domains.push_back(domain);
    }
  }
  SortUnique(domains);
  return domains;
}

EvacuationChanges
Evacuations::TakeChanges(TimePoint aNow)
{
  EvacuationChanges changes;
  Domains inForce = InForce(aNow);
  changes.m_isFirst = IsKnown() && !std::exchange(m_wasKnown, IsKnown());
  changes.m_added = Difference(inForce, m_wereInForce);
  changes.m_removed = Difference(m_wereInForce, inForce);
  changes.m_kept = std::exchange(m_newlyKept, {});
  std::erase_if(m_keptUntil, [&](const auto& aItem) {
    bool hasLapsed = aNow >= aItem.second;
    if (hasLapsed) {
      changes.m_lapsed.push_back(aItem.first);
    }
    return hasLapsed;
  });
  m_wereInForce = std::move(inForce);
  return changes;
}

} // namespace bilberryfield
