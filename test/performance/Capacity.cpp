// Measures what docs/CAPACITY.md is worked out from: memory and processor
// time per flow, request, member, service and link, and control bytes against
// the number of processes and against their restarts. Prints one JSON line
// for each figure.

#include "AgentCore.h"
#include "BalancerCore.h"
#include "Codec.h"
#include "FakeFleet.h"
#include "Figures.h"
#include "PeerHub.h"

#include <atomic>
#include <sodium.h>
#include <thread>

namespace {

using namespace bilberryfield;

ServiceConfig
ServiceNumber(size_t aNumber)
{
  ServiceConfig service;
  service.m_name = "service-" + std::to_string(aNumber);
  service.m_address = "10." + std::to_string(aNumber / 65536) + "." +
                      std::to_string(aNumber / 256 % 256) + "." +
                      std::to_string(aNumber % 256) + ":80";
  service.m_labels = { "pool-" + std::to_string(aNumber) };
  service.m_classes = { { .m_name = "renewal", .m_minShare = 0.3 },
                        { .m_name = "lookup" },
                        { .m_name = "check-in", .m_nonRepeatable = true } };
  service.m_defaultClass = "lookup";
  service.m_flowLifetime = Seconds(100'000);
  return service;
}

ConfigState
ConfigWith(size_t aServices)
{
  ConfigDelta delta;
  delta.m_toVersion = 1;
  delta.m_keys = { MakeTokenKey(1, std::string(32, 'k')) };
  for (size_t i = 0; i < aServices; ++i) {
    delta.m_entries.push_back({ ServiceNumber(i), 1, false });
  }
  ConfigState state;
  state.Apply(delta);
  return state;
}

MemberRecord
MemberNumber(size_t aNumber, size_t aServices, Role aRole = Role::Agent)
{
  MemberRecord record;
  record.m_id = "member-" + std::to_string(aNumber);
  record.m_role = aRole;
  record.m_address = "10.1.2.3:" + std::to_string(aNumber % 60'000 + 1);
  record.m_domain = "domain-" + std::to_string(aNumber % 11);
  record.m_labels = { "pool-" + std::to_string(aNumber % aServices) };
  record.m_slots = 4;
  record.m_incarnation = 1'700'000'000'000;
  return record;
}

std::vector<MemberRecord>
Members(size_t aAgents, size_t aServices)
{
  std::vector<MemberRecord> members;
  for (size_t i = 0; i < aAgents; ++i) {
    members.push_back(MemberNumber(i, aServices));
  }
  return members;
}

void
MeasureConfig()
{
  for (size_t services : { 200, 700, 1900 }) {
    double before = HeapBytes();
    ConfigState state = ConfigWith(services);
    Print("config memory per service",
          services,
          (HeapBytes() - before) / double(services),
          "bytes");
    ServerDirectory directory;
    std::vector<MemberRecord> members =
      Members(services * 14'000 / 1900, services);
    before = HeapBytes();
    directory.Update(*state.Current(), members);
    Print("directory memory per agent",
          members.size(),
          (HeapBytes() - before) / double(members.size()),
          "bytes");
    uint64_t version = 1;
    Print("config change, apply",
          services,
          MicrosecondsPerCall(
            20,
            [&](size_t aCall) {
              ConfigDelta delta = {
                version, version + 1,
                {},      {},
                {},      { { ServiceNumber(aCall), version + 1, false } }
              };
              state.Apply(delta);
              ++version;
            }),
          "us");
    Print("config or member change, directory",
          members.size(),
          MicrosecondsPerCall(
            20, [&](size_t) { directory.Update(*state.Current(), members); }),
          "us");
  }
  ConfigState state = ConfigWith(1);
  Print("config change, bytes per peer",
        1,
        double(EncodeMessage(state.Current()->DeltaSince(0)).size()),
        "bytes");
}

CallerRequest
RequestNumber(uint64_t aNumber, const std::string& aToken)
{
  CallerRequest request;
  request.m_id = aNumber + 1;
  request.m_serviceAddress = "10.0.0.0:80";
  request.m_flowKey = "10.9.8.7:" + std::to_string(aNumber);
  request.m_token = aToken;
  request.m_class = "lookup";
  request.m_request = { "GET", "/lookups", "", "" };
  return request;
}

// One request through the balancer's core and codec, both ways.
std::string
CarryThrough(BalancerCore& aCore, uint64_t aNumber, const std::string& aToken)
{
  TimePoint now{ Seconds(1) };
  std::string token;
  for (auto& action : aCore.OnEvent(now, RequestNumber(aNumber, aToken))) {
    auto* send = std::get_if<SendForward>(&action);
    if (!send) {
      continue;
    }
    std::string sent = EncodeMessage(send->m_forward);
    Answer answer;
    answer.m_stream = send->m_forward.m_stream;
    answer.m_outcome = Outcome::Served;
    answer.m_answer = { 200, "text/plain", std::string(100, '.') };
    answer.m_binding = { "member-0", send->m_address, 1, 7 };
    auto received = DecodeMessage(EncodeMessage(answer), "agent");
    for (auto& done : aCore.OnEvent(
           now, AgentAnswer{ send->m_address, std::get<Answer>(*received) })) {
      if (auto* final = std::get_if<AnswerCaller>(&done)) {
        token = final->m_answer.m_token;
      }
    }
  }
  return token;
}

void
MeasureBalancer()
{
  constexpr size_t kCalls = 20'000;
  BalancerCore core({}, 1);
  TimePoint now{ Seconds(1) };
  ConfigState state = ConfigWith(1);
  core.OnEvent(now, ConfigChanged{ state.Current() });
  core.OnEvent(now, MembersChanged{ Members(7, 1) });
  std::string token;
  Print("new flow at a balancer, core and codec",
        kCalls,
        MicrosecondsPerCall(
          kCalls, [&](size_t aCall) { token = CarryThrough(core, aCall, ""); }),
        "us");
  Print(
    "packet of a flow at a balancer, core and codec",
    kCalls,
    MicrosecondsPerCall(
      kCalls, [&](size_t aCall) { CarryThrough(core, kCalls + aCall, token); }),
    "us");
  double before = HeapBytes();
  for (size_t i = 0; i < kCalls; ++i) {
    core.OnEvent(now, RequestNumber(10 * kCalls + i, token));
  }
  Print("waiting request at a balancer",
        kCalls,
        (HeapBytes() - before) / double(kCalls),
        "bytes");
}

Forward
ForwardNumber(uint64_t aNumber, ForwardMode aMode, bool aIsOnce)
{
  Forward forward;
  forward.m_stream = aNumber;
  forward.m_service = "service-0";
  forward.m_serviceAddress = "10.0.0.0:80";
  forward.m_flowKey = "10.9.8.7:" + std::to_string(aNumber);
  forward.m_mode = aMode;
  forward.m_class = aIsOnce ? "check-in" : "lookup";
  forward.m_nonRepeatable = aIsOnce;
  forward.m_requestId = aIsOnce ? "request-" + std::to_string(aNumber) : "";
  forward.m_remainingMs = 1000;
  forward.m_request = { "GET", "/lookups", "", "" };
  return forward;
}

// One request through the agent's core; returns the flow's binding.
Binding
RunAt(AgentCore& aCore, const Forward& aForward)
{
  TimePoint now{ Seconds(1) };
  Binding binding;
  for (auto& action : aCore.OnEvent(now, ForwardArrived{ 1, aForward })) {
    if (auto* send = std::get_if<SendAnswer>(&action)) {
      binding = send->m_answer.m_binding;
    }
    auto* start = std::get_if<StartWork>(&action);
    if (!start) {
      continue;
    }
    WorkEnded ended{ start->m_work,
                     WorkEnd::Answered,
                     { 200, "text/plain", std::string(100, '.') } };
    for (auto& done : aCore.OnEvent(now, ended)) {
      if (auto* send = std::get_if<SendAnswer>(&done)) {
        binding = send->m_answer.m_binding;
      }
    }
  }
  // Stored records leave the agent; only flows and ledger shall be measured.
  aCore.RequestJournal().OnStored(UINT64_MAX);
  return binding;
}

void
MeasureAgent()
{
  constexpr size_t kCalls = 20'000;
  AgentOptions options;
  options.m_server = "member-0";
  options.m_address = "10.1.2.3:1";
  options.m_labels = { "pool-0" };
  options.m_admission.m_slots = 4;
  AgentCore core(options);
  ConfigState state = ConfigWith(1);
  core.OnEvent(TimePoint{ Seconds(1) }, AgentConfigChanged{ state.Current() });
  Binding binding;
  double before = HeapBytes();
  Print("request that opens a flow at an agent, core",
        kCalls,
        MicrosecondsPerCall(kCalls,
                            [&](size_t aCall) {
                              binding = RunAt(
                                core,
                                ForwardNumber(aCall, ForwardMode::Open, false));
                            }),
        "us");
  Print("flow at an agent",
        kCalls,
        (HeapBytes() - before) / double(kCalls),
        "bytes");
  before = HeapBytes();
  Print("non-repeatable request at an agent, core",
        kCalls,
        MicrosecondsPerCall(kCalls,
                            [&](size_t aCall) {
                              Forward forward = ForwardNumber(
                                kCalls + aCall, ForwardMode::Bound, true);
                              forward.m_binding = binding;
                              RunAt(core, forward);
                            }),
        "us");
  Print("ledger entry with an answer of 100 bytes",
        kCalls,
        (HeapBytes() - before) / double(kCalls),
        "bytes");
}

void
MeasureMembers()
{
  for (size_t members : { 1000, 4000, 16'300 }) {
    double before = HeapBytes();
    Membership membership({}, MemberNumber(0, 1900, Role::Balancer), 1);
    Gossip all;
    for (size_t i = 1; i < members; ++i) {
      // One member in seven is a balancer, as in the target.
      all.m_records.push_back(
        MemberNumber(i, 1900, i % 7 == 0 ? Role::Balancer : Role::Agent));
    }
    TimePoint now{ Seconds(1) };
    membership.OnGossip(now, all);
    all.m_records.clear();
    all.m_records.shrink_to_fit();
    Print("member known to a balancer",
          members,
          (HeapBytes() - before) / double(members),
          "bytes");
    Print("tick of a balancer's membership",
          members,
          MicrosecondsPerCall(40,
                              [&](size_t) {
                                now += MembershipOptions().m_tick;
                                for (auto& send : membership.OnTick(now, 1)) {
                                  EncodeMessage(send.m_message);
                                }
                              }),
          "us");
    Heartbeat heartbeat{ MemberNumber(3, 1900), 1 };
    std::string bytes = EncodeMessage(heartbeat);
    Print("heartbeat at a monitor, core and codec",
          members,
          MicrosecondsPerCall(2000,
                              [&](size_t) {
                                auto message = DecodeMessage(bytes, "agent");
                                EncodeMessage(membership.OnHeartbeat(
                                  now, std::get<Heartbeat>(*message), 1));
                              }),
          "us");
    Print("records to the cores after a change",
          members,
          MicrosecondsPerCall(20, [&](size_t) { membership.Records(); }),
          "us");
  }
  Print("heartbeat on a link",
        1,
        double(EncodeMessage(Heartbeat{ MemberNumber(3, 1900), 1, 1 }).size()),
        "bytes");
}

void
MeasureControlBytes()
{
  for (size_t balancers : { 8, 16, 32, 48 }) {
    size_t agents = balancers * 6;
    FakeFleet fleet(balancers, agents, 11, 1);
    fleet.m_encodedSize = [](const PeerMessage& aMessage) {
      return EncodeMessage(aMessage).size();
    };
    // The gossip of the start has to drain first.
    fleet.AdvanceTime(Seconds(120));
    constexpr int kQuietSeconds = 20;
    fleet.TakeBytesPerBalancer();
    fleet.AdvanceTime(Seconds(kQuietSeconds));
    Print("control bytes sent per balancer, quiet",
          balancers + agents,
          fleet.TakeBytesPerBalancer() / kQuietSeconds,
          "bytes/s");
    for (int restartsPerMinute : { 3, 12 }) {
      for (int i = 0; i < restartsPerMinute; ++i) {
        fleet.Restart(fleet.Ids()[static_cast<size_t>(i)]);
        fleet.AdvanceTime(Seconds(60) / restartsPerMinute);
      }
      Print("control bytes sent per balancer, " +
              std::to_string(restartsPerMinute) + " restarts a minute",
            balancers + agents,
            fleet.TakeBytesPerBalancer() / 60,
            "bytes/s");
    }
  }
}

void
MeasureLinks()
{
  constexpr size_t kLinks = 300;
  PeerHub server;
  std::atomic<size_t> received{ 0 };
  auto ignore = [](const std::string&, const std::string&) {};
  PeerCallbacks callbacks{ ignore,
                           [&](uint64_t, const std::string&) { ++received; },
                           [](const std::string&, uint64_t) {},
                           [](const std::string&, Lane) {},
                           [](uint64_t) {} };
  server.SetCallbacks(callbacks);
  uint16_t port = server.Listen("0.0.0.0", 0);
  std::thread loop([&] { server.Run(); });
  std::string message(300, 'x');
  {
    PeerHub client;
    client.SetCallbacks(callbacks);
    std::thread clientLoop([&] { client.Run(); });
    double before = HeapBytes();
    // Addresses of the loopback network, one link to each.
    auto addressOf = [&](size_t aNumber) {
      return "127.0." + std::to_string(aNumber / 250) + "." +
             std::to_string(aNumber % 250 + 1) + ":" + std::to_string(port);
    };
    for (size_t i = 0; i < kLinks; ++i) {
      client.Post([&, i] {
        client.SendTo(addressOf(i), Lane::Short, { message, 0, {} });
      });
    }
    while (received < kLinks) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    Print("link, both ends together",
          kLinks,
          (HeapBytes() - before) / double(kLinks),
          "bytes");
    constexpr size_t kMessages = 20'000;
    double start = ProcessorSeconds();
    for (size_t i = 0; i < kMessages; ++i) {
      client.Post([&, i] {
        client.SendTo(addressOf(i % kLinks), Lane::Short, { message, 0, {} });
      });
    }
    while (received < kLinks + kMessages) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    Print("message of 300 bytes on a link, both ends together",
          kMessages,
          (ProcessorSeconds() - start) * 1e6 / double(kMessages),
          "us");
    client.Stop();
    clientLoop.join();
  }
  server.Stop();
  loop.join();
}

} // namespace

int
main()
{
  if (sodium_init() < 0) {
    return 1;
  }
  MeasureConfig();
  MeasureBalancer();
  MeasureAgent();
  MeasureMembers();
  MeasureControlBytes();
  MeasureLinks();
}
