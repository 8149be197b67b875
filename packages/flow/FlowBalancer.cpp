#include "FlowBalancer.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr size_t kMaxFlows = 500'000;
/** Maximum number of changed or dropped routes per generation. */
constexpr size_t kMaxEarlierRoutes = 10'000;
/** Time for which a changed or dropped route is known at least. */
constexpr Duration kEarlierRouteRetention = Seconds(60);
/** Returns of a SYN after which the next agent may queue it at any load. */
constexpr size_t kTriesBeforeQueueing = 5;
/** The same while the balancer is lagging. */
constexpr size_t kTriesBeforeQueueingWhenLagging = 2;
/** Gap between two ticks beyond which the balancer counts as lagging. */
constexpr Duration kLateTickGap = Milliseconds(60);
/** Time for which it counts as lagging after such a gap. */
constexpr Duration kLaggingFor = Seconds(1);
/** A longer gap between two events counts as a pause of this process. */
constexpr Duration kPauseThreshold = Milliseconds(150);
/** Time after which a list of agents that matches the store counts as complete.
 */
constexpr Duration kListSettleTime = Milliseconds(500);
/** Time from the first query since the last message of an agent that counts as
 * unreachable, after which no search waits for its answer. */
constexpr Duration kUnresponsiveAfter = Milliseconds(200);
/** Time without any report after which this balancer counts as disconnected. */
constexpr Duration kIsolationTimeout = Milliseconds(700);

/** True if an agent that returned a packet of a flow for this reason does not
 * have the flow. */
bool
IsDenial(ReturnReason aReason)
{
  return aReason == ReturnReason::NotOwner || aReason == ReturnReason::Bounced;
}

SynMark
MarkFor(const Route& aRoute, uint32_t aBusyLimit)
{
  uint32_t priority = std::min<uint32_t>(aRoute.m_priority, UINT8_MAX);
  return { aBusyLimit, static_cast<uint8_t>(priority), aRoute.m_isIdempotent };
}

} // namespace

FlowBalancer::FlowBalancer(std::string aDomain, uint64_t aSeed)
  : m_agents(std::move(aDomain))
  , m_random(aSeed)
  , m_earlierServices(kMaxEarlierRoutes)
  , m_flows(kMaxFlows)
  , m_pause(kPauseThreshold)
{
}

bool
FlowBalancer::SetRoutes(RouteTablePointer aRoutes)
{
  if (aRoutes->m_version <= RoutesVersion()) {
    return false;
  }
  if (m_routes) {
    RecordEarlierServices(*m_routes, *aRoutes);
  }
  m_routes = std::move(aRoutes);
  return true;
}

const ServiceWarmups&
FlowBalancer::Services() const
{
  static const ServiceWarmups none;
  return m_routes ? m_routes->m_services : none;
}

// Flows that were placed under the earlier routes stay at their servers.
void
FlowBalancer::RecordEarlierServices(const RouteTable& aEarlier,
                                    const RouteTable& aNext)
{
  for (const auto& [address, route] : aEarlier.m_routes) {
    const Route* next = aNext.Find(address);
    if (next && next->m_targets == route.m_targets) {
      continue;
    }
    const auto* known = m_earlierServices.Find(address);
    std::set<std::string> services = known ? *known : std::set<std::string>();
    for (const RouteTarget& target : route.m_targets) {
      services.insert(target.m_service);
    }
    m_earlierServices.Insert(address, std::move(services));
  }
}

void
FlowBalancer::AddStep(FlowBalancerAction aAction,
                      FlowReason aReason,
                      const FlowKey& aFlow,
                      uint32_t aSeqOrAck)
{
  m_counts[static_cast<size_t>(aReason)] += 1;
  BalancerStep step;
  step.m_action = aAction;
  step.m_reason = aReason;
  step.m_flow = aFlow;
  step.m_seqOrAck = aSeqOrAck;
  m_steps.push_back(std::move(step));
}

void
FlowBalancer::Forward(const FlowKey& aFlow,
                      const AgentState& aAgent,
                      FlowReason aReason)
{
  ForwardTo(aFlow, aAgent.Id(), aAgent.m_entry.m_packets, aReason);
}

