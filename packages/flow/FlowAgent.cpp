#include "FlowAgent.h"

#include <algorithm>
#include <utility>

namespace bilberryfield {

namespace {

/** A longer gap between two events is a pause of this process. */
constexpr Duration kPauseLimit = Milliseconds(150);
/** Time in which a server that works answers an opening packet. */
constexpr Duration kOpeningAnswerLimit = Milliseconds(60);
/** Time after which a busy flow no longer counts as load. */
constexpr Duration kBusyLimit = Seconds(10);
/** Time in which a caller answers a server that opened its flow. */
constexpr Duration kConfirmLimit = Milliseconds(120);
/** Bytes that an acknowledgement may be ahead of the server's first byte. */
constexpr uint32_t kMaxAnswerBytes = 64U * 1024 * 1024;
/** Flows that are remembered as not being at the server. */
constexpr size_t kMaxDenied = 10'000;
/** Number of the last copy that a caller sends. */
constexpr uint32_t kLastCopy = 2;
/** Weight of a new sample in the mean answer time. */
constexpr double kAnswerTimeGain = 0.05;

} // namespace

FlowAgent::FlowAgent(FlowAgentOptions aOptions, TimePoint aStart)
  : m_options(std::move(aOptions))
  , m_serviceTag(ServiceTag(m_options.m_service))
  , m_start(aStart)
  , m_server(m_options.m_heartbeatEvery)
  , m_pause(kPauseLimit)
  , m_flows(m_options.m_maxFlows)
  , m_denied(kMaxDenied)
  , m_nextPeriod(aStart + m_options.m_maxFlowAge)
  , m_reports({ m_options.m_service,
                m_options.m_domain,
                m_options.m_packets,
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
  return condition;
}

TaggedLoad
FlowAgent::Load() const
{
  return { static_cast<uint16_t>(std::min<uint32_t>(Demand(), UINT16_MAX)),
           static_cast<uint16_t>(std::min<uint32_t>(Slots(), UINT16_MAX)) };
}

uint32_t
FlowAgent::Slots() const
{
  return m_server.Latest() ? m_server.Latest()->m_slots : 1;
}

// Later copies wait behind every first copy, so they are no load for a caller
// that has just come. Counted, they would hide which server is free soonest.
uint32_t
FlowAgent::Demand() const
{
  return m_busy + static_cast<uint32_t>(m_waiting.FirstTransmissions());
}

AgentVerdict
FlowAgent::GiveBack(HandBack aReason, uint32_t aBalancerIp)
{
  m_handedBack[static_cast<size_t>(aReason)] += 1;
  return { FlowAgentAction::HandBack, aReason, aBalancerIp };
}

// An agent that started after its server does not know the flows that were
// opened before.
bool
FlowAgent::MayMissFlows(TimePoint aNow) const
{
  return !m_sawIncarnationStart && aNow < m_start + m_options.m_maxFlowAge;
}

bool
FlowAgent::IsBusy(Phase aPhase)
{
  return aPhase == Phase::Opening || aPhase == Phase::Requested;
}

bool
FlowAgent::IsOtherServers(const Flow& aFlow, uint32_t aAck)
{
  return aFlow.m_hasServerSeq && aAck - aFlow.m_serverSeq - 1 > kMaxAnswerBytes;
}

AgentVerdict
FlowAgent::OnBalancerPacket(TimePoint aNow,
                            const PacketHeader& aHeader,
                            PacketBytes aBytes,
                            uint32_t aBalancerIp)
{
  CountPause(aNow);
  if (aHeader.m_tag != m_serviceTag) {
    return GiveBack(HandBack::WrongService, aBalancerIp);
  }
  if (aHeader.IsSyn()) {
    return OnOpening(aNow, aHeader, aBytes, aBalancerIp);
  }
  FlowKey key = aHeader.FlowFromCaller();
  Flow* flow = m_flows.Find(key);
  if (!flow) {
    bool mayBeHere = MayMissFlows(aNow) && !m_denied.Find(key);
    return mayBeHere ? AgentVerdict{ FlowAgentAction::Deliver }
                     : GiveBack(HandBack::NotOwner, aBalancerIp);
  }
  if (IsOtherServers(*flow, aHeader.m_ack) && !aHeader.Has(kReset)) {
    return GiveBack(HandBack::NotOwner, aBalancerIp);
  }
  AgentVerdict verdict{ FlowAgentAction::Deliver };
  if (aHeader.Has(kReset) || aHeader.Has(kFin)) {
    verdict.m_isLast = flow->m_phase != Phase::Closed;
    SetPhase(aNow, key, *flow, Phase::Closed);
  } else if (aHeader.m_length > 0 && flow->m_phase != Phase::Closed) {
    NoteRequest(aNow, *flow);
    SetPhase(aNow, key, *flow, Phase::Requested);
  }
  return verdict;
}

AgentVerdict
FlowAgent::OnOpening(TimePoint aNow,
                     const PacketHeader& aHeader,
                     PacketBytes aBytes,
                     uint32_t aBalancerIp)
{
  FlowKey key = aHeader.FlowFromCaller();
  Flow* known = m_flows.Find(key);
  if (known && known->m_phase != Phase::Closed) {
    return { FlowAgentAction::Deliver };
  }
  ServerCondition condition = Condition(aNow);
  if (condition == ServerCondition::Silent) {
    return GiveBack(HandBack::Silent, aBalancerIp);
  }
  if (condition == ServerCondition::Unknown) {
    return GiveBack(HandBack::Starting, aBalancerIp);
  }
  if (condition != ServerCondition::Ready) {
    return GiveBack(HandBack::NotAccepting, aBalancerIp);
  }
  OpeningTerms terms = OpeningTerms::Unpack(aHeader.m_mark);
  QueuedSyn opening{
    aHeader, aBalancerIp, terms.m_priority, { aBytes.begin(), aBytes.end() }
  };
  if (m_waiting.Contains(key)) {
    return LetWait(aNow, std::move(opening));
  }
  if (HasNoFreeSlot() && Demand() >= terms.m_busyLimit) {
    return GiveBack(HandBack::Full, aBalancerIp);
  }
  if (!HasRoom()) {
    return LetWait(aNow, std::move(opening));
  }
  Admit(aNow, opening);
  return { FlowAgentAction::Deliver };
}

// A server answers in the order of arrival, so whatever is there goes before
// callers that come later and could still be answered in time.
bool
FlowAgent::HasRoom() const
{
  return m_busy < m_room.MaxFlows(Slots());
}

void
FlowAgent::Admit(TimePoint aNow, const QueuedSyn& aOpening)
{
  FlowKey key = aOpening.m_header.FlowFromCaller();
  m_denied.Erase(key);
  Flow& flow = m_flows.Insert(key, {});
  flow.m_busySince = aNow;
  m_busy += 1;
  m_openingCount += 1;
  m_busyEntries.push_back({ aNow, key });
  m_unconfirmed.push_back({ aNow, key });
  m_openings.push_back(
    { aNow, { key, aOpening.m_balancerIp, aOpening.m_bytes } });
}

AgentVerdict
FlowAgent::LetWait(TimePoint aNow, QueuedSyn aOpening)
{
  std::optional<QueuedSyn> ousted = m_waiting.Add(aNow, std::move(aOpening));
  if (ousted) {
    EndWait(std::move(*ousted));
  }
  return { FlowAgentAction::Wait };
}

// After the last copy nothing more comes from the caller in this attempt, so
// it is told; before that it sends a copy soon, which may find room.
void
FlowAgent::EndWait(QueuedSyn aOpening)
{
  bool isLast = aOpening.m_header.RetransmissionCount() >= kLastCopy;
  m_waitEnds.push_back(
    { { isLast ? FlowAgentAction::Reset : FlowAgentAction::Drop,
        HandBack::Full },
      std::move(aOpening) });
}

std::vector<WaitEnd>
FlowAgent::TakeWaitEnds(TimePoint aNow)
{
  if (m_waiting.Size() > 0 && Condition(aNow) != ServerCondition::Ready) {
    for (QueuedSyn& opening : m_waiting.TakeAll()) {
      AgentVerdict verdict =
        GiveBack(HandBack::NotAccepting, opening.m_balancerIp);
      m_waitEnds.push_back({ verdict, std::move(opening) });
    }
  }
  while (m_waiting.Size() > 0 && HasRoom()) {
    QueuedSyn opening = *m_waiting.TakeNext(aNow);
    Admit(aNow, opening);
    m_waitEnds.push_back({ { FlowAgentAction::Deliver }, std::move(opening) });
  }
  return std::exchange(m_waitEnds, {});
}

// A flow needs its slot from its request on. While balancers are slow, many
// flows wait for the caller's next packet; counted in full they would make
// idle servers look full, and hand-backs would slow the balancers down further.
bool
FlowAgent::HasNoFreeSlot() const
{
  constexpr uint32_t kRequestWeight = 2;
  uint32_t opening = m_busy - m_requested;
  return kRequestWeight * m_requested + opening >= kRequestWeight * Slots();
}

AgentVerdict
FlowAgent::OnServerPacket(TimePoint aNow, const PacketHeader& aHeader)
{
  if (aHeader.Has(kBounced)) {
    return OnBounced(aHeader);
  }
  m_server.OnPacket(aNow);
  FlowKey key = aHeader.FlowFromServer();
  Flow* flow = m_flows.Find(key);
  if (!flow) {
    // The server holds the flow from before this agent's start.
    flow = &m_flows.Insert(key, { Phase::Idle, false, 0, {}, {} });
  }
  if (aHeader.Has(kSyn)) {
    flow->m_hasServerSeq = true;
    flow->m_serverSeq = aHeader.m_seq;
  }
  AgentVerdict verdict{ FlowAgentAction::ToCaller };
  if (aHeader.m_length > 0 && IsBusy(flow->m_phase)) {
    NoteAnswer(aNow, *flow);
  }
  if (aHeader.Has(kFin) || aHeader.Has(kReset)) {
    verdict.m_isLast = flow->m_phase != Phase::Closed;
    SetPhase(aNow, key, *flow, Phase::Closed);
  } else if (aHeader.m_length > 0 && flow->m_phase != Phase::Closed) {
    SetPhase(aNow, key, *flow, Phase::Idle);
  }
  return verdict;
}

// What the server sent in the time of a pause may still wait to be read, so
// its silence in that time tells nothing.
void
FlowAgent::CountPause(TimePoint aNow)
{
  Duration pause = m_pause.OnEvent(aNow);
  if (pause == Duration(0)) {
    return;
  }
  m_server.OnPause(pause);
  for (OpeningEntry& opening : m_openings) {
    opening.m_at += pause;
  }
  for (BusyEntry& entry : m_busyEntries) {
    Flow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_busySince == entry.m_since) {
      flow->m_busySince += pause;
    }
    entry.m_since += pause;
  }
  for (BusyEntry& entry : m_unconfirmed) {
    entry.m_since += pause;
  }
}

void
FlowAgent::NoteRequest(TimePoint aNow, Flow& aFlow)
{
  if (aFlow.m_phase == Phase::Opening) {
    m_room.OnRequest(aNow - aFlow.m_busySince);
  }
  if (aFlow.m_phase != Phase::Requested) {
    aFlow.m_requestedAt = aNow;
  }
}

void
FlowAgent::NoteAnswer(TimePoint aNow, const Flow& aFlow)
{
  Duration time = aNow - aFlow.m_busySince;
  m_answerTimes.Add(time);
  auto sample = static_cast<double>(time.count());
  m_answerUs = m_answerUs == 0
                 ? sample
                 : m_answerUs + kAnswerTimeGain * (sample - m_answerUs);
  if (aFlow.m_phase == Phase::Requested) {
    m_room.OnAnswer(aNow - aFlow.m_requestedAt);
  }
}

AgentVerdict
FlowAgent::OnBounced(const PacketHeader& aHeader)
{
  FlowKey key = aHeader.FlowFromCaller();
  uint32_t balancerIp = aHeader.m_tag;
  Flow* flow = m_flows.Find(key);
  if (!aHeader.IsSyn()) {
    m_denied.Insert(key, true);
  }
  if (!flow) {
    return GiveBack(HandBack::Bounced, balancerIp);
  }
  // A server answers for the flows that it ended, so one that it sends back
  // was lost with an earlier incarnation.
  bool wasOpenHere =
    flow->m_hasServerSeq && !IsOtherServers(*flow, aHeader.m_ack);
  SetPhase(TimePoint{}, key, *flow, Phase::Closed);
  m_flows.Erase(key);
  if (!aHeader.IsSyn() && wasOpenHere && !aHeader.Has(kReset)) {
    return { FlowAgentAction::Reset };
  }
  return GiveBack(HandBack::Bounced, balancerIp);
}

void
FlowAgent::SetPhase(TimePoint aNow,
                    const FlowKey& aKey,
                    Flow& aFlow,
                    Phase aPhase)
{
  bool wasBusy = IsBusy(aFlow.m_phase);
  bool isBusy = IsBusy(aPhase);
  m_requested -= aFlow.m_phase == Phase::Requested ? 1 : 0;
  m_requested += aPhase == Phase::Requested ? 1 : 0;
  aFlow.m_phase = aPhase;
  if (isBusy && !wasBusy) {
    aFlow.m_busySince = aNow;
    m_busy += 1;
    m_busyEntries.push_back({ aNow, aKey });
  }
  if (!isBusy && wasBusy) {
    m_busy -= 1;
  }
}

HeartbeatResult
FlowAgent::OnHeartbeat(TimePoint aNow, const ServerHeartbeat& aHeartbeat)
{
  HeartbeatResult end = m_server.OnHeartbeat(aNow, aHeartbeat);
  if (end == HeartbeatResult::NewIncarnation) {
    m_sawIncarnationStart = true;
  }
  return end;
}

void
FlowAgent::OnSubscribe(TimePoint aNow,
                       uint32_t aBalancerIp,
                       const Subscribe& aMessage)
{
  m_reports.OnSubscribe(aNow, aBalancerIp, aMessage);
}

FlowAnswer
FlowAgent::OnQuery(TimePoint aNow, const FlowQuery& aQuery)
{
  FlowAnswer answer{ aQuery.m_flow, FlowOwnership::No };
  if (Flow* flow = m_flows.Find(aQuery.m_flow)) {
    if (!IsOtherServers(*flow, aQuery.m_ack)) {
      answer.m_ownership = FlowOwnership::Yes;
    }
  } else if (MayMissFlows(aNow) && !m_denied.Find(aQuery.m_flow)) {
    answer.m_ownership = FlowOwnership::Possible;
  }
  return answer;
}

ServerLoad
FlowAgent::CurrentLoad(TimePoint aNow) const
{
  return {
    Condition(aNow), Demand(), Slots(), static_cast<uint32_t>(m_answerUs)
  };
}

DueReports
FlowAgent::OnTick(TimePoint aNow)
{
  CountPause(aNow);
  EndStuckFlows(aNow);
  EndUnconfirmed(aNow);
  for (QueuedSyn& opening : m_waiting.TakeExpired(aNow)) {
    EndWait(std::move(opening));
  }
  if (aNow >= m_nextPeriod) {
    m_nextPeriod = aNow + m_options.m_maxFlowAge;
    m_flows.EndPeriod();
    m_denied.EndPeriod();
  }
  return m_reports.OnTick(aNow, CurrentLoad(aNow));
}

// Callers that vanish leave flows behind that look busy.
void
FlowAgent::EndStuckFlows(TimePoint aNow)
{
  while (!m_busyEntries.empty() &&
         aNow - m_busyEntries.front().m_since > kBusyLimit) {
    BusyEntry entry = m_busyEntries.front();
    m_busyEntries.pop_front();
    Flow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_busySince == entry.m_since) {
      SetPhase(aNow, entry.m_flow, *flow, Phase::Idle);
    }
  }
}

