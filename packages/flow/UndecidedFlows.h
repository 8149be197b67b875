#pragma once

#include "AgentId.h"
#include "FlowMessages.h"
#include "GenerationMap.h"
#include "Time.h"

#include <vector>

namespace bilberryfield {

/** A flow whose search ended without a result. */
struct UndecidedFlow
{
  /** Acknowledgement number that the agents were asked about. */
  uint32_t m_ack = 0;
  /** Start of the search. All agents known then have denied the flow, except
   * m_unanswered. */
  TimePoint m_searchedAt;
  TimePoint m_endedAt;
  /** Agents that have neither confirmed nor denied the flow. */
  std::vector<AgentId> m_unanswered;
  /** SearchScope::m_others were queried; otherwise none of them has denied the
   * flow. */
  bool m_wereOthersQueried = true;
};

/**
 * The flows whose searches ended undecided, so that a further packet queries
 * only the agents that did not answer. An agent's denial stays valid when its
 * server restarts afterwards, because a restarted server has no earlier flows,
 * and when its address goes to another agent, because its server is gone then.
 */
class UndecidedFlows
{
public:
  UndecidedFlows()
    : m_flows(kMaxFlows)
  {
  }

  /** Remembers a flow for kLifetime. */
  void Remember(const FlowKey& aFlow, UndecidedFlow aUndecided);

  /** Returns the undecided search of a flow, or nullptr if there is none that
   * applies to a packet with this acknowledgement number. Valid until the next
   * call. */
  const UndecidedFlow* Find(TimePoint aNow,
                            const FlowKey& aFlow,
                            uint32_t aAck);

  /** Handles a denial that arrived after the search had ended. */
  void OnDenied(const FlowKey& aFlow, uint32_t aAgentIp);

  /** True if the flow is remembered and the agent has not answered. */
  bool IsUnanswered(const FlowKey& aFlow, uint32_t aAgentIp);

  void Forget(const FlowKey& aFlow) { m_flows.Erase(aFlow); }

  /** Drops expired flows; to be called regularly. */
  void OnTick(TimePoint aNow);

  size_t Size() const { return m_flows.Size(); }

  static constexpr Duration kLifetime = Seconds(2);

private:
  /** Maximum number of flows per generation. */
  static constexpr size_t kMaxFlows = 4'000;

  GenerationMap<FlowKey, UndecidedFlow> m_flows;
  TimePoint m_nextGeneration;
};

} // namespace bilberryfield
