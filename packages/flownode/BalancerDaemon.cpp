#include "BalancerDaemon.h"

#include "EntryRemoval.h"
#include "EvacuationReports.h"
#include "HttpPaths.h"
#include "HttpStatus.h"
#include "Log.h"
#include "MetricsText.h"
#include "OperatorConfig.h"
#include "PacketCodec.h"
#include "StoreWatchTiming.h"
#include "SubscriptionSchedule.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kPeerCheckInterval = Milliseconds(200);
/** Time for the fabric's readiness probes to detect that a balancer is not
 * ready. */
constexpr Duration kFabricReactionTime = Milliseconds(2500);
/** Time without callers' packets after which a shutdown completes. */
constexpr Duration kCallerIdleTime = Milliseconds(500);
constexpr Duration kShutdownPollInterval = Milliseconds(100);

} // namespace

BalancerDaemon::BalancerDaemon(const FlowSettings& aSettings)
  : m_settings(aSettings)
  , m_control(m_loop,
              aSettings.m_controlPort,
              [this](const FlowMessage& aMessage, uint32_t aFromIp) {
                OnControlMessage(aMessage, aFromIp);
              })
  , m_core(aSettings.m_domain, std::random_device{}())
  , m_store(m_loop, aSettings.m_platform, StoreCallbacks())
  , m_peerSync(m_loop,
               aSettings.m_seeds,
               aSettings.m_adminListen,
               [this](const PeerSnapshot& aSnapshot) { OnSnapshot(aSnapshot); })
  , m_startedAt(EventLoop::Now())
  , m_readinessServer(
      { 1 },
      [this](const HttpIncoming& aRequest, const HttpReply& aReply) {
        bool isReady = aRequest.m_path == kReadinessPath && m_isReady;
        aReply({ isReady ? kHttpOk : kHttpUnavailable, {}, "", "" });
      })
  , m_metricsServer({ 1 },
                    [this](const HttpIncoming&, const HttpReply& aReply) {
                      m_loop.Post([this, aReply] { aReply(Metrics()); });
                    })
  , m_adminServer([this](std::function<void()> aFunction) {
    m_loop.Post(std::move(aFunction));
  })
{
  if (m_settings.m_resetLostFlows) {
    m_core.EnableLostFlowResets();
  }
  if (m_settings.m_evacuations) {
    m_core.RequireEvacuations();
  }
}

StoreFollowerCallbacks
BalancerDaemon::StoreCallbacks()
{
  StoreFollowerCallbacks callbacks;
  callbacks.m_onConfiguration = [this](const StoreObject& aObject) {
    OnConfiguration(aObject.m_content, "store", aObject.m_position);
  };
  callbacks.m_onAgents = [this](const auto& aEntries,
                                const StorePosition& aPosition) {
    OnAgentsListed(aEntries, aPosition);
  };
  if (m_settings.m_evacuations) {
    callbacks.m_onEvacuations = [this](const EvacuationSet& aSet) {
      OnEvacuations(aSet, "store");
    };
  }
  callbacks.m_configWatchTimeout = [this] {
    std::uniform_real_distribution<double> draw(0, 1);
    return ConfigWatchTimeout(m_core.Agents().All().size(), draw(m_random));
  };
  return callbacks;
}

Result<void>
BalancerDaemon::OpenSockets()
{
  uint32_t ip = m_settings.m_packetListen.m_ip;
  auto onCaller = [this](auto aBytes, const Endpoint&) {
    OnCallerDatagram(aBytes);
  };
  auto onReturned = [this](auto aBytes, const Endpoint& aFrom) {
    OnReturnedPacket(aBytes, aFrom);
  };
  return m_loop.OpenSocket(m_settings.m_packetListen, onCaller, m_callerSocket)
    .and_then([&] {
      m_callerSocket->SetOnDrained([this] { PlaceQueuedSyns(); });
      return m_loop.OpenSocket(
        { ip, m_settings.m_returnPort }, onReturned, m_agentSocket);
    })
    .and_then([&] { return m_control.Open(ip); });
}

