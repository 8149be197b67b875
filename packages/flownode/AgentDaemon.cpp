#include "AgentDaemon.h"

#include "EvacuationReports.h"
#include "HeartbeatCodec.h"
#include "HttpPaths.h"
#include "HttpStatus.h"
#include "Log.h"
#include "MetricsText.h"
#include "PacketCodec.h"
#include "WallClock.h"

namespace bilberryfield {

namespace {

/** Time for the balancers to receive the report that this agent accepts no new
 * flows. */
constexpr Duration kBalancerUpdateTime = Milliseconds(300);
constexpr Duration kShutdownPollInterval = Milliseconds(50);
/** Heartbeat intervals after the start of this process without a heartbeat
 * after which there is no server. */
constexpr int kHeartbeatsToServer = 3;

FlowAgentOptions
MakeAgentOptions(const FlowSettings& aSettings)
{
  FlowAgentOptions options;
  options.m_service = aSettings.m_service;
  options.m_domain = aSettings.m_domain;
  options.m_packets = aSettings.m_packetListen;
  options.m_heartbeatEvery = aSettings.m_heartbeatEvery;
  options.m_processStartMs = static_cast<uint64_t>(WallClockMs());
  options.m_maxFlowAge = aSettings.m_maxFlowAge;
  options.m_ejectsFailingServer = aSettings.m_ejectsFailingServer;
  options.m_startup = aSettings.m_startup;
  options.m_orderRequests = aSettings.m_orderRequests;
  return options;
}

/** Log event of a decision, or nullptr for a decision that is not logged. */
const char*
DecisionEvent(const AgentDecision& aDecision, const PacketHeader& aHeader)
{
  if (aDecision.m_action == FlowAgentAction::Return) {
    return "handing-back";
  }
  if (!aHeader.IsSyn()) {
    return nullptr;
  }
  switch (aDecision.m_action) {
    case FlowAgentAction::Deliver:
      return "opening";
    case FlowAgentAction::Queue:
      return "waiting";
    default:
      return "wait-ended";
  }
}

} // namespace

AgentDaemon::AgentDaemon(const FlowSettings& aSettings)
  : m_settings(aSettings)
  , m_control(m_loop,
              aSettings.m_controlPort,
              [this](const FlowMessage& aMessage, uint32_t aFromIp) {
                OnControlMessage(aMessage, aFromIp);
              })
  , m_store(aSettings.m_platform)
  , m_startedAt(EventLoop::Now())
  , m_core(MakeAgentOptions(aSettings), m_startedAt)
  , m_registrar(
      m_loop,
      m_store,
      { aSettings.m_service, aSettings.m_domain, aSettings.m_packetListen })
  , m_journal(m_loop,
              m_store,
              // Each start of the agent writes a separate journal.
              aSettings.m_id + "/" + std::to_string(WallClockMs()),
              aSettings.m_service)
  , m_heartbeatServer({ 1 },
                      [this](HttpIncoming aRequest, HttpReply aReply) {
                        m_loop.Post([this,
                                     request = std::move(aRequest),
                                     reply = std::move(aReply)] {
                          reply(OnServerHttpRequest(request));
                        });
                      })
  , m_metricsServer({ 1 },
                    [this](const HttpIncoming&, const HttpReply& aReply) {
                      m_loop.Post([this, aReply] { aReply(Metrics()); });
                    })
{
}

Result<void>
AgentDaemon::OpenSockets()
{
  auto onBalancer = [this](auto aBytes, const Endpoint& aFrom) {
    OnBalancerDatagram(aBytes, aFrom);
  };
  auto onServer = [this](auto aBytes, const Endpoint&) {
    OnServerDatagram(aBytes);
  };
  return m_loop
    .OpenSocket(m_settings.m_packetListen, onBalancer, m_packetSocket)
    .and_then([&] {
      return m_loop.OpenSocket(
        m_settings.m_serverListen, onServer, m_serverSocket);
    })
    .and_then([&] { return m_control.Open(m_settings.m_packetListen.m_ip); });
}

Result<void>
AgentDaemon::Start()
{
  Result<uint16_t> started =
    OpenSockets()
      .and_then([&] {
        return m_heartbeatServer.Start(ToText(m_settings.m_adminListen));
      })
      .and_then([&](uint16_t) {
        return m_metricsServer.Start(ToText(m_settings.m_metricsListen));
      });
  if (!started) {
    return tl::unexpected(started.error());
  }
  m_loop.RunEvery(FlowAgent::kTick, [this] { OnTick(); });
  m_loop.RunEvery(Seconds(1), LogWhatWasLeftOut);
  m_loop.RunEvery(m_settings.m_journalEvery,
                  [this] { m_journal.Flush([] {}); });
  return {};
}

HttpOutgoing
AgentDaemon::OnServerHttpRequest(const HttpIncoming& aRequest)
{
  std::string prefix = kHeartbeatPath;
  if (!aRequest.m_path.starts_with(prefix)) {
    return { kHttpNotFound, {}, "", "" };
  }
  std::string id = aRequest.m_path.substr(prefix.size());
  if (aRequest.m_method == "DELETE") {
    m_core.OnLeave(id);
    Log(LogLevel::Info, "server-left", { { "server", id } });
    return { kHttpOk, {}, "application/json", HeartbeatAnswer() };
  }
  Result<ServerHeartbeat> heartbeat = DecodeHeartbeat(id, aRequest.m_body);
  if (!heartbeat) {
    Log(LogLevel::Warning,
        "heartbeat-rejected",
        { { "server", id }, { "detail", heartbeat.error().m_detail } });
    return { kHttpBadRequest, {}, "", "" };
  }
  if (heartbeat->m_service != m_settings.m_service) {
    Log(LogLevel::Warning,
        "heartbeat-rejected",
        { { "server", id }, { "service", heartbeat->m_service } });
    return { kHttpBadRequest, {}, "", "" };
  }
  OnHeartbeat(*heartbeat);
  return { kHttpOk, {}, "application/json", HeartbeatAnswer() };
}

void
AgentDaemon::OnHeartbeat(const ServerHeartbeat& aHeartbeat)
{
  HeartbeatResult result = m_core.OnHeartbeat(EventLoop::Now(), aHeartbeat);
  if (result != HeartbeatResult::Accepted) {
    Log(LogLevel::Info,
        "heartbeat",
        { { "server", aHeartbeat.m_id },
          { "end", NameOf(kHeartbeatResultNames, result) },
          { "born", aHeartbeat.m_startMs },
          { "sequence", aHeartbeat.m_sequence } });
  }
}

void
AgentDaemon::OnBalancerDatagram(std::span<uint8_t> aBytes,
                                const Endpoint& aFrom)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  bool isMalformed = !header || (header->Has(kSyn) && header->Has(kAck));
  if (isMalformed) {
    m_malformedPackets += 1;
    return;
  }
  TimePoint now = EventLoop::Now();
  AgentDecision decision =
    m_core.OnBalancerPacket(now, *header, aBytes, aFrom.m_ip);
  LogDecision(decision, *header, aFrom.m_ip);
  if (decision.m_isWaitBegin) {
    LogRequestWait(*header, {});
  }
  AppendToJournal(now, decision, *header, header->FlowFromCaller());
  Execute(decision, *header, aBytes, aFrom.m_ip);
  ExecuteDequeuedPackets(now);
}