void
FlowBalancer::ForwardTo(const FlowKey& aFlow,
                        const AgentId& aAgent,
                        const Endpoint& aPackets,
                        FlowReason aReason)
{
  AddStep(FlowBalancerAction::Forward, aReason, aFlow);
  BalancerStep& step = m_steps.back();
  step.m_packets = aPackets;
  step.m_agentIp = aAgent.m_ip;
  step.m_tag = aAgent.m_serviceTag;
}

const std::vector<BalancerStep>&
FlowBalancer::OnCallerPacket(TimePoint aNow,
                             const PacketHeader& aHeader,
                             PacketBytes aBytes)
{
  m_steps.clear();
  AccountForPause(aNow);
  FlowKey key = aHeader.FlowFromCaller();
  bool isAnswer = aHeader.Has(kSyn) && aHeader.Has(kAck);
  if (isAnswer || aHeader.Has(kBounced)) {
    AddStep(FlowBalancerAction::Drop, FlowReason::Malformed, key);
    return m_steps;
  }
  if (!m_routes) {
    AddStep(FlowBalancerAction::Drop, FlowReason::NotYetLoaded, key);
    return m_steps;
  }
  const Route* route = m_routes->Find(key.m_service);
  if ((aHeader.IsSyn() && !route) || IsRouteDropped(key.m_service)) {
    RefuseUnrouted(aHeader);
    return m_steps;
  }
  Flow* flow = m_flows.Find(key);
  const AgentState* agent = flow ? m_agents.Find(flow->m_agent) : nullptr;
  if (!aHeader.IsSyn()) {
    bool isLost =
      agent && m_resetsLostFlows && m_reachability.IsUnreachable(aNow, *agent);
    if (agent && !isLost) {
      Forward(key, *agent, FlowReason::Known);
    } else {
      SearchFor(aNow, aHeader, aBytes, 0);
    }
    return m_steps;
  }
  bool isCopy = flow && flow->m_sawSyn && flow->m_synSeq == aHeader.m_seq;
  // The flow was placed under the routes of that time.
  if (isCopy && agent && route->HasTarget(agent->m_entry.m_service) &&
      m_agents.IsAliveSince(aNow, *agent, flow->m_placedAt)) {
    // The earlier SYN or its answer was lost.
    Forward(key, *agent, FlowReason::Known);
    m_steps.back().m_mark = MarkFor(*route, kNoBusyLimit).Pack();
    return m_steps;
  }
  if (m_resetsLostFlows) {
    m_undecided.Forget(key);
  }
  Flow newFlow = NewFlow(aHeader.m_seq);
  if (isCopy && flow->m_agent.IsKnown()) {
    newFlow.m_tried.push_back(flow->m_agent);
  }
  m_flows.Insert(key, std::move(newFlow));
  PlaceFlow(aNow, aHeader, *route, false);
  return m_steps;
}

// A version that this process has seen had the route, and a newer one has not.
// If it has seen neither, another balancer may have a newer version with the
// route.
bool
FlowBalancer::IsRouteDropped(const Endpoint& aAddress)
{
  return !m_routes->Find(aAddress) && m_earlierServices.Find(aAddress);
}

// Answering a reset with a reset could loop forever.
void
FlowBalancer::RefuseUnrouted(const PacketHeader& aHeader)
{
  AddStep(aHeader.Has(kReset) ? FlowBalancerAction::Drop
                              : FlowBalancerAction::Reset,
          FlowReason::NoRoute,
          aHeader.FlowFromCaller(),
          aHeader.m_ack);
}

FlowBalancer::Flow
FlowBalancer::NewFlow(uint32_t aSeq)
{
  Flow flow;
  flow.m_synSeq = aSeq;
  flow.m_sawSyn = true;
  return flow;
}