Result<void>
BalancerDaemon::StartServers()
{
  m_adminServer.Add("GET /status",
                    [this](const HttpIncoming&) { return Status(); });
  m_adminServer.Add(
    std::string("GET ") + kSnapshotPath,
    [this](const HttpIncoming& aRequest) { return Snapshot(aRequest); });
  return m_readinessServer.Start(ToText(m_settings.m_readinessListen))
    .and_then([&](uint16_t) {
      return m_metricsServer.Start(ToText(m_settings.m_metricsListen));
    })
    .and_then([&](uint16_t) {
      return m_adminServer.Start(ToText(m_settings.m_adminListen));
    })
    .map([](uint16_t) {});
}

Result<void>
BalancerDaemon::Start()
{
  Result<void> started = OpenSockets().and_then([&] { return StartServers(); });
  if (!started) {
    return started;
  }
  m_loop.RunEvery(FlowBalancer::kTick, [this] { OnTick(); });
  m_loop.RunEvery(kPeerCheckInterval, [this] { FetchFromPeersIfBehind(); });
  m_loop.RunEvery(kSubscriptionTick, [this] { SubscribeToAgents(); });
  m_loop.RunEvery(Seconds(1), LogWhatWasLeftOut);
  m_loop.RunAfter(m_settings.m_staleEntryAfter,
                  [this] { RemoveStaleEntries(); });
  m_store.Start();
  return {};
}

void
BalancerDaemon::OnConfiguration(const std::string& aContent,
                                const char* aSource,
                                const StorePosition& aPosition)
{
  Result<OperatorConfig> config = DecodeOperatorConfig(aContent);
  if (!config) {
    Log(LogLevel::Error,
        "routes-rejected",
        { { "source", aSource }, { "detail", config.error().m_detail } });
    return;
  }
  for (const std::string& routeError : config->m_routeErrors) {
    Log(LogLevel::Warning, "route-rejected", { { "detail", routeError } });
  }
  for (const std::string& serviceError : config->m_serviceErrors) {
    Log(LogLevel::Warning, "warmup-rejected", { { "detail", serviceError } });
  }
  KeepEarlierWarmups(config->m_table.m_services, m_core.Services());
  uint64_t version = config->m_table.m_version;
  size_t count = config->m_table.m_routes.size();
  bool isAccepted = m_core.SetRoutes(
    std::make_shared<const RouteTable>(std::move(config->m_table)));
  if (isAccepted) {
    m_configurationText = aContent;
  }
  Log(LogLevel::Info,
      isAccepted ? "routes-in-force" : "routes-not-newer",
      { { "version", version },
        { "routes", count },
        { "source", aSource },
        { "era", aPosition.m_era },
        { "revision", aPosition.m_revision },
        { "in_force", m_core.RoutesVersion() } });
}

void
BalancerDaemon::OnSnapshot(const PeerSnapshot& aSnapshot)
{
  if (!aSnapshot.m_configuration.empty()) {
    OnConfiguration(aSnapshot.m_configuration, "peer", {});
  }
  if (aSnapshot.m_agentsPosition.IsKnown()) {
    m_core.Agents().SetListed(
      EventLoop::Now(), aSnapshot.m_agentsPosition, aSnapshot.m_agents);
    SubscribeToAgents();
  }
  OnEvacuations(aSnapshot.m_evacuations, "peer");
}

void
BalancerDaemon::OnEvacuations(const EvacuationSet& aSet, const char* aSource)
{
  TimePoint now = EventLoop::Now();
  if (m_core.Agents().EvacuatedDomains().Update(now, aSet)) {
    LogEvacuations(now, aSource);
  }
}

void
BalancerDaemon::LogEvacuations(TimePoint aNow, const char* aSource)
{
  if (LogEvacuationChanges(aNow, m_core.Agents().EvacuatedDomains(), aSource)) {
    WarnOfUnknownDomains();
  }
}

