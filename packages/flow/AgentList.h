#pragma once

#include "FlowMessages.h"
#include "Placement.h"

#include <map>
#include <set>
#include <vector>

namespace bilberryfield {

/** An agent as its entry in the platform's store describes it. */
struct AgentEntry
{
  std::string m_service;
  std::string m_domain;
  /** Where the agent takes packets for its server. */
  Endpoint m_packets;

  bool operator==(const AgentEntry&) const = default;
};

/** Silence limit of an agent that this balancer has not asked for a pace; it
 * reports because an earlier start of the balancer did. */
inline constexpr Duration kDefaultReportTimeout = Milliseconds(500);

/** The last subscription that a balancer sent to an agent. */
struct SentSubscription
{
  TimePoint m_at;
  /** Versions that the agent was told. */
  uint64_t m_routesVersion = 0;
  uint64_t m_agentsVersion = 0;
};

/** An agent as one balancer sees it. */
struct AgentState
{
  AgentEntry m_entry;
  uint32_t m_serviceTag = 0;
  /** It is in this balancer's failure domain. */
  bool m_isSameDomain = false;
  bool m_isListed = false;
  TimePoint m_addedAt;
  /** Time of the last report; nothing before the first one. */
  std::optional<TimePoint> m_lastReport;
  /** Silence after which it gets no new flows; follows from the pace that it
   * is asked for. */
  Duration m_reportTimeout = kDefaultReportTimeout;
  ServerLoad m_load;
  std::optional<SentSubscription> m_lastSubscription;

  /** Time since its last report, or since it became known. */
  Duration TimeSinceContact(TimePoint aNow) const
  {
    return aNow - m_lastReport.value_or(m_addedAt);
  }
};

/** What a balancer knows of all agents: the store's list and their reports. */
class AgentList
{
public:
  explicit AgentList(std::string aOwnDomain)
    : m_ownDomain(std::move(aOwnDomain))
  {
  }

  /** Takes a whole list of the store at a revision; older ones are ignored. */
  void SetListed(TimePoint aNow,
                 uint64_t aRevision,
                 const std::vector<AgentEntry>& aEntries);

  /** True once a list was taken. */
  bool IsLoaded() const { return m_revision > 0; }
  uint64_t Revision() const { return m_revision; }

  /** A report names its agent by the address that it takes packets at. */
  void OnReport(TimePoint aNow, const AgentReport& aReport);

  /** Load of an agent that reported before; others are ignored. */
  void OnLoad(TimePoint aNow, uint32_t aAgentIp, const ServerLoad& aLoad);

  /** An agent was asked to report at a pace. */
  void OnSubscribed(TimePoint aNow,
                    uint32_t aAgentIp,
                    const Subscribe& aMessage);

  /** An agent handed an opening packet back. */
  void OnReturnedSyn(uint32_t aAgentIp, ReturnReason aReason, uint32_t aBusy);

  /** A new flow was sent to an agent. */
  void OnFlowPlaced(uint32_t aAgentIp);

  /** This process stood still; silence in that time tells nothing. */
  void OnPause(Duration aPause);

  /** Forgets agents that are neither listed nor heard. */
  void OnTick(TimePoint aNow);

  /** Servers that may get a new flow of a service. */
  std::vector<PlacementCandidate> Candidates(
    TimePoint aNow,
    const std::string& aService,
    std::span<const uint32_t> aTried) const;

  /** True while an agent of the service may soon know its server. */
  bool HasPendingServer(TimePoint aNow, const std::string& aService) const;

  /** Agents that a flow of a service may be at, whatever their condition. */
  const std::set<uint32_t>& AgentsOf(const std::string& aService) const;

  const AgentState* Find(uint32_t aAgentIp) const;
  const std::map<uint32_t, AgentState>& All() const { return m_agents; }

  /** Listed agents that were not heard for a time, if others are heard. */
  std::vector<uint32_t> ListedWithoutReports(TimePoint aNow,
                                             Duration aDuration) const;

  /** True while some agent is heard. */
  bool HasReportingAgent(TimePoint aNow) const;

  /** True while this agent's reports come in. */
  bool IsReporting(TimePoint aNow, const AgentState& aAgent) const;

  /** False when a report is due that the agent should have sent since. */
  bool IsAliveSince(TimePoint aNow,
                    const AgentState& aAgent,
                    TimePoint aTime) const;

private:
  /** The agent at an address, made anew when its entry is another one. */
  AgentState& Upsert(TimePoint aNow, const AgentEntry& aEntry);
  static void SetLoad(AgentState& aAgent, const ServerLoad& aLoad);
  void RemoveFromService(uint32_t aAgentIp, const std::string& aService);
  bool IsAwaitingFirstReport(TimePoint aNow, const AgentState& aAgent) const;

  std::string m_ownDomain;
  uint64_t m_revision = 0;
  TimePoint m_nextEviction;
  std::map<uint32_t, AgentState> m_agents;
  /** Addresses of the agents of each service, in order. */
  std::map<std::string, std::set<uint32_t>> m_byService;
};

} // namespace bilberryfield
