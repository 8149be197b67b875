#include "FlowBalancer.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr size_t kMaxFlows = 500'000;
/** Hand-backs after which a new flow waits for a slot, however long. */
constexpr uint8_t kTriesWithLimit = 5;
/** A longer gap between two events is a pause of this process. */
constexpr Duration kPauseLimit = Milliseconds(150);
/** Time after which a list of agents from the store is known to be whole. */
constexpr Duration kListSettles = Milliseconds(500);
/** Time without any report after which this balancer is cut off. */
constexpr Duration kCutOffLimit = Milliseconds(700);

} // namespace

FlowBalancer::FlowBalancer(std::string aDomain, uint64_t aSeed)
  : m_agents(std::move(aDomain))
  , m_random(aSeed)
  , m_flows(kMaxFlows)
  , m_pause(kPauseLimit)
{
}

bool
FlowBalancer::SetRoutes(RouteTablePointer aRoutes)
{
  if (aRoutes->m_version <= RoutesVersion()) {
    return false;
  }
  if (m_routes) {
    for (const auto& [address, route] : m_routes->m_routes) {
      const Route* next = aRoutes->Find(address);
      if (!next || next->m_targets == route.m_targets) {
        continue;
      }
      for (const RouteTarget& target : route.m_targets) {
        auto& earlier = m_earlierServices[address];
        if (std::find(earlier.begin(), earlier.end(), target.m_service) ==
            earlier.end()) {
          earlier.push_back(target.m_service);
        }
      }
    }
  }
  m_routes = std::move(aRoutes);
  return true;
}

void
FlowBalancer::Add(FlowBalancerAction aAction,
                  FlowReason aReason,
                  const FlowKey& aFlow,
                  uint32_t aNumber)
{
  m_counts[static_cast<size_t>(aReason)] += 1;
  BalancerStep step;
  step.m_action = aAction;
  step.m_reason = aReason;
  step.m_flow = aFlow;
  step.m_number = aNumber;
  m_steps.push_back(std::move(step));
}

void
FlowBalancer::Forward(const FlowKey& aFlow,
                      uint32_t aAgentIp,
                      FlowReason aReason)
{
  const KnownAgent* agent = m_agents.Find(aAgentIp);
  if (!agent) {
    Add(FlowBalancerAction::Drop, FlowReason::Unowned, aFlow);
    return;
  }
  Add(FlowBalancerAction::Forward, aReason, aFlow);
  BalancerStep& step = m_steps.back();
  step.m_agentIp = aAgentIp;
  step.m_packets = agent->m_entry.m_packets;
  step.m_tag = agent->m_serviceTag;
}

const std::vector<BalancerStep>&
FlowBalancer::OnCallerPacket(TimePoint aNow,
                             const PacketHeader& aHeader,
                             PacketBytes aBytes)
{
  m_steps.clear();
  CountPause(aNow);
  FlowKey key = aHeader.FlowFromCaller();
  bool isAnswer = aHeader.Has(kSyn) && aHeader.Has(kAck);
  if (isAnswer || aHeader.Has(kBounced)) {
    Add(FlowBalancerAction::Drop, FlowReason::Malformed, key);
    return m_steps;
  }
  if (!m_routes) {
    Add(FlowBalancerAction::Drop, FlowReason::NotYetLoaded, key);
    return m_steps;
  }
  const Route* route = m_routes->Find(key.m_service);
  if (!route) {
    // A reset that answers a reset could go on for ever.
    Add(aHeader.Has(kReset) ? FlowBalancerAction::Drop
                            : FlowBalancerAction::Reset,
        FlowReason::NoRoute,
        key,
        aHeader.m_ack);
    return m_steps;
  }
  Flow* flow = m_flows.Find(key);
  if (!aHeader.IsOpening()) {
    if (flow && m_agents.Find(flow->m_agentIp)) {
      Forward(key, flow->m_agentIp, FlowReason::Known);
    } else {
      SearchFor(aNow, aHeader, aBytes, *route, 0);
    }
    return m_steps;
  }
  bool isCopy = flow && flow->m_sawOpening && flow->m_openSeq == aHeader.m_seq;
  const KnownAgent* agent = isCopy ? m_agents.Find(flow->m_agentIp) : nullptr;
  if (agent && m_agents.IsAliveSince(aNow, *agent, flow->m_placedAt)) {
    // The first copy, or its answer, was lost on the way.
    Forward(key, flow->m_agentIp, FlowReason::Known);
    m_steps.back().m_mark = kAnyQueue;
    return m_steps;
  }
  Flow opened = Opened(aHeader.m_seq);
  if (agent) {
    opened.m_tried[opened.m_tryCount++] = agent->m_entry.m_packets.m_ip;
  }
  m_flows.Insert(key, opened);
  PlaceOpening(aNow, aHeader, *route, false);
  return m_steps;
}

