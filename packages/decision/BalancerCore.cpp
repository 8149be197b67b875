#include "BalancerCore.h"

#include <algorithm>
#include <cmath>

namespace bilberryfield {

namespace {

constexpr size_t kPrimaryCandidates = 2;

ServerRef
RefOf(const Binding& aBinding)
{
  return { aBinding.m_server, aBinding.m_address, aBinding.m_incarnation, 1 };
}

Binding
BindingOf(const ServerRef& aServer)
{
  return { aServer.m_id, aServer.m_address, aServer.m_incarnation, 0 };
}

bool
ContainsServer(const ServerList& aServers, const std::string& aId)
{
  return std::any_of(
    aServers.begin(), aServers.end(), [&](const ServerRef& aServer) {
      return aServer.m_id == aId;
    });
}

// True if the agent keeps refusing this attempt, so that no duplicate of it
// can run later.
bool
IsPermanentRefusal(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Draining:
    case RefusalReason::QueueFull:
    case RefusalReason::WaitTooLong:
    case RefusalReason::DeadlinePassed:
    case RefusalReason::LedgerFull:
    case RefusalReason::RefusedBefore:
    case RefusalReason::ServerUnreachable:
    case RefusalReason::CallerGone:
      return true;
    default:
      return false;
  }
}

void
AppendMissing(ServerList& aServers, const ServerList& aMore)
{
  for (const ServerRef& server : aMore) {
    if (!ContainsServer(aServers, server.m_id)) {
      aServers.push_back(server);
    }
  }
}

} // namespace

BalancerCore::BalancerCore(Options aOptions, uint64_t aSeed)
  : m_options(aOptions)
  , m_random(aSeed)
  , m_nextStream(m_random())
  , m_config(std::make_shared<ConfigSnapshot>())
  , m_budget(aOptions.m_retryRatio, aOptions.m_retryBurst)
{
}

BalancerCore::Actions
BalancerCore::OnEvent(TimePoint aNow, const BalancerEvent& aEvent)
{
  m_now = aNow;
  m_actions.clear();
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  return std::move(m_actions);
}

void
BalancerCore::Handle(const ConfigChanged& aChanged)
{
  m_config = aChanged.m_config;
  m_directory.Update(*m_config, m_members);
}

void
BalancerCore::Handle(const MembersChanged& aChanged)
{
  m_members = aChanged.m_members;
  m_directory.Update(*m_config, m_members);
}

void
BalancerCore::Handle(const StalenessChanged& aChanged)
{
  m_isStale = aChanged.m_isStale;
}

void
BalancerCore::Handle(const CallerRequest& aRequest)
{
  BILBERRY_ASSERT(!m_pending.contains(aRequest.m_id),
                  "request " << aRequest.m_id << " is already pending");
  Pending& pending = m_pending[aRequest.m_id];
  pending.m_request = aRequest;
  pending.m_deadline = m_now;
  if (m_config->m_version == 0 || m_isStale) {
    pending.m_retryAfterMs = m_isStale ? m_options.m_staleRetryAfterMs
                                       : m_options.m_noServerRetryAfterMs;
    return Refuse(pending, Outcome::NotRun, RefusalReason::NotReady);
  }
  const ServiceConfig* service =
    m_config->FindByAddress(aRequest.m_serviceAddress);
  if (!service) {
    return Refuse(pending, Outcome::NotRun, RefusalReason::UnknownService);
  }
  pending.m_service = service->m_name;
  pending.m_class = service->m_classes[service->ClassIndex(aRequest.m_class)];
  Duration limit = pending.m_class.m_deadline;
  if (aRequest.m_timeoutMs > 0) {
    limit = std::min<Duration>(limit, Milliseconds(aRequest.m_timeoutMs));
  }
  pending.m_deadline = m_now + limit;
  if (pending.m_class.m_nonRepeatable && aRequest.m_requestId.empty()) {
    return Refuse(pending, Outcome::NotRun, RefusalReason::RequestIdMissing);
  }
  m_deadlines.emplace(pending.m_deadline, aRequest.m_id);
  m_actions.emplace_back(SetTimer{ pending.m_deadline });
  m_budget.OnFirstAttempt();
  if (aRequest.m_token.empty()) {
    StartUnbound(pending);
  } else {
    StartBound(pending);
  }
}

