#pragma once

#include "AgentId.h"
#include "FlowMessages.h"
#include "Placement.h"
#include "StorePosition.h"

#include <map>
#include <set>
#include <vector>

namespace bilberryfield {

/** The entry of an agent in the platform's store. */
struct AgentEntry
{
  std::string m_service;
  std::string m_domain;
  /** Address at which the agent receives packets for its server. */
  Endpoint m_packets;

  bool operator==(const AgentEntry&) const = default;
};

/** Report timeout of an agent that this process has not subscribed to. Such an
 * agent reports because of a subscription that the balancer sent before it
 * restarted. */
inline constexpr Duration kDefaultReportTimeout = Milliseconds(500);

/** The last subscription that a balancer sent to an agent. */
struct SentSubscription
{
  TimePoint m_at;
  /** Versions that the subscription announced. */
  uint64_t m_routesVersion = 0;
  StorePosition m_agentsPosition;
  /** Evacuations::NewsCount at that time. */
  uint64_t m_evacuationNews = 0;
};

/** The state of an agent at one balancer. */
struct AgentState
{
  AgentEntry m_entry;
  uint32_t m_serviceTag = 0;
  /** The agent is in this balancer's failure domain. */
  bool m_isSameDomain = false;
  /** The store's entry for the agent's address; empty if it has none. It can be
   * that of an earlier agent. */
  std::optional<AgentEntry> m_listedEntry;
  /** The agent itself is in the store's list. */
  bool m_isListed = false;
  /** Gets no flows before its first report. */
  bool m_mustReport = false;
  /** The agent was in the first list that this balancer loaded. */
  bool m_isInFirstList = false;
  TimePoint m_addedAt;
  /** Time of the last report; empty before the first one. */
  std::optional<TimePoint> m_lastReport;
  /** Time without a report after which the agent gets no new flows. Derived
   * from the report interval in the last subscription. */
  Duration m_reportTimeout = kDefaultReportTimeout;
  ServerLoad m_load;
  /** Time at which the agent saw its server start; empty if it did not. */
  std::optional<TimePoint> m_serverStartedAt;
  /** Time of the last report with a known condition of the server. */
  std::optional<TimePoint> m_serverKnownAt;
  /** Time since which the agent has reported that it knows nothing of its
   * server; empty while it knows the server. */
  std::optional<TimePoint> m_serverUnknownSince;
  std::optional<SentSubscription> m_lastSubscription;
  /** Time of the first query since the agent's last message; empty if there was
   * none. */
  std::optional<TimePoint> m_queriedAt;

  AgentId Id() const { return { m_entry.m_packets.m_ip, m_serviceTag }; }

  /** Time since the last report, or since the agent was added if there is none.
   */
  Duration TimeSinceContact(TimePoint aNow) const
  {
    return aNow - m_lastReport.value_or(m_addedAt);
  }
};

/** All agents at one balancer, merged from the store's list and from reports,
 * and the failure domains that get no new flows. */
class AgentList
{
public:
  explicit AgentList(std::string aOwnDomain)
    : m_ownDomain(std::move(aOwnDomain))
  {
  }

  /** Replaces the store's list; a position that is not newer is ignored. Agents
   * that are no longer listed stay until OnTick evicts them. An agent that has
   * reported is replaced only by an entry that is new in the list. */
  void SetListed(TimePoint aNow,
                 const StorePosition& aPosition,
                 const std::vector<AgentEntry>& aEntries);

  /** The store's list as it was last read, whatever agents have reported since.
   */
  std::vector<AgentEntry> ListedEntries() const;

  /** True once a list of the store was received. */
  bool IsLoaded() const { return m_position.IsKnown(); }
  /** Position of the store's list; unknown before the first one. */
  const StorePosition& Position() const { return m_position; }

  /** Handles a full report. The agent is identified by its packet address and
   * added if it is new. */
  void OnReport(TimePoint aNow, const AgentReport& aReport);

  /** Handles a load report; ignored for an agent without a full report, and if
   * it is of another agent than the one that is known at the address. */
  void OnLoad(TimePoint aNow, uint32_t aAgentIp, const ServerLoad& aLoad);

  /** Records a subscription that was sent to an agent. */
  void OnSubscribed(TimePoint aNow,
                    uint32_t aAgentIp,
                    const Subscribe& aMessage);