FlowBalancer::Flow
FlowBalancer::Opened(uint32_t aSeq)
{
  Flow flow;
  flow.m_openSeq = aSeq;
  flow.m_sawOpening = true;
  return flow;
}

void
FlowBalancer::PlaceOpening(TimePoint aNow,
                           const PacketHeader& aHeader,
                           const Route& aRoute,
                           bool aIsAgain)
{
  FlowKey key = aHeader.FlowFromCaller();
  Flow* flow = m_flows.Find(key);
  const std::string& service = ChooseTarget(aRoute, key);
  std::vector<PlacementCandidate> candidates = m_agents.Candidates(
    aNow, service, { flow->m_tried.data(), flow->m_tryCount });
  std::optional<PlacementChoice> choice = ChoosePlacement(candidates, m_random);
  if (!choice && flow->m_tryCount > 0 && flow->m_tryCount < kMaxTries) {
    // All have been tried; those that were only full may let it wait.
    candidates = m_agents.Candidates(aNow, service, {});
    choice = ChoosePlacement(candidates, m_random);
  }
  if (!choice) {
    return RefuseOpening(aNow, aHeader, service);
  }
  uint32_t agentIp = candidates[choice->m_index].m_agentIp;
  flow->m_agentIp = agentIp;
  flow->m_placedAt = aNow;
  m_agents.OnPlaced(agentIp);
  Forward(
    key, agentIp, aIsAgain ? FlowReason::PlacedAgain : FlowReason::Placed);
  NoteInputs(aNow, candidates[choice->m_index], candidates.size());
  m_steps.back().m_mark =
    flow->m_tryCount < kTriesWithLimit ? choice->m_busyLimit : kAnyQueue;
}

void
FlowBalancer::RefuseOpening(TimePoint aNow,
                            const PacketHeader& aHeader,
                            const std::string& aService)
{
  FlowKey key = aHeader.FlowFromCaller();
  m_flows.Erase(key);
  // The caller repeats its opening packet soon; by then an agent that has
  // just started has heard its server.
  bool isKnown = m_agents.IsLoaded() && !m_agents.ExpectsServer(aNow, aService);
  Add(isKnown ? FlowBalancerAction::Reset : FlowBalancerAction::Drop,
      isKnown ? FlowReason::NoServer : FlowReason::NotYetLoaded,
      key,
      aHeader.m_ack);
}

void
FlowBalancer::NoteInputs(TimePoint aNow,
                         const PlacementCandidate& aChosen,
                         size_t aCount)
{
  BalancerStep& step = m_steps.back();
  step.m_candidates = static_cast<uint32_t>(aCount);
  step.m_busy = aChosen.m_busy;
  const KnownAgent* agent = m_agents.Find(aChosen.m_agentIp);
  if (agent && agent->m_heardAt) {
    step.m_loadAge = aNow - *agent->m_heardAt;
  }
}

const std::vector<BalancerStep>&
FlowBalancer::OnHandedBack(TimePoint aNow,
                           const PacketHeader& aHeader,
                           PacketBytes aBytes,
                           uint32_t aAgentIp,
                           HandBack aReason)
{
  m_steps.clear();
  CountPause(aNow);
  FlowKey key = aHeader.FlowFromCaller();
  const Route* route = m_routes ? m_routes->Find(key.m_service) : nullptr;
  if (!route) {
    Add(FlowBalancerAction::Reset, FlowReason::NoRoute, key, aHeader.m_ack);
    return m_steps;
  }
  Flow* flow = m_flows.Find(key);
  if (!aHeader.IsOpening()) {
    if (flow && flow->m_agentIp == aAgentIp) {
      flow->m_agentIp = 0;
    }
    if (m_searches.Contains(key)) {
      Follow(aNow, m_searches.OnReturned(aNow, key, aAgentIp, aBytes));
    } else {
      SearchFor(aNow, aHeader, aBytes, *route, aAgentIp);
    }
    return m_steps;
  }
  m_agents.OnHandBack(
    aAgentIp, aReason, TaggedLoad::Unpack(aHeader.m_tag).m_busy);
  if (!flow || flow->m_openSeq != aHeader.m_seq) {
    m_flows.Insert(key, Opened(aHeader.m_seq));
    flow = m_flows.Find(key);
  }
  if (flow->m_agentIp != 0 && flow->m_agentIp != aAgentIp) {
    // A later copy has been placed elsewhere already.
    Add(FlowBalancerAction::Drop, FlowReason::Known, key);
    return m_steps;
  }
  if (flow->m_tryCount >= kMaxTries) {
    RefuseOpening(aNow, aHeader, ChooseTarget(*route, key));
    return m_steps;
  }
  flow->m_tried[flow->m_tryCount++] = aAgentIp;
  PlaceOpening(aNow, aHeader, *route, true);
  return m_steps;
}