void
BalancerCore::StartBound(Pending& aPending)
{
  Result<FlowToken> token =
    OpenFlowToken(m_config->m_keys, aPending.m_request.m_token);
  if (!token) {
    return Refuse(aPending, Outcome::NotRun, RefusalReason::BadToken);
  }
  if (token->m_service != aPending.m_service) {
    return Refuse(aPending, Outcome::NotRun, RefusalReason::WrongServiceToken);
  }
  // The token contains the agent's address, so a balancer that has just
  // started and has no member records yet can forward established flows.
  aPending.m_candidates =
    OrderedCandidates(aPending.m_service, aPending.m_request.m_flowKey);
  std::erase_if(aPending.m_candidates, [&](const ServerRef& aServer) {
    return aServer.m_id == token->m_binding.m_server;
  });
  SendTry(
    aPending,
    Try{ 0, RefOf(token->m_binding), token->m_binding, ForwardMode::Bound });
}

void
BalancerCore::StartUnbound(Pending& aPending)
{
  aPending.m_candidates =
    OrderedCandidates(aPending.m_service, aPending.m_request.m_flowKey);
  if (aPending.m_class.m_nonRepeatable) {
    // A retry of this request is only recognized if the caller holds a token
    // for the flow, so the token is issued before the request runs.
    return TryNext(aPending, ForwardMode::Bind);
  }
  bool opensFlow = aPending.m_request.m_sequence == 0;
  if (!opensFlow) {
    const ServerList& earlier =
      m_directory.PreviousServersOf(aPending.m_service);
    AppendMissing(aPending.m_candidates,
                  RendezvousCandidates(
                    aPending.m_request.m_flowKey, earlier, kPrimaryCandidates));
  }
  TryNext(aPending, opensFlow ? ForwardMode::Open : ForwardMode::IfOwner);
}

double
BalancerCore::LoadPerSlot(const ServerRef& aServer) const
{
  auto found = m_serverStats.find(aServer.m_address);
  if (found == m_serverStats.end()) {
    return 0.0;
  }
  const ServerStats& view = found->second;
  double load = view.m_waiting;
  if (m_now - view.m_loadReceivedAt < m_options.m_maxLoadReportAge) {
    double reported = view.m_load.m_running + view.m_load.m_queued;
    load = std::max(load, reported);
  }
  // A server that fails requests finishes them quickly and appears idle.
  // Counting its failures as load keeps it from attracting all new flows.
  load += DecayedFailures(view);
  return load / std::max<uint32_t>(1, aServer.m_slots);
}

double
BalancerCore::DecayedFailures(const ServerStats& aView) const
{
  double halfLives = static_cast<double>((m_now - aView.m_failuresAt).count()) /
                     static_cast<double>(m_options.m_failureHalfLife.count());
  return aView.m_failures * std::exp2(-halfLives);
}

void
BalancerCore::OnServerFailed(Pending& aPending)
{
  ServerStats& view = m_serverStats[aPending.m_try.m_server.m_address];
  view.m_failures = DecayedFailures(view) + 1.0;
  view.m_failuresAt = m_now;
  aPending.m_mayHaveRun = true;
  aPending.m_lastReason = RefusalReason::ServerFailed;
  RetryElsewhere(aPending, RetryReason::ServerFailed);
}

ServerList
BalancerCore::OrderedCandidates(const std::string& aService,
                                const std::string& aFlowKey) const
{
  const ServerList& servers = m_directory.ServersOf(aService);
  // Every balancer computes the same two primary candidates for a flow, so a
  // request sent before the caller received its token reaches the flow at one
  // of them. The other servers are tried only if both refuse.
  ServerList candidates =
    RendezvousCandidates(aFlowKey, servers, servers.size());
  auto primaryEnd =
    candidates.begin() +
    static_cast<ptrdiff_t>(std::min(kPrimaryCandidates, candidates.size()));
  std::stable_sort(candidates.begin(),
                   primaryEnd,
                   [&](const ServerRef& aLeft, const ServerRef& aRight) {
                     return LoadPerSlot(aLeft) < LoadPerSlot(aRight);
                   });
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const ServerRef& aServer) {
      auto view = m_serverStats.find(aServer.m_address);
      return view == m_serverStats.end() || view->second.m_avoidUntil <= m_now;
    });
  return candidates;
}

ServerList
BalancerCore::Explain(const std::string& aService,
                      const std::string& aFlowKey) const
{
  return OrderedCandidates(aService, aFlowKey);
}

