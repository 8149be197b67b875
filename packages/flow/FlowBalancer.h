#pragma once

#include "AgentReachability.h"
#include "FlowSearches.h"
#include "GenerationMap.h"
#include "LatencyHistogram.h"
#include "PauseDetector.h"
#include "RouteTable.h"
#include "UndecidedFlows.h"

#include <array>

namespace bilberryfield {

/** What a balancer does with a packet. */
enum class FlowBalancerAction : uint8_t
{
  Forward, /**< Forward the packet to an agent. */
  Reset,   /**< Send a reset to the caller: the flow is refused or lost. */
  Query,   /**< Query agents for the flow. */
  Drop,
};

inline constexpr NameTable<FlowBalancerAction, 4> kFlowBalancerActionNames = {
  { { FlowBalancerAction::Forward, "forward" },
    { FlowBalancerAction::Reset, "reset" },
    { FlowBalancerAction::Query, "query" },
    { FlowBalancerAction::Drop, "drop" } }
};

/** Why a balancer chose an action. */
enum class FlowReason : uint8_t
{
  Known,        /**< The flow already has an agent. */
  Placed,       /**< A new flow was placed. */
  PlacedAgain,  /**< The SYN was placed again after an agent returned it. */
  Found,        /**< A search found the flow's agent. */
  Tried,        /**< The agent is one of the candidates of a search. */
  NoRoute,      /**< No route has the destination address. */
  NoServer,     /**< No server of the service can accept the flow. */
  NotYetLoaded, /**< Routes, agents or server conditions are still missing. */
  Malformed,    /**< The packet has flags that callers do not send. */
  Unowned,      /**< No agent was found for the flow. */
  TooManyHeld,  /**< The limit of concurrent searches is reached. */
  Searched,     /**< A search queries agents for the flow. */
  Evacuated,    /**< All failure domains with servers are evacuated. */
  Count,
};

inline constexpr NameTable<FlowReason, 13> kFlowReasonNames = { {
  { FlowReason::Known, "known" },
  { FlowReason::Placed, "placed" },
  { FlowReason::PlacedAgain, "placed-again" },
  { FlowReason::Found, "found" },
  { FlowReason::Tried, "tried" },
  { FlowReason::NoRoute, "no-route" },
  { FlowReason::NoServer, "no-server" },
  { FlowReason::NotYetLoaded, "not-yet-loaded" },
  { FlowReason::Malformed, "malformed" },
  { FlowReason::Unowned, "unowned" },
  { FlowReason::TooManyHeld, "too-many-held" },
  { FlowReason::Searched, "searched" },
  { FlowReason::Evacuated, "evacuated" },
} };

/** One action of a balancer and its parameters. */
struct BalancerStep
{
  FlowBalancerAction m_action = FlowBalancerAction::Drop;
  FlowReason m_reason = FlowReason::Known;
  FlowKey m_flow;
  /** Agent to forward the packet to. */
  uint32_t m_agentIp = 0;
  /** Agents to query. */
  std::vector<uint32_t> m_queriedAgents;
  Endpoint m_packets;
  uint32_t m_tag = 0;
  uint32_t m_mark = 0;
  /** Sequence number of a reset, or acknowledgement number of a query. */
  uint32_t m_seqOrAck = 0;
  /** Number of servers that were candidates for a new flow. */
  uint32_t m_candidateCount = 0;
  /** Estimated busy flows at the chosen server. */
  uint32_t m_busy = 0;
  /** Agents that count as unreachable and did not deny a lost flow. */
  uint32_t m_unreachableCount = 0;
  /** Agents without an answer at the end of an undecided search. */
  uint32_t m_unansweredCount = 0;
  /** Age of the chosen server's last report; empty before the first one. */
  std::optional<Duration> m_loadAge;
  /** The held packet to act on; if empty, the packet that was passed in. */
  std::vector<uint8_t> m_heldPacket;
};

/**
 * Decides at which servers new flows are placed and where packets of existing
 * flows go, including flows that another balancer placed. Does no I/O: the
 * balancer daemon executes the returned steps.
 */
class FlowBalancer
{
public:
  /** aSeed seeds the random choice among servers. */
  FlowBalancer(std::string aDomain, uint64_t aSeed);

