#include "FakeFlowNet.h"

#include <algorithm>
#include <cstring>

namespace bilberryfield {

namespace {

constexpr Duration kHeartbeatEvery = Milliseconds(800);
constexpr uint32_t kFirstServerIp = 0x0A000001;
constexpr uint32_t kFirstBalancerIp = 0x0A010001;
constexpr uint32_t kFirstCallerIp = 0x64400001;
constexpr uint16_t kPacketPort = 8000;
constexpr uint16_t kRequestBytes = 100;
constexpr uint16_t kAnswerBytes = 1000;

// The cores forward packets as bytes; here these bytes are the header itself.
std::vector<uint8_t>
ToBytes(const PacketHeader& aHeader)
{
  std::vector<uint8_t> bytes(sizeof(PacketHeader));
  std::memcpy(bytes.data(), &aHeader, sizeof(PacketHeader));
  return bytes;
}

PacketHeader
FromBytes(PacketBytes aBytes)
{
  PacketHeader header;
  std::memcpy(&header, aBytes.data(), sizeof(PacketHeader));
  return header;
}

} // namespace

FakeFlowNet::FakeFlowNet(uint64_t aSeed)
  : m_random(aSeed)
{
  Schedule(Duration(0), [this] { Tick(); });
}

void
FakeFlowNet::Schedule(Duration aDelay, std::function<void()> aRun)
{
  m_events.push({ m_now + aDelay, m_order++, std::move(aRun) });
}

void
FakeFlowNet::SendDelayed(std::function<void()> aRun)
{
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(m_random) < m_loss) {
    return;
  }
  std::uniform_int_distribution<int> delay(200, 1200);
  Schedule(Duration(delay(m_random)), std::move(aRun));
}

void
FakeFlowNet::SendToAgent(uint32_t aIp, std::function<void(Server&)> aRun)
{
  SendDelayed([this, aIp, run = std::move(aRun)] { ReceiveAtAgent(aIp, run); });
}

void
FakeFlowNet::ReceiveAtAgent(uint32_t aIp,
                            const std::function<void(Server&)>& aRun)
{
  Server& server = m_servers.at(aIp);
  if (server.m_isGone) {
    return;
  }
  if (m_now < server.m_pausedUntil) {
    return Schedule(server.m_pausedUntil - m_now,
                    [this, aIp, aRun] { ReceiveAtAgent(aIp, aRun); });
  }
  aRun(server);
}

void
FakeFlowNet::SendToBalancer(size_t aBalancer,
                            std::function<void(FlowBalancer&)> aRun)
{
  SendDelayed([this, aBalancer, run = std::move(aRun)] {
    ReceiveAtBalancer(aBalancer, run);
  });
}

void
FakeFlowNet::ReceiveAtBalancer(size_t aBalancer,
                               const std::function<void(FlowBalancer&)>& aRun)
{
  Node& balancer = m_balancers[aBalancer];
  if (m_now < balancer.m_pausedUntil) {
    return Schedule(balancer.m_pausedUntil - m_now, [this, aBalancer, aRun] {
      ReceiveAtBalancer(aBalancer, aRun);
    });
  }
  aRun(*balancer.m_core);
}

void
FakeFlowNet::RunFor(Duration aTime)
{
  TimePoint end = m_now + aTime;
  while (!m_events.empty() && m_events.top().m_at <= end) {
    Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_run();
  }
  m_now = end;
}

size_t
FakeFlowNet::AddBalancer(const std::string& aDomain)
{
  Node balancer;
  balancer.m_ip = kFirstBalancerIp + static_cast<uint32_t>(m_balancers.size());
  balancer.m_domain = aDomain;
  StartBalancer(balancer);
  m_balancers.push_back(std::move(balancer));
  m_rotation.push_back(m_balancers.size() - 1);
  return m_balancers.size() - 1;
}

void
FakeFlowNet::StartBalancer(Node& aBalancer)
{
  aBalancer.m_core =
    std::make_unique<FlowBalancer>(aBalancer.m_domain, m_random());
  if (m_resetsLostFlows) {
    aBalancer.m_core->EnableLostFlowResets();
  }
  if (m_routes) {
    aBalancer.m_core->SetRoutes(m_routes);
  }
  ListAgents(*aBalancer.m_core);
}

