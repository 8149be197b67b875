#include "AgentCore.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kFlowSweepInterval = Seconds(5);

} // namespace

AgentCore::AgentCore(Options aOptions)
  : m_options(std::move(aOptions))
  , m_config(std::make_shared<ConfigSnapshot>())
  , m_queue(m_options.m_admission)
  , m_ledger(m_options.m_maxLedgerEntries, m_options.m_maxKeptAnswerBytes)
  , m_journal(m_options.m_server + "/" +
                std::to_string(m_options.m_incarnation),
              m_options.m_maxJournalPending)
{
}

AgentCore::Actions
AgentCore::OnEvent(TimePoint aNow, const AgentEvent& aEvent)
{
  m_now = aNow;
  m_actions.clear();
  // Before any event, refuses requests that can no longer finish in time, so
  // that a process resumed from a pause does not start expired work.
  for (const WorkItem& item : m_queue.TakeInfeasible(aNow)) {
    RefuseQueued(item.m_id, RefusalReason::DeadlinePassed);
  }
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  ExpireIdleFlows();
  StartQueued();
  SetQueueTimer();
  return std::move(m_actions);
}

void
AgentCore::Handle(const AgentConfigChanged& aChanged)
{
  m_config = aChanged.m_config;
  for (const auto& [name, entry] : m_config->m_services) {
    if (ServedService(name)) {
      m_queue.Configure(entry.m_config);
    }
  }
}

void
AgentCore::Handle(const DrainChanged& aChanged)
{
  if (!aChanged.m_isDraining) {
    m_drainSince.reset();
  } else if (!m_drainSince) {
    m_drainSince = m_now;
  }
}

void
AgentCore::Handle(const AgentTimerExpired& /*aWake*/)
{
}

LoadReport
AgentCore::Load() const
{
  return { static_cast<uint32_t>(m_queue.RunningCount()),
           static_cast<uint32_t>(m_queue.QueuedCount()),
           m_options.m_admission.m_slots };
}

const ServiceConfig*
AgentCore::ServedService(const std::string& aName) const
{
  const ServiceConfig* service = m_config->FindByName(aName);
  if (!service) {
    return nullptr;
  }
  bool isServed = HasLabels(m_options.m_labels, service->m_labels);
  return isServed ? service : nullptr;
}

void
AgentCore::Handle(const ForwardArrived& aArrived)
{
  const Forward& forward = aArrived.m_forward;
  const ServiceConfig* service = ServedService(forward.m_service);
  if (!service || service->m_address != forward.m_serviceAddress) {
    // The configurations of this agent and the balancer differ, or the
    // balancer's member records are outdated. The request does not run, since
    // the address may have been reassigned to another service.
    return ReplyRefusal(aArrived, Outcome::NotRun, RefusalReason::NotReady);
  }
  std::optional<uint64_t> flow = ResolveFlow(aArrived);
  if (!flow) {
    return;
  }
  m_flows.at(*flow).m_lastSeen = m_now;
  if (AnswerIfRepeat(aArrived, *flow) || MoveIfDraining(aArrived, *flow)) {
    return;
  }
  size_t index = service->ClassIndex(forward.m_class);
  TrafficClass trafficClass = service->m_classes[index];
  // During a configuration change the balancer and the agent may have
  // different settings; the stricter one applies.
  trafficClass.m_nonRepeatable |= forward.m_nonRepeatable;
  bool isBound = forward.m_mode == ForwardMode::Bound ||
                 forward.m_mode == ForwardMode::Adopt;
  bool needsBinding = trafficClass.m_nonRepeatable && !isBound;
  if (forward.m_mode == ForwardMode::Bind || needsBinding) {
    return ReplyRefusal(
      aArrived, Outcome::NotRun, RefusalReason::BindFirst, *flow);
  }
  Enqueue(aArrived, *flow, trafficClass);
}

std::optional<uint64_t>
AgentCore::ResolveFlow(const ForwardArrived& aArrived)
{
  switch (aArrived.m_forward.m_mode) {
    case ForwardMode::Bound:
    case ForwardMode::Adopt:
      return ResolveBound(aArrived);
    default:
      return ResolveUnbound(aArrived);
  }
}

