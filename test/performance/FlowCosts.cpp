// Measures what a packet, a flow and an agent cost on the packet path, beside
// bare sockets. Prints one JSON line for each figure; docs/CAPACITY.md is
// worked out from them.

#include "EventLoop.h"
#include "Figures.h"
#include "FlowAgent.h"
#include "FlowBalancer.h"
#include "FlowCodec.h"
#include "PacketCodec.h"
#include "SocketAddress.h"
#include "SubscriptionSchedule.h"

#include <unistd.h>

namespace {

using namespace bilberryfield;

constexpr uint32_t kFirstAgent = 0x0A010001;
constexpr uint32_t kFirstCaller = 0x0A400001;
constexpr uint32_t kBalancer = 0x0A000001;
constexpr uint16_t kPort = 8000;
constexpr size_t kFlows = 100'000;
constexpr size_t kDataBytes = 66;
/** Backend servers behind one address at the two-year target. */
constexpr size_t kAgentsOfAService = 7;

Endpoint
AddressOf(size_t aService)
{
  return { 0x0AC80001 + static_cast<uint32_t>(aService), 80 };
}

std::string
NameOf(size_t aService)
{
  return "service-" + std::to_string(aService);
}

AgentReport
ReportOf(size_t aAgent, size_t aService)
{
  AgentReport report;
  report.m_service = NameOf(aService);
  report.m_domain = aAgent % 3 == 0 ? "here" : "there";
  report.m_packets = { kFirstAgent + static_cast<uint32_t>(aAgent), kPort };
  report.m_load.m_condition = ServerCondition::Ready;
  report.m_load.m_slots = 1'000'000;
  report.m_load.m_answerUs = 20'000;
  report.m_routes = { 12, { kBalancer, 9101 } };
  report.m_agents = { { 1, 345 }, { kBalancer, 9101 } };
  return report;
}

/** A balancer that knows agents of several services. */
class LoadedBalancer
{
public:
  LoadedBalancer(size_t aAgents, size_t aAgentsOfAService)
    : m_core("here", 1)
    , m_services(std::max<size_t>(aAgents / aAgentsOfAService, 1))
  {
    auto routes = std::make_shared<RouteTable>();
    routes->m_version = 1;
    for (size_t i = 0; i < m_services; ++i) {
      Route route;
      route.m_address = AddressOf(i);
      route.m_targets = { { NameOf(i), 1 } };
      routes->m_routes[route.m_address] = route;
    }
    m_core.SetRoutes(routes);
    std::vector<AgentEntry> entries;
    for (size_t i = 0; i < aAgents; ++i) {
      AgentReport report = ReportOf(i, i % m_services);
      entries.push_back(
        { report.m_service, report.m_domain, report.m_packets });
    }
    m_core.Agents().SetListed(m_now, { 1, 1 }, entries);
    for (size_t i = 0; i < aAgents; ++i) {
      m_core.Agents().OnReport(m_now, ReportOf(i, i % m_services));
    }
  }

  FlowBalancer& Core() { return m_core; }
  TimePoint Now() const { return m_now; }

  PacketHeader PacketOf(size_t aFlow, uint8_t aFlags) const
  {
    PacketHeader header;
    header.m_source = { kFirstCaller + static_cast<uint32_t>(aFlow / 1000),
                        static_cast<uint16_t>(1000 + aFlow % 1000) };
    header.m_destination = AddressOf(aFlow % m_services);
    header.m_flags = aFlags;
    header.m_seq = static_cast<uint32_t>(aFlow);
    header.m_length = aFlags == kSyn ? 0 : kDataBytes;
    return header;
  }

private:
  TimePoint m_now{ Seconds(100) };
  FlowBalancer m_core;
  size_t m_services;
};

/** As a daemon does it: from the bytes on the wire to those sent on. */
void
PassThrough(LoadedBalancer& aBalancer, std::vector<uint8_t>& aBytes)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  const auto& steps =
    aBalancer.Core().OnCallerPacket(aBalancer.Now(), *header, aBytes);
  WriteSystemFields(aBytes, steps.front().m_tag, steps.front().m_mark);
}