// A caller that left before its flow was open never answers; such a flow is no
// load for the server.
void
FlowAgent::EndUnconfirmed(TimePoint aNow)
{
  while (!m_unconfirmed.empty() &&
         aNow - m_unconfirmed.front().m_since > kConfirmLimit) {
    BusyEntry entry = m_unconfirmed.front();
    m_unconfirmed.pop_front();
    Flow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_phase == Phase::Opening &&
        flow->m_busySince == entry.m_since) {
      SetPhase(aNow, entry.m_flow, *flow, Phase::Idle);
    }
  }
}

std::vector<UnansweredOpening>
FlowAgent::TakeUnanswered(TimePoint aNow)
{
  CountPause(aNow);
  std::vector<UnansweredOpening> unanswered;
  while (!m_openings.empty() &&
         aNow - m_openings.front().m_at > kOpeningAnswerLimit) {
    UnansweredOpening opening = m_openings.front().m_opening;
    m_openings.pop_front();
    Flow* flow = m_flows.Find(opening.m_flow);
    if (!flow || flow->m_phase != Phase::Opening || flow->m_hasServerSeq) {
      continue;
    }
    SetPhase(aNow, opening.m_flow, *flow, Phase::Closed);
    m_flows.Erase(opening.m_flow);
    m_server.OnSynTimeout();
    unanswered.push_back(opening);
  }
  return unanswered;
}

} // namespace bilberryfield
