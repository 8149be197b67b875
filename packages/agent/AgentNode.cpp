#include "AgentNode.h"

#include "StatusJson.h"

namespace bilberryfield {

namespace {

constexpr Duration kTickInterval = Milliseconds(200);
constexpr Duration kFabricTimeout = Milliseconds(1500);
// Work that overruns its deadline releases its slot after at most this time.
constexpr Duration kOverrunLimit = Seconds(30);
// Time to send the last heartbeats and answers before the process exits.
constexpr Duration kFlushDelay = Milliseconds(300);
constexpr const char* kAnnouncePath = "/-/announce";

WorkEnd
ToWorkEnd(HttpEnd aEnd)
{
  switch (aEnd) {
    case HttpEnd::Answered:
      return WorkEnd::Answered;
    case HttpEnd::Refused:
      return WorkEnd::NotSent;
    case HttpEnd::Lost:
      break;
  }
  return WorkEnd::Lost;
}

} // namespace

AgentNode::AgentNode(Settings aSettings, uint64_t aIncarnation)
  : m_settings(std::move(aSettings))
  , m_incarnation(aIncarnation)
  , m_runtime("agent", m_settings)
  , m_hub(m_runtime.Hub())
  , m_server(HttpClientOptions{})
  , m_fabric(HttpClientOptions{})
  , m_journalWriter(m_settings.m_platform, [this](uint64_t aSequence) {
    m_hub.Post(
      [this, aSequence] { m_core->RequestJournal().OnStored(aSequence); });
  })
{
}

Result<void>
AgentNode::Start()
{
  AddRoutes();
  AddChildren();
  return m_runtime.Start(kTickInterval, [this] { Tick(); });
}

void
AgentNode::AddChildren()
{
  m_runtime.SupervisionTree().Add({ "peer-links",
                                    RestartPolicy::Never,
                                    [this] { return StartLinks(); },
                                    [] {} });
  m_runtime.SupervisionTree().Add({ "journal-writer",
                                    RestartPolicy::Always,
                                    [this]() -> Result<void> {
                                      m_journalWriter.Start();
                                      return {};
                                    },
                                    [this] { m_journalWriter.Stop(); } });
  m_runtime.AddAdminChild();
}

Result<void>
AgentNode::StartLinks()
{
  auto self = m_runtime.Listen(MakePeerCallbacks(), m_incarnation);
  if (!self) {
    return tl::unexpected(self.error());
  }
  m_announcer.emplace(Announcer::Options{}, *self);

  AgentOptions options;
  options.m_server = self->m_id;
  options.m_address = self->m_address;
  options.m_incarnation = m_incarnation;
  options.m_labels = self->m_labels;
  options.m_admission.m_slots = m_settings.m_slots;
  options.m_admission.m_longShare = m_settings.m_longShare;
  options.m_drainGrace = m_settings.m_drainGrace;
  m_core.emplace(options);
  return {};
}

PeerCallbacks
AgentNode::MakePeerCallbacks()
{
  PeerCallbacks callbacks;
  callbacks.m_onReply = [this](const std::string& aAddress,
                               const std::string& aBytes) {
    OnPeerReply(aAddress, aBytes);
  };
  callbacks.m_onMessage = [this](uint64_t aLink, const std::string& aBytes) {
    OnPeerMessage(aLink, aBytes);
  };
  callbacks.m_onNotSent = [](const std::string&, uint64_t) {};
  callbacks.m_onLinkLost = [](const std::string&, Lane) {};
  callbacks.m_onAcceptedLinkLost = [this](uint64_t aLink) {
    HandleEvent(BalancerLinkLost{ aLink });
  };
  return callbacks;
}

void
AgentNode::AddRoutes()
{
  m_runtime.Admin().Add("GET /status",
                        [this](const HttpIncoming&) { return Status(); });
  m_runtime.Admin().Add("POST /drain", [this](const HttpIncoming&) {
    SetDraining(true);
    return Status();
  });
  m_runtime.Admin().Add("POST /undrain", [this](const HttpIncoming&) {
    SetDraining(false);
    return Status();
  });
}

void
AgentNode::OnPeerMessage(uint64_t aLink, const std::string& aBytes)
{
  std::optional<PeerMessage> message =
    m_runtime.Decode(aBytes, std::to_string(aLink));
  if (!message) {
    return;
  }
  if (auto* forward = std::get_if<Forward>(&*message)) {
    HandleEvent(ForwardArrived{ aLink, std::move(*forward) });
  } else if (auto* cancel = std::get_if<Cancel>(&*message)) {
    HandleEvent(CancelArrived{ aLink, *cancel });
  } else {
    Log(LogLevel::Warning, "message-not-for-an-agent", { { "link", aLink } });
  }
}

void
AgentNode::OnPeerReply(const std::string& aAddress, const std::string& aBytes)
{
  std::optional<PeerMessage> message = m_runtime.Decode(aBytes, aAddress);
  if (!message) {
    return;
  }
  if (auto* reply = std::get_if<HeartbeatReply>(&*message)) {
    OnHeartbeatReply(aAddress, *reply);
  } else if (auto* delta = std::get_if<ConfigDelta>(&*message)) {
    if (m_config.Apply(*delta) == ApplyResult::Applied) {
      Log(LogLevel::Info,
          "config-in-force",
          { { "version", delta->m_toVersion }, { "from", aAddress } });
      HandleEvent(AgentConfigChanged{ m_config.Current() });
    }
  }
}

void
AgentNode::OnHeartbeatReply(const std::string& aAddress,
                            const HeartbeatReply& aReply)
{
  m_announcer->OnReply(m_hub.Now(), aReply);
  uint64_t ownVersion = m_config.Current()->m_version;
  if (aReply.m_configVersion > ownVersion && !aAddress.empty()) {
    SendMessageTo(m_hub, aAddress, ConfigRequest{ ownVersion });
  }
}

void
AgentNode::Announce()
{
  HeartbeatBatch step =
    m_announcer->OnTick(m_hub.Now(), m_config.Current()->m_version);
  for (const SendToPeer& send : step.m_sends) {
    SendMessageTo(m_hub, send.m_address, send.m_message);
  }
  if (!step.m_viaFabric) {
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_host = m_settings.m_fabric;
  call.m_path = kAnnouncePath;
  call.m_contentType = "application/cbor";
  call.m_body = EncodeMessage(*step.m_viaFabric);
  call.m_timeout = kFabricTimeout;
  m_fabric.Send(call, [this](const HttpResult& aResult) {
    if (aResult.m_end != HttpEnd::Answered) {
      return;
    }
    m_hub.Post([this, body = aResult.m_body] {
      Result<PeerMessage> reply = DecodeMessage(body, m_settings.m_fabric);
      if (reply && std::holds_alternative<HeartbeatReply>(*reply)) {
        OnHeartbeatReply("", std::get<HeartbeatReply>(*reply));
      }
    });
  });
}

void
AgentNode::Tick()
{
  Announce();
  HandleEvent(AgentTimerExpired{});
  StoreJournal(false);
  if (m_isStopping) {
    StopWhenDrained();
  }
}

void
AgentNode::StoreJournal(bool aIsFinal)
{
  // The platform sustains several hundred writes per second in total, so each
  // agent writes rarely and in large batches.
  constexpr size_t kMaxBatchRecords = 2000;
  TimePoint now = m_hub.Now();
  if (now < m_nextJournalWrite && !aIsFinal) {
    return;
  }
  Journal& journal = m_core->RequestJournal();
  if (journal.PendingCount() == 0) {
    return;
  }
  bool isAccepted =
    m_journalWriter.Write({ journal.Origin(),
                            journal.LostCount(),
                            journal.PendingBatch(kMaxBatchRecords) });
  if (isAccepted) {
    m_nextJournalWrite = now + m_settings.m_journalEvery;
  }
}

void
AgentNode::HandleEvent(const AgentEvent& aEvent)
{
  for (const AgentAction& action : m_core->OnEvent(m_hub.Now(), aEvent)) {
    std::visit(
      [this](const auto& aConcreteAction) { Execute(aConcreteAction); },
      action);
  }
}

void
AgentNode::Execute(const StartWork& aAction)
{
  HttpCall call;
  call.m_method = aAction.m_request.m_method;
  call.m_host = m_settings.m_server;
  call.m_path = aAction.m_request.m_path;
  call.m_contentType = aAction.m_request.m_contentType;
  call.m_body = aAction.m_request.m_body;
  call.m_headers = { { "Bilberry-Work", std::to_string(aAction.m_work) },
                     { "Bilberry-Deadline-Ms",
                       std::to_string(ToMilliseconds(aAction.m_limit)) } };
  call.m_timeout = aAction.m_limit + kOverrunLimit;
  m_server.Send(call, [this, work = aAction.m_work](HttpResult aResult) {
    m_hub.Post([this, work, result = std::move(aResult)] {
      HandleEvent(
        WorkEnded{ work,
                   ToWorkEnd(result.m_end),
                   { result.m_status, result.m_contentType, result.m_body } });
    });
  });
}

void
AgentNode::Execute(const CancelWork& aAction)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_host = m_settings.m_server;
  call.m_path = "/-/cancel?work=" + std::to_string(aAction.m_work);
  // The response is ignored: the slot stays occupied until the work itself
  // ends, even if the server does not support cancellation.
  m_server.Send(call, [](const HttpResult&) {});
}

void
AgentNode::Execute(const SendAnswer& aAction)
{
  m_hub.SendOnLink(aAction.m_link, EncodeMessage(aAction.m_answer));
}

void
AgentNode::Execute(const SetAgentTimer& aAction)
{
  m_runtime.WakeAt(aAction.m_at, [this] { HandleEvent(AgentTimerExpired{}); });
}

void
AgentNode::SetDraining(bool aIsDraining)
{
  if (m_core->IsDraining() == aIsDraining) {
    return;
  }
  m_announcer->SetState(aIsDraining ? MemberState::Draining
                                    : MemberState::Alive);
  HandleEvent(DrainChanged{ aIsDraining });
  Announce();
  LoadReport load = m_core->Load();
  Log(LogLevel::Info,
      aIsDraining ? "drain-started" : "drain-cancelled",
      { { "running", load.m_running }, { "queued", load.m_queued } });
}

void
AgentNode::BeginShutdown()
{
  m_hub.Post([this] {
    m_isStopping = true;
    m_shutdownStart = m_hub.Now();
    SetDraining(true);
  });
}

void
AgentNode::StopWhenDrained()
{
  TimePoint now = m_hub.Now();
  Duration elapsed = now - m_shutdownStart;
  bool isDrained =
    elapsed >= m_settings.m_drainGrace + m_settings.m_drainLinger &&
    m_core->IsIdle();
  bool isOverdue = elapsed >= m_settings.m_drainLimit;
  if (isDrained && !isOverdue && m_core->RequestJournal().PendingCount() > 0) {
    // Store the remaining records before the process exits.
    return StoreJournal(true);
  }
  if (!isDrained && !isOverdue) {
    return;
  }
  m_isStopping = false;
  Log(LogLevel::Info,
      "drain-ended",
      { { "idle", m_core->IsIdle() }, { "overdue", isOverdue } });
  m_announcer->SetState(MemberState::Left);
  Announce();
  m_runtime.StopAfter(kFlushDelay);
}

AdminAnswer
AgentNode::Status() const
{
  LoadReport load = m_core->Load();
  const MemberRecord& self = m_announcer->Self();
  return { 200,
           { { "role", "agent" },
             { "id", self.m_id },
             { "failure_domain", self.m_domain },
             { "state", NameOf(kMemberStateNames, self.m_state) },
             { "labels", self.m_labels },
             { "config_version", m_config.Current()->m_version },
             { "running", load.m_running },
             { "queued", load.m_queued },
             { "slots", load.m_slots },
             { "flows", m_core->FlowCount() },
             { "ledger_entries", m_core->LedgerSize() },
             { "served", m_core->ServedCount() },
             { "links", m_hub.LinkCount() },
             { "link_bytes_sent", m_hub.BytesSent() },
             { "link_bytes_received", m_hub.BytesReceived() },
             { "journal_pending", m_core->RequestJournal().PendingCount() },
             { "journal_dropped", m_core->RequestJournal().LostCount() },
             { "refusals", CountersToJson(kRefusalNames, m_core->Refusals()) },
             { "supervisor",
               SupervisorToJson(m_runtime.SupervisionTree()) } } };
}

} // namespace bilberryfield