void
FakeFlowNet::ListAgents(FlowBalancer& aCore)
{
  std::vector<AgentEntry> entries;
  for (const auto& [ip, server] : m_servers) {
    entries.push_back(
      { server.m_listedService, server.m_domain, { ip, kPacketPort } });
  }
  aCore.Agents().SetListed(m_now, m_position, entries);
}

void
FakeFlowNet::ListAgentsEverywhere()
{
  m_position.m_revision += 1;
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    ReceiveAtBalancer(i, [this](FlowBalancer& aCore) { ListAgents(aCore); });
  }
}

uint32_t
FakeFlowNet::AddServer(const std::string& aService,
                       const std::string& aDomain,
                       uint32_t aSlots)
{
  uint32_t ip = kFirstServerIp + static_cast<uint32_t>(m_servers.size());
  Server& server = m_servers[ip];
  server.m_ip = ip;
  server.m_service = aService;
  server.m_listedService = aService;
  server.m_domain = aDomain;
  server.m_slots = aSlots;
  RestartAgent(ip);
  Heartbeat(server);
  ListAgentsEverywhere();
  return ip;
}

void
FakeFlowNet::RestartAgent(uint32_t aIp)
{
  Server& server = m_servers.at(aIp);
  FlowAgentOptions options;
  options.m_service = server.m_service;
  options.m_domain = server.m_domain;
  options.m_packets = { aIp, kPacketPort };
  options.m_heartbeatEvery = kHeartbeatEvery;
  options.m_ejectsFailingServer = m_ejectsFailingServers;
  options.m_startup = m_startup;
  server.m_agent = std::make_unique<FlowAgent>(options, m_now);
}

void
FakeFlowNet::RestartServer(uint32_t aIp)
{
  Server& server = m_servers.at(aIp);
  server.m_isGone = false;
  server.m_incarnation += 1;
  server.m_sequence = 0;
  server.m_flowStates.clear();
  server.m_queue.clear();
  server.m_running = 0;
}

void
FakeFlowNet::StartCold(uint32_t aIp, Duration aWarmup)
{
  RestartServer(aIp);
  Server& server = m_servers.at(aIp);
  server.m_isHung = false;
  server.m_coldUntil = m_now + aWarmup;
  SendHeartbeat(server);
}

void
FakeFlowNet::PauseServer(uint32_t aIp, Duration aTime)
{
  m_servers.at(aIp).m_pausedUntil = m_now + aTime;
}

void
FakeFlowNet::KillServer(uint32_t aIp)
{
  m_servers.at(aIp).m_isGone = true;
}

void
FakeFlowNet::GiveAddress(uint32_t aIp,
                         const std::string& aService,
                         Duration aAfter,
                         Duration aListedAfter)
{
  KillServer(aIp);
  Schedule(aAfter, [this, aIp, aService, aListedAfter] {
    m_servers.at(aIp).m_service = aService;
    RestartServer(aIp);
    RestartAgent(aIp);
    SendHeartbeat(m_servers.at(aIp));
    Schedule(aListedAfter, [this, aIp, aService] {
      m_servers.at(aIp).m_listedService = aService;
      ListAgentsEverywhere();
    });
  });
}

void
FakeFlowNet::PauseBalancer(size_t aBalancer, Duration aTime)
{
  m_balancers[aBalancer].m_pausedUntil = m_now + aTime;
}

void
FakeFlowNet::Drain(uint32_t aIp)
{
  Server& server = m_servers.at(aIp);
  server.m_isDraining = true;
  server.m_agent->OnHeartbeat(m_now,
                              { "s",
                                server.m_incarnation,
                                ++server.m_sequence,
                                server.m_service,
                                {},
                                server.m_slots,
                                true,
                                {} });
}

void
FakeFlowNet::HangServer(uint32_t aIp)
{
  m_servers.at(aIp).m_isHung = true;
}

void
FakeFlowNet::SetResetsRequests(uint32_t aIp, bool aResets)
{
  m_servers.at(aIp).m_resetsRequests = aResets;
}

void
FakeFlowNet::SendHeartbeat(Server& aServer)
{
  Duration warmupLeft = std::max(aServer.m_coldUntil - m_now, Duration(0));
  aServer.m_agent->OnHeartbeat(
    m_now,
    { "s",
      aServer.m_incarnation,
      ++aServer.m_sequence,
      aServer.m_service,
      {},
      aServer.m_slots,
      aServer.m_isDraining,
      std::chrono::duration_cast<Milliseconds>(warmupLeft) });
}

