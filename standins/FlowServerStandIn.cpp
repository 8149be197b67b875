// A stand-in of a backend server that speaks in packets: it opens flows, runs
// requests in its slots, answers, and sends back what it does not hold.

#include "EventLoop.h"
#include "HeartbeatCodec.h"
#include "HttpClient.h"
#include "HttpPaths.h"
#include "PacketCodec.h"
#include "StopSignals.h"
#include "WallClock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <thread>

ABSL_FLAG(std::string, listen, "", "Where the server takes packets.");
ABSL_FLAG(std::string, outbound, "", "Where it sends its packets.");
ABSL_FLAG(std::string, agent, "", "Where it sends its heartbeats.");
ABSL_FLAG(std::string, service, "", "Name of the service.");
ABSL_FLAG(int, slots, 4, "Requests that it runs at a time.");
ABSL_FLAG(int, work_ms, 20, "Time that a request takes.");
ABSL_FLAG(int, heartbeat_ms, 200, "Time between two heartbeats.");
ABSL_FLAG(int, warmup_ms, 0, "Time for which it is cold after its start.");

namespace {

using namespace bilberryfield;

constexpr uint16_t kAnswerBytes = 200;
/** Time for which a draining server goes on after it said so. */
constexpr auto kDrainTime = std::chrono::milliseconds(1000);

struct Held
{
  uint32_t m_seq = 0;
  bool m_hasRequest = false;
  bool m_isAnswered = false;
};

class FlowServer
{
public:
  FlowServer()
    : m_outbound(*ParseIpAndPort(absl::GetFlag(FLAGS_outbound)))
    , m_client(HttpClientOptions{})
  {
    m_heartbeat.m_startMs = WallClockMs();
    m_heartbeat.m_id = "s" + std::to_string(m_heartbeat.m_startMs);
    m_heartbeat.m_service = absl::GetFlag(FLAGS_service);
    m_heartbeat.m_address = *ParseIpAndPort(absl::GetFlag(FLAGS_listen));
    m_heartbeat.m_slots = static_cast<uint32_t>(absl::GetFlag(FLAGS_slots));
    m_warmUntil =
      EventLoop::Now() + Milliseconds(absl::GetFlag(FLAGS_warmup_ms));
  }

  Result<void> Start()
  {
    Result<void> opened = m_loop.OpenSocket(
      m_heartbeat.m_address,
      [this](auto aBytes, const Endpoint&) { OnPacket(aBytes); },
      m_socket);
    if (!opened) {
      return opened;
    }
    SendHeartbeat();
    m_loop.RunEvery(Milliseconds(absl::GetFlag(FLAGS_heartbeat_ms)),
                    [this] { SendHeartbeat(); });
    return {};
  }

  void Run() { m_loop.Run(); }

  void Leave()
  {
    m_loop.Post([this] {
      m_heartbeat.m_isDraining = true;
      SendHeartbeat();
      m_loop.RunAfter(kDrainTime, [this] {
        Call("DELETE", "");
        m_loop.RunAfter(Milliseconds(100), [this] { m_loop.Stop(); });
      });
    });
  }

private:
  void Call(const std::string& aMethod, const std::string& aBody)
  {
    HttpCall call;
    call.m_method = aMethod;
    call.m_host = absl::GetFlag(FLAGS_agent);
    call.m_path = kHeartbeatPath + m_heartbeat.m_id;
    call.m_contentType = "application/json";
    call.m_body = aBody;
    call.m_timeout = Seconds(1);
    m_client.Send(call, [](const HttpResult&) {});
  }

  void SendHeartbeat()
  {
    m_heartbeat.m_sequence += 1;
    m_heartbeat.m_warmupLeft = WarmupLeft();
    Call("PUT", EncodeHeartbeat(m_heartbeat, "a"));
  }

  void OnPacket(std::span<uint8_t> aBytes)
  {
    std::optional<PacketHeader> header = DecodeHeader(aBytes);
    if (!header) {
      return;
    }
    FlowKey key = header->FlowFromCaller();
    if (header->IsSyn()) {
      auto [place, isNew] = m_held.try_emplace(key);
      Held& held = place->second;
      if (isNew) {
        RecordArrival(key);
      }
      held.m_seq = held.m_seq == 0 ? m_random() | 1U : held.m_seq;
      return Send(key, kSyn | kAck, held.m_seq, 0);
    }
    auto found = m_held.find(key);
    bool isHeld = found != m_held.end() &&
                  header->m_ack - found->second.m_seq <= kAnswerBytes + 2U;
    if (!isHeld) {
      PacketHeader bounced = *header;
      bounced.m_flags |= kBounced;
      bounced.m_mark = 0;
      HeaderBytes bytes = EncodeHeader(bounced);
      std::copy(bytes.begin(), bytes.end(), aBytes.begin());
      return m_socket->Send(aBytes, m_outbound);
    }
    if (header->m_length == 0) {
      return;
    }
    if (found->second.m_isAnswered) {
      // The caller asks again, so the answer was lost on the way.
      return SendAnswer(key, found->second);
    }
    if (!found->second.m_hasRequest) {
      found->second.m_hasRequest = true;
      m_waiting.push_back(key);
      RunWaiting();
    }
  }

  Milliseconds WarmupLeft() const
  {
    Duration left = std::max(m_warmUntil - EventLoop::Now(), Duration(0));
    return std::chrono::ceil<Milliseconds>(left);
  }

  // FlowCluster::Arrivals reads these lines. The steady clock is the same for
  // all processes of a machine.
  void RecordArrival(const FlowKey& aKey)
  {
    bool isCold = WarmupLeft() > Milliseconds(0);
    std::cout << "syn " << EventLoop::Now().time_since_epoch().count() << " "
              << isCold << " " << ToText(aKey) << std::endl;
  }

  void SendAnswer(const FlowKey& aKey, const Held& aHeld)
  {
    Send(aKey, kAck | kFin, aHeld.m_seq + 1, kAnswerBytes);
  }

  void RunWaiting()
  {
    while (m_running < absl::GetFlag(FLAGS_slots) && !m_waiting.empty()) {
      FlowKey key = m_waiting.front();
      m_waiting.pop_front();
      m_running += 1;
      std::cout << "ran " << ToText(key) << std::endl;
      m_loop.RunAfter(Milliseconds(absl::GetFlag(FLAGS_work_ms)), [this, key] {
        m_running -= 1;
        m_held[key].m_isAnswered = true;
        SendAnswer(key, m_held[key]);
        RunWaiting();
      });
    }
  }

  void Send(const FlowKey& aKey,
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
    HeaderBytes head = EncodeHeader(header);
    std::vector<uint8_t> bytes(head.begin(), head.end());
    bytes.resize(bytes.size() + aLength);
    m_socket->Send(bytes, m_outbound);
  }

  Endpoint m_outbound;
  EventLoop m_loop;
  HttpClient m_client;
  EventLoop::Socket* m_socket = nullptr;
  ServerHeartbeat m_heartbeat;
  TimePoint m_warmUntil;
  std::mt19937 m_random{ std::random_device{}() };
  std::map<FlowKey, Held> m_held;
  std::deque<FlowKey> m_waiting;
  int m_running = 0;
};

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  sigset_t signals = BlockStopSignals();
  FlowServer server;
  Result<void> started = server.Start();
  if (!started) {
    std::cerr << started.error() << "\n";
    return 1;
  }
  std::thread([&] {
    WaitForStop(signals);
    server.Leave();
  }).detach();
  server.Run();
  std::_Exit(0);
}