// Logs the decision on each SYN, and each packet that is returned to a
// balancer.
void
AgentDaemon::LogDecision(const AgentDecision& aDecision,
                         const PacketHeader& aHeader,
                         uint32_t aBalancerIp)
{
  const char* event = DecisionEvent(aDecision, aHeader);
  if (!event) {
    return;
  }
  Log(LogLevel::Info, event, [&] {
    nlohmann::json fields = {
      { "flow", ToText(aHeader.FlowFromCaller()) },
      { "balancer", IpToText(aBalancerIp) },
      { "reason", NameOf(kReturnReasonNames, aDecision.m_reason) },
      { "busy", m_core.BusyFlows() },
      { "waiting", m_core.QueuedSynCount() },
      { "slots", m_core.Load(EventLoop::Now()).m_slots }
    };
    if (aHeader.IsSyn()) {
      fields["copy"] = aHeader.RetransmissionCount();
    }
    return fields;
  });
}

void
AgentDaemon::LogRequestWait(const PacketHeader& aHeader,
                            const std::optional<RequestWait>& aEnded)
{
  const char* event = aEnded ? "request-wait-ended" : "request-waiting";
  Log(LogLevel::Info, event, [&] {
    nlohmann::json fields = { { "flow", ToText(aHeader.FlowFromCaller()) },
                              { "busy", m_core.BusyFlows() },
                              { "waiting", m_core.WaitingRequests() },
                              { "slots",
                                m_core.Load(EventLoop::Now()).m_slots } };
    if (aEnded) {
      fields["reason"] = NameOf(kRequestWaitEndNames, aEnded->m_end);
      fields["waited_ms"] = ToMilliseconds(aEnded->m_waited);
    }
    return fields;
  });
}