SearchScope
FlowBalancer::ScopeOf(TimePoint aNow,
                      const Route& aRoute,
                      uint32_t aExceptIp) const
{
  SearchScope scope;
  scope.m_isWhole = IsAgentListWhole(aNow);
  std::vector<uint32_t>& agents = scope.m_agents;
  auto add = [&](const std::string& aService) {
    for (uint32_t ip : m_agents.AgentsOf(aService)) {
      if (ip != aExceptIp &&
          std::find(agents.begin(), agents.end(), ip) == agents.end()) {
        agents.push_back(ip);
      }
    }
  };
  for (const RouteTarget& target : aRoute.m_targets) {
    add(target.m_service);
  }
  auto earlier = m_earlierServices.find(aRoute.m_address);
  if (earlier != m_earlierServices.end()) {
    for (const std::string& service : earlier->second) {
      add(service);
    }
  }
  return scope;
}

void
FlowBalancer::SearchFor(TimePoint aNow,
                        const PacketHeader& aHeader,
                        PacketBytes aBytes,
                        const Route& aRoute,
                        uint32_t aExceptIp)
{
  FlowKey key = aHeader.FlowFromCaller();
  if (m_searches.Contains(key)) {
    return m_searches.Hold(key, aBytes);
  }
  std::optional<SearchStep> step = m_searches.Start(
    aNow, key, aHeader.m_ack, aBytes, ScopeOf(aNow, aRoute, aExceptIp));
  if (!step) {
    return Add(FlowBalancerAction::Drop, FlowReason::TooManyHeld, key);
  }
  Follow(aNow, std::move(*step));
}

// A flow that every agent denies is lost, and its caller need not wait for its
// own timeout.
void
FlowBalancer::Follow(TimePoint aNow, SearchStep aStep)
{
  switch (aStep.m_move) {
    case SearchMove::Wait:
      return;
    case SearchMove::Ask:
      Add(FlowBalancerAction::Query,
          FlowReason::Searched,
          aStep.m_flow,
          aStep.m_ack);
      m_steps.back().m_ask = std::move(aStep.m_ask);
      return;
    case SearchMove::Lost:
      return Add(IsAgentListWhole(aNow) ? FlowBalancerAction::Reset
                                        : FlowBalancerAction::Drop,
                 FlowReason::Unowned,
                 aStep.m_flow,
                 aStep.m_ack);
    case SearchMove::GiveUp:
      return Add(FlowBalancerAction::Drop, FlowReason::Unowned, aStep.m_flow);
    case SearchMove::Found:
    case SearchMove::Try:
      break;
  }
  bool isFound = aStep.m_move == SearchMove::Found;
  m_searchTimes.Add(aStep.m_took);
  Flow flow;
  flow.m_agentIp = aStep.m_agentIp;
  m_flows.Insert(aStep.m_flow, flow);
  for (std::vector<uint8_t>& packet : aStep.m_held) {
    Forward(aStep.m_flow,
            aStep.m_agentIp,
            isFound ? FlowReason::Found : FlowReason::Tried);
    m_steps.back().m_held = std::move(packet);
  }
}

const std::vector<BalancerStep>&
FlowBalancer::OnAnswer(TimePoint aNow,
                       uint32_t aAgentIp,
                       const FlowAnswer& aAnswer)
{
  m_steps.clear();
  CountPause(aNow);
  Follow(aNow, m_searches.OnAnswer(aNow, aAgentIp, aAnswer));
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

// Another balancer may have placed a flow at an agent that this one has not
// heard of yet.
bool
FlowBalancer::IsAgentListWhole(TimePoint aNow) const
{
  return m_agentsCurrentSince && aNow - *m_agentsCurrentSince > kListSettles;
}

// After a pause, packets from before it may come ahead of the first tick, and
// the reports of that time behind them.
void
FlowBalancer::CountPause(TimePoint aNow)
{
  Duration pause = m_pause.OnEvent(aNow);
  if (pause > Duration(0)) {
    m_agents.OnPause(pause);
  }
}

const std::vector<BalancerStep>&
FlowBalancer::OnTick(TimePoint aNow)
{
  m_steps.clear();
  CountPause(aNow);
  m_agents.OnTick(aNow);
  if (m_agents.HearsAny(aNow)) {
    m_lastHeardAny = aNow;
  }
  if (m_routes && aNow >= m_nextPeriod) {
    m_nextPeriod = aNow + m_routes->m_flowIdleLimit;
    m_flows.EndPeriod();
  }
  for (SearchStep& step : m_searches.OnTick(aNow)) {
    Follow(aNow, std::move(step));
  }
  return m_steps;
}

bool
FlowBalancer::IsReady(TimePoint aNow) const
{
  return m_routes && m_agents.IsLoaded() && m_lastHeardAny &&
         aNow - *m_lastHeardAny < kCutOffLimit;
}

} // namespace bilberryfield