std::optional<uint64_t>
AgentCore::ResolveBound(const ForwardArrived& aArrived)
{
  const Forward& forward = aArrived.m_forward;
  const Binding& binding = forward.m_binding;
  // There is no record of what an earlier incarnation or an expired flow ran.
  // "Not run" is therefore only correct for a repeatable request.
  Outcome outcome =
    forward.m_nonRepeatable ? Outcome::Unknown : Outcome::NotRun;
  if (binding.m_server != m_options.m_server ||
      binding.m_incarnation != m_options.m_incarnation) {
    ReplyRefusal(aArrived, outcome, RefusalReason::EarlierIncarnation);
    return std::nullopt;
  }
  auto found = m_flows.find(binding.m_flow);
  if (found != m_flows.end()) {
    if (found->second.m_service != forward.m_service) {
      ReplyRefusal(aArrived, Outcome::NotRun, RefusalReason::WrongServiceToken);
      return std::nullopt;
    }
    return binding.m_flow;
  }
  bool mayAdopt = forward.m_mode == ForwardMode::Adopt &&
                  !m_endedAdoptedFlows.contains(binding.m_flow);
  if (!mayAdopt) {
    ReplyRefusal(aArrived, outcome, RefusalReason::FlowExpired);
    return std::nullopt;
  }
  OpenFlow(forward, binding.m_flow);
  m_flows.at(binding.m_flow).m_isAdopted = true;
  return binding.m_flow;
}

std::optional<uint64_t>
AgentCore::ResolveUnbound(const ForwardArrived& aArrived)
{
  const Forward& forward = aArrived.m_forward;
  if (forward.m_mode == ForwardMode::IfOwner) {
    auto found = m_flowIdByKey.find({ forward.m_service, forward.m_flowKey });
    if (found != m_flowIdByKey.end()) {
      return found->second;
    }
    ReplyRefusal(aArrived, Outcome::NotRun, RefusalReason::NotOwner);
    return std::nullopt;
  }
  if (IsDraining()) {
    ReplyRefusal(aArrived, Outcome::NotRun, RefusalReason::Draining);
    return std::nullopt;
  }
  if (m_flows.size() >= m_options.m_maxFlows) {
    ReplyRefusal(aArrived,
                 Outcome::NotRun,
                 RefusalReason::QueueFull,
                 0,
                 kFlowSweepInterval);
    return std::nullopt;
  }
  // A caller's port may be reused for a new flow, so a request that opens a
  // flow never continues an existing flow with the same key.
  uint64_t flowId = DeriveFlowId(m_nextFlow++);
  OpenFlow(forward, flowId);
  return flowId;
}

uint64_t
AgentCore::DeriveFlowId(uint64_t aNumber) const
{
  return StableHash(m_journal.Origin(), aNumber);
}

void
AgentCore::OpenFlow(const Forward& aForward, uint64_t aFlowId)
{
  Flow& flow = m_flows[aFlowId];
  flow.m_service = aForward.m_service;
  flow.m_flowKey = aForward.m_flowKey;
  flow.m_lastSeen = m_now;
  m_flowIdByKey[{ flow.m_service, flow.m_flowKey }] = aFlowId;
}

bool
AgentCore::AnswerIfRepeat(const ForwardArrived& aArrived, uint64_t aFlowId)
{
  const Forward& forward = aArrived.m_forward;
  if (forward.m_requestId.empty()) {
    return false;
  }
  RequestKey key{ aFlowId, forward.m_requestId };
  LedgerEntry entry = m_ledger.Find(key);
  switch (entry.m_state) {
    case LedgerState::Absent:
      return false;
    case LedgerState::Refused:
      if (forward.m_attempt > entry.m_refusedAttempt) {
        return false;
      }
      ReplyRefusal(
        aArrived, Outcome::NotRun, RefusalReason::RefusedBefore, aFlowId);
      return true;
    case LedgerState::Pending:
      AddWaiter(aArrived, m_workByRequest.at(key));
      return true;
    case LedgerState::Lost:
      ReplyRefusal(
        aArrived, Outcome::Unknown, RefusalReason::ServerFailed, aFlowId);
      return true;
    case LedgerState::Served:
      break;
  }
  Answer answer;
  answer.m_outcome =
    entry.m_isAnswerKept ? Outcome::Served : Outcome::RanBefore;
  answer.m_answer = entry.m_answer;
  answer.m_binding = CurrentBinding(aFlowId);
  Reply({ aArrived.m_link, forward.m_stream }, std::move(answer));
  return true;
}