void
BalancerDaemon::WarnOfUnknownDomains()
{
  std::vector<std::string> unknown = m_core.Agents().EvacuatedWithoutAgents();
  for (const std::string& domain : unknown) {
    if (!std::binary_search(
          m_unknownDomains.begin(), m_unknownDomains.end(), domain)) {
      Log(LogLevel::Warning,
          "evacuation-unknown-domain",
          { { "domain", domain } });
    }
  }
  m_unknownDomains = std::move(unknown);
}

AdminAnswer
BalancerDaemon::Snapshot(const HttpIncoming& aRequest) const
{
  LocalVersions requested = RequestedVersions(aRequest);
  PeerSnapshot snapshot;
  snapshot.m_routesVersion = m_core.RoutesVersion();
  if (snapshot.m_routesVersion > requested.m_routes) {
    snapshot.m_configuration = m_configurationText;
  }
  if (m_core.Agents().Position() > requested.m_agents) {
    snapshot.m_agentsPosition = m_core.Agents().Position();
    snapshot.m_agents = m_core.Agents().ListedEntries();
  }
  snapshot.m_evacuations = m_core.Agents().EvacuatedDomains().Latest();
  return { kHttpOk, EncodeSnapshot(snapshot) };
}

AdminAnswer
BalancerDaemon::Status() const
{
  TimePoint now = EventLoop::Now();
  nlohmann::json agents = nlohmann::json::array();
  for (const auto& [ip, agent] : m_core.Agents().All()) {
    agents.push_back(
      { { "agent", IpToText(ip) },
        { "service", agent.m_entry.m_service },
        { "failure_domain", agent.m_entry.m_domain },
        { "condition",
          NameOf(kServerConditionNames, agent.m_load.m_condition) },
        { "heard", m_core.Agents().IsReporting(now, agent) },
        { "listed", agent.m_isListed },
        { "busy", agent.m_load.m_busy },
        { "slots", agent.m_load.m_slots },
        { "answer_ms", agent.m_load.m_answerUs / 1000 } });
  }
  return { kHttpOk,
           { { "id", m_settings.m_id },
             { "role", NameOf(kFlowRoleNames, m_settings.m_role) },
             { "failure_domain", m_settings.m_domain },
             { "ready", m_isReady.load() },
             { "routes_version", m_core.RoutesVersion() },
             { "store_era", m_core.Agents().Position().m_era },
             { "agents_revision", m_core.Agents().Position().m_revision },
             { "evacuated_domains",
               m_core.Agents().EvacuatedDomains().InForce(now) },
             { "flows", m_core.FlowCount() },
             { "agents", std::move(agents) } } };
}

LocalVersions
BalancerDaemon::CurrentVersions() const
{
  return { m_core.RoutesVersion(),
           m_core.Agents().Position(),
           m_store.AreAgentsWatched() };
}

// The position of the list is that of its last change, and the watch may have
// shown since that nothing else changed.
StorePosition
BalancerDaemon::AgentsKnownUpTo() const
{
  return std::max(m_core.Agents().Position(), m_store.AgentsPosition());
}

// The store has precedence; peers serve as a fallback for a balancer that
// cannot load from it.
void
BalancerDaemon::FetchFromPeersIfBehind()
{
  TimePoint now = EventLoop::Now();
  LocalVersions own = CurrentVersions();
  Duration batchDelay = BatchDelay(m_core.Agents().All().size());
  if (own.m_isAgentListWatched &&
      m_peerVersions.IsWatchOverdue(now, AgentsKnownUpTo(), batchDelay)) {
    m_store.RenewAgents();
  }
  if (std::optional<Endpoint> peer = m_peerVersions.SelectPeer(now, own)) {
    return m_peerSync.FetchFrom(*peer, own);
  }
  bool isLoaded =
    own.m_routes > 0 && own.m_agents.IsKnown() && !m_core.LacksEvacuations();
  if (!isLoaded && now - m_startedAt >= PeerVersions::kStoreGracePeriod) {
    m_peerSync.FetchFromNextSeed(own);
  }
}

