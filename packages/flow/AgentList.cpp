#include "AgentList.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Reports that may be missing before an agent gets no new flows. */
constexpr int kMissedReports = 2;
/** Time by which a report may be late. */
constexpr Duration kReportLateness = Milliseconds(150);
/** Time in which a newly listed agent is taken without a report. */
constexpr Duration kFirstReportLimit = Milliseconds(600);
/** Silence after which an unlisted agent is forgotten. */
constexpr Duration kForgetAfter = Seconds(10);
/** Time between two looks for such agents; each looks at all agents. */
constexpr Duration kForgetEvery = Milliseconds(100);

} // namespace

void
AgentList::SetListed(TimePoint aNow,
                     uint64_t aRevision,
                     const std::vector<AgentEntry>& aEntries)
{
  if (aRevision <= m_revision) {
    return;
  }
  m_revision = aRevision;
  for (auto& [ip, agent] : m_agents) {
    agent.m_isListed = false;
  }
  for (const AgentEntry& entry : aEntries) {
    Take(aNow, entry).m_isListed = true;
  }
}

// An address that has another entry belongs to another server now.
KnownAgent&
AgentList::Take(TimePoint aNow, const AgentEntry& aEntry)
{
  uint32_t ip = aEntry.m_packets.m_ip;
  KnownAgent& agent = m_agents[ip];
  if (agent.m_entry != aEntry) {
    ForgetService(ip, agent.m_entry.m_service);
    agent = KnownAgent{};
    agent.m_entry = aEntry;
    agent.m_serviceTag = ServiceTag(aEntry.m_service);
    agent.m_isNear = aEntry.m_domain == m_ownDomain;
    agent.m_knownSince = aNow;
    m_byService[aEntry.m_service].insert(ip);
  }
  return agent;
}

void
AgentList::ForgetService(uint32_t aAgentIp, const std::string& aService)
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
  KnownAgent& agent =
    Take(aNow, { aReport.m_service, aReport.m_domain, aReport.m_packets });
  agent.m_heardAt = aNow;
  SetLoad(agent, aReport.m_load);
}

void
AgentList::OnLoad(TimePoint aNow, uint32_t aAgentIp, const ServerLoad& aLoad)
{
  auto found = m_agents.find(aAgentIp);
  if (found == m_agents.end() || !found->second.m_heardAt) {
    return;
  }
  found->second.m_heardAt = aNow;
  SetLoad(found->second, aLoad);
}

void
AgentList::SetLoad(KnownAgent& aAgent, const ServerLoad& aLoad)
{
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
  KnownAgent& agent = found->second;
  agent.m_subscribed = { aNow,
                         aMessage.m_routes.m_version,
                         aMessage.m_agents.m_version };
  agent.m_silenceLimit =
    kMissedReports * aMessage.m_pace.m_every + kReportLateness;
}

void
AgentList::OnHandBack(uint32_t aAgentIp, HandBack aReason, uint32_t aBusy)
{
  auto found = m_agents.find(aAgentIp);
  if (found == m_agents.end()) {
    return;
  }
  KnownAgent& agent = found->second;
  switch (aReason) {
    case HandBack::Starting:
      agent.m_load.m_condition = ServerCondition::Unknown;
      break;
    case HandBack::NotAccepting:
    case HandBack::WrongService:
      agent.m_load.m_condition = ServerCondition::Draining;
      break;
    case HandBack::Silent:
      agent.m_load.m_condition = ServerCondition::Silent;
      break;
    case HandBack::Full:
    case HandBack::Bounced:
      agent.m_load.m_busy = std::max(aBusy, agent.m_load.m_slots);
      break;
    case HandBack::None:
    case HandBack::NotOwner:
    case HandBack::Count:
      break;
  }
}

void
AgentList::OnPlaced(uint32_t aAgentIp)
{
  if (auto found = m_agents.find(aAgentIp); found != m_agents.end()) {
    found->second.m_load.m_busy += 1;
  }
}