void
BalancerCore::TryNext(Pending& aPending, ForwardMode aMode)
{
  bool hasNoTriesLeft = aPending.m_tries >= m_options.m_maxTries;
  if (aPending.m_candidates.empty() || hasNoTriesLeft) {
    return GiveUp(aPending);
  }
  ServerRef server = aPending.m_candidates.front();
  aPending.m_candidates.erase(aPending.m_candidates.begin());
  SendTry(aPending, Try{ 0, server, BindingOf(server), aMode });
}

void
BalancerCore::SendTry(Pending& aPending, Try aTry)
{
  aTry.m_stream = m_nextStream++;
  aPending.m_try = aTry;
  aPending.m_tries += 1;
  m_callerByStream[aTry.m_stream] = aPending.m_request.m_id;
  m_streamsByLink[{ aTry.m_server.m_address, aPending.m_class.m_work }].insert(
    aTry.m_stream);
  m_serverStats[aTry.m_server.m_address].m_waiting += 1;

  Forward forward;
  forward.m_stream = aTry.m_stream;
  forward.m_service = aPending.m_service;
  forward.m_serviceAddress = aPending.m_request.m_serviceAddress;
  forward.m_flowKey = aPending.m_request.m_flowKey;
  forward.m_mode = aTry.m_mode;
  forward.m_binding = aTry.m_binding;
  if (!aPending.m_candidates.empty()) {
    forward.m_alternative = BindingOf(aPending.m_candidates.front());
  }
  forward.m_class = aPending.m_class.m_name;
  forward.m_nonRepeatable = aPending.m_class.m_nonRepeatable;
  forward.m_requestId = aPending.m_request.m_requestId;
  forward.m_attempt = aPending.m_request.m_attempt;
  forward.m_remainingMs = ToMilliseconds(aPending.m_deadline - m_now);
  if (aTry.m_mode != ForwardMode::Bind) {
    forward.m_request = aPending.m_request.m_request;
  }
  m_actions.emplace_back(SendForward{
    aTry.m_server.m_address, aPending.m_class.m_work, std::move(forward) });
}

void
BalancerCore::EndTry(Pending& aPending)
{
  const Try& ended = aPending.m_try;
  if (m_callerByStream.erase(ended.m_stream) == 0) {
    return;
  }
  auto streams =
    m_streamsByLink.find({ ended.m_server.m_address, aPending.m_class.m_work });
  streams->second.erase(ended.m_stream);
  if (streams->second.empty()) {
    m_streamsByLink.erase(streams);
  }
  m_serverStats[ended.m_server.m_address].m_waiting -= 1;
}

BalancerCore::Pending*
BalancerCore::FindByStream(uint64_t aStream)
{
  auto caller = m_callerByStream.find(aStream);
  if (caller == m_callerByStream.end()) {
    return nullptr;
  }
  return &m_pending.at(caller->second);
}

void
BalancerCore::Handle(const AgentAnswer& aAnswer)
{
  const Answer& answer = aAnswer.m_answer;
  ServerStats& view = m_serverStats[aAnswer.m_address];
  view.m_load = answer.m_load;
  view.m_loadReceivedAt = m_now;
  // Ignores an answer that arrives after its stream ended, and one from an
  // address to which the stream was not sent.
  Pending* pending = FindByStream(answer.m_stream);
  if (!pending || pending->m_try.m_server.m_address != aAnswer.m_address) {
    return;
  }
  EndTry(*pending);
  if (answer.m_outcome == Outcome::Served) {
    CallerAnswer final;
    final.m_outcome = Outcome::Served;
    final.m_answer = answer.m_answer;
    final.m_token = TokenFor(*pending, answer.m_binding);
    final.m_server = pending->m_try.m_server.m_id;
    return Finish(*pending, std::move(final));
  }
  pending->m_retryAfterMs = answer.m_retryAfterMs;
  OnRefused(*pending, answer);
}