std::vector<uint8_t>
BytesOf(const PacketHeader& aHeader)
{
  HeaderBytes header = EncodeHeader(aHeader);
  std::vector<uint8_t> bytes(header.begin(), header.end());
  bytes.resize(bytes.size() + aHeader.m_length);
  return bytes;
}

void
TakeIn(LoadedBalancer& aBalancer, const FlowMessage& aMessage)
{
  AgentList& agents = aBalancer.Core().Agents();
  if (const auto* report = std::get_if<AgentReport>(&aMessage)) {
    agents.OnReport(aBalancer.Now(), *report);
  } else if (const auto* load = std::get_if<ServerLoad>(&aMessage)) {
    agents.OnLoad(aBalancer.Now(), kFirstAgent, *load);
  }
}

void
MeasureReport(const std::string& aName,
              LoadedBalancer& aBalancer,
              const FlowMessage& aMessage)
{
  std::string text = EncodeFlowMessage(aMessage);
  Print(aName, 1, static_cast<double>(text.size()), "bytes");
  double time = MicrosecondsPerCall(
    20'000, [&](auto) { TakeIn(aBalancer, *DecodeFlowMessage(text, "peer")); });
  Print(aName + ", at a balancer", 1, time, "us");
}

// Ten times a second, while no subscription is due.
void
MeasureSubscribing(const nlohmann::json& aAt, LoadedBalancer& aBalancer)
{
  auto tick = [&](auto) {
    return TakeDueSubscriptions(aBalancer.Now(),
                                aBalancer.Core().Agents(),
                                { 1, {} },
                                { { 1, 1 }, {} })
      .size();
  };
  while (tick(0) > 0) {
  }
  Print("tick of the subscriptions", aAt, MicrosecondsPerCall(100, tick), "us");
}

void
MeasureBalancer(size_t aAgents, size_t aAgentsOfAService)
{
  double before = HeapBytes();
  LoadedBalancer balancer(aAgents, aAgentsOfAService);
  nlohmann::json at = { { "agents", aAgents },
                        { "agents_of_a_service", aAgentsOfAService } };
  Print("agent and its routes at a balancer",
        at,
        (HeapBytes() - before) / static_cast<double>(aAgents),
        "bytes");
  std::vector<std::vector<uint8_t>> openings;
  std::vector<std::vector<uint8_t>> packets;
  for (size_t i = 0; i < kFlows; ++i) {
    openings.push_back(BytesOf(balancer.PacketOf(i, kSyn)));
    packets.push_back(BytesOf(balancer.PacketOf(i, kAck)));
  }
  before = HeapBytes();
  Print("new flow at a balancer",
        at,
        MicrosecondsPerCall(
          kFlows, [&](auto aFlow) { PassThrough(balancer, openings[aFlow]); }),
        "us");
  Print("flow at a balancer",
        at,
        (HeapBytes() - before) / static_cast<double>(kFlows),
        "bytes");
  Print("packet of a known flow at a balancer",
        at,
        MicrosecondsPerCall(
          kFlows, [&](auto aFlow) { PassThrough(balancer, packets[aFlow]); }),
        "us");
  MeasureSubscribing(at, balancer);
  Print("tick of a balancer",
        at,
        MicrosecondsPerCall(100,
                            [&](size_t aTick) {
                              balancer.Core().OnTick(
                                balancer.Now() + aTick * FlowBalancer::kTick);
                            }),
        "us");
  MeasureReport("whole report of an agent", balancer, ReportOf(0, 0));
  MeasureReport("load report of an agent", balancer, ReportOf(0, 0).m_load);
}

void
MeasureSearch(size_t aAgentsOfAService)
{
  LoadedBalancer balancer(aAgentsOfAService, aAgentsOfAService);
  nlohmann::json at = { { "agents_of_a_service", aAgentsOfAService } };
  size_t bytes = 0;
  double time = MicrosecondsPerCall(2'000, [&](size_t aFlow) {
    std::vector<uint8_t> packet = BytesOf(balancer.PacketOf(aFlow, kAck));
    std::optional<PacketHeader> header = DecodeHeader(packet);
    BalancerStep query =
      balancer.Core().OnCallerPacket(balancer.Now(), *header, packet).front();
    // One query is encoded for all, and the last agent has the flow.
    std::string asked =
      EncodeFlowMessage(FlowQuery{ query.m_flow, query.m_seqOrAck });
    bytes += asked.size() * query.m_queriedAgents.size();
    for (uint32_t ip : query.m_queriedAgents) {
      bool isOwner = ip == query.m_queriedAgents.back();
      FlowAnswer answer{ query.m_flow,
                         isOwner ? FlowOwnership::Yes : FlowOwnership::No,
                         balancer.Core().Agents().FindAt(ip)->m_serviceTag };
      std::string text = EncodeFlowMessage(answer);
      bytes += text.size();
      Result<FlowMessage> message = DecodeFlowMessage(text, "peer");
      balancer.Core().OnAnswer(
        balancer.Now(), ip, std::get<FlowAnswer>(*message));
    }
  });
  Print("flow that a balancer has to search, both ends' codec", at, time, "us");
  Print("flow that a balancer has to search",
        at,
        static_cast<double>(bytes) / 2'000,
        "bytes sent and received");
}

