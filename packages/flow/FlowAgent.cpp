#include "FlowAgent.h"

#include "CountedMean.h"

#include <algorithm>
#include <utility>

namespace bilberryfield {

namespace {

/** A longer gap between two events counts as a pause of this process. */
constexpr Duration kPauseThreshold = Milliseconds(150);
/** Time in which a working server answers a SYN. */
constexpr Duration kSynAnswerTimeout = Milliseconds(60);
/** Maximum number of bounced flows per generation. */
constexpr size_t kMaxBouncedFlows = 10'000;
/** Retransmissions of a SYN that a caller sends per attempt. */
constexpr uint32_t kMaxRetransmissions = 2;
/** Weight of a new sample in the moving mean of answer times. */
constexpr double kAnswerTimeWeight = 0.05;

} // namespace

FlowAgent::FlowAgent(FlowAgentOptions aOptions, TimePoint aStart)
  : m_options(std::move(aOptions))
  , m_serviceTag(ServiceTag(m_options.m_service))
  , m_earlierFlowsUntil(aStart + m_options.m_maxFlowAge)
  , m_untrackedUntil(m_earlierFlowsUntil)
  , m_server(m_options.m_heartbeatEvery, m_options.m_processStartMs)
  , m_pause(kPauseThreshold)
  , m_startup(m_options.m_startup, aStart)
  , m_flows(m_options.m_maxFlows, m_startup)
  , m_bouncedFlows(kMaxBouncedFlows)
  , m_nextGeneration(aStart + m_options.m_maxFlowAge)
  , m_reports({ m_options.m_service,
                m_options.m_domain,
                m_options.m_packets,
                {},
                {},
                {},
                {},
                {} },
              aStart)
{
}

ServerCondition
FlowAgent::Condition(TimePoint aNow) const
{
  ServerCondition condition = m_server.Condition(aNow);
  if (m_isStopping && condition == ServerCondition::Ready) {
    return ServerCondition::Draining;
  }
  bool isOpen = m_circuit.State(aNow) == CircuitState::Open;
  if (isOpen && condition == ServerCondition::Ready) {
    return ServerCondition::Failing;
  }
  return condition;
}

LoadTag
FlowAgent::Load(TimePoint aNow) const
{
  auto [busy, slots] = Reported(aNow);
  return { static_cast<uint16_t>(std::min<uint32_t>(busy, UINT16_MAX)),
           static_cast<uint16_t>(std::min<uint32_t>(slots, UINT16_MAX)) };
}

uint32_t
FlowAgent::Slots() const
{
  return m_server.Latest() ? m_server.Latest()->m_slots : 1;
}

// Retransmissions are queued behind all first transmissions, so they do not
// delay a new flow. Counting them would hide which server is free soonest.
uint32_t
FlowAgent::Demand() const
{
  return m_flows.Busy() +
         static_cast<uint32_t>(m_synQueue.FirstTransmissions() +
                               m_requestOrder.Waiting());
}

ReportedSlots
FlowAgent::Reported(TimePoint aNow) const
{
  // One flow is enough to probe a server that has failed.
  if (m_circuit.State(aNow) == CircuitState::HalfOpen) {
    return { m_circuit.IsProbing(aNow) ? 1U : 0U, 1 };
  }
  uint32_t busy = m_flows.Busy();
  return m_startup.Report(aNow, busy, Demand() - busy, Slots(), m_answerUs);
}

AgentDecision
FlowAgent::ReturnPacket(ReturnReason aReason, uint32_t aBalancerIp)
{
  if (aReason == ReturnReason::Full) {
    m_startup.OnReturned();
  }
  m_returnCounts[static_cast<size_t>(aReason)] += 1;
  return { FlowAgentAction::Return, aReason, aBalancerIp };
}

// An agent that started after its server, or whose table was full, has no state
// for flows that were opened before. They end within the maximum flow age.
bool
FlowAgent::MayHaveUntrackedFlows(TimePoint aNow)
{
  if (m_flows.TakeOverflow()) {
    m_untrackedUntil = aNow + m_options.m_maxFlowAge;
  }
  return aNow < m_untrackedUntil;
}

AgentDecision
FlowAgent::OnBalancerPacket(TimePoint aNow,
                            const PacketHeader& aHeader,
                            PacketBytes aBytes,
                            uint32_t aBalancerIp)
{
  AccountForPause(aNow);
  FlowKey key = aHeader.FlowFromCaller();
  Flow* flow = m_flows.Find(key);
  // A balancer can still have the entry of an earlier agent at this address.
  // For a flow that is in the table it makes no difference.
  bool isForOther = aHeader.m_tag != m_serviceTag;
  if (isForOther && (aHeader.IsSyn() || !flow)) {
    return ReturnPacket(ReturnReason::WrongService, aBalancerIp);
  }
  if (aHeader.IsSyn()) {
    return OnSyn(aNow, aHeader, aBytes, aBalancerIp);
  }
  if (!flow) {
    bool mayBeHere = MayHaveUntrackedFlows(aNow) && !m_bouncedFlows.Find(key);
    return mayBeHere ? AgentDecision{ FlowAgentAction::Deliver }
                     : ReturnPacket(ReturnReason::NotOwner, aBalancerIp);
  }
  bool isForeign = flow->m_sent.OriginOf(aHeader.m_ack) == AckOrigin::Foreign;
  if (isForeign && !aHeader.Has(kReset)) {
    return ReturnPacket(ReturnReason::NotOwner, aBalancerIp);
  }
  if (!IsOrdered(aHeader, *flow)) {
    return DeliverOnFlow(aNow, aHeader, *flow);
  }
  RequestStep step =
    m_requestOrder.OnPacket(aNow,
                            { aHeader,
                              aBalancerIp,
                              flow->m_priority.value_or(0),
                              { aBytes.begin(), aBytes.end() } },
                            m_flows.HasFullServer(Slots()),
                            m_synQueue.NextPriority());
  switch (step) {
    case RequestStep::Deliver:
      return DeliverOnFlow(aNow, aHeader, *flow);
    case RequestStep::Drop:
      return { FlowAgentAction::Drop };
    default:
      AgentDecision decision{ FlowAgentAction::Queue };
      decision.m_isWaitBegin = step == RequestStep::WaitBegin;
      return decision;
  }
}

// The slot of a flow's first request was assigned with the flow's SYN.
bool
FlowAgent::IsOrdered(const PacketHeader& aHeader, const Flow& aFlow) const
{
  bool isLaterRequest = aHeader.m_length > 0 && aFlow.m_phase == Phase::Idle &&
                        aFlow.m_requestedAt != TimePoint{};
  return m_requestOrder.IsWaiting(aHeader.FlowFromCaller()) ||
         (m_options.m_orderRequests && aFlow.m_priority && isLaterRequest);
}

AgentDecision
FlowAgent::DeliverOnFlow(TimePoint aNow,
                         const PacketHeader& aHeader,
                         Flow& aFlow)
{
  AgentDecision decision{ FlowAgentAction::Deliver };
  FlowKey key = aHeader.FlowFromCaller();
  if (aHeader.Has(kReset) || aHeader.Has(kFin)) {
    decision.m_isLast = aFlow.m_phase != Phase::Closed;
    m_flows.SetPhase(aNow, key, aFlow, Phase::Closed);
  } else if (aHeader.m_length > 0 && aFlow.m_phase != Phase::Closed) {
    RecordRequest(aNow, aFlow);
    m_flows.SetPhase(aNow, key, aFlow, Phase::Requested);
  }
  return decision;
}

AgentDecision
FlowAgent::OnSyn(TimePoint aNow,
                 const PacketHeader& aHeader,
                 PacketBytes aBytes,
                 uint32_t aBalancerIp)
{
  FlowKey key = aHeader.FlowFromCaller();
  Flow* existing = m_flows.Find(key);
  if (existing && existing->m_phase != Phase::Closed) {
    return { FlowAgentAction::Deliver };
  }
  ReturnReason refusal = RefusalOfNewFlows(aNow);
  if (refusal != ReturnReason::None) {
    return ReturnPacket(refusal, aBalancerIp);
  }
  SynMark mark = SynMark::Unpack(aHeader.m_mark);
  QueuedSyn syn{
    aHeader, aBalancerIp, mark.m_priority, { aBytes.begin(), aBytes.end() }
  };
  if (m_synQueue.Contains(key)) {
    return Enqueue(aNow, std::move(syn));
  }
  if (m_startup.IsColdLimitReached(aNow)) {
    m_startup.OnColdLimited();
  }
  bool isBusy =
    HasNoFreeSlot(aNow) && Reported(aNow).m_busy >= mark.m_busyLimit;
  if (isBusy || !m_circuit.MayAdmit(aNow, mark.m_isIdempotent)) {
    return ReturnPacket(ReturnReason::Full, aBalancerIp);
  }
  // The bound of a cold server can allow a flow between two packets, while SYNs
  // still wait; the queue then decides which one is next.
  bool isOvertaking = m_startup.IsColdLimited(aNow) && m_synQueue.Size() > 0;
  if (isOvertaking || !CanAdmit(aNow, syn.m_priority)) {
    return Enqueue(aNow, std::move(syn));
  }
  Admit(aNow, syn);
  return { FlowAgentAction::Deliver };
}

// A balancer that has not learned of an evacuation still sends flows here.
ReturnReason
FlowAgent::RefusalOfNewFlows(TimePoint aNow) const
{
  if (m_evacuations.Contains(aNow, m_options.m_domain)) {
    return ReturnReason::Evacuated;
  }
  if (m_evacuations.IsOutdated(aNow)) {
    return ReturnReason::Starting;
  }
  switch (Condition(aNow)) {
    case ServerCondition::Ready:
      return ReturnReason::None;
    case ServerCondition::Silent:
      return ReturnReason::Silent;
    case ServerCondition::Unknown:
      return ReturnReason::Starting;
    case ServerCondition::Failing:
      return ReturnReason::Failing;
    case ServerCondition::Draining:
    case ServerCondition::Gone:
      break;
  }
  return ReturnReason::NotAccepting;
}

bool
FlowAgent::CanAdmit(TimePoint aNow, uint8_t aPriority) const
{
  uint32_t lessUrgent =
    m_options.m_orderRequests ? m_flows.LessUrgentRequests(aPriority) : 0;
  return m_flowLimit.MayAdmit(Slots(), m_flows.Busy(), lessUrgent) &&
         !m_startup.IsPaceReached() && !m_startup.IsColdLimitReached(aNow);
}

void
FlowAgent::Admit(TimePoint aNow, const QueuedSyn& aSyn)
{
  FlowKey key = aSyn.m_header.FlowFromCaller();
  m_bouncedFlows.Erase(key);
  m_flows.Open(aNow, key, aSyn.m_priority);
  m_startup.OnAdmitted(aNow);
  m_admittedFlows += 1;
  m_circuit.OnAdmitted(aNow);
  m_unansweredSyns.push_back(
    { aNow, { key, aSyn.m_balancerIp, aSyn.m_bytes } });
}

AgentDecision
FlowAgent::Enqueue(TimePoint aNow, QueuedSyn aSyn)
{
  std::optional<QueuedSyn> evicted = m_synQueue.Add(aNow, std::move(aSyn));
  if (evicted) {
    RejectQueued(std::move(*evicted));
  }
  return { FlowAgentAction::Queue };
}

// After the last retransmission the caller sends nothing more in this attempt,
// so it gets a reset. Before that its next retransmission may be admitted.
void
FlowAgent::RejectQueued(QueuedSyn aSyn)
{
  m_rejectedSyns += 1;
  bool isLast = aSyn.m_header.RetransmissionCount() >= kMaxRetransmissions;
  m_dequeued.push_back(
    { { isLast ? FlowAgentAction::Reset : FlowAgentAction::Drop,
        ReturnReason::Full },
      std::move(aSyn),
      {} });
}

// A request counts as busy once it is delivered, so the next decision has to
// see those that were released before it.
void
FlowAgent::DeliverReleasedRequests(TimePoint aNow)
{
  for (ReleasedRequest& request : m_requestOrder.TakeReleased()) {
    std::optional<RequestWait> wait = request.m_wait;
    for (QueuedPacket& packet : request.m_packets) {
      Flow* flow = m_flows.Find(packet.m_header.FlowFromCaller());
      AgentDecision decision{ FlowAgentAction::Deliver };
      if (flow) {
        decision = DeliverOnFlow(aNow, packet.m_header, *flow);
      }
      m_dequeued.push_back(
        { decision, std::move(packet), std::exchange(wait, {}) });
    }
  }
}

std::vector<DequeuedPacket>
FlowAgent::TakeDequeuedPackets(TimePoint aNow)
{
  ReturnReason refusal =
    m_synQueue.Size() > 0 ? RefusalOfNewFlows(aNow) : ReturnReason::None;
  if (refusal != ReturnReason::None) {
    bool isKept =
      refusal == ReturnReason::Evacuated || refusal == ReturnReason::Failing;
    for (QueuedSyn& syn : m_synQueue.TakeAll()) {
      AgentDecision decision = ReturnPacket(
        isKept ? refusal : ReturnReason::NotAccepting, syn.m_balancerIp);
      m_dequeued.push_back({ decision, std::move(syn), {} });
    }
  }
  // The next call may come a tick later.
  m_requestOrder.ReleaseExpired(aNow, aNow + kTick);
  DeliverReleasedRequests(aNow);
  while (ServeNext(aNow)) {
  }
  return std::exchange(m_dequeued, {});
}

// Returns false if the server can take no more, or nothing waits. No request
// waits while the server accepts no new flows, since no SYN does.
bool
FlowAgent::ServeNext(TimePoint aNow)
{
  std::optional<uint8_t> priority = m_synQueue.NextPriority();
  m_requestOrder.ReleaseUnblocked(aNow, priority);
  DeliverReleasedRequests(aNow);
  bool isShareDue = m_requestOrder.IsShareDue();
  if (priority && CanAdmit(aNow, *priority) && !isShareDue) {
    QueuedSyn syn = *m_synQueue.TakeNext(aNow);
    Admit(aNow, syn);
    m_requestOrder.OnSynServed();
    m_dequeued.push_back({ { FlowAgentAction::Deliver }, std::move(syn), {} });
    return true;
  }
  bool isServed = m_requestOrder.Waiting() > 0 &&
                  (isShareDue || !m_flows.HasFullServer(Slots()));
  if (isServed) {
    m_requestOrder.ReleaseNext(aNow);
    DeliverReleasedRequests(aNow);
  }
  return isServed;
}

bool
FlowAgent::HasNoFreeSlot(TimePoint aNow) const
{
  return m_startup.IsPaceReached() || m_startup.IsColdLimitReached(aNow) ||
         m_flows.HasNoFreeSlot(Slots());
}

AgentDecision
FlowAgent::OnServerPacket(TimePoint aNow, const PacketHeader& aHeader)
{
  if (aHeader.Has(kBounced)) {
    return OnBounced(aNow, aHeader);
  }
  bool wasSilent = m_server.Condition(aNow) == ServerCondition::Silent;
  m_startup.OnServerPacket(aNow, wasSilent);
  m_server.OnPacket(aNow);
  FlowKey key = aHeader.FlowFromServer();
  Flow* flow = m_flows.Find(key);
  if (!flow) {
    // The server has had the flow since before this agent started.
    flow = &m_flows.Insert(key, {});
    flow->m_phase = Phase::Idle;
  }
  flow->m_sent.OnPacket(aHeader, !MayHaveUntrackedFlows(aNow));
  AgentDecision decision{ FlowAgentAction::ToCaller };
  // The FIN of a flow that carries one request often overtakes the answer.
  bool isAnswer = aHeader.m_length > 0 ||
                  (aHeader.Has(kFin) && flow->m_phase == Phase::Requested);
  if (isAnswer && FlowTable::IsBusy(flow->m_phase)) {
    RecordAnswer(aNow, *flow);
  } else if (aHeader.Has(kReset)) {
    RecordReset(aNow, *flow);
  }
  if (aHeader.Has(kReset) && flow->m_phase == Phase::Handshake) {
    m_startup.OnRefused(aNow, flow->m_busySince);
  }
  if (aHeader.Has(kFin) || aHeader.Has(kReset)) {
    decision.m_isLast = flow->m_phase != Phase::Closed;
    m_flows.SetPhase(aNow, key, *flow, Phase::Closed);
    m_requestOrder.Flush(aNow, key);
  } else if (aHeader.m_length > 0 && flow->m_phase != Phase::Closed) {
    m_flows.SetPhase(aNow, key, *flow, Phase::Idle);
  }
  return decision;
}

// Packets that the server sent during a pause of this process may still be
// unread, so the pause is excluded from the timeouts.
void
FlowAgent::AccountForPause(TimePoint aNow)
{
  Duration pause = m_pause.OnEvent(aNow);
  if (pause == Duration(0)) {
    return;
  }
  m_evacuations.OnPause(aNow, pause);
  m_server.OnPause(pause);
  m_startup.OnPause(pause);
  for (SynEntry& syn : m_unansweredSyns) {
    syn.m_at += pause;
  }
  m_flows.OnPause(pause);
}

void
FlowAgent::RecordRequest(TimePoint aNow, Flow& aFlow)
{
  if (aFlow.m_phase == Phase::Handshake) {
    m_flowLimit.OnRequest(aNow - aFlow.m_busySince);
  }
  if (aFlow.m_phase != Phase::Requested) {
    aFlow.m_requestedAt = aNow;
  }
}

void
FlowAgent::RecordAnswer(TimePoint aNow, const Flow& aFlow)
{
  Duration time = aNow - aFlow.m_busySince;
  m_answerTimes.Add(time);
  auto sample = static_cast<double>(time.count());
  if (m_answerCount) {
    *m_answerCount += 1;
    AddToMean(m_answerUs, *m_answerCount, sample, kAnswerTimeWeight);
  } else {
    m_answerUs = m_answerUs == 0
                   ? sample
                   : m_answerUs + kAnswerTimeWeight * (sample - m_answerUs);
  }
  m_circuit.OnAnswer(aNow);
  Duration response = time;
  if (aFlow.m_phase == Phase::Requested) {
    response = aNow - aFlow.m_requestedAt;
    m_flowLimit.OnAnswer(response);
  }
  m_startup.OnAnswer(
    aNow, aFlow.m_busySince, response, time, m_flowLimit.MaxFlows(Slots()));
}

void
FlowAgent::RecordReset(TimePoint aNow, const Flow& aFlow)
{
  if (aFlow.m_phase != Phase::Requested) {
    return;
  }
  m_resetRequests += 1;
  if (m_options.m_ejectsFailingServer) {
    m_circuit.OnReset(aNow);
  }
}

AgentDecision
FlowAgent::OnBounced(TimePoint aNow, const PacketHeader& aHeader)
{
  FlowKey key = aHeader.FlowFromCaller();
  uint32_t balancerIp = aHeader.m_tag;
  Flow* flow = m_flows.Find(key);
  AckOrigin origin =
    flow ? flow->m_sent.OriginOf(aHeader.m_ack) : AckOrigin::Unknown;
  if (!aHeader.IsSyn() && origin == AckOrigin::Foreign) {
    // The server may have a flow of the same addresses with other numbers.
    return ReturnPacket(ReturnReason::NotOwner, balancerIp);
  }
  if (!aHeader.IsSyn()) {
    m_bouncedFlows.Insert(key, true);
  }
  // A full server can return a copy of the SYN packet of a flow that it has.
  bool isCopy = aHeader.IsSyn() && flow && flow->m_sent.IsKnown();
  if (!flow || isCopy) {
    return ReturnPacket(ReturnReason::Bounced, balancerIp);
  }
  if (aHeader.IsSyn()) {
    m_startup.OnRefused(aNow, flow->m_busySince);
  }
  m_flows.SetPhase(TimePoint{}, key, *flow, Phase::Closed);
  m_flows.Erase(key);
  // A server answers packets of flows that it has closed. A bounced packet that
  // acknowledges what the server has sent is therefore proof that the flow was
  // lost with an earlier incarnation.
  bool isLost = !aHeader.IsSyn() && origin == AckOrigin::Server;
  if (isLost && !aHeader.Has(kReset)) {
    return { FlowAgentAction::Reset };
  }
  return ReturnPacket(ReturnReason::Bounced, balancerIp);
}

HeartbeatResult
FlowAgent::OnHeartbeat(TimePoint aNow, const ServerHeartbeat& aHeartbeat)
{
  bool wasSilent = m_server.Condition(aNow) == ServerCondition::Silent;
  HeartbeatResult result = m_server.OnHeartbeat(aNow, aHeartbeat);
  m_startup.OnHeartbeat(aNow, result, aHeartbeat.m_warmupLeft, wasSilent);
  if (result == HeartbeatResult::NewIncarnation) {
    m_untrackedUntil = aNow;
    OnIncarnationChange(aNow);
    m_reports.OnServerStart(aNow);
  } else if (result == HeartbeatResult::OtherIncarnation) {
    // What was concluded from the earlier heartbeats is not true of this
    // server.
    m_untrackedUntil = std::max(m_untrackedUntil, m_earlierFlowsUntil);
    OnIncarnationChange(aNow);
  }
  return result;
}

void
FlowAgent::OnIncarnationChange(TimePoint aNow)
{
  m_circuit.OnNewIncarnation();
  if (m_startup.IsPaceOn()) {
    m_flows.ReleaseRequests(aNow);
    m_flowLimit = {};
    m_answerUs = 0;
    m_answerCount = 0;
  }
}

void
FlowAgent::OnSubscribe(TimePoint aNow,
                       uint32_t aBalancerIp,
                       const Subscribe& aMessage)
{
  m_evacuations.Update(aNow, aMessage.m_evacuations);
  m_reports.OnSubscribe(aNow, aBalancerIp, aMessage);
  m_startup.OnSubscribe(aNow, aMessage);
}

// A flow without known numbers is in the table because the server has sent
// packets on it, or because its SYN packet has just been delivered.
FlowOwnership
FlowAgent::OwnershipOf(const Flow& aFlow, uint32_t aAck)
{
  switch (aFlow.m_sent.OriginOf(aAck)) {
    case AckOrigin::Server:
      return FlowOwnership::Yes;
    case AckOrigin::Foreign:
      return FlowOwnership::No;
    case AckOrigin::Unknown:
      break;
  }
  return aFlow.m_sent.IsKnown() ? FlowOwnership::Possible : FlowOwnership::Yes;
}

FlowAnswer
FlowAgent::OnQuery(TimePoint aNow, const FlowQuery& aQuery)
{
  FlowAnswer answer{ aQuery.m_flow, FlowOwnership::No, m_serviceTag };
  if (Flow* flow = m_flows.Find(aQuery.m_flow)) {
    answer.m_ownership = OwnershipOf(*flow, aQuery.m_ack);
  } else if (MayHaveUntrackedFlows(aNow) &&
             !m_bouncedFlows.Find(aQuery.m_flow)) {
    answer.m_ownership = FlowOwnership::Possible;
  }
  return answer;
}

ServerLoad
FlowAgent::CurrentLoad(TimePoint aNow) const
{
  auto [busy, slots] = Reported(aNow);
  return { Condition(aNow), busy, slots, static_cast<uint32_t>(m_answerUs) };
}

DueReports
FlowAgent::OnTick(TimePoint aNow)
{
  AccountForPause(aNow);
  m_flows.ExpireBusyFlows(aNow);
  m_startup.OnTick(aNow, Slots(), m_flowLimit.MaxFlows(Slots()));
  for (QueuedSyn& syn : m_synQueue.TakeExpired(aNow)) {
    RejectQueued(std::move(syn));
  }
  if (aNow >= m_nextGeneration) {
    m_nextGeneration = aNow + m_options.m_maxFlowAge;
    m_flows.StartGeneration();
    m_bouncedFlows.StartGeneration();
  }
  return m_reports.OnTick(aNow, CurrentLoad(aNow));
}

std::vector<UnansweredSyn>
FlowAgent::TakeUnansweredSyns(TimePoint aNow)
{
  AccountForPause(aNow);
  std::vector<UnansweredSyn> unanswered;
  while (!m_unansweredSyns.empty() &&
         aNow - m_unansweredSyns.front().m_at > kSynAnswerTimeout) {
    UnansweredSyn syn = m_unansweredSyns.front().m_syn;
    m_unansweredSyns.pop_front();
    Flow* flow = m_flows.Find(syn.m_flow);
    if (!flow || flow->m_phase != Phase::Handshake || flow->m_sent.IsKnown()) {
      continue;
    }
    m_startup.OnRefused(aNow, flow->m_busySince);
    // A SYN that an earlier incarnation did not answer says nothing about the
    // current one.
    bool isOfCurrentStart =
      !m_startup.IsPaceOn() || flow->m_startNumber == m_startup.Number();
    m_flows.SetPhase(aNow, syn.m_flow, *flow, Phase::Closed);
    m_flows.Erase(syn.m_flow);
    if (isOfCurrentStart) {
      m_server.OnSynTimeout();
    }
    unanswered.push_back(syn);
  }
  return unanswered;
}

} // namespace bilberryfield