void
BalancerDaemon::OnAgentsListed(const std::vector<AgentEntry>& aEntries,
                               const StorePosition& aPosition)
{
  m_core.Agents().SetListed(EventLoop::Now(), aPosition, aEntries);
  const StorePosition& inForce = m_core.Agents().Position();
  Log(LogLevel::Info,
      "agents-listed",
      { { "agents", aEntries.size() },
        { "era", aPosition.m_era },
        { "revision", aPosition.m_revision },
        { "in_force_era", inForce.m_era },
        { "in_force", inForce.m_revision } });
  WarnOfUnknownDomains();
  SubscribeToAgents();
}

void
BalancerDaemon::OnCallerDatagram(std::span<uint8_t> aBytes)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  if (!header) {
    m_malformedPackets += 1;
    return;
  }
  TimePoint now = EventLoop::Now();
  m_lastCallerPacketAt = now;
  if (header->IsSyn()) {
    return m_synBacklog.Add(*header, aBytes);
  }
  Execute(m_core.OnCallerPacket(now, *header, aBytes), aBytes);
}

// Called after the packets of open flows have been forwarded: a delay of those
// would waste work that their servers have already done.
void
BalancerDaemon::PlaceQueuedSyns()
{
  m_synBacklog.PlaceAll(
    EventLoop::Now, [this](const PacketHeader& aHeader, auto aBytes) {
      Execute(m_core.OnCallerPacket(EventLoop::Now(), aHeader, aBytes), aBytes);
    });
}

void
BalancerDaemon::OnReturnedPacket(std::span<uint8_t> aBytes,
                                 const Endpoint& aFrom)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  if (!header || header->m_mark >= static_cast<uint32_t>(ReturnReason::Count)) {
    return;
  }
  auto reason = static_cast<ReturnReason>(header->m_mark);
  m_returnCounts[static_cast<size_t>(reason)] += 1;
  Log(LogLevel::Info, "handed-back", [&] {
    return nlohmann::json{ { "flow", ToText(header->FlowFromCaller()) },
                           { "agent", IpToText(aFrom.m_ip) },
                           { "reason", NameOf(kReturnReasonNames, reason) } };
  });
  Execute(m_core.OnReturnedPacket(
            EventLoop::Now(), *header, aBytes, aFrom.m_ip, reason),
          aBytes);
}

void
BalancerDaemon::OnControlMessage(const FlowMessage& aMessage, uint32_t aFromIp)
{
  TimePoint now = EventLoop::Now();
  if (const auto* load = std::get_if<ServerLoad>(&aMessage)) {
    m_core.Agents().OnLoad(now, aFromIp, *load);
  } else if (const auto* report = std::get_if<AgentReport>(&aMessage)) {
    if (report->m_packets.m_ip != aFromIp) {
      return Log(LogLevel::Warning,
                 "report-rejected",
                 { { "agent", IpToText(report->m_packets.m_ip) },
                   { "sent_by", IpToText(aFromIp) } });
    }
    m_core.Agents().OnReport(now, *report);
    LogEvacuations(now, "agent");
    m_peerVersions.OnReport(now, report->m_routes, report->m_agents);
  } else if (const auto* answer = std::get_if<FlowAnswer>(&aMessage)) {
    Execute(m_core.OnAnswer(now, aFromIp, *answer), {});
  }
}

void
BalancerDaemon::Execute(const std::vector<BalancerStep>& aSteps,
                        std::span<uint8_t> aBytes)
{
  for (const BalancerStep& step : aSteps) {
    LogStep(step);
    switch (step.m_action) {
      case FlowBalancerAction::Forward:
        ForwardPacket(step, aBytes);
        break;
      case FlowBalancerAction::Reset:
        m_callerSocket->Send(
          EncodeReset(step.m_flow, step.m_seqOrAck),
          { step.m_flow.m_caller.m_ip, m_settings.m_packetListen.m_port });
        break;
      case FlowBalancerAction::Query:
        m_control.SendToAll(step.m_queriedAgents,
                            FlowQuery{ step.m_flow, step.m_seqOrAck });
        break;
      case FlowBalancerAction::Drop:
        break;
    }
  }
}