  /** Updates the condition or load of an agent that returned a SYN. */
  void OnReturnedSyn(const AgentId& aAgent,
                     ReturnReason aReason,
                     uint32_t aBusy);

  /** Records queries that are sent to agents. */
  void OnQueried(TimePoint aNow, const std::vector<AgentId>& aAgents);

  /** Records an answer of an agent. */
  void OnAnswered(const AgentId& aAgent);

  /** Counts a new flow that was sent to an agent. */
  void OnFlowPlaced(const AgentId& aAgent);

  /** Excludes a pause of this process from the time without reports. */
  void OnPause(Duration aPause);

  /** Evicts agents that are neither listed nor reporting, in favour of the
   * store's entry for the address if there is one. */
  void OnTick(TimePoint aNow);

  /** Servers that may get a new flow of a service, except those in aTried and
   * those in evacuated failure domains. Includes newly listed agents that have
   * not reported yet. */
  std::vector<PlacementCandidate> Candidates(
    TimePoint aNow,
    const std::string& aService,
    std::span<const AgentId> aTried) const;

  /** True while an agent of the service is present whose server's condition is
   * still unknown and whose failure domain is not evacuated. */
  bool HasPendingServer(TimePoint aNow, const std::string& aService) const;

  /** True if the service has agents in evacuated failure domains, and no agent
   * in another domain is present. */
  bool IsServiceEvacuated(TimePoint aNow, const std::string& aService) const;

  Evacuations& EvacuatedDomains() { return m_evacuations; }
  const Evacuations& EvacuatedDomains() const { return m_evacuations; }

  /** Evacuated failure domains that no known agent is in. Empty before the
   * first list of the store. */
  std::vector<std::string> EvacuatedWithoutAgents() const;

  /** Addresses of all agents of a service, whatever their condition. */
  const std::set<uint32_t>& AgentsOf(const std::string& aService) const;

  /** Addresses of all agents by service, whatever their condition. */
  const std::map<std::string, std::set<uint32_t>>& ByService() const
  {
    return m_byService;
  }

  /** Returns an agent, or nullptr if it is not known or another agent has its
   * address now. */
  const AgentState* Find(const AgentId& aAgent) const;
  /** Returns the agent that has an address now, or nullptr. */
  const AgentState* FindAt(uint32_t aIp) const;
  /** All agents by address. */
  const std::map<uint32_t, AgentState>& All() const { return m_agents; }

  /** True if an agent was added at or after aTime. */
  bool HasAgentAddedSince(TimePoint aTime) const;

  /** Listed agents without a report for aDuration. Empty if no agent is
   * reporting. */
  std::vector<uint32_t> ListedWithoutReports(TimePoint aNow,
                                             Duration aDuration) const;

  /** True while at least one agent is reporting. */
  bool HasReportingAgent(TimePoint aNow) const;

  /** True if the agent's last report is within its report timeout. */
  bool IsReporting(TimePoint aNow, const AgentState& aAgent) const;

  /** True if the agent is reporting and a report arrived after aTime, or none
   * was due since. */
  bool IsAliveSince(TimePoint aNow,
                    const AgentState& aAgent,
                    TimePoint aTime) const;

private:
  /** Returns the agent at the entry's address. Adds it if it is missing, resets
   * it if its entry differs. */
  AgentState& Upsert(TimePoint aNow, const AgentEntry& aEntry);
  /** As Find, to change its state. */
  AgentState* FindMutable(const AgentId& aAgent);
  void SetListedEntry(TimePoint aNow,
                      const AgentEntry& aEntry,
                      bool aIsFromCopy);
  static void SetLoad(TimePoint aNow,
                      AgentState& aAgent,
                      const ServerLoad& aLoad);
  void RemoveFromService(uint32_t aAgentIp, const std::string& aService);
  bool IsAwaitingFirstReport(TimePoint aNow, const AgentState& aAgent) const;
  /** True if the agent is reporting or will soon do so. */
  bool IsPresent(TimePoint aNow, const AgentState& aAgent) const;
  bool IsEvacuated(TimePoint aNow, const AgentState& aAgent) const;

  std::string m_ownDomain;
  StorePosition m_position;
  Evacuations m_evacuations;
  TimePoint m_nextEviction;
  std::map<uint32_t, AgentState> m_agents;
  /** Agent addresses by service, in ascending order. */
  std::map<std::string, std::set<uint32_t>> m_byService;
};

} // namespace bilberryfield