void
BalancerCore::OnRefused(Pending& aPending, const Answer& aAnswer)
{
  if (aAnswer.m_reason == RefusalReason::ServerFailed) {
    return OnServerFailed(aPending);
  }
  if (aAnswer.m_outcome != Outcome::NotRun) {
    return Refuse(aPending, aAnswer.m_outcome, aAnswer.m_reason);
  }
  aPending.m_lastReason = aAnswer.m_reason;
  aPending.m_isProvenNotRun = IsPermanentRefusal(aAnswer.m_reason);
  bool isBound = aPending.m_try.m_mode == ForwardMode::Bound ||
                 aPending.m_try.m_mode == ForwardMode::Adopt;
  switch (aAnswer.m_reason) {
    case RefusalReason::BindFirst: {
      CallerAnswer final;
      final.m_outcome = Outcome::NotRun;
      final.m_reason = RefusalReason::BindFirst;
      final.m_token = TokenFor(aPending, aAnswer.m_binding);
      final.m_server = aPending.m_try.m_server.m_id;
      return Finish(aPending, std::move(final));
    }
    case RefusalReason::FlowMoved:
      return OnFlowMoved(aPending, aAnswer);
    case RefusalReason::NotOwner:
    case RefusalReason::NotReady:
      return RetryElsewhere(aPending, RetryReason::NotOwner);
    case RefusalReason::Draining:
      if (isBound && aPending.m_class.m_nonRepeatable) {
        return Refuse(aPending, Outcome::NotRun, aAnswer.m_reason);
      }
      return RetryElsewhere(aPending, RetryReason::Draining);
    case RefusalReason::EarlierIncarnation:
    case RefusalReason::FlowExpired:
      return RetryElsewhere(aPending, RetryReason::EarlierIncarnation);
    case RefusalReason::QueueFull:
    case RefusalReason::WaitTooLong:
    case RefusalReason::ServerUnreachable:
      if (!isBound) {
        return RetryElsewhere(aPending, RetryReason::Overloaded);
      }
      return Refuse(aPending, Outcome::NotRun, aAnswer.m_reason);
    default:
      return Refuse(aPending, Outcome::NotRun, aAnswer.m_reason);
  }
}

void
BalancerCore::OnFlowMoved(Pending& aPending, const Answer& aAnswer)
{
  // The draining agent has recorded this new binding and returns it to every
  // balancer, so a retry cannot run at two servers.
  m_retries.Add(RetryReason::Draining);
  if (aPending.m_tries >= m_options.m_maxTries) {
    return GiveUp(aPending);
  }
  std::erase_if(aPending.m_candidates, [&](const ServerRef& aServer) {
    return aServer.m_id == aAnswer.m_binding.m_server;
  });
  SendTry(
    aPending,
    Try{ 0, RefOf(aAnswer.m_binding), aAnswer.m_binding, ForwardMode::Adopt });
}

void
BalancerCore::RetryElsewhere(Pending& aPending, RetryReason aReason)
{
  if (aPending.m_class.m_nonRepeatable &&
      aPending.m_try.m_mode != ForwardMode::Bind) {
    // This forward did not run, but an earlier forward of the same attempt
    // may have.
    return Refuse(aPending, Outcome::Unknown, aPending.m_lastReason);
  }
  // A retry consumes the retry budget only if the failed try put load on a
  // server.
  bool causedLoad = aReason == RetryReason::Overloaded ||
                    aReason == RetryReason::LinkLost ||
                    aReason == RetryReason::ServerFailed;
  if (causedLoad && !m_budget.TryTake()) {
    return GiveUp(aPending);
  }
  m_retries.Add(aReason);
  ForwardMode mode = ForwardMode::Open;
  if (aPending.m_try.m_mode == ForwardMode::Bind) {
    mode = ForwardMode::Bind;
  } else if (aPending.m_try.m_mode == ForwardMode::IfOwner &&
             !aPending.m_candidates.empty()) {
    mode = ForwardMode::IfOwner;
  }
  bool wasOwnerSearch =
    mode == ForwardMode::Open && aPending.m_try.m_mode == ForwardMode::IfOwner;
  if (wasOwnerSearch || aReason == RetryReason::EarlierIncarnation) {
    // No server owns the flow: its first request was lost, or its server
    // restarted or left. Any server may take it, including a restarted one.
    aPending.m_candidates =
      OrderedCandidates(aPending.m_service, aPending.m_request.m_flowKey);
  }
  TryNext(aPending, mode);
}

void
BalancerCore::Handle(const ForwardNotSent& aNotSent)
{
  Pending* pending = FindByStream(aNotSent.m_stream);
  if (!pending) {
    return;
  }
  m_serverStats[pending->m_try.m_server.m_address].m_avoidUntil =
    m_now + m_options.m_avoidDuration;
  EndTry(*pending);
  OnForwardLost(*pending, RetryReason::NotSent);
}

void
BalancerCore::Handle(const AgentLinkLost& aLost)
{
  auto found = m_streamsByLink.find({ aLost.m_address, aLost.m_work });
  if (found == m_streamsByLink.end()) {
    return;
  }
  m_serverStats[aLost.m_address].m_avoidUntil =
    m_now + m_options.m_avoidDuration;
  std::set<uint64_t> lost = found->second;
  for (uint64_t stream : lost) {
    if (Pending* pending = FindByStream(stream)) {
      EndTry(*pending);
      pending->m_mayHaveRun |= pending->m_try.m_mode != ForwardMode::Bind;
      OnForwardLost(*pending, RetryReason::LinkLost);
    }
  }
}