void
AgentCore::AddWaiter(const ForwardArrived& aArrived, uint64_t aWorkId)
{
  Work& work = m_works.at(aWorkId);
  Waiter waiter{ aArrived.m_link, aArrived.m_forward.m_stream };
  work.m_waiters.push_back(waiter);
  work.m_forward.m_attempt =
    std::max(work.m_forward.m_attempt, aArrived.m_forward.m_attempt);
  m_workByStream[{ waiter.m_link, waiter.m_stream }] = aWorkId;
}

bool
AgentCore::MoveIfDraining(const ForwardArrived& aArrived, uint64_t aFlowId)
{
  Flow& flow = m_flows.at(aFlowId);
  const Forward& forward = aArrived.m_forward;
  bool isGraceOver =
    m_drainSince && m_now - *m_drainSince >= m_options.m_drainGrace;
  if (!isGraceOver && flow.m_movedTo.m_server.empty()) {
    return false;
  }
  if (flow.m_movedTo.m_server.empty()) {
    bool hasAlternative = !forward.m_alternative.m_server.empty() &&
                          forward.m_alternative.m_server != m_options.m_server;
    if (!hasAlternative) {
      RefuseNew(aArrived, aFlowId, { RefusalReason::Draining, Duration{} });
      return true;
    }
    // The first forward after the grace time determines the new binding for
    // all balancers.
    flow.m_movedTo = forward.m_alternative;
    flow.m_movedTo.m_flow = DeriveFlowId(aFlowId);
  }
  ReplyRefusal(aArrived, Outcome::NotRun, RefusalReason::FlowMoved, aFlowId);
  return true;
}

void
AgentCore::Enqueue(const ForwardArrived& aArrived,
                   uint64_t aFlowId,
                   const TrafficClass& aClass)
{
  const Forward& forward = aArrived.m_forward;
  Flow& flow = m_flows.at(aFlowId);
  if (aClass.m_nonRepeatable && forward.m_requestId.empty()) {
    return ReplyRefusal(
      aArrived, Outcome::NotRun, RefusalReason::RequestIdMissing, aFlowId);
  }
  if (aClass.m_nonRepeatable && flow.m_rejectsNonRepeatable) {
    return ReplyRefusal(
      aArrived, Outcome::NotRun, RefusalReason::LedgerFull, aFlowId);
  }
  uint64_t workId = m_nextWork++;
  WorkItem item{ workId,
                 { forward.m_service, aClass.m_name },
                 m_now,
                 m_now + Milliseconds(forward.m_remainingMs) };
  if (auto refusal = m_queue.Offer(m_now, item)) {
    return RefuseNew(aArrived, aFlowId, *refusal);
  }
  RequestKey key{ aFlowId, forward.m_requestId };
  if (aClass.m_nonRepeatable && !m_ledger.Admit(key)) {
    m_queue.Remove(workId);
    return RefuseNew(aArrived, aFlowId, { RefusalReason::LedgerFull, {} });
  }
  Work work{ aFlowId, forward, item.m_class, item.m_deadline, {}, false, {} };
  work.m_forward.m_nonRepeatable = aClass.m_nonRepeatable;
  work.m_waiters.push_back({ aArrived.m_link, forward.m_stream });
  m_workByStream[{ aArrived.m_link, forward.m_stream }] = workId;
  if (aClass.m_nonRepeatable) {
    m_workByRequest[key] = workId;
  }
  flow.m_activeRequests += 1;
  RecordEvent(JournalEvent::Queued, workId, work);
  m_works.emplace(workId, std::move(work));
}

bool
AgentCore::RecordRefusal(const Forward& aForward, uint64_t aFlowId)
{
  // A delayed duplicate of this attempt may still arrive. It must not run
  // after the attempt was answered with "not run".
  bool isRecorded =
    m_ledger.Refuse({ aFlowId, aForward.m_requestId }, aForward.m_attempt);
  if (!isRecorded) {
    m_flows.at(aFlowId).m_rejectsNonRepeatable = true;
  }
  return isRecorded;
}

void
AgentCore::RefuseNew(const ForwardArrived& aArrived,
                     uint64_t aFlowId,
                     AdmissionRefusal aRefusal)
{
  const Forward& forward = aArrived.m_forward;
  if (!forward.m_requestId.empty()) {
    RecordRefusal(forward, aFlowId);
  }
  Work refused{ aFlowId, forward, { forward.m_service, forward.m_class },
                m_now,   {},      false,
                {} };
  RecordEvent(JournalEvent::Refused,
              m_nextWork++,
              refused,
              Outcome::NotRun,
              aRefusal.m_reason);
  ReplyRefusal(aArrived,
               Outcome::NotRun,
               aRefusal.m_reason,
               aFlowId,
               aRefusal.m_retryAfter);
}