void
FlowBalancer::PlaceFlow(TimePoint aNow,
                        const PacketHeader& aHeader,
                        const Route& aRoute,
                        bool aIsAgain)
{
  FlowKey key = aHeader.FlowFromCaller();
  if (LacksEvacuations() || m_agents.EvacuatedDomains().IsOutdated(aNow)) {
    // A restarted or paused balancer must not place a flow in a domain that was
    // evacuated meanwhile. The caller retransmits the SYN.
    m_flows.Erase(key);
    return AddStep(FlowBalancerAction::Drop, FlowReason::NotYetLoaded, key);
  }
  Flow* flow = m_flows.Find(key);
  const std::string& service = ChooseTarget(aRoute, key);
  std::vector<PlacementCandidate> candidates = CandidatesFor(
    aNow, service, *flow, { flow->m_tried.data(), flow->m_tried.size() });
  std::optional<PlacementChoice> choice = ChoosePlacement(candidates, m_random);
  if (!choice && !flow->m_tried.empty() && flow->m_tried.size() < kMaxTries) {
    // All candidates were tried; one that was only full may queue the SYN.
    candidates = CandidatesFor(aNow, service, *flow, {});
    choice = ChoosePlacement(candidates, m_random);
  }
  if (!choice) {
    return RefuseFlow(aNow, aHeader, service);
  }
  const PlacementCandidate& chosen = candidates[choice->m_index];
  const AgentState& agent = *m_agents.Find(chosen.m_agent);
  flow->m_agent = chosen.m_agent;
  flow->m_placedAt = aNow;
  m_agents.OnFlowPlaced(chosen.m_agent);
  Forward(key, agent, aIsAgain ? FlowReason::PlacedAgain : FlowReason::Placed);
  BalancerStep& step = m_steps.back();
  step.m_candidateCount = static_cast<uint32_t>(candidates.size());
  step.m_busy = chosen.m_busy;
  if (agent.m_lastReport) {
    step.m_loadAge = aNow - *agent.m_lastReport;
  }
  uint32_t limit = BusyLimit(aNow, choice->m_busyLimit, flow->m_tried.size());
  step.m_mark = MarkFor(aRoute, limit).Pack();
}

// The agents of a domain learn of its evacuation at about the same time, so
// further tries in that domain would be in vain.
std::vector<PlacementCandidate>
FlowBalancer::CandidatesFor(TimePoint aNow,
                            const std::string& aService,
                            const Flow& aFlow,
                            std::span<const AgentId> aTried) const
{
  std::vector<PlacementCandidate> candidates =
    m_agents.Candidates(aNow, aService, aTried);
  for (size_t i = 0; i < aFlow.m_tried.size(); ++i) {
    const AgentState* tried = m_agents.Find(aFlow.m_tried[i]);
    bool isEvacuated = (aFlow.m_evacuatedTries >> i & 1U) != 0;
    if (!tried || !isEvacuated) {
      continue;
    }
    std::erase_if(candidates, [&](const PlacementCandidate& aCandidate) {
      const AgentState& agent = *m_agents.Find(aCandidate.m_agent);
      return agent.m_entry.m_domain == tried->m_entry.m_domain;
    });
  }
  return candidates;
}

// A returned packet costs the balancer as much as the placement did. A lagging
// balancer therefore lets the agent queue the SYN earlier: that wait is shorter
// than the delay that a longer queue at the balancer would add to all flows.
uint32_t
FlowBalancer::BusyLimit(TimePoint aNow, uint32_t aChosen, size_t aTries) const
{
  bool isLagging = aNow < m_laggingUntil;
  if (aTries >=
      (isLagging ? kTriesBeforeQueueingWhenLagging : kTriesBeforeQueueing)) {
    return kNoBusyLimit;
  }
  return isLagging ? aChosen + static_cast<uint32_t>(aTries) + 1 : aChosen;
}