void
BalancerCore::OnForwardLost(Pending& aPending, RetryReason aReason)
{
  aPending.m_lastReason = aReason == RetryReason::NotSent
                            ? RefusalReason::ServerUnreachable
                            : RefusalReason::LinkLost;
  RetryElsewhere(aPending, aReason);
}

void
BalancerCore::GiveUp(Pending& aPending)
{
  RefusalReason reason = aPending.m_lastReason;
  if (reason == RefusalReason::None || reason == RefusalReason::NotOwner) {
    reason = RefusalReason::NoServer;
  }
  if (aPending.m_retryAfterMs == 0) {
    aPending.m_retryAfterMs = m_options.m_noServerRetryAfterMs;
  }
  Refuse(aPending, Outcome::NotRun, reason);
}

void
BalancerCore::Handle(const CallerGone& aGone)
{
  auto found = m_pending.find(aGone.m_id);
  if (found == m_pending.end()) {
    return;
  }
  bool isWaiting = m_callerByStream.contains(found->second.m_try.m_stream);
  Refuse(found->second,
         isWaiting ? Outcome::Unknown : Outcome::NotRun,
         RefusalReason::CallerGone);
}

void
BalancerCore::Handle(const TimerExpired& /*aWake*/)
{
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
    uint64_t id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    auto found = m_pending.find(id);
    if (found != m_pending.end()) {
      Refuse(found->second, Outcome::Unknown, RefusalReason::DeadlinePassed);
    }
  }
  // The caller of OnEvent keeps only one timer, so the next one is set here.
  if (!m_deadlines.empty()) {
    m_actions.emplace_back(SetTimer{ m_deadlines.begin()->first });
  }
}

int64_t
BalancerCore::AddJitter(int64_t aRetryAfterMs)
{
  // Prevents callers that were refused at the same time from retrying at the
  // same time.
  std::uniform_int_distribution<int64_t> extra(0, aRetryAfterMs / 2);
  return aRetryAfterMs + extra(m_random);
}

bool
BalancerCore::MayRepeatEarlierRun(const Pending& aPending) const
{
  // A request with a token and a request id may be a retry of a request that
  // ran. Only the agent that the token names can rule this out.
  bool mayBeRetry = !aPending.m_request.m_token.empty() &&
                    !aPending.m_request.m_requestId.empty();
  return mayBeRetry && !aPending.m_isProvenNotRun;
}

void
BalancerCore::Refuse(Pending& aPending, Outcome aOutcome, RefusalReason aReason)
{
  CallerAnswer answer;
  // "Not run" must be true of every try of this request, including tries
  // that were lost before the last one.
  bool isUncertain = aOutcome == Outcome::NotRun &&
                     (aPending.m_mayHaveRun || MayRepeatEarlierRun(aPending));
  answer.m_outcome = isUncertain ? Outcome::Unknown : aOutcome;
  answer.m_reason = aReason;
  answer.m_retryAfterMs = AddJitter(aPending.m_retryAfterMs);
  answer.m_server = aPending.m_try.m_server.m_id;
  m_refusals.Add(aReason);
  Finish(aPending, std::move(answer));
}

void
BalancerCore::Finish(Pending& aPending, CallerAnswer aAnswer)
{
  uint64_t id = aPending.m_request.m_id;
  uint64_t stream = aPending.m_try.m_stream;
  if (m_callerByStream.contains(stream)) {
    m_actions.emplace_back(SendCancel{ aPending.m_try.m_server.m_address,
                                       aPending.m_class.m_work,
                                       Cancel{ stream } });
    EndTry(aPending);
  }
  m_deadlines.erase({ aPending.m_deadline, id });
  m_actions.emplace_back(AnswerCaller{
    id, aPending.m_service, aPending.m_class.m_name, std::move(aAnswer) });
  m_pending.erase(id);
}

std::string
BalancerCore::TokenFor(const Pending& aPending, const Binding& aBinding) const
{
  if (aBinding.m_server.empty() || m_config->m_keys.empty()) {
    return {};
  }
  return SealFlowToken(m_config->m_keys, { aPending.m_service, aBinding });
}

} // namespace bilberryfield