void
FakeFlowNet::Heartbeat(Server& aServer)
{
  bool isPaused = m_now < aServer.m_pausedUntil;
  if (!aServer.m_isHung && !aServer.m_isGone && !isPaused) {
    SendHeartbeat(aServer);
  }
  uint32_t ip = aServer.m_ip;
  Schedule(kHeartbeatEvery, [this, ip] { Heartbeat(m_servers.at(ip)); });
}

void
FakeFlowNet::SetRoutes(const std::vector<Route>& aRoutes)
{
  RouteTable table;
  table.m_version = ++m_version;
  table.m_services = m_warmups;
  for (const Route& route : aRoutes) {
    table.m_routes[route.m_address] = route;
    for (const RouteTarget& target : route.m_targets) {
      m_everTargets[route.m_address].insert(target.m_service);
    }
  }
  m_routes = std::make_shared<const RouteTable>(std::move(table));
  for (Node& balancer : m_balancers) {
    balancer.m_core->SetRoutes(m_routes);
  }
}

void
FakeFlowNet::SetRotation(std::vector<size_t> aBalancers)
{
  m_rotation = std::move(aBalancers);
}

void
FakeFlowNet::RestartBalancer(size_t aBalancer)
{
  StartBalancer(m_balancers[aBalancer]);
}

size_t
FakeFlowNet::BalancerAt(uint32_t aIp) const
{
  return aIp - kFirstBalancerIp;
}

void
FakeFlowNet::Tick()
{
  for (auto& [ip, server] : m_servers) {
    if (server.m_isGone || m_now < server.m_pausedUntil) {
      continue;
    }
    for (UnansweredSyn& syn : server.m_agent->TakeUnansweredSyns(m_now)) {
      ReturnToBalancer(server,
                       syn.m_balancerIp,
                       ReturnReason::Silent,
                       FromBytes({ syn.m_bytes.data(), syn.m_bytes.size() }));
    }
    DueReports due = server.m_agent->OnTick(m_now);
    if (!m_relaysEvacuations) {
      due.m_report.m_evacuations = {};
    }
    ApplyDequeuedPackets(server);
    for (uint32_t balancerIp : due.m_reportRecipients) {
      SendToBalancer(BalancerAt(balancerIp),
                     [this, report = due.m_report](FlowBalancer& aCore) {
                       aCore.Agents().OnReport(m_now, report);
                     });
    }
    for (uint32_t balancerIp : due.m_loadRecipients) {
      SendToBalancer(
        BalancerAt(balancerIp),
        [this, agentIp = ip, load = due.m_load](FlowBalancer& aCore) {
          aCore.Agents().OnLoad(m_now, agentIp, load);
        });
    }
  }
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    if (m_now < m_balancers[i].m_pausedUntil) {
      continue;
    }
    m_balancers[i].m_core->SetAgentsCurrent(m_now, m_areAgentsCurrent);
    ExecuteSteps(i, m_balancers[i].m_core->OnTick(m_now), {});
    SendSubscriptions(m_balancers[i]);
  }
  Schedule(FlowAgent::kTick, [this] { Tick(); });
}

void
FakeFlowNet::SendSubscriptions(Node& aBalancer)
{
  RoutesHolder routes{ aBalancer.m_core->RoutesVersion(), {} };
  for (const DueSubscription& due :
       TakeDueSubscriptions(m_now,
                            aBalancer.m_core->Agents(),
                            routes,
                            {},
                            aBalancer.m_core->Services())) {
    SendToAgent(due.m_agentIp, [this, due, ip = aBalancer.m_ip](auto& aServer) {
      aServer.m_agent->OnSubscribe(m_now, ip, due.m_message);
    });
  }
}

size_t
FakeFlowNet::OpenFlow(const Endpoint& aService)
{
  size_t number = m_flows.size();
  FakeFlow flow;
  flow.m_key = { { kFirstCallerIp + static_cast<uint32_t>(number / 1000),
                   static_cast<uint16_t>(1024 + number % 1000) },
                 aService };
  flow.m_seq = static_cast<uint32_t>(m_random());
  flow.m_openedAt = m_now;
  m_flowNumbers[flow.m_key] = number;
  m_flows.push_back(flow);
  SendFromCaller(number, kSyn, 0);
  ScheduleRetransmission(number, Milliseconds(200));
  Schedule(m_callerTimeout, [this, number] {
    FakeFlow& pending = m_flows[number];
    if (pending.m_state == FlowState::Handshake ||
        pending.m_state == FlowState::Open) {
      pending.m_state = FlowState::TimedOut;
    }
  });
  return number;
}