  /** Enables decisions about flows whose agent is unreachable and the memory of
   * undecided searches. */
  void EnableLostFlowResets() { m_resetsLostFlows = true; }

  /** Applies routes. Returns false and ignores them if their version is not
   * newer. */
  bool SetRoutes(RouteTablePointer aRoutes);
  /** Version of the current routes; 0 before the first ones. */
  uint64_t RoutesVersion() const { return m_routes ? m_routes->m_version : 0; }

  /** Warm-ups of the services under the current routes. */
  const ServiceWarmups& Services() const;

  AgentList& Agents() { return m_agents; }
  const AgentList& Agents() const { return m_agents; }

  /** Handles a packet from a caller. The steps are valid until the next call.
   */
  const std::vector<BalancerStep>& OnCallerPacket(TimePoint aNow,
                                                  const PacketHeader& aHeader,
                                                  PacketBytes aBytes);

  /** Handles a packet that an agent returned. */
  const std::vector<BalancerStep>& OnReturnedPacket(TimePoint aNow,
                                                    const PacketHeader& aHeader,
                                                    PacketBytes aBytes,
                                                    uint32_t aAgentIp,
                                                    ReturnReason aReason);

  /** Handles an agent's answer to a query. */
  const std::vector<BalancerStep>& OnAnswer(TimePoint aNow,
                                            uint32_t aAgentIp,
                                            const FlowAnswer& aAnswer);

  /** Places no flow before a set of evacuated failure domains is known. */
  void RequireEvacuations() { m_requiresEvacuations = true; }
  /** True while evacuated failure domains are required and not known. */
  bool LacksEvacuations() const
  {
    return m_requiresEvacuations && !m_agents.EvacuatedDomains().IsKnown();
  }

  /** Sets whether the list of agents matches the store. */
  void SetAgentsCurrent(TimePoint aNow, bool aAreCurrent);

  /** Handles timeouts; to be called every kTick. */
  const std::vector<BalancerStep>& OnTick(TimePoint aNow);

  /** True if routes, agents and required evacuations are loaded and some agent
   * reported recently. */
  bool IsReady(TimePoint aNow) const;

  /** Number of flows in the flow table. */
  size_t FlowCount() const { return m_flows.Size(); }
  /** Time that searches took to find a flow's agent. */
  const LatencyHistogram& SearchTimes() const { return m_searchTimes; }
  /** Number of steps with a reason. */
  uint64_t ReasonCount(FlowReason aReason) const
  {
    return m_counts[static_cast<size_t>(aReason)];
  }

  /** Number of resets of flows that no agent has. */
  uint64_t LostFlowResets() const { return m_lostFlowResets; }
  /** Number of searches that ended without a result. */
  uint64_t UndecidedSearches() const { return m_undecidedSearches; }

  static constexpr Duration kTick = Milliseconds(20);

private:
  /** Returns of a SYN that lead to another placement. A further one ends the
   * flow with a refusal. */
  static constexpr size_t kMaxTries = 8;

  struct Flow
  {
    /** Agent of the flow, as this process placed or found it; not known while
     * the flow has none. */
    AgentId m_agent;
    /** Sequence number of the SYN and time of the placement; valid if m_sawSyn.
     */
    uint32_t m_synSeq = 0;
    TimePoint m_placedAt;
    bool m_sawSyn = false;
    /** Agents that returned the SYN, stopped reporting or are gone; at most
     * kMaxTries. */
    std::vector<AgentId> m_tried;
    /** Bit i is set if m_tried[i] is in an evacuated failure domain. */
    uint8_t m_evacuatedTries = 0;
  };
  static_assert(kMaxTries <= 8, "one bit for each try");