void
FlowBalancer::RefuseFlow(TimePoint aNow,
                         const PacketHeader& aHeader,
                         const std::string& aService)
{
  FlowKey key = aHeader.FlowFromCaller();
  Flow* flow = m_flows.Find(key);
  bool isEvacuated = (flow && flow->m_evacuatedTries != 0) ||
                     m_agents.IsServiceEvacuated(aNow, aService);
  m_flows.Erase(key);
  // If the SYN is dropped, the caller retransmits it soon. By then an agent
  // that has just started has received a heartbeat of its server.
  bool isStateComplete =
    m_agents.IsLoaded() && !m_agents.HasPendingServer(aNow, aService);
  AddStep(isStateComplete ? FlowBalancerAction::Reset
                          : FlowBalancerAction::Drop,
          !isStateComplete ? FlowReason::NotYetLoaded
          : isEvacuated    ? FlowReason::Evacuated
                           : FlowReason::NoServer,
          key,
          aHeader.m_ack);
}

const std::vector<BalancerStep>&
FlowBalancer::OnReturnedPacket(TimePoint aNow,
                               const PacketHeader& aHeader,
                               PacketBytes aBytes,
                               uint32_t aAgentIp,
                               ReturnReason aReason)
{
  m_steps.clear();
  AccountForPause(aNow);
  FlowKey key = aHeader.FlowFromCaller();
  if (!m_routes) {
    AddStep(FlowBalancerAction::Drop, FlowReason::NotYetLoaded, key);
    return m_steps;
  }
  const Route* route = m_routes->Find(key.m_service);
  if ((aHeader.IsSyn() && !route) || IsRouteDropped(key.m_service)) {
    RefuseUnrouted(aHeader);
    return m_steps;
  }
  Flow* flow = m_flows.Find(key);
  if (!aHeader.IsSyn()) {
    if (flow && flow->m_agent.m_ip == aAgentIp) {
      flow->m_agent = {};
    }
    if (m_searches.Contains(key)) {
      ApplySearchStep(
        aNow,
        m_searches.OnReturned(aNow, key, aAgentIp, aBytes, IsDenial(aReason)));
    } else {
      SearchFor(aNow, aHeader, aBytes, IsDenial(aReason) ? aAgentIp : 0);
    }
    return m_steps;
  }
  bool isOwn =
    flow && flow->m_synSeq == aHeader.m_seq && flow->m_agent.m_ip == aAgentIp;
  AgentId agent = isOwn ? flow->m_agent : AgentAt(aAgentIp);
  // For which service an earlier process of this balancer sent the packet is
  // not known.
  if (isOwn || aReason != ReturnReason::WrongService) {
    m_agents.OnReturnedSyn(
      agent, aReason, LoadTag::Unpack(aHeader.m_tag).m_busy);
  }
  if (!flow || flow->m_synSeq != aHeader.m_seq) {
    m_flows.Insert(key, NewFlow(aHeader.m_seq));
    flow = m_flows.Find(key);
  }
  if (flow->m_agent.IsKnown() && flow->m_agent.m_ip != aAgentIp) {
    // A retransmission of the SYN has been placed at another agent meanwhile.
    AddStep(FlowBalancerAction::Drop, FlowReason::Known, key);
    return m_steps;
  }
  if (flow->m_tried.size() >= kMaxTries) {
    RefuseFlow(aNow, aHeader, ChooseTarget(*route, key));
    return m_steps;
  }
  if (aReason == ReturnReason::Evacuated) {
    flow->m_evacuatedTries |= static_cast<uint8_t>(1U << flow->m_tried.size());
  }
  flow->m_tried.push_back(agent);
  PlaceFlow(aNow, aHeader, *route, true);
  return m_steps;
}

// A flow can be at an agent of any service: routes are moved, and a balancer
// that started later or skipped a version does not know the earlier services.
// Those of the present route, and those that it knows of, are asked first.
SearchScope
FlowBalancer::SearchScopeFor(TimePoint aNow,
                             const FlowKey& aFlow,
                             uint32_t aDenyingIp)
{
  std::set<std::string> likely;
  if (const Route* route = m_routes->Find(aFlow.m_service)) {
    for (const RouteTarget& target : route->m_targets) {
      likely.insert(target.m_service);
    }
  }
  if (const auto* earlier = m_earlierServices.Find(aFlow.m_service)) {
    likely.insert(earlier->begin(), earlier->end());
  }
  SearchScope scope;
  scope.m_isComplete = IsAgentListComplete(aNow);
  for (const auto& [service, agents] : m_agents.ByService()) {
    bool isLikely = likely.contains(service);
    std::vector<AgentId>& group = isLikely ? scope.m_agents : scope.m_others;
    uint32_t tag = ServiceTag(service);
    for (uint32_t ip : agents) {
      group.push_back({ ip, tag });
    }
  }
  EraseAddress(scope.m_agents, aDenyingIp);
  EraseAddress(scope.m_others, aDenyingIp);
  return scope;
}