void
FakeFlowNet::OpenFlows(const Endpoint& aService, int aPerSecond, Duration aTime)
{
  Duration gap = Duration(Seconds(1)) / aPerSecond;
  for (Duration elapsed{ 0 }; elapsed < aTime; elapsed += gap) {
    OpenFlow(aService);
    RunFor(gap);
  }
}

size_t
FakeFlowNet::LateFlows(size_t aFirst) const
{
  auto first = m_flows.begin() + static_cast<ptrdiff_t>(aFirst);
  return static_cast<size_t>(std::count_if(first, m_flows.end(), [](auto& aIt) {
    return aIt.m_state != FlowState::Answered ||
           aIt.m_answeredAt - aIt.m_openedAt > Milliseconds(150);
  }));
}

// Retransmits the SYN, and after the handshake the request, until an answer
// arrives.
void
FakeFlowNet::ScheduleRetransmission(size_t aFlow, Duration aDelay)
{
  static constexpr Duration kMaxDelay = Milliseconds(1600);
  Schedule(aDelay, [this, aFlow, aDelay] {
    const FakeFlow& flow = m_flows[aFlow];
    if (flow.m_state == FlowState::Handshake) {
      SendFromCaller(aFlow, kSyn, 0);
    } else if (flow.m_state == FlowState::Open) {
      SendFromCaller(aFlow, kAck, kRequestBytes);
    } else {
      return;
    }
    if (aDelay < kMaxDelay) {
      ScheduleRetransmission(aFlow, 2 * aDelay);
    }
  });
}

void
FakeFlowNet::RepeatRequest(size_t aFlow)
{
  if (m_flows[aFlow].m_state == FlowState::Open) {
    SendFromCaller(aFlow, kAck, kRequestBytes);
  }
}

void
FakeFlowNet::SendFromCaller(size_t aFlow, uint8_t aFlags, uint16_t aLength)
{
  FakeFlow& flow = m_flows[aFlow];
  PacketHeader header;
  header.m_source = flow.m_key.m_caller;
  header.m_destination = flow.m_key.m_service;
  header.m_flags = aFlags;
  header.m_seq = flow.m_seq + ((aFlags & kSyn) != 0 ? 0 : 1);
  header.m_ack =
    (aFlags & kSyn) != 0 ? flow.m_sentPackets : flow.m_serverSeq + 1;
  header.m_length = aLength;
  flow.m_sentPackets += 1;
  if (m_rotation.empty()) {
    return;
  }
  // The fabric's hash over the balancers in rotation.
  size_t hash = flow.m_key.m_caller.m_port * size_t{ 2654435761U };
  size_t balancer = m_rotation[(hash >> 8) % m_rotation.size()];
  SendToBalancer(balancer, [this, balancer, header](FlowBalancer& aCore) {
    std::vector<uint8_t> bytes = ToBytes(header);
    ExecuteSteps(balancer, aCore.OnCallerPacket(m_now, header, bytes), header);
  });
}

void
FakeFlowNet::ExecuteSteps(size_t aBalancer,
                          const std::vector<BalancerStep>& aSteps,
                          const PacketHeader& aHeader)
{
  uint32_t balancerIp = m_balancers[aBalancer].m_ip;
  for (const BalancerStep& step : aSteps) {
    PacketHeader header =
      step.m_heldPacket.empty() ? aHeader : FromBytes(step.m_heldPacket);
    header.m_tag = step.m_tag;
    header.m_mark = step.m_mark;
    if (step.m_action == FlowBalancerAction::Forward) {
      uint32_t ip = step.m_packets.m_ip;
      SendToAgent(ip, [this, ip, header, balancerIp](const Server&) {
        DeliverToAgent(ip, header, balancerIp);
      });
    } else if (step.m_action == FlowBalancerAction::Reset) {
      PacketHeader reset;
      reset.m_source = step.m_flow.m_service;
      reset.m_destination = step.m_flow.m_caller;
      reset.m_flags = kReset;
      SendDelayed([this, reset] { DeliverToCaller(reset); });
    } else if (step.m_action == FlowBalancerAction::Query) {
      for (uint32_t ip : step.m_queriedAgents) {
        SendQuery(aBalancer, ip, { step.m_flow, step.m_seqOrAck });
      }
    }
  }
}