void
MeasureAgent()
{
  TimePoint now{ Seconds(100) };
  FlowAgentOptions options;
  options.m_service = NameOf(0);
  FlowAgent agent(options, now);
  ServerHeartbeat heartbeat;
  heartbeat.m_id = "server";
  heartbeat.m_service = options.m_service;
  heartbeat.m_sequence = 1;
  heartbeat.m_slots = 1'000'000;
  agent.OnHeartbeat(now, heartbeat);
  LoadedBalancer balancer(1, 1);
  auto pass = [&](size_t aFlow, uint8_t aFlags) {
    PacketHeader header = balancer.PacketOf(aFlow, aFlags);
    header.m_tag = ServiceTag(options.m_service);
    std::vector<uint8_t> bytes = BytesOf(header);
    agent.OnBalancerPacket(now, *DecodeHeader(bytes), bytes, kBalancer);
  };
  double before = HeapBytes();
  Print("new flow at an agent",
        kFlows,
        MicrosecondsPerCall(kFlows, [&](auto aFlow) { pass(aFlow, kSyn); }),
        "us");
  Print("flow at an agent, with its unanswered opening",
        kFlows,
        (HeapBytes() - before) / static_cast<double>(kFlows),
        "bytes");
  Print("packet of a known flow at an agent",
        kFlows,
        MicrosecondsPerCall(kFlows, [&](auto aFlow) { pass(aFlow, kAck); }),
        "us");
}