void
AgentCore::RefuseQueued(uint64_t aWorkId, RefusalReason aReason)
{
  const Work& work = m_works.at(aWorkId);
  if (work.m_forward.m_nonRepeatable) {
    RecordRefusal(work.m_forward, work.m_flow);
  }
  RecordEvent(JournalEvent::Refused, aWorkId, work, Outcome::NotRun, aReason);
  Answer answer;
  answer.m_outcome = Outcome::NotRun;
  answer.m_reason = aReason;
  answer.m_retryAfterMs = ToMilliseconds(m_queue.PredictedWait(work.m_class));
  answer.m_binding = CurrentBinding(work.m_flow);
  EndWork(aWorkId, answer);
}

void
AgentCore::StartQueued()
{
  while (auto item = m_queue.StartNext()) {
    Work& work = m_works.at(item->m_id);
    work.m_isRunning = true;
    work.m_startedAt = m_now;
    RecordEvent(JournalEvent::Started, item->m_id, work);
    m_actions.emplace_back(StartWork{
      item->m_id, work.m_deadline - m_now, work.m_forward.m_request });
  }
}

void
AgentCore::Handle(const WorkEnded& aEnded)
{
  auto found = m_works.find(aEnded.m_work);
  BILBERRY_ASSERT(found != m_works.end() && found->second.m_isRunning,
                  "work " << aEnded.m_work << " is not running");
  const Work& work = found->second;
  RequestKey key{ work.m_flow, work.m_forward.m_requestId };
  bool isNonRepeatable = work.m_forward.m_nonRepeatable;
  Answer answer;
  answer.m_binding = CurrentBinding(work.m_flow);
  switch (aEnded.m_end) {
    case WorkEnd::Answered:
      m_queue.OnFinished(work.m_class, m_now - work.m_startedAt);
      answer.m_outcome = Outcome::Served;
      answer.m_answer = aEnded.m_answer;
      m_served += 1;
      if (isNonRepeatable) {
        m_ledger.Complete(key, aEnded.m_answer);
      }
      break;
    case WorkEnd::NotSent:
      m_queue.OnAborted(work.m_class);
      answer.m_outcome = Outcome::NotRun;
      answer.m_reason = RefusalReason::ServerUnreachable;
      if (isNonRepeatable) {
        RecordRefusal(work.m_forward, work.m_flow);
      }
      break;
    case WorkEnd::Lost:
      m_queue.OnAborted(work.m_class);
      answer.m_outcome = Outcome::Unknown;
      answer.m_reason = RefusalReason::ServerFailed;
      if (isNonRepeatable) {
        m_ledger.MarkLost(key);
      }
      break;
  }
  RecordEvent(JournalEvent::Ended,
              aEnded.m_work,
              work,
              answer.m_outcome,
              answer.m_reason);
  EndWork(aEnded.m_work, answer);
}

void
AgentCore::EndWork(uint64_t aWorkId, const Answer& aAnswer)
{
  auto found = m_works.find(aWorkId);
  Work work = std::move(found->second);
  m_works.erase(found);
  m_workByRequest.erase({ work.m_flow, work.m_forward.m_requestId });
  m_flows.at(work.m_flow).m_activeRequests -= 1;
  m_flows.at(work.m_flow).m_lastSeen = m_now;
  for (const Waiter& waiter : work.m_waiters) {
    m_workByStream.erase({ waiter.m_link, waiter.m_stream });
    if (aAnswer.m_outcome != Outcome::Served) {
      m_refusals.Add(aAnswer.m_reason);
    }
    Reply(waiter, aAnswer);
  }
}

void
AgentCore::Handle(const CancelArrived& aArrived)
{
  Waiter waiter{ aArrived.m_link, aArrived.m_cancel.m_stream };
  auto found = m_workByStream.find({ waiter.m_link, waiter.m_stream });
  if (found == m_workByStream.end()) {
    return;
  }
  uint64_t workId = found->second;
  RemoveWaiter(workId, waiter);
  const Work& work = m_works.at(workId);
  if (!work.m_waiters.empty()) {
    return;
  }
  if (!work.m_isRunning) {
    m_queue.Remove(workId);
    RefuseQueued(workId, RefusalReason::CallerGone);
  } else if (!work.m_forward.m_nonRepeatable) {
    m_actions.emplace_back(CancelWork{ workId });
  }
}

