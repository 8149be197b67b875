#include "AgentList.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Consecutive reports that may be lost before an agent gets no new flows. */
constexpr int kMaxMissedReports = 2;
/** Time by which a report may be late. */
constexpr Duration kReportGracePeriod = Milliseconds(150);
/** Time for which a newly listed agent counts as present without a report. */
constexpr Duration kFirstReportTimeout = Milliseconds(600);
/** Time without a report after which an unlisted agent is evicted. */
constexpr Duration kEvictAfter = Seconds(10);
/** Interval between eviction scans; each scan visits all agents. */
constexpr Duration kEvictionInterval = Milliseconds(100);

} // namespace

void
AgentList::SetListed(TimePoint aNow,
                     const StorePosition& aPosition,
                     const std::vector<AgentEntry>& aEntries)
{
  if (aPosition <= m_position) {
    return;
  }
  // The first list after a restoration is a copy of the past. An agent that
  // only it names may have left since.
  bool isFirst = !m_position.IsKnown();
  bool isFromCopy = m_position.IsKnown() && aPosition.m_era != m_position.m_era;
  m_position = aPosition;
  std::set<uint32_t> listed;
  for (const AgentEntry& entry : aEntries) {
    SetListedEntry(aNow, entry, isFromCopy);
    listed.insert(entry.m_packets.m_ip);
  }
  for (auto& [ip, agent] : m_agents) {
    if (!listed.contains(ip)) {
      agent.m_listedEntry = std::nullopt;
      agent.m_isListed = false;
    }
    agent.m_isInFirstList =
      agent.m_isInFirstList || (isFirst && agent.m_isListed);
  }
}

std::vector<AgentEntry>
AgentList::ListedEntries() const
{
  std::vector<AgentEntry> entries;
  for (const auto& [ip, agent] : m_agents) {
    if (agent.m_listedEntry) {
      entries.push_back(*agent.m_listedEntry);
    }
  }
  return entries;
}

// A report comes from the agent that has the address. An entry that was in the
// list before, or that is from a copy, may have been left by an earlier agent;
// the present one has yet to replace it.
void
AgentList::SetListedEntry(TimePoint aNow,
                          const AgentEntry& aEntry,
                          bool aIsFromCopy)
{
  AgentState& known = m_agents[aEntry.m_packets.m_ip];
  bool isOld =
    known.m_listedEntry == aEntry || (aIsFromCopy && IsReporting(aNow, known));
  bool isReported = known.m_lastReport && known.m_entry != aEntry;
  known.m_listedEntry = aEntry;
  if (isOld && isReported) {
    known.m_isListed = false;
    return;
  }
  AgentState& agent = Upsert(aNow, aEntry);
  agent.m_mustReport = agent.m_mustReport || aIsFromCopy;
}

// A different entry at the same address belongs to another server, so the
// state of the earlier one is dropped. The store's entry belongs to the
// address.
AgentState&
AgentList::Upsert(TimePoint aNow, const AgentEntry& aEntry)
{
  uint32_t ip = aEntry.m_packets.m_ip;
  AgentState& agent = m_agents[ip];
  if (agent.m_entry != aEntry) {
    RemoveFromService(ip, agent.m_entry.m_service);
    std::optional<AgentEntry> listed = std::move(agent.m_listedEntry);
    agent = AgentState{};
    agent.m_listedEntry = std::move(listed);
    agent.m_entry = aEntry;
    agent.m_serviceTag = ServiceTag(aEntry.m_service);
    agent.m_isSameDomain = aEntry.m_domain == m_ownDomain;
    agent.m_addedAt = aNow;
    m_byService[aEntry.m_service].insert(ip);
  }
  agent.m_isListed = agent.m_listedEntry == aEntry;
  return agent;
}

void
AgentList::RemoveFromService(uint32_t aAgentIp, const std::string& aService)
{
  auto found = m_byService.find(aService);
  if (found == m_byService.end()) {
    return;
  }
  found->second.erase(aAgentIp);
  if (found->second.empty()) {
    m_byService.erase(found);
  }
}

void
AgentList::OnReport(TimePoint aNow, const AgentReport& aReport)
{
  AgentState& agent =
    Upsert(aNow, { aReport.m_service, aReport.m_domain, aReport.m_packets });
  agent.m_lastReport = aNow;
  agent.m_queriedAt = std::nullopt;
  agent.m_serverStartedAt = std::nullopt;
  if (aReport.m_sinceServerStart > Milliseconds(0)) {
    agent.m_serverStartedAt = aNow - aReport.m_sinceServerStart;
  }
  SetLoad(aNow, agent, aReport.m_load);
  m_evacuations.Update(aNow, aReport.m_evacuations);
}