void
BalancerDaemon::ForwardPacket(const BalancerStep& aStep,
                              std::span<uint8_t> aBytes)
{
  std::vector<uint8_t> held = aStep.m_heldPacket;
  std::span<uint8_t> bytes = held.empty() ? aBytes : std::span(held);
  WriteSystemFields(bytes, aStep.m_tag, aStep.m_mark);
  m_agentSocket->Send(bytes, aStep.m_packets);
}

nlohmann::json
BalancerDaemon::LogFields(const BalancerStep& aStep) const
{
  nlohmann::json fields = {
    { "flow", ToText(aStep.m_flow) },
    { "reason", NameOf(kFlowReasonNames, aStep.m_reason) },
    { "action", NameOf(kFlowBalancerActionNames, aStep.m_action) },
    { "routes", m_core.RoutesVersion() }
  };
  if (aStep.m_agentIp != 0) {
    fields["agent"] = IpToText(aStep.m_agentIp);
  }
  if (!aStep.m_queriedAgents.empty()) {
    fields["asked"] = aStep.m_queriedAgents.size();
  }
  if (aStep.m_unreachableCount > 0) {
    fields["unreachable"] = aStep.m_unreachableCount;
  }
  if (aStep.m_unansweredCount > 0) {
    fields["unanswered"] = aStep.m_unansweredCount;
  }
  if (aStep.m_candidateCount > 0) {
    fields["candidates"] = aStep.m_candidateCount;
    fields["busy"] = aStep.m_busy;
  }
  if (aStep.m_loadAge) {
    fields["load_age_ms"] = ToMilliseconds(*aStep.m_loadAge);
  }
  return fields;
}

void
BalancerDaemon::LogStep(const BalancerStep& aStep)
{
  if (aStep.m_reason == FlowReason::Known) {
    return;
  }
  // Refusals are logged as a separate event, because the line budget is per
  // event and placements would exhaust a shared one.
  bool isRefusal = aStep.m_action == FlowBalancerAction::Reset ||
                   aStep.m_action == FlowBalancerAction::Drop;
  Log(LogLevel::Info, isRefusal ? "flow-refused" : "flow", [&] {
    return LogFields(aStep);
  });
}

HttpOutgoing
BalancerDaemon::Metrics() const
{
  MetricsText text;
  text.AddPerReason(
    "bilberry_flow_steps_total", kFlowReasonNames, [this](FlowReason aReason) {
      return m_core.ReasonCount(aReason);
    });
  text.AddPerReason("bilberry_handed_back_total",
                    kReturnReasonNames,
                    [this](ReturnReason aReason) {
                      return m_returnCounts[static_cast<size_t>(aReason)];
                    });
  text.Add("bilberry_flows", m_core.FlowCount());
  text.Add("bilberry_routes_version", m_core.RoutesVersion());
  text.Add("bilberry_agents", m_core.Agents().All().size());
  text.Add("bilberry_agents_era", m_core.Agents().Position().m_era);
  text.Add("bilberry_agents_revision", m_core.Agents().Position().m_revision);
  m_store.AddMetrics(text);
  AddEvacuationMetrics(
    EventLoop::Now(), m_core.Agents().EvacuatedDomains(), text);
  text.Add("bilberry_ready", m_isReady ? 1 : 0);
  text.Add("bilberry_malformed_packets_total", m_malformedPackets);
  text.Add("bilberry_openings_left_out_total", m_synBacklog.DiscardedCount());
  text.Add("bilberry_send_failures_total",
           m_callerSocket->SendFailures() + m_agentSocket->SendFailures() +
             m_control.SendFailures());
  text.Add("bilberry_search_seconds", m_core.SearchTimes());
  text.Add("bilberry_lost_flow_resets_total", m_core.LostFlowResets());
  text.Add("bilberry_undecided_searches_total", m_core.UndecidedSearches());
  return { kHttpOk, {}, "text/plain", text.Text() };
}