/** A UDP socket on the loopback network, closed at the end. */
class BareSocket
{
public:
  BareSocket()
    : m_handle(socket(AF_INET, SOCK_DGRAM, 0))
  {
    sockaddr_in address = ToSocketAddress({ INADDR_LOOPBACK, 0 });
    bind(m_handle, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(m_handle, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint = { INADDR_LOOPBACK, ntohs(address.sin_port) };
  }
  ~BareSocket() { close(m_handle); }
  BareSocket(const BareSocket&) = delete;
  BareSocket& operator=(const BareSocket&) = delete;

  const Endpoint& Where() const { return m_endpoint; }

  void Send(PacketBytes aBytes, const Endpoint& aTo) const
  {
    sockaddr_in address = ToSocketAddress(aTo);
    sendto(m_handle,
           aBytes.data(),
           aBytes.size(),
           MSG_DONTWAIT,
           reinterpret_cast<sockaddr*>(&address),
           sizeof address);
  }

  /** Bytes of a datagram that has come; 0 when none has. */
  size_t Receive(std::span<uint8_t> aBytes) const
  {
    ssize_t size = recv(m_handle, aBytes.data(), aBytes.size(), MSG_DONTWAIT);
    return size < 0 ? 0 : static_cast<size_t>(size);
  }

private:
  int m_handle;
  Endpoint m_endpoint;
};

constexpr size_t kRounds = 1'000;
/** Datagrams in a round; a socket's buffer holds them. */
constexpr size_t kPerRound = 64;

// Both programs below send a round of datagrams to themselves, so what the
// sender costs is taken off by the first figure.
double
SendOnly(const std::vector<uint8_t>& aBytes)
{
  BareSocket from;
  BareSocket to;
  std::vector<uint8_t> buffer(2048);
  return MicrosecondsPerCall(kRounds,
                             [&](auto) {
                               for (size_t i = 0; i < kPerRound; ++i) {
                                 from.Send(aBytes, to.Where());
                               }
                               for (size_t i = 0; i < kPerRound; ++i) {
                                 to.Receive(buffer);
                               }
                             }) /
         kPerRound;
}

double
BareForward(const std::vector<uint8_t>& aBytes)
{
  BareSocket from;
  BareSocket between;
  BareSocket to;
  std::vector<uint8_t> buffer(2048);
  return MicrosecondsPerCall(
           kRounds,
           [&](auto) {
             for (size_t i = 0; i < kPerRound; ++i) {
               from.Send(aBytes, between.Where());
             }
             for (size_t i = 0; i < kPerRound; ++i) {
               size_t size = between.Receive(buffer);
               between.Send({ buffer.data(), size }, to.Where());
             }
             for (size_t i = 0; i < kPerRound; ++i) {
               to.Receive(buffer);
             }
           }) /
         kPerRound;
}

double
ForwardInLoop(const std::vector<uint8_t>& aBytes)
{
  BareSocket from;
  BareSocket to;
  LoadedBalancer balancer(56, kAgentsOfAService);
  EventLoop loop;
  EventLoop::Socket* callers = nullptr;
  BareSocket freePort;
  Endpoint listen{ INADDR_LOOPBACK + 1, freePort.Where().m_port };
  std::vector<uint8_t> buffer(2048);
  size_t arrived = 0;
  size_t rounds = 0;
  auto sendRound = [&] {
    for (size_t i = 0; i < kPerRound; ++i) {
      from.Send(aBytes, listen);
    }
  };
  Result<void> opened = loop.OpenSocket(
    listen,
    [&](std::span<uint8_t> aArrived, const Endpoint&) {
      std::optional<PacketHeader> header = DecodeHeader(aArrived);
      const auto& steps =
        balancer.Core().OnCallerPacket(balancer.Now(), *header, aArrived);
      WriteSystemFields(aArrived, steps.front().m_tag, steps.front().m_mark);
      callers->Send(aArrived, to.Where());
      if (++arrived % kPerRound != 0) {
        return;
      }
      for (size_t i = 0; i < kPerRound; ++i) {
        to.Receive(buffer);
      }
      if (++rounds == kRounds) {
        return loop.Stop();
      }
      sendRound();
    },
    callers);
  if (!opened) {
    return 0;
  }
  std::vector<uint8_t> opening = BytesOf(balancer.PacketOf(0, kSyn));
  PassThrough(balancer, opening);
  return MicrosecondsPerCall(1,
                             [&](auto) {
                               sendRound();
                               loop.Run();
                             }) /
         (kRounds * kPerRound);
}

void
MeasureSockets()
{
  LoadedBalancer balancer(1, 1);
  std::vector<uint8_t> bytes = BytesOf(balancer.PacketOf(0, kAck));
  double sendOnly = SendOnly(bytes);
  Print(
    "datagram sent and received, bare sockets", bytes.size(), sendOnly, "us");
  Print("datagram received and sent on, bare sockets",
        bytes.size(),
        BareForward(bytes) - sendOnly,
        "us");
  Print("packet of a known flow received and sent on, balancer",
        bytes.size(),
        ForwardInLoop(bytes) - sendOnly,
        "us");
}

} // namespace

int
main()
{
  MeasureBalancer(12, kAgentsOfAService);
  MeasureBalancer(56, 45);
  MeasureBalancer(14'000, kAgentsOfAService);
  MeasureSearch(kAgentsOfAService);
  MeasureSearch(45);
  MeasureAgent();
  MeasureSockets();
}