HttpOutgoing
AgentDaemon::Metrics() const
{
  MetricsText text;
  text.AddPerReason(
    "bilberry_handed_back_total",
    kReturnReasonNames,
    [this](ReturnReason aReason) { return m_core.ReturnCount(aReason); });
  text.Add("bilberry_openings_total", m_core.AdmittedFlows());
  text.Add("bilberry_queued_openings_rejected_total", m_core.RejectedSyns());
  text.Add("bilberry_server_resets_total", m_core.ResetRequests());
  const ServerStartup& startup = m_core.Startup();
  text.Add("bilberry_cold_limited_total", startup.ColdLimitedCount());
  text.Add("bilberry_ramp_limit", startup.RampLimit());
  text.AddPerReason(
    "bilberry_ramps_total", kRampReasonNames, [&](RampReason aReason) {
      return startup.RampCount(aReason);
    });
  text.Add("bilberry_requests_held_total", m_core.HeldRequests());
  text.Add("bilberry_flows", m_core.FlowCount());
  text.Add("bilberry_busy_flows", m_core.BusyFlows());
  text.Add("bilberry_malformed_packets_total", m_malformedPackets);
  text.Add("bilberry_send_failures_total",
           m_packetSocket->SendFailures() + m_serverSocket->SendFailures() +
             m_control.SendFailures());
  text.Add("bilberry_store_era", m_store.Era());
  AddEvacuationMetrics(EventLoop::Now(), m_core.EvacuatedDomains(), text);
  text.Add("bilberry_journal_pending", m_journal.PendingCount());
  text.Add("bilberry_journal_lost_total", m_journal.LostCount());
  text.Add("bilberry_answer_seconds", m_core.AnswerTimes());
  return { kHttpOk, {}, "text/plain", text.Text() };
}

void
AgentDaemon::OnServerDatagram(std::span<uint8_t> aBytes)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  if (!header) {
    return;
  }
  TimePoint now = EventLoop::Now();
  AgentDecision decision = m_core.OnServerPacket(now, *header);
  // A bounced packet keeps the caller as its source.
  FlowKey flow =
    header->Has(kBounced) ? header->FlowFromCaller() : header->FlowFromServer();
  AppendToJournal(now, decision, *header, flow);
  Execute(decision, *header, aBytes, header->m_tag);
  ExecuteDequeuedPackets(now);
}