void
FlowBalancer::SearchFor(TimePoint aNow,
                        const PacketHeader& aHeader,
                        PacketBytes aBytes,
                        uint32_t aDenyingIp)
{
  FlowKey key = aHeader.FlowFromCaller();
  if (m_searches.Contains(key)) {
    return m_searches.HoldPacket(key, aBytes);
  }
  SearchScope scope = SearchScopeFor(aNow, key, aDenyingIp);
  bool wereAllAsked =
    m_resetsLostFlows && RemoveDenials(aNow, key, aHeader.m_ack, scope);
  if (scope.m_agents.empty()) {
    std::swap(scope.m_agents, scope.m_others);
  }
  bool isLost = wereAllAsked && scope.m_isComplete &&
                std::all_of(scope.m_agents.begin(),
                            scope.m_agents.end(),
                            [&](const AgentId& aAgent) {
                              return IsUnreachable(aNow, aAgent);
                            });
  if (isLost) {
    SearchStep lost;
    lost.m_flow = key;
    lost.m_ack = aHeader.m_ack;
    lost.m_unanswered = std::move(scope.m_agents);
    return EndLostFlow(aNow, std::move(lost));
  }
  std::optional<SearchStep> step =
    m_searches.Start(aNow, key, aHeader.m_ack, aBytes, scope);
  if (!step) {
    return AddStep(FlowBalancerAction::Drop, FlowReason::TooManyHeld, key);
  }
  ApplySearchStep(aNow, std::move(*step));
}

// A flow that no agent has is lost. The reset spares the caller its own
// timeout.
void
FlowBalancer::ApplySearchStep(TimePoint aNow, SearchStep aStep)
{
  switch (aStep.m_action) {
    case SearchAction::Wait:
      return;
    case SearchAction::Query:
      AddStep(FlowBalancerAction::Query,
              FlowReason::Searched,
              aStep.m_flow,
              aStep.m_ack);
      m_agents.OnQueried(aNow, aStep.m_agents);
      for (const AgentId& agent : aStep.m_agents) {
        m_steps.back().m_queriedAgents.push_back(agent.m_ip);
      }
      return;
    case SearchAction::Lost:
      return EndLostFlow(aNow, std::move(aStep));
    case SearchAction::GiveUp:
      return EndUndecidedSearch(aNow, std::move(aStep));
    case SearchAction::Found:
      return ForwardToOwner(std::move(aStep));
    case SearchAction::Try:
      return ForwardToCandidates(aStep);
  }
}

// An agent that was added since the search began was not asked.
void
FlowBalancer::EndLostFlow(TimePoint aNow, SearchStep aStep)
{
  if (!IsAgentListComplete(aNow) ||
      m_agents.HasAgentAddedSince(aNow - aStep.m_elapsed)) {
    return EndUndecidedSearch(aNow, std::move(aStep));
  }
  m_lostFlowResets += 1;
  AddStep(
    FlowBalancerAction::Reset, FlowReason::Unowned, aStep.m_flow, aStep.m_ack);
  m_steps.back().m_unreachableCount =
    static_cast<uint32_t>(aStep.m_unanswered.size());
}

