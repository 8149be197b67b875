#pragma once

#include "AgentList.h"
#include "FlowSearches.h"
#include "GenerationMap.h"
#include "LatencyHistogram.h"
#include "PauseDetector.h"
#include "RouteTable.h"

#include <array>

namespace bilberryfield {

/** What a balancer does with a packet. */
enum class FlowBalancerAction : uint8_t
{
  Forward, /**< To an agent. */
  Reset,   /**< Tell the caller that the flow is refused or lost. */
  Query,   /**< Ask agents whether they have the flow. */
  Drop,
};

inline constexpr NameTable<FlowBalancerAction, 4> kFlowBalancerActionNames = {
  { { FlowBalancerAction::Forward, "forward" },
    { FlowBalancerAction::Reset, "reset" },
    { FlowBalancerAction::Query, "query" },
    { FlowBalancerAction::Drop, "drop" } }
};

/** Why a flow was placed, refused or dropped. */
enum class FlowReason : uint8_t
{
  Known,        /**< The flow's server is known. */
  Placed,       /**< A new flow was placed. */
  PlacedAgain,  /**< Another server was chosen after a hand-back. */
  Found,        /**< An agent claimed the flow. */
  Tried,        /**< An agent that may have the flow is tried. */
  NoRoute,      /**< No route has this address. */
  NoServer,     /**< No server of the service can take the flow. */
  NotYetLoaded, /**< Routes or agents are not known yet. */
  Malformed,    /**< A packet that no caller may send. */
  Unowned,      /**< No agent has the flow. */
  TooManyHeld,  /**< Too many packets wait for answers. */
  Searched,     /**< Agents are asked for the flow. */
  Count,
};

inline constexpr NameTable<FlowReason, 12> kFlowReasonNames = { {
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
} };

/** One step that follows from a decision. */
struct BalancerStep
{
  FlowBalancerAction m_action = FlowBalancerAction::Drop;
  FlowReason m_reason = FlowReason::Known;
  FlowKey m_flow;
  /** Agent to forward to. */
  uint32_t m_agentIp = 0;
  /** Agents to ask. */
  std::vector<uint32_t> m_queriedAgents;
  Endpoint m_packets;
  uint32_t m_tag = 0;
  uint32_t m_mark = 0;
  /** Sequence number of a reset; acknowledgement number of a query. */
  uint32_t m_seqOrAck = 0;
  /** Servers that could have taken a new flow. */
  uint32_t m_candidateCount = 0;
  /** Busy flows at the chosen server, as far as known. */
  uint32_t m_busy = 0;
  /** Age of that knowledge; nothing before the first report. */
  std::optional<Duration> m_loadAge;
  /** A packet that was held; when empty, the packet at hand is meant. */
  std::vector<uint8_t> m_heldPacket;
};

/**
 * The decisions of a balancer: where new flows are placed, and where packets
 * of flows go that it may never have seen.
 */
class FlowBalancer
{
public:
  /** aSeed chooses among equals. */
  FlowBalancer(std::string aDomain, uint64_t aSeed);

  /** Takes routes into force; a version that is not newer is ignored. */
  bool SetRoutes(RouteTablePointer aRoutes);
  uint64_t RoutesVersion() const { return m_routes ? m_routes->m_version : 0; }

  AgentList& Agents() { return m_agents; }
  const AgentList& Agents() const { return m_agents; }

  /** A packet from a caller. Steps are valid until the next call. */
  const std::vector<BalancerStep>& OnCallerPacket(TimePoint aNow,
                                                  const PacketHeader& aHeader,
                                                  PacketBytes aBytes);

  /** A packet that an agent handed back. */
  const std::vector<BalancerStep>& OnReturnedPacket(TimePoint aNow,
                                                    const PacketHeader& aHeader,
                                                    PacketBytes aBytes,
                                                    uint32_t aAgentIp,
                                                    ReturnReason aReason);