void
AgentDaemon::ExecuteDequeuedPackets(TimePoint aNow)
{
  for (DequeuedPacket& dequeued : m_core.TakeDequeuedPackets(aNow)) {
    QueuedPacket& packet = dequeued.m_packet;
    const PacketHeader& header = packet.m_header;
    LogDecision(dequeued.m_decision, header, packet.m_balancerIp);
    if (dequeued.m_wait) {
      LogRequestWait(header, dequeued.m_wait);
    }
    AppendToJournal(aNow, dequeued.m_decision, header, header.FlowFromCaller());
    Execute(dequeued.m_decision,
            header,
            { packet.m_bytes.data(), packet.m_bytes.size() },
            packet.m_balancerIp);
  }
}

void
AgentDaemon::AppendToJournal(TimePoint aNow,
                             const AgentDecision& aDecision,
                             const PacketHeader& aHeader,
                             const FlowKey& aFlow)
{
  if (aDecision.m_isLast) {
    m_journal.OnEnded(aNow, aFlow);
  }
  if (!aHeader.IsSyn()) {
    return;
  }
  if (aDecision.m_action == FlowAgentAction::Deliver) {
    m_journal.OnOpened(aNow, aFlow);
  } else if (aDecision.m_reason != ReturnReason::None) {
    m_journal.OnRefused(aNow, aFlow, aDecision.m_reason);
  }
}

void
AgentDaemon::Execute(const AgentDecision& aDecision,
                     const PacketHeader& aHeader,
                     std::span<uint8_t> aBytes,
                     uint32_t aBalancerIp)
{
  uint16_t callerPort = m_settings.m_packetListen.m_port;
  switch (aDecision.m_action) {
    case FlowAgentAction::Deliver:
      // The server preserves the tag, so a bounced packet identifies the
      // balancer that forwarded it.
      WriteSystemFields(aBytes, aBalancerIp, 0);
      m_serverSocket->Send(aBytes, m_settings.m_server);
      break;
    case FlowAgentAction::ToCaller:
      m_packetSocket->Send(aBytes, { aHeader.m_destination.m_ip, callerPort });
      break;
    case FlowAgentAction::Return:
      ReturnToBalancer(aDecision.m_balancerIp, aDecision.m_reason, aBytes);
      break;
    case FlowAgentAction::Reset: {
      FlowKey flow = aHeader.FlowFromCaller();
      Log(LogLevel::Info,
          "flow-reset",
          { { "flow", ToText(flow) },
            { "reason", NameOf(kReturnReasonNames, aDecision.m_reason) } });
      m_packetSocket->Send(EncodeReset(flow, aHeader.m_ack),
                           { flow.m_caller.m_ip, callerPort });
      break;
    }
    case FlowAgentAction::Queue:
    case FlowAgentAction::Drop:
      break;
  }
}

void
AgentDaemon::ReturnToBalancer(uint32_t aBalancerIp,
                              ReturnReason aReason,
                              std::span<uint8_t> aBytes)
{
  WriteSystemFields(aBytes,
                    m_core.Load(EventLoop::Now()).Pack(),
                    static_cast<uint32_t>(aReason));
  m_packetSocket->Send(aBytes, { aBalancerIp, m_settings.m_returnPort });
}

void
AgentDaemon::OnControlMessage(const FlowMessage& aMessage, uint32_t aFromIp)
{
  TimePoint now = EventLoop::Now();
  if (const auto* subscribe = std::get_if<Subscribe>(&aMessage)) {
    m_core.OnSubscribe(now, aFromIp, *subscribe);
  } else if (const auto* query = std::get_if<FlowQuery>(&aMessage)) {
    m_control.Send(aFromIp, m_core.OnQuery(now, *query));
  }
}