void
AgentCore::Handle(const BalancerLinkLost& aLost)
{
  auto first = m_workByStream.lower_bound({ aLost.m_link, 0 });
  std::vector<std::pair<Waiter, uint64_t>> lost;
  for (; first != m_workByStream.end() && first->first.first == aLost.m_link;
       ++first) {
    lost.push_back(
      { Waiter{ aLost.m_link, first->first.second }, first->second });
  }
  for (const auto& [waiter, workId] : lost) {
    // A non-repeatable request keeps running: its caller retries with the same
    // request id to get the answer.
    if (m_works.at(workId).m_forward.m_nonRepeatable) {
      RemoveWaiter(workId, waiter);
    } else {
      Handle(CancelArrived{ waiter.m_link, Cancel{ waiter.m_stream } });
    }
  }
}

void
AgentCore::RemoveWaiter(uint64_t aWorkId, const Waiter& aWaiter)
{
  m_workByStream.erase({ aWaiter.m_link, aWaiter.m_stream });
  std::erase_if(m_works.at(aWorkId).m_waiters, [&](const Waiter& aOne) {
    return aOne.m_link == aWaiter.m_link && aOne.m_stream == aWaiter.m_stream;
  });
}

void
AgentCore::ExpireIdleFlows()
{
  if (m_now < m_nextSweep) {
    return;
  }
  m_nextSweep = m_now + kFlowSweepInterval;
  for (auto entry = m_flows.begin(); entry != m_flows.end();) {
    const auto& [flowId, flow] = *entry;
    const ServiceConfig* service = m_config->FindByName(flow.m_service);
    Duration lifetime =
      service ? service->m_flowLifetime : ServiceConfig().m_flowLifetime;
    if (flow.m_activeRequests > 0 || m_now - flow.m_lastSeen <= lifetime) {
      ++entry;
      continue;
    }
    m_ledger.EndFlow(flowId);
    if (flow.m_isAdopted) {
      m_endedAdoptedFlows.insert(flowId);
    }
    auto name = m_flowIdByKey.find({ flow.m_service, flow.m_flowKey });
    if (name != m_flowIdByKey.end() && name->second == flowId) {
      m_flowIdByKey.erase(name);
    }
    entry = m_flows.erase(entry);
  }
}

void
AgentCore::SetQueueTimer()
{
  if (auto next = m_queue.NextInfeasibleAt()) {
    m_actions.emplace_back(SetAgentTimer{ *next });
  }
}

Binding
AgentCore::CurrentBinding(uint64_t aFlowId) const
{
  auto found = m_flows.find(aFlowId);
  if (found == m_flows.end()) {
    return {};
  }
  if (!found->second.m_movedTo.m_server.empty()) {
    return found->second.m_movedTo;
  }
  return {
    m_options.m_server, m_options.m_address, m_options.m_incarnation, aFlowId
  };
}

void
AgentCore::Reply(const Waiter& aWaiter, Answer aAnswer)
{
  aAnswer.m_stream = aWaiter.m_stream;
  aAnswer.m_load = Load();
  m_actions.emplace_back(SendAnswer{ aWaiter.m_link, std::move(aAnswer) });
}

void
AgentCore::ReplyRefusal(const ForwardArrived& aArrived,
                        Outcome aOutcome,
                        RefusalReason aReason,
                        uint64_t aFlowId,
                        Duration aRetryAfter)
{
  m_refusals.Add(aReason);
  Answer answer;
  answer.m_outcome = aOutcome;
  answer.m_reason = aReason;
  answer.m_retryAfterMs = ToMilliseconds(aRetryAfter);
  answer.m_binding = CurrentBinding(aFlowId);
  Reply({ aArrived.m_link, aArrived.m_forward.m_stream }, std::move(answer));
}

void
AgentCore::RecordEvent(JournalEvent aEvent,
                       uint64_t aItem,
                       const Work& aWork,
                       Outcome aOutcome,
                       RefusalReason aReason)
{
  JournalRecord record;
  record.m_atUs = m_now.time_since_epoch().count();
  record.m_event = aEvent;
  record.m_item = aItem;
  record.m_service = aWork.m_class.m_service;
  record.m_class = aWork.m_class.m_class;
  record.m_flow = aWork.m_flow;
  record.m_requestId = aWork.m_forward.m_requestId;
  record.m_outcome = aOutcome;
  record.m_reason = aReason;
  m_journal.Append(std::move(record));
}

} // namespace bilberryfield