  /** An agent's answer to a query. */
  const std::vector<BalancerStep>& OnAnswer(TimePoint aNow,
                                            uint32_t aAgentIp,
                                            const FlowAnswer& aAnswer);

  /** Tells whether the list of agents is known to be the newest one. */
  void SetAgentsCurrent(TimePoint aNow, bool aAreCurrent);

  /** To be called every kTick. */
  const std::vector<BalancerStep>& OnTick(TimePoint aNow);

  /** True when callers' packets can be served here. */
  bool IsReady(TimePoint aNow) const;

  size_t FlowCount() const { return m_flows.Size(); }
  /** Time in which flows that this balancer did not know were found. */
  const LatencyHistogram& SearchTimes() const { return m_searchTimes; }
  uint64_t ReasonCount(FlowReason aReason) const
  {
    return m_counts[static_cast<size_t>(aReason)];
  }

  static constexpr Duration kTick = Milliseconds(20);

private:
  static constexpr size_t kMaxTries = 8;

  struct Flow
  {
    uint32_t m_agentIp = 0;
    /** Sequence number of the opening packet, when this balancer saw it, and
     * when it was placed. */
    uint32_t m_synSeq = 0;
    TimePoint m_placedAt;
    bool m_sawSyn = false;
    uint8_t m_tryCount = 0;
    std::array<uint32_t, kMaxTries> m_tried{};
  };

  /** Keeps the services whose flows an address may still lead to. */
  void RecordEarlierServices(const RouteTable& aEarlier,
                             const RouteTable& aNext);
  /** A new flow that has no agent yet. */
  static Flow NewFlow(uint32_t aSeq);
  void PlaceFlow(TimePoint aNow,
                 const PacketHeader& aHeader,
                 const Route& aRoute,
                 bool aIsAgain);
  /** Busy flows at a server up to which it may take a new flow. */
  uint32_t BusyLimit(TimePoint aNow, uint32_t aChosen, uint8_t aTries) const;
  /** Ends a new flow that no server can take. */
  void RefuseFlow(TimePoint aNow,
                  const PacketHeader& aHeader,
                  const std::string& aService);
  void SearchFor(TimePoint aNow,
                 const PacketHeader& aHeader,
                 PacketBytes aBytes,
                 const Route& aRoute,
                 uint32_t aExcludedIp);
  /** Agents that may have a flow of a route. */
  SearchScope SearchScopeFor(TimePoint aNow,
                             const Route& aRoute,
                             uint32_t aExcludedIp) const;
  void ApplySearchStep(TimePoint aNow, SearchStep aStep);
  void ForwardToOwner(SearchStep aStep);
  void ForwardToCandidates(const SearchStep& aStep);
  bool IsAgentListComplete(TimePoint aNow) const;
  void Forward(const FlowKey& aFlow,
               const AgentState& aAgent,
               FlowReason aReason);
  void Add(FlowBalancerAction aAction,
           FlowReason aReason,
           const FlowKey& aFlow,
           uint32_t aNumber = 0);
  void AccountForPause(TimePoint aNow);

  AgentList m_agents;
  std::mt19937_64 m_random;
  RouteTablePointer m_routes;
  /** Services that an address led to before, by address. */
  absl::flat_hash_map<Endpoint, std::set<std::string>> m_earlierServices;
  GenerationMap<FlowKey, Flow> m_flows;
  FlowSearches m_searches;
  LatencyHistogram m_searchTimes;
  std::vector<BalancerStep> m_steps;
  std::array<uint64_t, static_cast<size_t>(FlowReason::Count)> m_counts{};
  PauseDetector m_pause;
  std::optional<TimePoint> m_lastContact;
  /** Since when the list of agents is the newest one. */
  std::optional<TimePoint> m_agentsCurrentSince;
  TimePoint m_nextGeneration;
  std::optional<TimePoint> m_lastTick;
  /** This process gets too little processor time until then. */
  TimePoint m_laggingUntil;
};

} // namespace bilberryfield
