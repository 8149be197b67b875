#include "FakeSystem.h"

#include "Audit.h"

#include <stdexcept>

namespace bilberryfield {

namespace {

constexpr Milliseconds kDeadline{ 2000 };
constexpr Milliseconds kDrainGrace{ 500 };
constexpr Seconds kFlowLifetime{ 10 };
// A link id encodes the balancer's generation, the link's generation and the
// balancer's index as digits of this base.
constexpr uint64_t kLinkIdRadix = 1000;
const std::array<std::string, 2> kServices = { "catalogue", "images" };

void
Check(bool aCondition, const std::string& aMessage)
{
  if (!aCondition) {
    throw std::runtime_error(aMessage);
  }
}

std::string
AddressOf(const std::string& aService)
{
  return aService == "catalogue" ? "10.0.0.1:80" : "10.0.0.2:80";
}

ConfigPointer
MakeConfig()
{
  ConfigDelta delta;
  delta.m_toVersion = 1;
  delta.m_keys = { MakeTokenKey(1, std::string(32, 'k')) };
  for (const std::string& name : kServices) {
    ServiceConfig service;
    service.m_name = name;
    service.m_address = AddressOf(name);
    service.m_labels = { name };
    service.m_defaultClass = "read";
    service.m_flowLifetime = kFlowLifetime;
    service.m_classes = {
      { .m_name = "read", .m_deadline = kDeadline, .m_queueLimit = 3 },
      { .m_name = "once",
        .m_nonRepeatable = true,
        .m_deadline = kDeadline,
        .m_queueLimit = 3 }
    };
    delta.m_entries.push_back({ service, 1, false });
  }
  ConfigState state;
  state.Apply(delta);
  return state.Current();
}

// Body of a request: "service id attempt". The fake servers echo it.
std::string
BodyOf(const std::string& aService, const std::string& aId, uint32_t aAttempt)
{
  return aService + " " + aId + " " + std::to_string(aAttempt);
}

WorkEnd
WorkEndFrom(size_t aNumber)
{
  switch (aNumber % 8) {
    case 0:
      return WorkEnd::Lost;
    case 1:
      return WorkEnd::NotSent;
    default:
      return WorkEnd::Answered;
  }
}

} // namespace

FakeSystem::FakeSystem()
  : m_config(MakeConfig())
  , m_balancers(kBalancers)
  , m_agents(kAgents)
  , m_balancerGeneration(kBalancers)
  , m_agentGeneration(kAgents)
  , m_drainSince(kAgents)
  , m_callers(kCallers)
{
  for (size_t i = 0; i < kAgents; ++i) {
    StartAgent(i);
  }
  for (size_t i = 0; i < kBalancers; ++i) {
    StartBalancer(i);
  }
  for (size_t i = 0; i < kCallers; ++i) {
    m_callers[i].m_service = kServices[i % kServices.size()];
  }
}

MemberRecord
FakeSystem::RecordOf(size_t aAgent) const
{
  MemberRecord record;
  record.m_id = "agent-" + std::to_string(aAgent);
  record.m_address = "127.0.0.1:" + std::to_string(aAgent + 1);
  record.m_labels = { kServices[aAgent % kServices.size()] };
  record.m_incarnation = m_agentGeneration[aAgent];
  record.m_slots = 1;
  return record;
}

size_t
FakeSystem::AgentAt(const std::string& aAddress) const
{
  return std::stoul(aAddress.substr(aAddress.find(':') + 1)) - 1;
}

uint64_t
FakeSystem::LinkOf(size_t aBalancer, size_t aAgent) const
{
  auto found = m_linkGeneration.find({ aBalancer, aAgent });
  uint64_t life = found == m_linkGeneration.end() ? 0 : found->second;
  uint64_t start = m_balancerGeneration[aBalancer] * kLinkIdRadix + life;
  return start * kLinkIdRadix + aBalancer;
}

void
FakeSystem::StartBalancer(size_t aIndex)
{
  m_balancerGeneration[aIndex] = m_nextGeneration++;
  m_balancers[aIndex].emplace(BalancerCore::Options{},
                              m_balancerGeneration[aIndex]);
  DispatchToBalancer(aIndex, ConfigChanged{ m_config });
  SendMembers();
}

void
FakeSystem::StartAgent(size_t aIndex)
{
  m_agentGeneration[aIndex] = m_nextGeneration++;
  m_drainSince[aIndex].reset();
  MemberRecord record = RecordOf(aIndex);
  AgentOptions options;
  options.m_server = record.m_id;
  options.m_address = record.m_address;
  options.m_incarnation = record.m_incarnation;
  options.m_labels = record.m_labels;
  options.m_admission.m_slots = 1;
  options.m_maxLedgerEntries = 6;
  options.m_drainGrace = kDrainGrace;
  m_agents[aIndex].emplace(options);
  DispatchToAgent(aIndex, AgentConfigChanged{ m_config });
}

void
FakeSystem::SendMembers()
{
  std::vector<MemberRecord> records;
  for (size_t i = 0; i < kAgents; ++i) {
    records.push_back(RecordOf(i));
    if (m_drainSince[i]) {
      records.back().m_state = MemberState::Draining;
    }
  }
  for (size_t i = 0; i < kBalancers; ++i) {
    if (m_balancers[i]) {
      DispatchToBalancer(i, MembersChanged{ records });
    }
  }
}

void
FakeSystem::Run(const FakeStep& aStep, const FakeFaults& aFaults)
{
  // The number of entries of a kind determines how often it is selected.
  using enum FakeActionKind;
  static constexpr std::array kKinds = {
    Submit,  Submit,      Submit,       Submit,    Submit,  Resubmit,
    Deliver, Deliver,     Deliver,      Deliver,   Deliver, Deliver,
    Deliver, Deliver,     End,          End,       End,     End,
    Advance, LoseLink,    KillBalancer, KillAgent, Drain,   UpdateMembers,
    Stale,   MisuseToken, Idle,
  };
  Perform(
    { kKinds[aStep.m_kind % kKinds.size()], aStep.m_first, aStep.m_second },
    aFaults);
}

void
FakeSystem::Perform(const FakeAction& aAction, const FakeFaults& aFaults)
{
  using enum FakeActionKind;
  size_t first = aAction.m_first;
  size_t second = aAction.m_second;
  switch (aAction.m_kind) {
    case Submit:
      return SubmitRequest(first % kCallers, second % kBalancers, false);
    case Resubmit:
      return SubmitRequest(first % kCallers, second % kBalancers, true);
    case Deliver:
      return m_packets.empty() ? void()
                               : DeliverPacket(first % m_packets.size());
    case End:
      return m_running.empty()
               ? void()
               : EndRunning(first % m_running.size(), WorkEndFrom(second));
    case Advance:
      return AdvanceTime(Milliseconds(first % 400));
    case Idle:
      return first % 4 == 0 ? AdvanceTime(kFlowLifetime * 2) : void();
    case LoseLink:
      return LoseLinkBetween(first % kBalancers, second % kAgents);
    case KillBalancer:
      return aFaults.m_kills ? RestartBalancer(first % kBalancers) : void();
    case KillAgent:
      return aFaults.m_kills && second % 2 == 0 ? RestartAgent(first % kAgents)
                                                : void();
    case Drain:
      return aFaults.m_drains ? ToggleDrain(first % kAgents) : void();
    case Stale:
      return DispatchToBalancer(first % kBalancers,
                                StalenessChanged{ second % 3 == 0 });
    case MisuseToken:
      return SendMisusedToken(first % kCallers, second % kBalancers);
    case UpdateMembers:
      return SendMembers();
  }
}

void
FakeSystem::SendMisusedToken(size_t aCaller, size_t aBalancer)
{
  Caller misusing = m_callers[aCaller];
  misusing.m_service = kServices[misusing.m_service == kServices[0] ? 1 : 0];
  misusing.m_isNonRepeatable = false;
  SendRequest(misusing, aCaller, aBalancer);
}

void
FakeSystem::SubmitRequest(size_t aCaller, size_t aBalancer, bool aIsRepeat)
{
  Caller& caller = m_callers[aCaller];
  bool isWaiting = caller.m_awaitedSubmission != 0;
  if (isWaiting != aIsRepeat) {
    return;
  }
  if (isWaiting) {
    // The caller closes its connection and retries at another balancer with
    // the same token and request id.
    DisconnectCaller(aCaller);
  }
  caller.m_awaitedSubmission = m_nextSubmission;
  SendRequest(caller, aCaller, aBalancer);
}

void
FakeSystem::SendRequest(const Caller& aFrom, size_t aCaller, size_t aBalancer)
{
  Submission submission;
  submission.m_caller = aCaller;
  submission.m_isNonRepeatable = aFrom.m_isNonRepeatable;
  submission.m_service = aFrom.m_service;
  submission.m_balancer = aBalancer;
  submission.m_attempt = aFrom.m_attempt;
  submission.m_id = std::to_string(aCaller) + "/" +
                    std::to_string(aFrom.m_flow) + "/" +
                    std::to_string(aFrom.m_request);
  uint64_t id = m_nextSubmission++;
  if (!submission.m_isNonRepeatable) {
    submission.m_id += "/" + std::to_string(id);
  }
  CallerRequest request;
  request.m_id = id;
  request.m_serviceAddress = AddressOf(aFrom.m_service);
  request.m_flowKey =
    std::to_string(aCaller) + ":" + std::to_string(aFrom.m_flow);
  request.m_token = aFrom.m_token;
  request.m_class = submission.m_isNonRepeatable ? "once" : "read";
  request.m_requestId = submission.m_isNonRepeatable ? submission.m_id : "";
  request.m_attempt = submission.m_attempt;
  request.m_sequence = aFrom.m_sequence;
  request.m_request.m_body =
    BodyOf(aFrom.m_service, submission.m_id, submission.m_attempt);
  m_submissions[id] = submission;
  DispatchToBalancer(aBalancer, request);
}

void
FakeSystem::DisconnectCaller(size_t aCaller)
{
  m_submissions.at(m_callers[aCaller].m_awaitedSubmission).m_isDisconnected =
    true;
  m_callers[aCaller].m_awaitedSubmission = 0;
}

void
FakeSystem::DispatchToBalancer(size_t aBalancer, const BalancerEvent& aEvent)
{
  for (auto& action : m_balancers[aBalancer]->OnEvent(m_now, aEvent)) {
    if (auto* send = std::get_if<SendForward>(&action)) {
      size_t agent = AgentAt(send->m_address);
      m_packets.push_back({ aBalancer,
                            LinkOf(aBalancer, agent),
                            agent,
                            m_agentGeneration[agent],
                            send->m_forward });
    } else if (auto* cancel = std::get_if<SendCancel>(&action)) {
      size_t agent = AgentAt(cancel->m_address);
      m_packets.push_back({ aBalancer,
                            LinkOf(aBalancer, agent),
                            agent,
                            m_agentGeneration[agent],
                            cancel->m_cancel });
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
      OnAnswer(answer->m_id, answer->m_answer);
    }
  }
}

void
FakeSystem::DispatchToAgent(size_t aAgent, const AgentEvent& aEvent)
{
  for (auto& action : m_agents[aAgent]->OnEvent(m_now, aEvent)) {
    if (auto* start = std::get_if<StartWork>(&action)) {
      OnStart(aAgent, *start);
    } else if (auto* send = std::get_if<SendAnswer>(&action)) {
      m_packets.push_back({ send->m_link % kLinkIdRadix,
                            send->m_link,
                            aAgent,
                            m_agentGeneration[aAgent],
                            send->m_answer });
    }
  }
}

void
FakeSystem::OnStart(size_t aAgent, const StartWork& aStart)
{
  const std::string& body = aStart.m_request.m_body;
  Check(m_arrivedWithinGrace.contains({ m_agentGeneration[aAgent], body }),
        "an agent started this request after its drain grace time: " + body);
  size_t space = body.find(' ');
  size_t last = body.rfind(' ');
  std::string service = body.substr(0, space);
  std::string id = body.substr(space + 1, last - space - 1);
  auto attempt = static_cast<uint32_t>(std::stoul(body.substr(last + 1)));
  Check(service == kServices[aAgent % kServices.size()],
        "a request of service " + service +
          " reached a server of another service");
  auto denied = m_notRunAttempt.find(id);
  Check(denied == m_notRunAttempt.end() || denied->second < attempt,
        "request " + id + " started after it was answered with not run");
  m_started[id].push_back(attempt);
  // Each submission of a repeatable request has its own id, so only the id of
  // a non-repeatable request can start twice.
  bool isNonRepeatable = std::count(id.begin(), id.end(), '/') == 2;
  Check(!isNonRepeatable || m_started[id].size() == 1,
        "non-repeatable request " + id + " started twice");
  ++m_runs;
  m_running.push_back(
    { aAgent, m_agentGeneration[aAgent], aStart.m_work, body });
}

void
FakeSystem::OnAnswer(uint64_t aSubmission, const CallerAnswer& aAnswer)
{
  Submission& submission = m_submissions.at(aSubmission);
  Check(!submission.m_isAnswered, "a submission was answered twice");
  submission.m_isAnswered = true;
  if (aAnswer.m_outcome == Outcome::Served) {
    const std::string& body = aAnswer.m_answer.m_body;
    Check(body.starts_with(submission.m_service + " " + submission.m_id + " "),
          "request " + submission.m_id + " got the answer " + body);
    ++m_served;
  }
  if (aAnswer.m_outcome == Outcome::NotRun) {
    for (uint32_t attempt : m_started[submission.m_id]) {
      Check(attempt > submission.m_attempt,
            "request " + submission.m_id +
              " was answered with not run after it started");
    }
    uint32_t& denied = m_notRunAttempt[submission.m_id];
    denied = std::max(denied, submission.m_attempt);
  }
  Caller& caller = m_callers[submission.m_caller];
  if (submission.m_isDisconnected ||
      caller.m_awaitedSubmission != aSubmission) {
    return;
  }
  caller.m_awaitedSubmission = 0;
  if (!aAnswer.m_token.empty()) {
    caller.m_token = aAnswer.m_token;
    caller.m_sequence += 1;
  }
  if (aAnswer.m_outcome == Outcome::NotRun && caller.m_attempt < 3) {
    caller.m_attempt += 1;
    return;
  }
  caller.m_request += 1;
  caller.m_attempt = 1;
  caller.m_isNonRepeatable = (caller.m_request + submission.m_caller) % 2 == 0;
  if (aAnswer.m_outcome != Outcome::Served) {
    caller.m_flow += 1;
    caller.m_token.clear();
    caller.m_sequence = 0;
  }
}

void
FakeSystem::DeliverPacket(size_t aIndex)
{
  Packet packet = m_packets[aIndex];
  m_packets.erase(m_packets.begin() + static_cast<ptrdiff_t>(aIndex));
  bool isLinkUp = packet.m_link == LinkOf(packet.m_balancer, packet.m_agent);
  bool isAgentSame =
    packet.m_agentGeneration == m_agentGeneration[packet.m_agent];
  if (auto* answer = std::get_if<Answer>(&packet.m_message)) {
    if (isLinkUp && m_balancers[packet.m_balancer]) {
      DispatchToBalancer(
        packet.m_balancer,
        AgentAnswer{ RecordOf(packet.m_agent).m_address, *answer });
    }
    return;
  }
  if (auto* forward = std::get_if<Forward>(&packet.m_message)) {
    // A delayed packet may arrive after its link was lost. A packet to an
    // earlier generation of the agent is discarded.
    if (isAgentSame) {
      const auto& drainSince = m_drainSince[packet.m_agent];
      bool isPastGrace = drainSince && m_now - *drainSince >= kDrainGrace;
      if (!isPastGrace) {
        m_arrivedWithinGrace.insert(
          { packet.m_agentGeneration, forward->m_request.m_body });
      }
      DispatchToAgent(packet.m_agent,
                      ForwardArrived{ packet.m_link, *forward });
    }
    return;
  }
  if (isAgentSame) {
    DispatchToAgent(
      packet.m_agent,
      CancelArrived{ packet.m_link, std::get<Cancel>(packet.m_message) });
  }
}

void
FakeSystem::EndRunning(size_t aIndex, WorkEnd aEnd)
{
  RunningWork running = m_running[aIndex];
  m_running.erase(m_running.begin() + static_cast<ptrdiff_t>(aIndex));
  if (running.m_agentGeneration != m_agentGeneration[running.m_agent]) {
    return;
  }
  if (aEnd == WorkEnd::NotSent) {
    // No byte reached the server, so the start does not count.
    size_t space = running.m_body.find(' ');
    size_t last = running.m_body.rfind(' ');
    m_started.erase(running.m_body.substr(space + 1, last - space - 1));
  }
  DispatchToAgent(
    running.m_agent,
    WorkEnded{ running.m_work, aEnd, { 200, "", running.m_body } });
}

void
FakeSystem::LoseLinkBetween(size_t aBalancer, size_t aAgent)
{
  if (!m_balancers[aBalancer]) {
    return;
  }
  uint64_t link = LinkOf(aBalancer, aAgent);
  m_linkGeneration[{ aBalancer, aAgent }] += 1;
  std::string address = RecordOf(aAgent).m_address;
  DispatchToBalancer(aBalancer, AgentLinkLost{ address, WorkLength::Short });
  DispatchToAgent(aAgent, BalancerLinkLost{ link });
}

void
FakeSystem::RestartBalancer(size_t aIndex)
{
  for (size_t agent = 0; agent < kAgents; ++agent) {
    DispatchToAgent(agent, BalancerLinkLost{ LinkOf(aIndex, agent) });
  }
  for (size_t caller = 0; caller < kCallers; ++caller) {
    uint64_t submission = m_callers[caller].m_awaitedSubmission;
    if (submission != 0 && m_submissions.at(submission).m_balancer == aIndex) {
      m_submissions.at(submission).m_isDisconnected = true;
    }
  }
  for (auto& [id, submission] : m_submissions) {
    // The restarted balancer has no state of these and never answers them.
    submission.m_isAnswered |= submission.m_balancer == aIndex;
  }
  StartBalancer(aIndex);
}

void
FakeSystem::RestartAgent(size_t aIndex)
{
  std::string address = RecordOf(aIndex).m_address;
  StartAgent(aIndex);
  for (size_t i = 0; i < kBalancers; ++i) {
    m_linkGeneration[{ i, aIndex }] += 1;
    DispatchToBalancer(i, AgentLinkLost{ address, WorkLength::Short });
  }
}

void
FakeSystem::ToggleDrain(size_t aIndex)
{
  bool isDraining = m_drainSince[aIndex].has_value();
  m_drainSince[aIndex] =
    isDraining ? std::nullopt : std::optional<TimePoint>(m_now);
  DispatchToAgent(aIndex, DrainChanged{ !isDraining });
}

void
FakeSystem::AdvanceTime(Duration aTime)
{
  m_now += aTime;
  for (size_t i = 0; i < kBalancers; ++i) {
    DispatchToBalancer(i, TimerExpired{});
  }
  for (size_t i = 0; i < kAgents; ++i) {
    DispatchToAgent(i, AgentTimerExpired{});
  }
}

void
FakeSystem::CheckJournal(const AgentCore& aAgent) const
{
  const Journal& journal = aAgent.RequestJournal();
  auto records = journal.PendingBatch(journal.PendingCount());
  Check(!VerifyJournal(journal.Origin(), records),
        "the journal of " + journal.Origin() +
          " has a missing or altered record");
  AuditReport report = AuditOrder(records);
  Check(report.m_faults.empty(),
        "the journal of " + journal.Origin() + " has an order fault");
  Check(report.m_open == 0,
        "the journal of " + journal.Origin() + " has open requests when idle");
}

void
FakeSystem::RunUntilIdle()
{
  constexpr int kRounds = 8;
  for (int round = 0; round < kRounds; ++round) {
    while (!m_packets.empty()) {
      DeliverPacket(0);
    }
    while (!m_running.empty()) {
      EndRunning(0, WorkEnd::Answered);
    }
    AdvanceTime(kDeadline);
  }
  for (const auto& [id, submission] : m_submissions) {
    Check(submission.m_isAnswered,
          "request " + submission.m_id + " was never answered");
  }
  for (size_t i = 0; i < kAgents; ++i) {
    CheckJournal(*m_agents[i]);
  }
}

} // namespace bilberryfield