void
AgentList::OnPause(Duration aPause)
{
  for (auto& [ip, agent] : m_agents) {
    agent.m_knownSince += aPause;
    if (agent.m_heardAt) {
      *agent.m_heardAt += aPause;
    }
  }
}

void
AgentList::OnTick(TimePoint aNow)
{
  if (aNow < m_nextForget) {
    return;
  }
  m_nextForget = aNow + kForgetEvery;
  for (auto it = m_agents.begin(); it != m_agents.end();) {
    const KnownAgent& agent = it->second;
    if (agent.m_isListed || agent.Silence(aNow) <= kForgetAfter) {
      ++it;
      continue;
    }
    ForgetService(it->first, agent.m_entry.m_service);
    it = m_agents.erase(it);
  }
}

bool
AgentList::Hears(TimePoint aNow, const KnownAgent& aAgent) const
{
  return aAgent.m_heardAt && aNow - *aAgent.m_heardAt <= aAgent.m_silenceLimit;
}

bool
AgentList::IsAliveSince(TimePoint aNow,
                        const KnownAgent& aAgent,
                        TimePoint aTime) const
{
  bool isReportDue = aNow - aTime > aAgent.m_silenceLimit / 2;
  return Hears(aNow, aAgent) && (!isReportDue || *aAgent.m_heardAt > aTime);
}

std::vector<PlacementCandidate>
AgentList::Candidates(TimePoint aNow,
                      const std::string& aService,
                      std::span<const uint32_t> aTried) const
{
  std::vector<PlacementCandidate> candidates;
  for (uint32_t ip : AgentsOf(aService)) {
    const KnownAgent& agent = m_agents.at(ip);
    bool isUsable = IsNew(aNow, agent) ||
                    (Hears(aNow, agent) &&
                     agent.m_load.m_condition == ServerCondition::Ready);
    bool wasTried = std::find(aTried.begin(), aTried.end(), ip) != aTried.end();
    if (!isUsable || wasTried) {
      continue;
    }
    candidates.push_back({ ip,
                           agent.m_isNear,
                           agent.m_load.m_busy,
                           agent.m_load.m_slots,
                           agent.m_load.m_answerUs });
  }
  return candidates;
}

bool
AgentList::IsNew(TimePoint aNow, const KnownAgent& aAgent) const
{
  return !aAgent.m_heardAt && aAgent.m_isListed &&
         aNow - aAgent.m_knownSince < kFirstReportLimit;
}

bool
AgentList::ExpectsServer(TimePoint aNow, const std::string& aService) const
{
  const std::set<uint32_t>& agents = AgentsOf(aService);
  return std::any_of(agents.begin(), agents.end(), [&](uint32_t aIp) {
    const KnownAgent& agent = m_agents.at(aIp);
    bool isPresent = Hears(aNow, agent) || IsNew(aNow, agent);
    return isPresent && agent.m_load.m_condition == ServerCondition::Unknown;
  });
}

const std::set<uint32_t>&
AgentList::AgentsOf(const std::string& aService) const
{
  static const std::set<uint32_t> kNone;
  auto found = m_byService.find(aService);
  return found == m_byService.end() ? kNone : found->second;
}

const KnownAgent*
AgentList::Find(uint32_t aAgentIp) const
{
  auto found = m_agents.find(aAgentIp);
  return found == m_agents.end() ? nullptr : &found->second;
}

// A balancer that hears nobody is cut off itself.
std::vector<uint32_t>
AgentList::ListedButSilent(TimePoint aNow, Duration aFor) const
{
  std::vector<uint32_t> silent;
  if (!HearsAny(aNow)) {
    return silent;
  }
  for (const auto& [ip, agent] : m_agents) {
    if (agent.m_isListed && agent.Silence(aNow) > aFor) {
      silent.push_back(ip);
    }
  }
  return silent;
}

bool
AgentList::HearsAny(TimePoint aNow) const
{
  return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& aItem) {
    return Hears(aNow, aItem.second);
  });
}

} // namespace bilberryfield
