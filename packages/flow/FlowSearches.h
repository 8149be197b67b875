#pragma once

#include "AgentId.h"
#include "FlowMessages.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <optional>
#include <vector>

namespace bilberryfield {

/** The action that continues or ends a search. */
enum class SearchAction : uint8_t
{
  Wait,   /**< No action until an answer, a returned packet or a timeout. */
  Query,  /**< Query the agents of the step. */
  Found,  /**< The agent of the step has the flow; the search ends. */
  Try,    /**< Forward the held packets to all agents of the step. */
  Lost,   /**< No agent has the flow; the search ends. */
  GiveUp, /**< The search ends undecided; its packets are dropped. */
};

/** One step of a search. */
struct SearchStep
{
  SearchAction m_action = SearchAction::Wait;
  FlowKey m_flow;
  /** Acknowledgement number of the caller's first packet. */
  uint32_t m_ack = 0;
  /** The agent that has the flow, if the action is Found. */
  AgentId m_agent;
  /** Agents to query, or to forward the held packets to. */
  std::vector<AgentId> m_agents;
  /** Packets to forward to the agent that has the flow, or to each of m_agents.
   */
  std::vector<std::vector<uint8_t>> m_heldPackets;
  /** Time since the search started. */
  Duration m_elapsed{ 0 };
  /** Agents that were queried and neither confirmed nor denied the flow, if the
   * action is Lost or GiveUp. */
  std::vector<AgentId> m_unanswered;
  /** SearchScope::m_others were queried, if the action is Lost or GiveUp. */
  bool m_wereOthersQueried = true;
};

/** True for an agent whose answer a search need not wait for. */
using AgentPredicate = std::function<bool(const AgentId& aAgent)>;

/** The agents that a search covers. */
struct SearchScope
{
  /** The agents that are likely to have the flow. */
  std::vector<AgentId> m_agents;
  /** All other agents that may have it; queried once m_agents have denied it or
   * are unreachable. */
  std::vector<AgentId> m_others;
  /** No other agent can have the flow. */
  bool m_isComplete = false;
};

/**
 * Finds the agents of flows that are missing from a balancer's flow table. The
 * likely agents are queried at once, then all others at once. Agents that
 * answer Possible, because they started after their servers, become candidates
 * and get the held packets. The flow's server answers the caller, so its agent
 * answers a second query with Yes; other servers bounce the packets.
 */
class FlowSearches
{
public:
  /** True while a search for this flow runs. */
  bool Contains(const FlowKey& aFlow) const
  {
    return m_searches.contains(aFlow);
  }

  /** Starts a search and holds its first packet. Returns nothing if the limit
   * of concurrent searches or outstanding answers is reached. */
  std::optional<SearchStep> Start(TimePoint aNow,
                                  const FlowKey& aFlow,
                                  uint32_t aAck,
                                  PacketBytes aBytes,
                                  const SearchScope& aScope);

  /** Holds another packet of a flow, or drops it if too many are held. Requires
   * a search for the flow. */
  void HoldPacket(const FlowKey& aFlow, PacketBytes aBytes);

  /** Handles an agent's answer to a query. */
  SearchStep OnAnswer(TimePoint aNow,
                      const AgentId& aAgent,
                      const FlowAnswer& aAnswer);

  /** Handles a packet that a candidate returned. Unless that is a denial, the
   * search ends without a result if no agent has the flow. Requires a search
   * for the flow. */
  SearchStep OnReturned(TimePoint aNow,
                        const FlowKey& aFlow,
                        uint32_t aAgentIp,
                        PacketBytes aBytes,
                        bool aIsDenial);

  /** Returns the steps that are due because of timeouts. A complete search ends
   * with Lost if all agents that have not answered are unreachable and have had
   * time to answer this search, or are unresponsive: unreachable, and have had
   * time to answer an earlier one. Without the predicates no agent is. */
  std::vector<SearchStep> OnTick(TimePoint aNow,
                                 const AgentPredicate& aIsUnreachable = {},
                                 const AgentPredicate& aIsUnresponsive = {});

private:
  struct Search
  {
    TimePoint m_startedAt;
    /** Time of the query to m_others; m_startedAt before it. */
    TimePoint m_lastQueriedAt;
    uint32_t m_ack = 0;
    bool m_isComplete = false;
    bool m_wasQueriedAgain = false;
    bool m_wereOthersQueried = false;
    /** As SearchScope::m_others. */
    std::vector<AgentId> m_others;
    /** Agents that have not answered yet. */
    std::vector<AgentId> m_unanswered;
    /** Candidates that have not got the packets yet. */
    std::vector<AgentId> m_untried;
    /** Candidates that got the packets and have not returned them. */
    std::vector<AgentId> m_trying;
    /** Candidates that returned the packets without denying the flow. */
    std::vector<AgentId> m_undecided;
    TimePoint m_triedAt;
    bool m_wereCandidatesQueried = false;
    /** Packets that were not forwarded yet. */
    std::vector<std::vector<uint8_t>> m_heldPackets;
  };
  using Searches = absl::flat_hash_map<FlowKey, Search>;

  SearchStep End(TimePoint aNow,
                 Searches::iterator aFound,
                 SearchAction aAction,
                 const AgentId& aAgent = {});
  SearchStep TryCandidates(TimePoint aNow, Searches::iterator aFound);
  SearchStep Advance(TimePoint aNow, Searches::iterator aFound);
  static SearchStep Query(Searches::iterator aFound,
                          const std::vector<AgentId>& aAgents);
  SearchStep QueryOthers(TimePoint aNow, Searches::iterator aFound);
  /** True if the limit allows that many further outstanding answers. */
  bool MayAwait(size_t aAnswers) const;
  SearchStep CheckCandidates(TimePoint aNow, Searches::iterator aFound);
  SearchStep OnTimer(TimePoint aNow,
                     Searches::iterator aFound,
                     const AgentPredicate& aIsUnreachable,
                     const AgentPredicate& aIsUnresponsive);
  /** True if the search awaits only agents with the property. */
  static bool IsOnlyAwaiting(const Search& aSearch,
                             const AgentPredicate& aHasProperty);

  Searches m_searches;
  /** Outstanding answers of all searches together. */
  size_t m_unansweredCount = 0;
};

} // namespace bilberryfield