void
AgentList::OnLoad(TimePoint aNow, uint32_t aAgentIp, const ServerLoad& aLoad)
{
  auto found = m_agents.find(aAgentIp);
  if (found == m_agents.end() || !found->second.m_lastReport) {
    return;
  }
  AgentState& agent = found->second;
  if (aLoad.m_serviceTag != 0 && aLoad.m_serviceTag != agent.m_serviceTag) {
    // The full report of the next agent at the address was lost. A subscription
    // that names the earlier one brings another.
    agent.m_lastSubscription = std::nullopt;
    return;
  }
  agent.m_lastReport = aNow;
  agent.m_queriedAt = std::nullopt;
  SetLoad(aNow, agent, aLoad);
}

void
AgentList::SetLoad(TimePoint aNow, AgentState& aAgent, const ServerLoad& aLoad)
{
  if (aLoad.m_condition != ServerCondition::Unknown) {
    aAgent.m_serverKnownAt = aNow;
    aAgent.m_serverUnknownSince = std::nullopt;
  } else if (!aAgent.m_serverUnknownSince) {
    // The agent has restarted, so a start that it saw earlier is outdated.
    aAgent.m_serverUnknownSince = aNow;
    aAgent.m_serverStartedAt = std::nullopt;
  }
  aAgent.m_load = aLoad;
  aAgent.m_load.m_slots = std::max<uint32_t>(aLoad.m_slots, 1);
}

void
AgentList::OnSubscribed(TimePoint aNow,
                        uint32_t aAgentIp,
                        const Subscribe& aMessage)
{
  auto found = m_agents.find(aAgentIp);
  if (found == m_agents.end()) {
    return;
  }
  AgentState& agent = found->second;
  agent.m_lastSubscription = { aNow,
                               aMessage.m_routes.m_version,
                               aMessage.m_agents.m_version,
                               m_evacuations.NewsCount() };
  agent.m_reportTimeout =
    kMaxMissedReports * aMessage.m_intervals.m_unchanged + kReportGracePeriod;
}

void
AgentList::OnReturnedSyn(const AgentId& aAgent,
                         ReturnReason aReason,
                         uint32_t aBusy)
{
  AgentState* found = FindMutable(aAgent);
  if (!found) {
    return;
  }
  AgentState& agent = *found;
  switch (aReason) {
    case ReturnReason::Starting:
      agent.m_load.m_condition = ServerCondition::Unknown;
      break;
    case ReturnReason::NotAccepting:
    case ReturnReason::WrongService:
    case ReturnReason::Evacuated:
      agent.m_load.m_condition = ServerCondition::Draining;
      break;
    case ReturnReason::Silent:
      agent.m_load.m_condition = ServerCondition::Silent;
      break;
    case ReturnReason::Failing:
      agent.m_load.m_condition = ServerCondition::Failing;
      break;
    case ReturnReason::Full:
    case ReturnReason::Bounced:
      agent.m_load.m_busy = std::max(aBusy, agent.m_load.m_slots);
      break;
    case ReturnReason::None:
    case ReturnReason::NotOwner:
    case ReturnReason::Count:
      break;
  }
}

void
AgentList::OnQueried(TimePoint aNow, const std::vector<AgentId>& aAgents)
{
  for (const AgentId& id : aAgents) {
    AgentState* agent = FindMutable(id);
    if (agent && !agent->m_queriedAt) {
      agent->m_queriedAt = aNow;
    }
  }
}

void
AgentList::OnAnswered(const AgentId& aAgent)
{
  if (AgentState* agent = FindMutable(aAgent)) {
    agent->m_queriedAt = std::nullopt;
  }
}

void
AgentList::OnFlowPlaced(const AgentId& aAgent)
{
  if (AgentState* agent = FindMutable(aAgent)) {
    agent->m_load.m_busy += 1;
  }
}

void
AgentList::OnPause(Duration aPause)
{
  for (auto& [ip, agent] : m_agents) {
    agent.m_addedAt += aPause;
    if (agent.m_lastReport) {
      *agent.m_lastReport += aPause;
    }
    if (agent.m_serverUnknownSince) {
      *agent.m_serverUnknownSince += aPause;
    }
    if (agent.m_queriedAt) {
      *agent.m_queriedAt += aPause;
    }
  }
}

void
AgentList::OnTick(TimePoint aNow)
{
  if (aNow < m_nextEviction) {
    return;
  }
  m_nextEviction = aNow + kEvictionInterval;
  for (auto it = m_agents.begin(); it != m_agents.end();) {
    const AgentState& agent = it->second;
    if (agent.m_isListed || agent.TimeSinceContact(aNow) <= kEvictAfter) {
      ++it;
      continue;
    }
    if (agent.m_listedEntry) {
      AgentEntry listed = *agent.m_listedEntry;
      Upsert(aNow, listed).m_mustReport = true;
      ++it;
      continue;
    }
    RemoveFromService(it->first, agent.m_entry.m_service);
    it = m_agents.erase(it);
  }
}

bool
AgentList::IsReporting(TimePoint aNow, const AgentState& aAgent) const
{
  return aAgent.m_lastReport &&
         aNow - *aAgent.m_lastReport <= aAgent.m_reportTimeout;
}

