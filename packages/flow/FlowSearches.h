#pragma once

#include "FlowMessages.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace bilberryfield {

/** How a search goes on. */
enum class SearchAction : uint8_t
{
  Wait,   /**< For answers, or for the end of a try. */
  Query,  /**< The agents of the step have to be asked. */
  Found,  /**< The agent of the step has the flow. */
  Try,    /**< The agents of the step may have it and get the packets. */
  Lost,   /**< All agents denied the flow. */
  GiveUp, /**< Answers are missing; the packets are dropped. */
};

/** The next step of a search. */
struct SearchStep
{
  SearchAction m_action = SearchAction::Wait;
  FlowKey m_flow;
  /** Acknowledgement number of the caller's first packet. */
  uint32_t m_ack = 0;
  /** The agent that was found. */
  uint32_t m_agentIp = 0;
  /** Agents to ask, or to try. */
  std::vector<uint32_t> m_agents;
  /** Packets for the agent that was found, or for each that is tried. */
  std::vector<std::vector<uint8_t>> m_heldPackets;
  /** Time since the search began. */
  Duration m_elapsed{ 0 };
};

/** Agents that may have a flow. */
struct SearchScope
{
  std::vector<uint32_t> m_agents;
  /** The flow can be at no other agent. */
  bool m_isComplete = false;
};

/**
 * Finds the agents of flows that a balancer does not know. All agents of the
 * flow's service are asked at once; those that cannot tell, because they
 * started after their servers, get the packets. The flow's server answers its
 * caller, so that its agent can tell when it is asked again; other servers send
 * the packets back.
 */
class FlowSearches
{
public:
  /** True while this flow is searched for or its packets are tried. */
  bool Contains(const FlowKey& aFlow) const
  {
    return m_searches.contains(aFlow);
  }

  /** Begins a search with its first packet; nothing when too many run. */
  std::optional<SearchStep> Start(TimePoint aNow,
                                  const FlowKey& aFlow,
                                  uint32_t aAck,
                                  PacketBytes aBytes,
                                  const SearchScope& aScope);

  /** Another packet of a flow that is searched for. */
  void HoldPacket(const FlowKey& aFlow, PacketBytes aBytes);

  SearchStep OnAnswer(TimePoint aNow,
                      uint32_t aAgentIp,
                      const FlowAnswer& aAnswer);

  /** An agent that was tried handed a packet back. */
  SearchStep OnReturned(TimePoint aNow,
                        const FlowKey& aFlow,
                        uint32_t aAgentIp,
                        PacketBytes aBytes);

  /** What has become due. */
  std::vector<SearchStep> OnTick(TimePoint aNow);

private:
  struct Search
  {
    TimePoint m_startedAt;
    uint32_t m_ack = 0;
    bool m_isComplete = false;
    bool m_wasQueriedAgain = false;
    /** Agents that have not answered yet. */
    std::vector<uint32_t> m_unanswered;
    /** Agents that may have the flow and were not tried yet. */
    std::vector<uint32_t> m_untried;
    /** Agents that have the packets now. */
    std::vector<uint32_t> m_trying;
    TimePoint m_triedAt;
    bool m_wereCandidatesQueried = false;
    /** Packets that no agent has got yet. */
    std::vector<std::vector<uint8_t>> m_heldPackets;
  };
  using Searches = absl::flat_hash_map<FlowKey, Search>;

  SearchStep End(TimePoint aNow,
                 Searches::iterator aFound,
                 SearchAction aAction,
                 uint32_t aAgentIp);
  SearchStep TryCandidates(TimePoint aNow, Searches::iterator aFound);
  SearchStep Advance(TimePoint aNow, Searches::iterator aFound);
  static SearchStep Query(Searches::iterator aFound,
                          const std::vector<uint32_t>& aAgents);
  SearchStep CheckCandidates(TimePoint aNow, Searches::iterator aFound);
  SearchStep OnTimer(TimePoint aNow, Searches::iterator aFound);

  Searches m_searches;
  /** Answers that all searches together wait for. */
  size_t m_unansweredCount = 0;
};

} // namespace bilberryfield