  /** Records the services of routes that change, for later searches. */
  void RecordEarlierServices(const RouteTable& aEarlier,
                             const RouteTable& aNext);
  /** Returns a flow that has no agent yet. */
  static Flow NewFlow(uint32_t aSeq);
  void PlaceFlow(TimePoint aNow,
                 const PacketHeader& aHeader,
                 const Route& aRoute,
                 bool aIsAgain);
  /** Returns the agent that has an address now; without a service if there is
   * none. */
  AgentId AgentAt(uint32_t aIp) const;
  /** Returns the m_busyLimit for a SYN: the number of busy flows at which the
   * agent returns it. */
  uint32_t BusyLimit(TimePoint aNow, uint32_t aChosen, size_t aTries) const;
  /** As AgentList::Candidates, without the failure domains whose agents
   * returned the flow because they are evacuated. */
  std::vector<PlacementCandidate> CandidatesFor(
    TimePoint aNow,
    const std::string& aService,
    const Flow& aFlow,
    std::span<const AgentId> aTried) const;
  /** Resets or drops a new flow that no server can accept. */
  void RefuseFlow(TimePoint aNow,
                  const PacketHeader& aHeader,
                  const std::string& aService);
  /** True if the routes do not have an address that they had before. */
  bool IsRouteDropped(const Endpoint& aAddress);
  /** Resets a flow without a route. */
  void RefuseUnrouted(const PacketHeader& aHeader);
  /** aDenyingIp is the agent that denied the flow just now, or 0. */
  void SearchFor(TimePoint aNow,
                 const PacketHeader& aHeader,
                 PacketBytes aBytes,
                 uint32_t aDenyingIp);
  /** Returns the agents that may have a flow. */
  SearchScope SearchScopeFor(TimePoint aNow,
                             const FlowKey& aFlow,
                             uint32_t aDenyingIp);
  /** Turns a search step into balancer steps. */
  void ApplySearchStep(TimePoint aNow, SearchStep aStep);
  /** Resets a flow that no reachable agent has, if all agents were asked. */
  void EndLostFlow(TimePoint aNow, SearchStep aStep);
  /** Drops the packets of an undecided search and remembers its result. */
  void EndUndecidedSearch(TimePoint aNow, SearchStep aStep);
  /** Removes agents that denied the flow in an undecided search. Returns true
   * if all others were asked in it. */
  bool RemoveDenials(TimePoint aNow,
                     const FlowKey& aFlow,
                     uint32_t aAck,
                     SearchScope& aScope);
  /** True if an agent counts as unreachable; an evicted one does not. */
  bool IsUnreachable(TimePoint aNow, const AgentId& aAgent);
  /** True if it also has not answered queries of earlier searches. */
  bool IsUnresponsive(TimePoint aNow, const AgentId& aAgent);
  /** Handles an answer that arrived after the search had ended. */
  void OnLateAnswer(const AgentId& aAgent, const FlowAnswer& aAnswer);
  void ForwardToOwner(SearchStep aStep);
  void ForwardToCandidates(const SearchStep& aStep);
  bool IsAgentListComplete(TimePoint aNow) const;
  void Forward(const FlowKey& aFlow,
               const AgentState& aAgent,
               FlowReason aReason);
  /** As Forward, with the service tag that the agent at the address answered.
   */
  void ForwardTo(const FlowKey& aFlow,
                 const AgentId& aAgent,
                 const Endpoint& aPackets,
                 FlowReason aReason);
  void AddStep(FlowBalancerAction aAction,
               FlowReason aReason,
               const FlowKey& aFlow,
               uint32_t aSeqOrAck = 0);
  void AccountForPause(TimePoint aNow);

  AgentList m_agents;
  std::mt19937_64 m_random;
  RouteTablePointer m_routes;
  bool m_requiresEvacuations = false;
  /** Services that were targets of an address under earlier routes of which
   * this process knows, if they differ from the present ones. */
  GenerationMap<Endpoint, std::set<std::string>> m_earlierServices;
  TimePoint m_nextRouteGeneration;
  GenerationMap<FlowKey, Flow> m_flows;
  FlowSearches m_searches;
  bool m_resetsLostFlows = false;
  AgentReachability m_reachability{ m_agents };
  UndecidedFlows m_undecided;
  uint64_t m_lostFlowResets = 0;
  uint64_t m_undecidedSearches = 0;
  LatencyHistogram m_searchTimes;
  std::vector<BalancerStep> m_steps;
  std::array<uint64_t, static_cast<size_t>(FlowReason::Count)> m_counts{};
  PauseDetector m_pause;
  std::optional<TimePoint> m_lastContact;
  /** Time since which the list of agents has matched the store. */
  std::optional<TimePoint> m_agentsCurrentSince;
  TimePoint m_nextGeneration;
  std::optional<TimePoint> m_lastTick;
  /** End of the period in which this process counts as lagging, which means
   * that it gets too little processor time. */
  TimePoint m_laggingUntil;
};

} // namespace bilberryfield