void
FlowBalancer::EndUndecidedSearch(TimePoint aNow, SearchStep aStep)
{
  m_undecidedSearches += 1;
  AddStep(FlowBalancerAction::Drop, FlowReason::Unowned, aStep.m_flow);
  m_steps.back().m_unansweredCount =
    static_cast<uint32_t>(aStep.m_unanswered.size());
  if (m_resetsLostFlows) {
    m_undecided.Remember(aStep.m_flow,
                         { aStep.m_ack,
                           aNow - aStep.m_elapsed,
                           aNow,
                           std::move(aStep.m_unanswered),
                           aStep.m_wereOthersQueried });
  }
}

// Agents that were added since have not been asked.
bool
FlowBalancer::RemoveDenials(TimePoint aNow,
                            const FlowKey& aFlow,
                            uint32_t aAck,
                            SearchScope& aScope)
{
  const UndecidedFlow* undecided = m_undecided.Find(aNow, aFlow, aAck);
  if (!undecided) {
    return false;
  }
  const std::vector<AgentId>& unanswered = undecided->m_unanswered;
  auto hasDenied = [&](const AgentId& aAgent) {
    bool isUnanswered =
      std::find(unanswered.begin(), unanswered.end(), aAgent) !=
      unanswered.end();
    return !isUnanswered &&
           m_agents.Find(aAgent)->m_addedAt < undecided->m_searchedAt;
  };
  std::erase_if(aScope.m_agents, hasDenied);
  if (undecided->m_wereOthersQueried) {
    std::erase_if(aScope.m_others, hasDenied);
    aScope.m_agents.insert(
      aScope.m_agents.end(), aScope.m_others.begin(), aScope.m_others.end());
    aScope.m_others.clear();
  }
  return undecided->m_wereOthersQueried &&
         !m_agents.HasAgentAddedSince(undecided->m_searchedAt);
}

AgentId
FlowBalancer::AgentAt(uint32_t aIp) const
{
  const AgentState* agent = m_agents.FindAt(aIp);
  return agent ? agent->Id() : AgentId{ aIp, 0 };
}

bool
FlowBalancer::IsUnreachable(TimePoint aNow, const AgentId& aAgent)
{
  const AgentState* agent = m_agents.Find(aAgent);
  return agent && m_reachability.IsUnreachable(aNow, *agent);
}

// One caller waits for an agent that is gone, and not each.
bool
FlowBalancer::IsUnresponsive(TimePoint aNow, const AgentId& aAgent)
{
  const AgentState* agent = m_agents.Find(aAgent);
  return agent && agent->m_queriedAt &&
         aNow - *agent->m_queriedAt > kUnresponsiveAfter &&
         m_reachability.IsUnreachable(aNow, *agent);
}

void
FlowBalancer::OnLateAnswer(const AgentId& aAgent, const FlowAnswer& aAnswer)
{
  const FlowKey& key = aAnswer.m_flow;
  if (!m_undecided.IsUnanswered(key, aAgent.m_ip)) {
    return;
  }
  if (aAnswer.m_ownership == FlowOwnership::No) {
    m_undecided.OnDenied(key, aAgent.m_ip);
  } else if (aAnswer.m_ownership == FlowOwnership::Yes) {
    m_undecided.Forget(key);
    Flow flow;
    flow.m_agent = aAgent;
    m_flows.Insert(key, std::move(flow));
  }
}

void
FlowBalancer::ForwardToOwner(SearchStep aStep)
{
  m_searchTimes.Add(aStep.m_elapsed);
  Flow flow;
  flow.m_agent = aStep.m_agent;
  m_flows.Insert(aStep.m_flow, std::move(flow));
  const AgentState* agent = m_agents.FindAt(aStep.m_agent.m_ip);
  for (std::vector<uint8_t>& packet : aStep.m_heldPackets) {
    if (!agent) {
      // The agent was evicted during the search.
      AddStep(FlowBalancerAction::Drop, FlowReason::Unowned, aStep.m_flow);
      continue;
    }
    ForwardTo(
      aStep.m_flow, aStep.m_agent, agent->m_entry.m_packets, FlowReason::Found);
    m_steps.back().m_heldPacket = std::move(packet);
  }
}