void
BalancerDaemon::OnTick()
{
  TimePoint now = EventLoop::Now();
  // A watch on a silent connection seems to work. An agent that is missing from
  // the own list may have the flows that all others deny.
  bool isCurrent = m_store.AreAgentsCurrent() &&
                   !m_peerVersions.HasNewerAgents(AgentsKnownUpTo());
  m_core.SetAgentsCurrent(now, isCurrent);
  Execute(m_core.OnTick(now), {});
  LogEvacuations(now, "store");
  bool isReady = !m_shutdownStartedAt && m_core.IsReady(now);
  if (isReady != m_isReady) {
    m_isReady = isReady;
    Log(LogLevel::Info,
        isReady ? "ready" : "not-ready",
        { { "routes", m_core.RoutesVersion() },
          { "agents", m_core.Agents().All().size() } });
  }
}

void
BalancerDaemon::SubscribeToAgents()
{
  const Endpoint& ownAddress = m_settings.m_adminListen;
  std::vector<DueSubscription> subscriptions =
    TakeDueSubscriptions(EventLoop::Now(),
                         m_core.Agents(),
                         { m_core.RoutesVersion(), ownAddress },
                         { m_core.Agents().Position(), ownAddress },
                         m_core.Services());
  for (const DueSubscription& subscription : subscriptions) {
    m_control.Send(subscription.m_agentIp, subscription.m_message);
  }
}

// The entry of a failed VM remains in the store until a balancer removes it. An
// agent that still reports to other balancers stores its entry again, so a
// wrong removal costs one write.
void
BalancerDaemon::RemoveStaleEntries()
{
  // All balancers detect missing reports at about the same time. With random
  // intervals the first one removes the entry, and the others receive the
  // change before their own check.
  std::uniform_int_distribution<int64_t> delayMs(
    1, m_settings.m_staleEntryAfter.count());
  m_loop.RunAfter(Milliseconds(delayMs(m_random)),
                  [this] { RemoveStaleEntries(); });
  if (!m_store.AreAgentsWatched()) {
    return;
  }
  for (uint32_t ip : m_core.Agents().ListedWithoutReports(
         EventLoop::Now(), m_settings.m_staleEntryAfter)) {
    const AgentEntry& entry = m_core.Agents().FindAt(ip)->m_entry;
    RemoveEntry(
      m_store.Client(), entry, [ip](const Result<StoreWrite>& aWrite) {
        bool isRemoved =
          aWrite && aWrite->m_outcome == StoreWrite::Outcome::Stored;
        Log(aWrite ? LogLevel::Info : LogLevel::Warning,
            isRemoved ? "stale-entry-removed" : "stale-entry-kept",
            { { "agent", IpToText(ip) },
              { "detail", aWrite ? "" : aWrite.error().m_detail } });
      });
  }
}

void
BalancerDaemon::BeginShutdown()
{
  m_loop.Post([this] {
    if (m_shutdownStartedAt) {
      return;
    }
    m_shutdownStartedAt = EventLoop::Now();
    m_isReady = false;
    Log(LogLevel::Info, "stopping", { { "flows", m_core.FlowCount() } });
    ContinueShutdown();
  });
}

// The fabric keeps sending packets here until its probes have detected the
// shutdown, and as long as no other balancer is ready.
void
BalancerDaemon::ContinueShutdown()
{
  TimePoint now = EventLoop::Now();
  Duration elapsed = now - *m_shutdownStartedAt;
  bool isIdle = now - m_lastCallerPacketAt > kCallerIdleTime;
  if (elapsed >= m_settings.m_shutdownLimit ||
      (elapsed >= kFabricReactionTime && isIdle)) {
    return m_loop.Stop();
  }
  m_loop.RunAfter(kShutdownPollInterval, [this] { ContinueShutdown(); });
}

} // namespace bilberryfield