void
FakeFlowNet::SendQuery(size_t aBalancer, uint32_t aIp, const FlowQuery& aQuery)
{
  m_queryCount += 1;
  SendToAgent(aIp, [this, aIp, aQuery, aBalancer](auto& aServer) {
    FlowAnswer answer = aServer.m_agent->OnQuery(m_now, aQuery);
    SendToBalancer(
      aBalancer, [this, aIp, answer, aBalancer](FlowBalancer& aCore) {
        ExecuteSteps(aBalancer, aCore.OnAnswer(m_now, aIp, answer), {});
      });
  });
}

void
FakeFlowNet::DeliverToAgent(uint32_t aIp,
                            PacketHeader aHeader,
                            uint32_t aBalancerIp)
{
  Server& server = m_servers.at(aIp);
  std::vector<uint8_t> bytes = ToBytes(aHeader);
  AgentDecision decision =
    server.m_agent->OnBalancerPacket(m_now, aHeader, bytes, aBalancerIp);
  ApplyDecision(server, decision, aHeader, aBalancerIp);
  ApplyDequeuedPackets(server);
}

void
FakeFlowNet::ApplyDequeuedPackets(Server& aServer)
{
  for (const DequeuedPacket& dequeued :
       aServer.m_agent->TakeDequeuedPackets(m_now)) {
    ApplyDecision(aServer,
                  dequeued.m_decision,
                  dequeued.m_packet.m_header,
                  dequeued.m_packet.m_balancerIp);
  }
}

void
FakeFlowNet::ApplyDecision(Server& aServer,
                           const AgentDecision& aDecision,
                           PacketHeader aHeader,
                           uint32_t aBalancerIp)
{
  switch (aDecision.m_action) {
    case FlowAgentAction::Deliver:
      aHeader.m_tag = aBalancerIp;
      DeliverToServer(aServer, aHeader);
      break;
    case FlowAgentAction::ToCaller:
      SendDelayed([this, aHeader] { DeliverToCaller(aHeader); });
      break;
    case FlowAgentAction::Return:
      ReturnToBalancer(
        aServer, aDecision.m_balancerIp, aDecision.m_reason, aHeader);
      break;
    case FlowAgentAction::Reset: {
      PacketHeader reset;
      reset.m_source = aHeader.m_destination;
      reset.m_destination = aHeader.m_source;
      reset.m_flags = kReset;
      SendDelayed([this, reset] { DeliverToCaller(reset); });
      break;
    }
    case FlowAgentAction::Queue:
    case FlowAgentAction::Drop:
      break;
  }
}

void
FakeFlowNet::ReturnToBalancer(Server& aServer,
                              uint32_t aBalancerIp,
                              ReturnReason aReason,
                              PacketHeader aHeader)
{
  m_returnCount += 1;
  aHeader.m_tag = aServer.m_agent->Load(m_now).Pack();
  aHeader.m_flags &= static_cast<uint8_t>(~kBounced);
  size_t balancer = BalancerAt(aBalancerIp);
  SendToBalancer(
    balancer,
    [this, aHeader, balancer, aReason, ip = aServer.m_ip](FlowBalancer& aCore) {
      std::vector<uint8_t> bytes = ToBytes(aHeader);
      ExecuteSteps(balancer,
                   aCore.OnReturnedPacket(m_now, aHeader, bytes, ip, aReason),
                   aHeader);
    });
}