void
AgentDaemon::OnTick()
{
  TimePoint now = EventLoop::Now();
  LogEvacuationChanges(now, m_core.EvacuatedDomains(), "balancer");
  for (UnansweredSyn& syn : m_core.TakeUnansweredSyns(now)) {
    ReturnToBalancer(syn.m_balancerIp,
                     ReturnReason::Silent,
                     { syn.m_bytes.data(), syn.m_bytes.size() });
    m_journal.OnRefused(now, syn.m_flow, ReturnReason::Silent);
  }
  ServerCondition condition = m_core.Condition(now);
  if (condition != m_loggedCondition) {
    Log(LogLevel::Info,
        "server-condition",
        { { "from", NameOf(kServerConditionNames, m_loggedCondition) },
          { "to", NameOf(kServerConditionNames, condition) },
          { "busy", m_core.BusyFlows() } });
    m_loggedCondition = condition;
  }
  DueReports due = m_core.OnTick(now);
  LogStartup();

  ExecuteDequeuedPackets(now);
  m_control.SendToAll(due.m_reportRecipients, due.m_report);
  m_control.SendToAll(due.m_loadRecipients, due.m_load);
  bool isServerPresent =
    condition != ServerCondition::Unknown && condition != ServerCondition::Gone;
  m_registrar.SetDesired(isServerPresent);
  if (m_core.TakeStoreCheckDue()) {
    m_registrar.OnEntryMissing();
  }
}

void
AgentDaemon::LogStartup()
{
  for (const RampEvent& event : m_core.Startup().TakeRampEvents()) {
    Log(LogLevel::Info,
        "server-ramp",
        { { "state", event.m_isEnd ? "ended" : "begun" },
          { "reason", NameOf(kRampReasonNames, event.m_reason) },
          { "limit", event.m_limit },
          { "cold_left_ms", ToMilliseconds(event.m_coldLeft) } });
  }
  for (const ServerSecond& second : m_core.Startup().TakeFirstSeconds()) {
    Log(LogLevel::Info,
        "server-first-seconds",
        { { "second", second.m_second },
          { "admitted", second.m_admitted },
          { "answered", second.m_answered },
          { "mean_answer_ms", ToMilliseconds(second.MeanAnswerTime()) },
          { "max_answer_ms", ToMilliseconds(second.m_maxAnswerTime) },
          { "busy_slots", second.MeanBusyShare() },
          { "limit", second.m_limit },
          { "returned", second.m_returned } });
  }
}

void
AgentDaemon::BeginShutdown()
{
  m_loop.Post([this] {
    if (m_shutdownStartedAt) {
      return;
    }
    m_shutdownStartedAt = EventLoop::Now();
    m_core.BeginShutdown();
    Log(LogLevel::Info, "stopping", { { "busy", m_core.BusyFlows() } });
    // Bounds the final flush of the journal as well: the store may not answer.
    m_loop.RunAfter(m_settings.m_shutdownLimit, [this] { m_loop.Stop(); });
    ContinueShutdown();
  });
}

void
AgentDaemon::ContinueShutdown()
{
  Duration elapsed = EventLoop::Now() - *m_shutdownStartedAt;
  bool isIdle = elapsed >= kBalancerUpdateTime && m_core.BusyFlows() == 0;
  if (isIdle && IsEntrySettled()) {
    return m_journal.Flush([this] { m_loop.Stop(); });
  }
  m_loop.RunAfter(kShutdownPollInterval, [this] { ContinueShutdown(); });
}

// Balancers search the agents in the store's list for flows that they do not
// know. The entry of an agent that has ended would leave these searches
// undecided. Beside a living server the entry stays for the agent's next start.
bool
AgentDaemon::IsEntrySettled()
{
  TimePoint now = EventLoop::Now();
  ServerCondition condition = m_core.Condition(now);
  if (condition == ServerCondition::Unknown) {
    Duration sinceStart = now - m_startedAt;
    if (sinceStart < kHeartbeatsToServer * m_settings.m_heartbeatEvery) {
      return false;
    }
  } else if (condition != ServerCondition::Gone) {
    return true;
  }
  m_registrar.Withdraw();
  return m_registrar.IsWithdrawn();
}

} // namespace bilberryfield
