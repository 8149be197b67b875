#include "UndecidedFlows.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Maximum number of agents without an answer per flow; bounds the memory. A
 * balancer that hears so few of its agents decides nothing anyway. */
constexpr size_t kMaxUnanswered = 64;

} // namespace

void
UndecidedFlows::Remember(const FlowKey& aFlow, UndecidedFlow aUndecided)
{
  if (aUndecided.m_unanswered.size() <= kMaxUnanswered) {
    m_flows.Insert(aFlow, std::move(aUndecided));
  }
}

// Another acknowledgement number may belong to a later flow between the same
// addresses, which the agents were not asked about.
const UndecidedFlow*
UndecidedFlows::Find(TimePoint aNow, const FlowKey& aFlow, uint32_t aAck)
{
  const UndecidedFlow* flow = m_flows.Find(aFlow);
  bool isValid =
    flow && flow->m_ack == aAck && aNow - flow->m_endedAt <= kLifetime;
  return isValid ? flow : nullptr;
}

void
UndecidedFlows::OnDenied(const FlowKey& aFlow, uint32_t aAgentIp)
{
  if (UndecidedFlow* flow = m_flows.Find(aFlow)) {
    EraseAddress(flow->m_unanswered, aAgentIp);
  }
}

bool
UndecidedFlows::IsUnanswered(const FlowKey& aFlow, uint32_t aAgentIp)
{
  const UndecidedFlow* flow = m_flows.Find(aFlow);
  return flow && std::any_of(flow->m_unanswered.begin(),
                             flow->m_unanswered.end(),
                             [aAgentIp](const AgentId& aAgent) {
                               return aAgent.m_ip == aAgentIp;
                             });
}

void
UndecidedFlows::OnTick(TimePoint aNow)
{
  if (aNow >= m_nextGeneration) {
    m_nextGeneration = aNow + kLifetime;
    m_flows.StartGeneration();
  }
}

} // namespace bilberryfield
