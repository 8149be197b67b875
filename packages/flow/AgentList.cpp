#include "AgentList.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Silence after which an agent gets no new flows. */
constexpr Duration kSilenceLimit = Milliseconds(350);
/** Time in which a newly listed agent is taken without a report. */
constexpr Duration kFirstReportLimit = Milliseconds(600);
/** Silence after which an unlisted agent is forgotten. */
constexpr Duration kForgetAfter = Seconds(10);

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
    KnownAgent& agent = m_agents[entry.m_packets.m_ip];
    if (agent.m_entry != entry) {
      agent = KnownAgent{};
      agent.m_entry = entry;
      agent.m_serviceTag = ServiceTag(entry.m_service);
      agent.m_knownSince = aNow;
    }
    agent.m_isListed = true;
  }
}

void
AgentList::OnReport(TimePoint aNow,
                    uint32_t aAgentIp,
                    const ServerLoad& aReport)
{
  KnownAgent& agent = m_agents[aAgentIp];
  AgentEntry entry{ aReport.m_service, aReport.m_domain, aReport.m_packets };
  if (agent.m_entry != entry) {
    // The address belongs to another server now, or the store's list has not
    // come yet.
    agent = KnownAgent{};
    agent.m_entry = entry;
    agent.m_serviceTag = ServiceTag(entry.m_service);
    agent.m_knownSince = aNow;
  }
  agent.m_heardAt = aNow;
  agent.m_condition = aReport.m_condition;
  agent.m_busy = aReport.m_busy;
  agent.m_slots = std::max<uint32_t>(aReport.m_slots, 1);
  agent.m_answerUs = aReport.m_answerUs;
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
      agent.m_condition = ServerCondition::Unknown;
      break;
    case HandBack::NotAccepting:
    case HandBack::WrongService:
      agent.m_condition = ServerCondition::Draining;
      break;
    case HandBack::Silent:
      agent.m_condition = ServerCondition::Silent;
      break;
    case HandBack::Full:
    case HandBack::Bounced:
      agent.m_busy = std::max(aBusy, agent.m_slots);
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
    found->second.m_busy += 1;
  }
}

void
AgentList::OnPause(Duration aPause)
{
  for (auto& [ip, agent] : m_agents) {
    if (agent.m_heardAt) {
      *agent.m_heardAt += aPause;
    }
  }
}

void
AgentList::OnTick(TimePoint aNow)
{
  std::erase_if(m_agents, [&](const auto& aItem) {
    const KnownAgent& agent = aItem.second;
    TimePoint last = agent.m_heardAt.value_or(agent.m_knownSince);
    return !agent.m_isListed && aNow - last > kForgetAfter;
  });
}

bool
AgentList::Hears(TimePoint aNow, const KnownAgent& aAgent) const
{
  return aAgent.m_heardAt && aNow - *aAgent.m_heardAt <= kSilenceLimit;
}

std::vector<PlacementCandidate>
AgentList::Candidates(TimePoint aNow,
                      const std::string& aService,
                      std::span<const uint32_t> aTried) const
{
  std::vector<PlacementCandidate> candidates;
  for (const auto& [ip, agent] : m_agents) {
    bool isUsable =
      IsNew(aNow, agent) ||
      (Hears(aNow, agent) && agent.m_condition == ServerCondition::Ready);
    bool wasTried = std::find(aTried.begin(), aTried.end(), ip) != aTried.end();
    if (!isUsable || wasTried || agent.m_entry.m_service != aService) {
      continue;
    }
    candidates.push_back({ ip,
                           agent.m_entry.m_domain == m_ownDomain,
                           agent.m_busy,
                           agent.m_slots,
                           agent.m_answerUs });
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
  return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& aItem) {
    const KnownAgent& agent = aItem.second;
    bool isPresent = Hears(aNow, agent) || IsNew(aNow, agent);
    return agent.m_entry.m_service == aService && isPresent &&
           agent.m_condition == ServerCondition::Unknown;
  });
}

std::vector<uint32_t>
AgentList::AgentsOf(const std::string& aService) const
{
  std::vector<uint32_t> agents;
  for (const auto& [ip, agent] : m_agents) {
    if (agent.m_entry.m_service == aService) {
      agents.push_back(ip);
    }
  }
  return agents;
}

const KnownAgent*
AgentList::Find(uint32_t aAgentIp) const
{
  auto found = m_agents.find(aAgentIp);
  return found == m_agents.end() ? nullptr : &found->second;
}

bool
AgentList::HearsAny(TimePoint aNow) const
{
  return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& aItem) {
    return Hears(aNow, aItem.second);
  });
}

} // namespace bilberryfield
