#include "AgentDaemon.h"

#include "HeartbeatCodec.h"
#include "HttpPaths.h"
#include "HttpStatus.h"
#include "Log.h"
#include "MetricsText.h"
#include "PacketCodec.h"
#include "WallClock.h"

namespace bilberryfield {

namespace {

/** Time in which balancers learn that the agent takes no new flows. */
constexpr Duration kBalancersNotice = Milliseconds(300);
constexpr Duration kShutdownStep = Milliseconds(50);

FlowAgentOptions
OptionsFrom(const FlowSettings& aSettings)
{
  FlowAgentOptions options;
  options.m_service = aSettings.m_service;
  options.m_domain = aSettings.m_domain;
  options.m_packets = aSettings.m_packetListen;
  options.m_heartbeatEvery = aSettings.m_heartbeatEvery;
  options.m_maxFlowAge = aSettings.m_maxFlowAge;
  return options;
}

/** The event that tells of a verdict in the log; nullptr when none does. */
const char*
OpeningEvent(const AgentDecision& aVerdict, const PacketHeader& aHeader)
{
  if (aVerdict.m_action == FlowAgentAction::Return) {
    return "handing-back";
  }
  if (!aHeader.IsSyn()) {
    return nullptr;
  }
  switch (aVerdict.m_action) {
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
                OnControl(aMessage, aFromIp);
              })
  , m_store(aSettings.m_platform)
  , m_core(OptionsFrom(aSettings), EventLoop::Now())
  , m_registrar(
      m_loop,
      m_store,
      { aSettings.m_service, aSettings.m_domain, aSettings.m_packetListen })
  , m_journal(m_loop,
              m_store,
              // Each start has a journal of its own.
              aSettings.m_id + "/" + std::to_string(WallClockMs()),
              aSettings.m_service)
  , m_heartbeats({ 1 },
                 [this](HttpIncoming aRequest, HttpReply aReply) {
                   m_loop.Post([this,
                                request = std::move(aRequest),
                                reply = std::move(aReply)] {
                     reply(OnServerCall(request));
                   });
                 })
  , m_metrics({ 1 }, [this](const HttpIncoming&, const HttpReply& aReply) {
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
  return m_loop.OpenSocket(m_settings.m_packetListen, onBalancer, m_packets)
    .and_then([&] {
      return m_loop.OpenSocket(m_settings.m_serverListen, onServer, m_server);
    })
    .and_then([&] { return m_control.Open(m_settings.m_packetListen.m_ip); });
}

Result<void>
AgentDaemon::Start()
{
  Result<uint16_t> started =
    OpenSockets()
      .and_then(
        [&] { return m_heartbeats.Start(ToText(m_settings.m_adminListen)); })
      .and_then([&](uint16_t) {
        return m_metrics.Start(ToText(m_settings.m_metricsListen));
      });
  if (!started) {
    return tl::unexpected(started.error());
  }
  m_loop.RunEvery(FlowAgent::kTick, [this] { OnTick(); });
  m_loop.RunEvery(Seconds(1), LogWhatWasLeftOut);
  m_loop.RunEvery(m_settings.m_journalEvery,
                  [this] { m_journal.Store([] {}); });
  return {};
}

HttpOutgoing
AgentDaemon::OnServerCall(const HttpIncoming& aRequest)
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
  HeartbeatResult end = m_core.OnHeartbeat(EventLoop::Now(), aHeartbeat);
  if (end != HeartbeatResult::Accepted) {
    Log(LogLevel::Info,
        "heartbeat",
        { { "server", aHeartbeat.m_id },
          { "end", NameOf(kHeartbeatResultNames, end) },
          { "born", aHeartbeat.m_startMs },
          { "sequence", aHeartbeat.m_sequence } });
  }
}

void
AgentDaemon::OnBalancerDatagram(std::span<uint8_t> aBytes,
                                const Endpoint& aFrom)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  bool isForged = !header || (header->Has(kSyn) && header->Has(kAck));
  if (isForged) {
    m_malformed += 1;
    return;
  }
  TimePoint now = EventLoop::Now();
  AgentDecision verdict =
    m_core.OnBalancerPacket(now, *header, aBytes, aFrom.m_ip);
  LogOpening(verdict, *header, aFrom.m_ip);
  NoteForJournal(now, verdict, *header, header->FlowFromCaller());
  Execute(verdict, *header, aBytes, aFrom.m_ip);
  EndWaits(now);
}

// One line for each flow that the server gets, and for each packet that it
// does not get.
void
AgentDaemon::LogOpening(const AgentDecision& aVerdict,
                        const PacketHeader& aHeader,
                        uint32_t aBalancerIp)
{
  const char* event = OpeningEvent(aVerdict, aHeader);
  if (!event) {
    return;
  }
  Log(LogLevel::Info, event, [&] {
    nlohmann::json fields = { { "flow", ToText(aHeader.FlowFromCaller()) },
                              { "balancer", IpToText(aBalancerIp) },
                              { "reason",
                                NameOf(kReturnReasonNames, aVerdict.m_reason) },
                              { "busy", m_core.BusyFlows() },
                              { "waiting", m_core.QueuedSynCount() },
                              { "slots", m_core.Load().m_slots } };
    if (aHeader.IsSyn()) {
      fields["copy"] = aHeader.RetransmissionCount();
    }
    return fields;
  });
}

HttpOutgoing
AgentDaemon::Metrics() const
{
  MetricsText text;
  text.AddEach(
    "bilberry_handed_back_total",
    kReturnReasonNames,
    [this](ReturnReason aReason) { return m_core.ReturnCount(aReason); });
  text.Add("bilberry_openings_total", m_core.AdmittedFlows());
  text.Add("bilberry_flows", m_core.FlowCount());
  text.Add("bilberry_busy_flows", m_core.BusyFlows());
  text.Add("bilberry_malformed_packets_total", m_malformed);
  text.Add("bilberry_send_failures_total",
           m_packets->SendFailures() + m_server->SendFailures() +
             m_control.SendFailures());
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
  AgentDecision verdict = m_core.OnServerPacket(now, *header);
  // What the server sends back is a caller's packet.
  FlowKey flow =
    header->Has(kBounced) ? header->FlowFromCaller() : header->FlowFromServer();
  NoteForJournal(now, verdict, *header, flow);
  Execute(verdict, *header, aBytes, header->m_tag);
  EndWaits(now);
}

void
AgentDaemon::EndWaits(TimePoint aNow)
{
  for (DequeuedSyn& end : m_core.TakeDequeuedSyns(aNow)) {
    const QueuedSyn& opening = end.m_syn;
    LogOpening(end.m_decision, opening.m_header, opening.m_balancerIp);
    NoteForJournal(aNow,
                   end.m_decision,
                   opening.m_header,
                   opening.m_header.FlowFromCaller());
    Execute(end.m_decision,
            opening.m_header,
            { end.m_syn.m_bytes.data(), end.m_syn.m_bytes.size() },
            opening.m_balancerIp);
  }
}

void
AgentDaemon::NoteForJournal(TimePoint aNow,
                            const AgentDecision& aVerdict,
                            const PacketHeader& aHeader,
                            const FlowKey& aFlow)
{
  if (aVerdict.m_isLast) {
    m_journal.OnEnded(aNow, aFlow);
  }
  if (!aHeader.IsSyn()) {
    return;
  }
  if (aVerdict.m_action == FlowAgentAction::Deliver) {
    m_journal.OnOpened(aNow, aFlow);
  } else if (aVerdict.m_reason != ReturnReason::None) {
    m_journal.OnRefused(aNow, aFlow, aVerdict.m_reason);
  }
}

void
AgentDaemon::Execute(const AgentDecision& aVerdict,
                     const PacketHeader& aHeader,
                     std::span<uint8_t> aBytes,
                     uint32_t aBalancerIp)
{
  uint16_t callerPort = m_settings.m_packetListen.m_port;
  switch (aVerdict.m_action) {
    case FlowAgentAction::Deliver:
      // The server keeps the tag, so a packet that it sends back names the
      // balancer that it came from.
      WriteSystemFields(aBytes, aBalancerIp, 0);
      m_server->Send(aBytes, m_settings.m_server);
      break;
    case FlowAgentAction::ToCaller:
      m_packets->Send(aBytes, { aHeader.m_destination.m_ip, callerPort });
      break;
    case FlowAgentAction::Return:
      HandBackTo(aVerdict.m_balancerIp, aVerdict.m_reason, aBytes);
      break;
    case FlowAgentAction::Reset: {
      FlowKey flow = aHeader.FlowFromCaller();
      Log(LogLevel::Info,
          "flow-reset",
          { { "flow", ToText(flow) },
            { "reason", NameOf(kReturnReasonNames, aVerdict.m_reason) } });
      m_packets->Send(EncodeReset(flow, aHeader.m_ack),
                      { flow.m_caller.m_ip, callerPort });
      break;
    }
    case FlowAgentAction::Queue:
    case FlowAgentAction::Drop:
      break;
  }
}

void
AgentDaemon::HandBackTo(uint32_t aBalancerIp,
                        ReturnReason aReason,
                        std::span<uint8_t> aBytes)
{
  WriteSystemFields(
    aBytes, m_core.Load().Pack(), static_cast<uint32_t>(aReason));
  m_packets->Send(aBytes, { aBalancerIp, m_settings.m_handBackPort });
}

void
AgentDaemon::OnControl(const FlowMessage& aMessage, uint32_t aFromIp)
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
  for (UnansweredSyn& opening : m_core.TakeUnanswered(now)) {
    HandBackTo(opening.m_balancerIp,
               ReturnReason::Silent,
               { opening.m_bytes.data(), opening.m_bytes.size() });
    m_journal.OnRefused(now, opening.m_flow, ReturnReason::Silent);
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
  EndWaits(now);
  m_control.SendToAll(due.m_reportRecipients, due.m_report);
  m_control.SendToAll(due.m_loadRecipients, due.m_load);
  bool isServerHere =
    condition != ServerCondition::Unknown && condition != ServerCondition::Gone;
  m_registrar.SetWanted(isServerHere);
  if (m_core.TakeStoreCheckDue()) {
    m_registrar.OnMissing();
  }
}

void
AgentDaemon::BeginShutdown()
{
  m_loop.Post([this] {
    if (m_stoppingSince) {
      return;
    }
    m_stoppingSince = EventLoop::Now();
    m_core.BeginShutdown();
    Log(LogLevel::Info, "stopping", { { "busy", m_core.BusyFlows() } });
    // Also while the journal is being stored: the store may be silent.
    m_loop.RunAfter(m_settings.m_shutdownLimit, [this] { m_loop.Stop(); });
    ContinueShutdown();
  });
}

void
AgentDaemon::ContinueShutdown()
{
  Duration since = EventLoop::Now() - *m_stoppingSince;
  if (since >= kBalancersNotice && m_core.BusyFlows() == 0) {
    return m_journal.Store([this] { m_loop.Stop(); });
  }
  m_loop.RunAfter(kShutdownStep, [this] { ContinueShutdown(); });
}

} // namespace bilberryfield