bool
AgentList::IsAliveSince(TimePoint aNow,
                        const AgentState& aAgent,
                        TimePoint aTime) const
{
  bool isReportDue = aNow - aTime > aAgent.m_reportTimeout / 2;
  return IsReporting(aNow, aAgent) &&
         (!isReportDue || *aAgent.m_lastReport > aTime);
}

std::vector<PlacementCandidate>
AgentList::Candidates(TimePoint aNow,
                      const std::string& aService,
                      std::span<const AgentId> aTried) const
{
  std::vector<PlacementCandidate> candidates;
  for (uint32_t ip : AgentsOf(aService)) {
    const AgentState& agent = m_agents.at(ip);
    bool isUsable = IsAwaitingFirstReport(aNow, agent) ||
                    (IsReporting(aNow, agent) &&
                     agent.m_load.m_condition == ServerCondition::Ready);
    bool wasTried =
      std::find(aTried.begin(), aTried.end(), agent.Id()) != aTried.end();
    if (!isUsable || wasTried || IsEvacuated(aNow, agent)) {
      continue;
    }
    candidates.push_back({ agent.Id(),
                           agent.m_isSameDomain,
                           agent.m_load.m_busy,
                           agent.m_load.m_slots,
                           agent.m_load.m_answerUs });
  }
  return candidates;
}

bool
AgentList::IsAwaitingFirstReport(TimePoint aNow, const AgentState& aAgent) const
{
  return !aAgent.m_lastReport && aAgent.m_isListed && !aAgent.m_mustReport &&
         aNow - aAgent.m_addedAt < kFirstReportTimeout;
}

bool
AgentList::HasPendingServer(TimePoint aNow, const std::string& aService) const
{
  const std::set<uint32_t>& agents = AgentsOf(aService);
  return std::any_of(agents.begin(), agents.end(), [&](uint32_t aIp) {
    const AgentState& agent = m_agents.at(aIp);
    return IsPresent(aNow, agent) && !IsEvacuated(aNow, agent) &&
           agent.m_load.m_condition == ServerCondition::Unknown;
  });
}

bool
AgentList::IsPresent(TimePoint aNow, const AgentState& aAgent) const
{
  return IsReporting(aNow, aAgent) || IsAwaitingFirstReport(aNow, aAgent);
}

bool
AgentList::IsEvacuated(TimePoint aNow, const AgentState& aAgent) const
{
  return m_evacuations.Contains(aNow, aAgent.m_entry.m_domain);
}

bool
AgentList::IsServiceEvacuated(TimePoint aNow, const std::string& aService) const
{
  bool hasEvacuated = false;
  for (uint32_t ip : AgentsOf(aService)) {
    const AgentState& agent = m_agents.at(ip);
    if (IsEvacuated(aNow, agent)) {
      hasEvacuated = true;
    } else if (IsPresent(aNow, agent)) {
      return false;
    }
  }
  return hasEvacuated;
}

std::vector<std::string>
AgentList::EvacuatedWithoutAgents() const
{
  if (!IsLoaded()) {
    return {};
  }
  std::vector<std::string> domains = m_evacuations.Latest().m_domains;
  std::erase_if(domains, [&](const std::string& aDomain) {
    return std::any_of(
      m_agents.begin(), m_agents.end(), [&](const auto& aItem) {
        return aItem.second.m_entry.m_domain == aDomain;
      });
  });
  return domains;
}

const std::set<uint32_t>&
AgentList::AgentsOf(const std::string& aService) const
{
  static const std::set<uint32_t> kNone;
  auto found = m_byService.find(aService);
  return found == m_byService.end() ? kNone : found->second;
}

const AgentState*
AgentList::Find(const AgentId& aAgent) const
{
  const AgentState* agent = FindAt(aAgent.m_ip);
  return agent && agent->m_serviceTag == aAgent.m_serviceTag ? agent : nullptr;
}

AgentState*
AgentList::FindMutable(const AgentId& aAgent)
{
  auto found = m_agents.find(aAgent.m_ip);
  bool isSame = found != m_agents.end() &&
                found->second.m_serviceTag == aAgent.m_serviceTag;
  return isSame ? &found->second : nullptr;
}

const AgentState*
AgentList::FindAt(uint32_t aIp) const
{
  auto found = m_agents.find(aIp);
  return found == m_agents.end() ? nullptr : &found->second;
}

bool
AgentList::HasAgentAddedSince(TimePoint aTime) const
{
  return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& aItem) {
    return aItem.second.m_addedAt >= aTime;
  });
}

// Without any report the balancer itself is probably disconnected.
std::vector<uint32_t>
AgentList::ListedWithoutReports(TimePoint aNow, Duration aDuration) const
{
  std::vector<uint32_t> silent;
  if (!HasReportingAgent(aNow)) {
    return silent;
  }
  for (const auto& [ip, agent] : m_agents) {
    if (agent.m_isListed && agent.TimeSinceContact(aNow) > aDuration) {
      silent.push_back(ip);
    }
  }
  return silent;
}

bool
AgentList::HasReportingAgent(TimePoint aNow) const
{
  return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& aItem) {
    return IsReporting(aNow, aItem.second);
  });
}

} // namespace bilberryfield