// Packets that arrive after these are held until the search ends. An agent that
// answered for another service than this process knows of gets them as well:
// its report is still on its way.
void
FlowBalancer::ForwardToCandidates(const SearchStep& aStep)
{
  for (const AgentId& id : aStep.m_agents) {
    const AgentState* agent = m_agents.FindAt(id.m_ip);
    for (const std::vector<uint8_t>& packet : aStep.m_heldPackets) {
      if (agent) {
        ForwardTo(
          aStep.m_flow, id, agent->m_entry.m_packets, FlowReason::Tried);
        m_steps.back().m_heldPacket = packet;
      }
    }
  }
}

const std::vector<BalancerStep>&
FlowBalancer::OnAnswer(TimePoint aNow,
                       uint32_t aAgentIp,
                       const FlowAnswer& aAnswer)
{
  m_steps.clear();
  AccountForPause(aNow);
  AgentId agent = AgentAt(aAgentIp);
  if (aAnswer.m_serviceTag != 0) {
    agent.m_serviceTag = aAnswer.m_serviceTag;
  }
  m_agents.OnAnswered(agent);
  if (m_resetsLostFlows && !m_searches.Contains(aAnswer.m_flow)) {
    OnLateAnswer(agent, aAnswer);
    return m_steps;
  }
  ApplySearchStep(aNow, m_searches.OnAnswer(aNow, agent, aAnswer));
  return m_steps;
}

void
FlowBalancer::SetAgentsCurrent(TimePoint aNow, bool aAreCurrent)
{
  if (!aAreCurrent) {
    m_agentsCurrentSince = std::nullopt;
  } else if (!m_agentsCurrentSince) {
    m_agentsCurrentSince = aNow;
  }
}

// Another balancer may have placed a flow at an agent that is not in this
// balancer's list yet.
bool
FlowBalancer::IsAgentListComplete(TimePoint aNow) const
{
  return m_agentsCurrentSince && aNow - *m_agentsCurrentSince > kListSettleTime;
}

// After a pause, queued packets may be processed before the first tick and
// before the reports that arrived during the pause.
void
FlowBalancer::AccountForPause(TimePoint aNow)
{
  Duration pause = m_pause.OnEvent(aNow);
  if (pause > Duration(0)) {
    m_agents.OnPause(pause);
    m_reachability.OnPause(pause);
    m_agents.EvacuatedDomains().OnPause(aNow, pause);
  }
}

const std::vector<BalancerStep>&
FlowBalancer::OnTick(TimePoint aNow)
{
  m_steps.clear();
  AccountForPause(aNow);
  if (m_lastTick && aNow - *m_lastTick > kLateTickGap) {
    m_laggingUntil = aNow + kLaggingFor;
  }
  m_lastTick = aNow;
  m_agents.OnTick(aNow);
  if (m_agents.HasReportingAgent(aNow)) {
    m_lastContact = aNow;
  }
  if (m_routes && aNow >= m_nextGeneration) {
    m_nextGeneration = aNow + m_routes->m_flowIdleTimeout;
    m_flows.StartGeneration();
  }
  if (aNow >= m_nextRouteGeneration) {
    m_nextRouteGeneration = aNow + kEarlierRouteRetention;
    m_earlierServices.StartGeneration();
  }
  AgentPredicate isUnreachable;
  AgentPredicate isUnresponsive;
  if (m_resetsLostFlows) {
    m_reachability.OnTick(aNow);
    m_undecided.OnTick(aNow);
    isUnreachable = [&](const AgentId& aAgent) {
      return IsUnreachable(aNow, aAgent);
    };
    isUnresponsive = [&](const AgentId& aAgent) {
      return IsUnresponsive(aNow, aAgent);
    };
  }
  for (SearchStep& step :
       m_searches.OnTick(aNow, isUnreachable, isUnresponsive)) {
    ApplySearchStep(aNow, std::move(step));
  }
  return m_steps;
}

bool
FlowBalancer::IsReady(TimePoint aNow) const
{
  return m_routes && m_agents.IsLoaded() && !LacksEvacuations() &&
         m_lastContact && aNow - *m_lastContact < kIsolationTimeout;
}

} // namespace bilberryfield