void
FakeFlowNet::DeliverToServer(Server& aServer, const PacketHeader& aHeader)
{
  if (aServer.m_isHung) {
    return;
  }
  FlowKey key = aHeader.FlowFromCaller();
  if (aHeader.IsSyn()) {
    bool isMisplaced =
      !m_everTargets[key.m_service].contains(aServer.m_service);
    m_misplacedSyns += isMisplaced ? 1 : 0;
    aServer.m_synCount += 1;
    ServerFlow& state = aServer.m_flowStates[key];
    if (state.m_seq == 0) {
      aServer.m_flowTimes.push_back(m_now);
      state.m_seq = static_cast<uint32_t>(m_random()) | 1U;
    }
    return SendFromServer(aServer, key, kSyn | kAck, state.m_seq, 0);
  }
  FakeFlow& flow = m_flows[m_flowNumbers.at(key)];
  auto found = aServer.m_flowStates.find(key);
  bool isKnown = found != aServer.m_flowStates.end() &&
                 aHeader.m_ack - found->second.m_seq - 1 < kAnswerBytes + 2;
  if (!isKnown) {
    if (flow.m_server != 0 && flow.m_server != aServer.m_ip) {
      flow.m_misroutedPackets += 1;
    }
    PacketHeader bounced = aHeader;
    bounced.m_flags |= kBounced;
    bounced.m_mark = 0;
    AgentDecision decision = aServer.m_agent->OnServerPacket(m_now, bounced);
    return ApplyDecision(aServer, decision, bounced, bounced.m_tag);
  }
  found->second.m_isOpen = true;
  if (flow.m_server == 0) {
    flow.m_server = aServer.m_ip;
  }
  if (aHeader.m_length > 0 && !found->second.m_hasRequest) {
    found->second.m_hasRequest = true;
    if (aServer.m_resetsRequests) {
      return SendFromServer(aServer, key, kReset, found->second.m_seq + 1, 0);
    }
    if (aServer.m_queue.size() >= m_serverQueue) {
      flow.m_state = FlowState::Shed;
      return SendFromServer(
        aServer, key, kAck | kFin, found->second.m_seq + 1, 1);
    }
    aServer.m_queue.push_back(key);
    RunQueuedRequests(aServer);
    m_longestQueue = std::max(m_longestQueue, aServer.m_queue.size());
  }
}

void
FakeFlowNet::RunQueuedRequests(Server& aServer)
{
  while (aServer.m_running < aServer.m_slots && !aServer.m_queue.empty()) {
    FlowKey key = aServer.m_queue.front();
    aServer.m_queue.pop_front();
    aServer.m_running += 1;
    bool isSlow = m_now < aServer.m_coldUntil && m_coldRequestTime.count() > 0;
    Schedule(
      isSlow ? m_coldRequestTime : m_requestTime,
      [this, key, ip = aServer.m_ip, incarnation = aServer.m_incarnation] {
        Server& server = m_servers.at(ip);
        if (server.m_incarnation != incarnation || server.m_isGone ||
            server.m_isHung) {
          return;
        }
        server.m_running -= 1;
        SendFromServer(server,
                       key,
                       kAck | kFin,
                       server.m_flowStates[key].m_seq + 1,
                       kAnswerBytes);
        RunQueuedRequests(server);
      });
  }
}

void
FakeFlowNet::SendFromServer(Server& aServer,
                            const FlowKey& aKey,
                            uint8_t aFlags,
                            uint32_t aSeq,
                            uint16_t aLength)
{
  PacketHeader header;
  header.m_source = aKey.m_service;
  header.m_destination = aKey.m_caller;
  header.m_flags = aFlags;
  header.m_seq = aSeq;
  header.m_length = aLength;
  ApplyDecision(
    aServer, aServer.m_agent->OnServerPacket(m_now, header), header, 0);
  ApplyDequeuedPackets(aServer);
}

void
FakeFlowNet::DeliverToCaller(const PacketHeader& aHeader)
{
  size_t number = m_flowNumbers.at(aHeader.FlowFromServer());
  FakeFlow& flow = m_flows[number];
  if (flow.m_state != FlowState::Handshake && flow.m_state != FlowState::Open) {
    return;
  }
  if (aHeader.Has(kReset)) {
    flow.m_state = FlowState::Reset;
    flow.m_resetAt = m_now;
  } else if (aHeader.Has(kSyn) && flow.m_state == FlowState::Handshake) {
    flow.m_state = FlowState::Open;
    flow.m_serverSeq = aHeader.m_seq;
    if (m_callerDelay > Duration(0)) {
      Schedule(m_callerDelay,
               [this, number] { SendFromCaller(number, kAck, kRequestBytes); });
    } else {
      SendFromCaller(number, kAck, kRequestBytes);
    }
    ScheduleRetransmission(number, Milliseconds(200));
  } else if (aHeader.m_length > 0 && flow.m_state == FlowState::Open) {
    flow.m_state = FlowState::Answered;
    flow.m_answeredAt = m_now;
  }
}

uint32_t
FakeFlowNet::SynCountAt(uint32_t aIp) const
{
  return m_servers.at(aIp).m_synCount;
}

const std::vector<TimePoint>&
FakeFlowNet::FlowTimesAt(uint32_t aIp) const
{
  return m_servers.at(aIp).m_flowTimes;
}

const std::string&
FakeFlowNet::ServiceOf(uint32_t aIp) const
{
  return m_servers.at(aIp).m_service;
}

} // namespace bilberryfield
