#include "BalancerNode.h"

#include "CallerProtocol.h"
#include "HttpStatus.h"
#include "Rendezvous.h"
#include "StatusJson.h"

namespace bilberryfield {

namespace {

const Duration kTickInterval = MembershipOptions().m_tick;
// Time until the fabric has detected by health check that a balancer drains.
constexpr Duration kFabricDetectionDelay = Milliseconds(1500);
// Time for the HTTP server to send the answers that are already queued.
constexpr Duration kFlushDelay = Milliseconds(300);
constexpr size_t kWatchersPerDomain = 2;

} // namespace

BalancerNode::BalancerNode(Settings aSettings, uint64_t aIncarnation)
  : m_settings(std::move(aSettings))
  , m_incarnation(aIncarnation)
  , m_runtime("balancer", m_settings)
  , m_hub(m_runtime.Hub())
  , m_core({}, StableHash(m_settings.m_id, aIncarnation))
  , m_callerServer({},
                   [this](HttpIncoming aIncoming, HttpReply aReply) {
                     OnCallerMessage(std::move(aIncoming), std::move(aReply));
                   })
  , m_watcher(m_settings.m_platform,
              m_settings.m_domain,
              { [this](ConfigDelta aDelta) {
                 m_hub.Post([this, delta = std::move(aDelta)] {
                   ApplyDelta(delta, m_settings.m_platform);
                 });
               },
                [this](std::vector<std::string> aSeeds) {
                  m_hub.Post([this, seeds = std::move(aSeeds)] {
                    m_membership->AddSeeds(seeds);
                  });
                } })
{
}

Result<void>
BalancerNode::Start()
{
  AddRoutes();
  AddChildren();
  return m_runtime.Start(kTickInterval, [this] { Tick(); });
}

void
BalancerNode::AddChildren()
{
  m_runtime.SupervisionTree().Add({ "peer-links",
                                    RestartPolicy::Never,
                                    [this] { return StartLinks(); },
                                    [] {} });
  m_runtime.SupervisionTree().Add({ "config-watcher",
                                    RestartPolicy::Always,
                                    [this]() -> Result<void> {
                                      m_watcher.Start(
                                        m_membership->Self().m_address);
                                      return {};
                                    },
                                    [this] { m_watcher.Stop(); } });
  m_runtime.SupervisionTree().Add(
    { "caller-server",
      RestartPolicy::Never,
      [this]() -> Result<void> {
        return m_callerServer.Start(m_settings.m_callerListen)
          .map([](uint16_t aPort) {
            Log(LogLevel::Info, "callers-listening", { { "port", aPort } });
          });
      },
      [this] { m_callerServer.Stop(); } });
  m_runtime.AddAdminChild();
}

Result<void>
BalancerNode::StartLinks()
{
  auto self = m_runtime.Listen(MakePeerCallbacks(), m_incarnation);
  if (!self) {
    return tl::unexpected(self.error());
  }
  m_membership.emplace(
    Membership::Options{}, *self, StableHash(self->m_id, m_incarnation));
  return {};
}

PeerCallbacks
BalancerNode::MakePeerCallbacks()
{
  PeerCallbacks callbacks;
  callbacks.m_onReply = [this](const std::string& aAddress,
                               const std::string& aBytes) {
    OnPeerReply(aAddress, aBytes);
  };
  callbacks.m_onMessage = [this](uint64_t aLink, const std::string& aBytes) {
    OnPeerMessage(aLink, aBytes);
  };
  callbacks.m_onNotSent = [this](const std::string&, uint64_t aTag) {
    HandleEvent(ForwardNotSent{ aTag });
  };
  callbacks.m_onLinkLost = [this](const std::string& aAddress, Lane aLane) {
    HandleEvent(AgentLinkLost{ aAddress, WorkOf(aLane) });
  };
  callbacks.m_onAcceptedLinkLost = [](uint64_t) {};
  return callbacks;
}

void
BalancerNode::AddRoutes()
{
  m_runtime.Admin().Add("GET /status",
                        [this](const HttpIncoming&) { return Status(); });
  m_runtime.Admin().Add("GET /config",
                        [this](const HttpIncoming&) { return ShowConfig(); });
  m_runtime.Admin().Add("GET /explain", [this](const HttpIncoming& aRequest) {
    return Explain(aRequest);
  });
}

void
BalancerNode::OnCallerMessage(HttpIncoming aIncoming, HttpReply aReply)
{
  if (aIncoming.m_path == "/-/health") {
    return aReply(HealthResponse());
  }
  m_hub.Post(
    [this, incoming = std::move(aIncoming), reply = std::move(aReply)] {
      if (incoming.m_path == "/-/announce") {
        return OnAnnounce(incoming, reply);
      }
      m_lastRequestTime = m_hub.Now();
      CallerRequest request = ParseCallerRequest(incoming);
      request.m_id = m_nextRequestId++;
      m_pendingReplies[request.m_id] = reply;
      HandleEvent(request);
    });
}

HttpOutgoing
BalancerNode::HealthResponse() const
{
  if (m_isDraining) {
    return { kHttpUnavailable, {}, "text/plain", "draining\n" };
  }
  if (!m_isReady) {
    return { kHttpUnavailable, {}, "text/plain", "starting\n" };
  }
  return { kHttpOk, {}, "text/plain", "ready\n" };
}

void
BalancerNode::OnAnnounce(const HttpIncoming& aIncoming, const HttpReply& aReply)
{
  Result<PeerMessage> message =
    DecodeMessage(aIncoming.m_body, aIncoming.m_peer);
  if (!message || !std::holds_alternative<Heartbeat>(*message)) {
    return aReply(
      { 400, {}, "text/plain", "body is not a heartbeat message\n" });
  }
  HeartbeatReply reply = m_membership->OnHeartbeat(
    m_hub.Now(), std::get<Heartbeat>(*message), m_config.Current()->m_version);
  aReply({ 200, {}, "application/cbor", EncodeMessage(reply) });
}

void
BalancerNode::OnPeerMessage(uint64_t aLink, const std::string& aBytes)
{
  std::optional<PeerMessage> message =
    m_runtime.Decode(aBytes, std::to_string(aLink));
  if (!message) {
    return;
  }
  std::visit([&](const auto& aPayload) { Handle(aLink, aPayload); }, *message);
}

void
BalancerNode::OnPeerReply(const std::string& aAddress,
                          const std::string& aBytes)
{
  std::optional<PeerMessage> message = m_runtime.Decode(aBytes, aAddress);
  if (!message) {
    return;
  }
  if (auto* answer = std::get_if<Answer>(&*message)) {
    HandleEvent(AgentAnswer{ aAddress, std::move(*answer) });
  } else if (auto* reply = std::get_if<HeartbeatReply>(&*message)) {
    m_membership->OnHeartbeatReply(*reply);
    RequestConfigIfNewer(aAddress, reply->m_configVersion);
  } else if (auto* delta = std::get_if<ConfigDelta>(&*message)) {
    ApplyDelta(*delta, aAddress);
  }
}

void
BalancerNode::Handle(uint64_t aLink, const Heartbeat& aHeartbeat)
{
  HeartbeatReply reply = m_membership->OnHeartbeat(
    m_hub.Now(), aHeartbeat, m_config.Current()->m_version);
  m_hub.SendOnLink(aLink, EncodeMessage(reply));
}

void
BalancerNode::Handle(uint64_t /*aLink*/, const Gossip& aGossip)
{
  m_membership->OnGossip(m_hub.Now(), aGossip);
  RequestConfigIfNewer(aGossip.m_from, aGossip.m_configVersion);
}

void
BalancerNode::Handle(uint64_t /*aLink*/, const SyncDigest& aDigest)
{
  Send(m_membership->OnSyncDigest(aDigest));
}

void
BalancerNode::Handle(uint64_t /*aLink*/, const SyncRecords& aRecords)
{
  Send(m_membership->OnSyncRecords(m_hub.Now(), aRecords));
}

void
BalancerNode::Handle(uint64_t aLink, const ConfigRequest& aRequest)
{
  m_hub.SendOnLink(
    aLink, EncodeMessage(m_config.Current()->DeltaSince(aRequest.m_have)));
}

template<typename Other>
void
BalancerNode::Handle(uint64_t aLink, const Other& /*aOther*/)
{
  Log(LogLevel::Warning, "message-not-for-a-balancer", { { "link", aLink } });
}

void
BalancerNode::RequestConfigIfNewer(const std::string& aAddress,
                                   uint64_t aPeerVersion)
{
  uint64_t ownVersion = m_config.Current()->m_version;
  if (aPeerVersion > ownVersion) {
    SendMessageTo(m_hub, aAddress, ConfigRequest{ ownVersion });
  }
}

void
BalancerNode::ApplyDelta(const ConfigDelta& aDelta, const std::string& aFrom)
{
  if (m_config.Apply(aDelta) != ApplyResult::Applied) {
    return;
  }
  m_watcher.Control().m_config = m_config.Current();
  Log(LogLevel::Info,
      "config-in-force",
      { { "version", aDelta.m_toVersion },
        { "publisher", aDelta.m_publisher },
        { "from", aFrom } });
  HandleEvent(ConfigChanged{ m_config.Current() });
}

void
BalancerNode::UpdateCoreMembership()
{
  bool isStale = m_membership->IsStale(m_hub.Now());
  if (isStale != m_wasStale) {
    m_wasStale = isStale;
    HandleEvent(StalenessChanged{ isStale });
  }
  if (m_coreMembershipVersion != m_membership->Version()) {
    m_coreMembershipVersion = m_membership->Version();
    HandleEvent(MembersChanged{ m_membership->Records() });
  }
}

void
BalancerNode::Tick()
{
  TimePoint now = m_hub.Now();
  Send(m_membership->OnTick(now, m_config.Current()->m_version));
  UpdateCoreMembership();
  m_watcher.Control().m_shouldWatch = m_membership->Ring().IsAmongFirstOfDomain(
    m_settings.m_id, m_settings.m_domain, kWatchersPerDomain);
  m_isReady = m_isReady || m_membership->IsSettled(now);
  if (m_isDraining && !m_isDrained) {
    StopWhenDrained();
  }
}

void
BalancerNode::HandleEvent(const BalancerEvent& aEvent)
{
  for (const BalancerAction& action : m_core.OnEvent(m_hub.Now(), aEvent)) {
    std::visit(
      [this](const auto& aConcreteAction) { Execute(aConcreteAction); },
      action);
  }
}

void
BalancerNode::Execute(const SendForward& aAction)
{
  m_hub.SendTo(aAction.m_address,
               LaneOf(aAction.m_work),
               { EncodeMessage(aAction.m_forward),
                 aAction.m_forward.m_stream,
                 Milliseconds(aAction.m_forward.m_remainingMs) });
}

void
BalancerNode::Execute(const SendCancel& aAction)
{
  m_hub.SendTo(aAction.m_address,
               LaneOf(aAction.m_work),
               { EncodeMessage(aAction.m_cancel), 0, {} });
}

void
BalancerNode::Execute(const AnswerCaller& aAction)
{
  m_outcomes[static_cast<size_t>(aAction.m_answer.m_outcome)] += 1;
  auto found = m_pendingReplies.find(aAction.m_id);
  HttpReply reply = std::move(found->second);
  m_pendingReplies.erase(found);
  reply(ToHttpResponse(aAction.m_answer));
}

void
BalancerNode::Execute(const SetTimer& aAction)
{
  m_runtime.WakeAt(aAction.m_at, [this] { HandleEvent(TimerExpired{}); });
}

void
BalancerNode::Send(const std::vector<SendToPeer>& aSends)
{
  for (const SendToPeer& send : aSends) {
    SendMessageTo(m_hub, send.m_address, send.m_message);
  }
}

void
BalancerNode::BeginShutdown()
{
  // In this order: a tick that sees the flag compares with the start time.
  m_hub.Post([this] {
    m_drainStart = m_hub.Now();
    m_isDraining = true;
    m_membership->SetSelfState(MemberState::Draining);
    Log(LogLevel::Info,
        "drain-started",
        { { "waiting", m_core.WaitingCount() } });
  });
}

void
BalancerNode::StopWhenDrained()
{
  TimePoint now = m_hub.Now();
  bool hasFabricStopped = now - m_drainStart >= kFabricDetectionDelay &&
                          now - m_lastRequestTime >= kFlushDelay;
  bool isDrained = hasFabricStopped && m_core.WaitingCount() == 0;
  bool isOverdue = now - m_drainStart >= m_settings.m_drainLimit;
  if (!isDrained && !isOverdue) {
    return;
  }
  m_isDrained = true;
  Log(LogLevel::Info,
      "drain-ended",
      { { "waiting", m_core.WaitingCount() }, { "overdue", isOverdue } });
  m_membership->SetSelfState(MemberState::Left);
  Send(m_membership->OnTick(now, m_config.Current()->m_version));
  m_runtime.StopAfter(kFlushDelay);
}

AdminAnswer
BalancerNode::Status() const
{
  nlohmann::json outcomes = nlohmann::json::object();
  for (const auto& row : kOutcomeNames) {
    outcomes[std::string(row.m_name)] =
      m_outcomes[static_cast<size_t>(row.m_value)];
  }
  nlohmann::json members = nlohmann::json::array();
  for (const MemberRecord& member : m_membership->Records()) {
    members.push_back({ { "id", member.m_id },
                        { "role", NameOf(kRoleNames, member.m_role) },
                        { "address", member.m_address },
                        { "failure_domain", member.m_domain },
                        { "labels", member.m_labels },
                        { "state", NameOf(kMemberStateNames, member.m_state) },
                        { "accusers", member.m_suspectedBy.size() },
                        { "incarnation", member.m_incarnation } });
  }
  return { 200,
           { { "role", "balancer" },
             { "id", m_settings.m_id },
             { "failure_domain", m_settings.m_domain },
             { "config_version", m_config.Current()->m_version },
             { "draining", m_isDraining.load() },
             { "waiting", m_core.WaitingCount() },
             { "links", m_hub.LinkCount() },
             { "link_bytes_sent", m_hub.BytesSent() },
             { "link_bytes_received", m_hub.BytesReceived() },
             { "outcomes", outcomes },
             { "refusals", CountersToJson(kRefusalNames, m_core.Refusals()) },
             { "retries", CountersToJson(kRetryNames, m_core.Retries()) },
             { "members", members },
             { "supervisor",
               SupervisorToJson(m_runtime.SupervisionTree()) } } };
}

AdminAnswer
BalancerNode::Explain(const HttpIncoming& aRequest) const
{
  std::string service = aRequest.Parameter("service");
  std::string flow = aRequest.Parameter("flow");
  std::string token = aRequest.Parameter("token");
  nlohmann::json body = { { "service", service },
                          { "flow", flow },
                          { "config_version", m_config.Current()->m_version } };
  body["service_known"] = m_config.Current()->FindByName(service) != nullptr;
  nlohmann::json candidates = nlohmann::json::array();
  for (const ServerRef& server : m_core.Explain(service, flow)) {
    candidates.push_back({ { "server", server.m_id },
                           { "address", server.m_address },
                           { "incarnation", server.m_incarnation } });
  }
  body["candidates"] = std::move(candidates);
  if (!token.empty()) {
    Result<FlowToken> opened = OpenFlowToken(m_config.Current()->m_keys, token);
    body["token"] =
      opened
        ? nlohmann::json{ { "service", opened->m_service },
                          { "server", opened->m_binding.m_server },
                          { "incarnation", opened->m_binding.m_incarnation } }
        : nlohmann::json{ { "error", opened.error().m_detail } };
  }
  return { 200, std::move(body) };
}

AdminAnswer
BalancerNode::ShowConfig() const
{
  const ConfigSnapshot& config = *m_config.Current();
  nlohmann::json services = nlohmann::json::array();
  for (const auto& [name, entry] : config.m_services) {
    if (!entry.m_removed) {
      services.push_back(ToJson(entry.m_config));
    }
  }
  return { 200,
           { { "version", config.m_version },
             { "publisher", config.m_publisher },
             { "publish_id", config.m_publishId },
             { "services", std::move(services) } } };
}

} // namespace bilberryfield
