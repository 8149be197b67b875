// Clients that keep flows open for many requests, and the platform's routers.
#pragma once

#include "FlowServer.h"

namespace review {

// Spreads packets over the balancers in rotation, by a hash of the four
// addresses and ports ("mod").
class Router
{
public:
  struct Target
  {
    Endpoint packets;
    Endpoint readiness;
  };

  Router(Record& record, std::vector<Target> targets)
    : m_record(record)
    , m_targets(std::move(targets))
    , m_misses(m_targets.size())
  {
    for (auto& misses : m_misses) {
      misses = kMisses;
    }
    for (size_t i = 0; i < m_targets.size(); ++i) {
      m_probes.emplace_back([this, i] { Probe(i); });
    }
  }

  ~Router()
  {
    m_isStopping = true;
    for (std::thread& probe : m_probes) {
      probe.join();
    }
  }

  size_t ReadyCount() const { return InRotation().size(); }

  const Endpoint& Select(const FlowKey& key) const
  {
    std::vector<size_t> ready = InRotation();
    if (2 * ready.size() < m_targets.size()) {
      ready.clear();
      for (size_t i = 0; i < m_targets.size(); ++i) {
        ready.push_back(i);
      }
    }
    uint64_t hash = 1469598103934665603ULL;
    for (uint64_t value : { uint64_t(key.caller.ip),
                            uint64_t(key.caller.port),
                            uint64_t(key.route.ip),
                            uint64_t(key.route.port) }) {
      hash = (hash ^ value) * 1099511628211ULL;
      hash ^= hash >> 31;
    }
    return m_targets[ready[hash % ready.size()]].packets;
  }

private:
  static constexpr int kMisses = 2;

  std::vector<size_t> InRotation() const
  {
    std::vector<size_t> ready;
    for (size_t i = 0; i < m_targets.size(); ++i) {
      if (m_misses[i] < kMisses) {
        ready.push_back(i);
      }
    }
    return ready;
  }

  void Probe(size_t index)
  {
    while (!m_isStopping) {
      auto start = Clock::now();
      bool isReady =
        HttpCall(
          m_targets[index].readiness, "GET", "/bilberryfield/readyz", "", 450)
          .status == 200;
      bool wasIn = m_misses[index] < kMisses;
      m_misses[index] = isReady ? 0 : std::min(kMisses, m_misses[index] + 1);
      bool isIn = m_misses[index] < kMisses;
      if (wasIn != isIn) {
        m_record.Add("router: " + Text(m_targets[index].packets) +
                     (isIn ? " in rotation" : " out of rotation"));
      }
      while (!m_isStopping && Clock::now() - start < milliseconds(500)) {
        Sleep(5);
      }
    }
  }

  Record& m_record;
  std::vector<Target> m_targets;
  std::vector<std::atomic<int>> m_misses;
  std::atomic<bool> m_isStopping{ false };
  std::vector<std::thread> m_probes;
};

// How a flow ended for its client.
enum class FlowEnd
{
  None,
  Closed,      // by the client, after its answers
  NotOpened,   // no answer to the SYN, or a reset before the flow was open
  SystemReset, // a reset that no server sent
  Silent,      // a request got no answer within its deadline
};

struct CallerOptions
{
  Endpoint listen; // the port is that of datagram-addr
  Endpoint route;
  int deadlineMs = 8000;
  // True if the flow is open at a server that lives.
  std::function<bool(const FlowKey&)> isOpenAtServer;
};

// One client. All functions are to be called on the loop's thread.
class Caller
{
public:
  struct Flow
  {
    FlowKey key;
    bool isOpen = false;
    FlowEnd end = FlowEnd::None;
    TimePoint openedAt;
    TimePoint lastAnswerAt;
    TimePoint endedAt;
    uint64_t receivedBytes = 0;
    uint32_t requests = 0;
    uint32_t answers = 0;
    bool isWaiting = false;
    // The system reset the flow while it was open at its server.
    bool isBroken = false;

  private:
    friend class Caller;
    uint32_t firstSeq = 0;
    uint32_t next = 0;
    uint32_t unacked = 0;
    uint32_t expected = 0;
    int unseen = 0;
    std::string out;
    std::string received;
    std::string id;
    int copies = 0;
    int tries = 0;
    uint64_t timer = 0;
    std::function<void(Flow&)> onAnswer;
  };
  using OnAnswer = std::function<void(Flow&)>;

  Caller(Loop& loop,
         Record& record,
         const Router& router,
         CallerOptions options)
    : m_loop(loop)
    , m_record(record)
    , m_router(router)
    , m_options(std::move(options))
  {
    m_fd = m_loop.Open(m_options.listen, [this](const Packet& p) { On(p); });
  }

  const std::map<FlowKey, Flow>& Flows() const { return m_flows; }
  uint64_t Forged() const { return m_forged; }
  uint64_t Foreign() const { return m_foreign; }

  // Opens a flow; its first request asks for a body of so many bytes.
  FlowKey Open(size_t bytes, OnAnswer onAnswer)
  {
    FlowKey key{ { m_options.listen.ip, m_nextPort++ }, m_options.route };
    Flow& flow = m_flows[key];
    flow.key = key;
    flow.firstSeq = m_random();
    flow.next = flow.firstSeq + 1;
    flow.unacked = flow.next;
    Prepare(flow, bytes, std::move(onAnswer));
    SendSyn(flow);
    return key;
  }

  // Sends a further request on an open flow without a waiting one.
  void Ask(const FlowKey& key, size_t bytes, OnAnswer onAnswer)
  {
    Flow& flow = m_flows.at(key);
    if (!flow.isOpen || flow.end != FlowEnd::None || flow.isWaiting) {
      return;
    }
    Prepare(flow, bytes, std::move(onAnswer));
    SendMore(flow);
  }

  // Ends a flow after its answer.
  void Close(const FlowKey& key)
  {
    Flow& flow = m_flows.at(key);
    Packet fin;
    fin.flags = kFin | kAck;
    fin.seq = flow.next;
    fin.ack = flow.expected;
    Send(flow, fin);
    flow.isOpen = false;
    flow.end = FlowEnd::Closed;
    flow.endedAt = Clock::now();
  }

private:
  void Prepare(Flow& flow, size_t bytes, OnAnswer onAnswer)
  {
    flow.id = "q" + std::to_string(flow.key.caller.ip & 255U) + "-" +
              std::to_string(flow.key.caller.port) + "-" +
              std::to_string(++flow.requests);
    flow.onAnswer = std::move(onAnswer);
    flow.isWaiting = true;
    flow.out += "GET /bytes/" + std::to_string(bytes) +
                " HTTP/1.1\r\nX-Request-Id: " + flow.id + "\r\n\r\n";
    m_record.Add("client sends " + flow.id + " on " + Text(flow.key));
    m_loop.After(
      milliseconds(m_options.deadlineMs), [this, key = flow.key, id = flow.id] {
        Flow& flow = m_flows.at(key);
        if (flow.isWaiting && flow.id == id && flow.end == FlowEnd::None) {
          End(flow, FlowEnd::Silent, "no answer to " + id);
        }
      });
  }

  void Send(const Flow& flow, Packet packet)
  {
    packet.src = flow.key.caller;
    packet.dst = flow.key.route;
    packet.sum = Sum(packet);
    Loop::Send(m_fd, packet, m_router.Select(flow.key));
  }

  void SendSyn(Flow& flow)
  {
    Packet syn;
    syn.flags = kSyn;
    syn.seq = flow.firstSeq;
    syn.ack = uint32_t(flow.copies);
    Send(flow, syn);
    constexpr int kWaits[] = { 200, 400, 800 };
    milliseconds wait(kWaits[flow.copies++]);
    m_loop.After(wait, [this, key = flow.key] {
      Flow& flow = m_flows.at(key);
      if (flow.isOpen || flow.end != FlowEnd::None) {
        return;
      }
      if (flow.copies == 3) {
        return End(flow, FlowEnd::NotOpened, "no answer to the SYN");
      }
      SendSyn(flow);
    });
  }

  void End(Flow& flow, FlowEnd end, const std::string& why)
  {
    flow.end = end;
    flow.endedAt = Clock::now();
    m_record.Add("client: " + Text(flow.key) + " ends: " + why);
  }

  void On(const Packet& packet)
  {
    FlowKey key{ packet.dst, packet.src };
    auto found = m_flows.find(key);
    bool isSystemReset =
      packet.Has(kReset) && packet.sum == 0 && packet.data.empty();
    if (!isSystemReset && packet.sum != Sum(packet)) {
      m_forged += 1;
      return;
    }
    if (found == m_flows.end()) {
      m_foreign += 1;
      return;
    }
    Flow& flow = found->second;
    if (flow.end != FlowEnd::None) {
      return;
    }
    if (packet.Has(kReset)) {
      return OnReset(flow, packet, isSystemReset);
    }
    if (packet.Has(kSyn)) {
      return OnSynAck(flow, packet);
    }
    if (flow.isOpen) {
      OnFlow(flow, packet);
    }
  }

  // On an open flow a reset counts whose seq is near the last ack.
  void OnReset(Flow& flow, const Packet& packet, bool isSystemReset)
  {
    constexpr uint32_t kNear = 76'800;
    uint32_t distance = packet.seq - flow.expected + kNear;
    if (!flow.isOpen) {
      return End(flow, FlowEnd::NotOpened, "reset before it was open");
    }
    if (distance > 2 * kNear) {
      return;
    }
    flow.isBroken = isSystemReset && m_options.isOpenAtServer(flow.key);
    End(flow,
        isSystemReset ? FlowEnd::SystemReset : FlowEnd::Silent,
        isSystemReset ? "a reset of the system's own (sum 0), seq " +
                          std::to_string(packet.seq)
                      : "a reset of its server");
  }

  void OnSynAck(Flow& flow, const Packet& packet)
  {
    if (flow.isOpen) {
      if (packet.seq + 1 == flow.expected) {
        SendAck(flow);
      }
      return;
    }
    flow.isOpen = true;
    flow.openedAt = Clock::now();
    flow.lastAnswerAt = flow.openedAt;
    flow.expected = packet.seq + 1;
    SendMore(flow);
  }

  void SendAck(Flow& flow)
  {
    Packet ack;
    ack.flags = kAck;
    ack.seq = flow.next;
    ack.ack = flow.expected;
    flow.unseen = 0;
    Send(flow, ack);
  }

  void OnFlow(Flow& flow, const Packet& packet)
  {
    if (int32_t(packet.ack - flow.unacked) > 0) {
      flow.out.erase(0, packet.ack - flow.unacked);
      flow.unacked = packet.ack;
      flow.tries = 0;
      flow.timer += 1;
    }
    if (packet.data.empty()) {
      return;
    }
    if (packet.seq != flow.expected) {
      return SendAck(flow);
    }
    flow.expected += uint32_t(packet.data.size());
    flow.receivedBytes += packet.data.size();
    flow.received += packet.data;
    bool isWhole = ReadAnswer(flow);
    if (++flow.unseen == 2 || isWhole) {
      SendAck(flow);
    }
    if (isWhole) {
      flow.isWaiting = false;
      flow.answers += 1;
      flow.lastAnswerAt = Clock::now();
      m_record.Add("client gets the answer to " + flow.id);
      auto onAnswer = flow.onAnswer;
      onAnswer(flow);
    }
  }

  bool ReadAnswer(Flow& flow)
  {
    size_t end = flow.received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    size_t at = flow.received.find("Content-Length: ") + 16;
    size_t whole = end + 4 + strtoul(flow.received.c_str() + at, nullptr, 10);
    if (flow.received.size() < whole) {
      return false;
    }
    std::string stamp = "X-Response-Stamp: " + flow.id + "\r\n";
    if (flow.received.find(stamp) == std::string::npos) {
      m_foreign += 1;
      m_record.Add("client: a foreign answer to " + flow.id);
    }
    flow.received.erase(0, whole);
    return true;
  }

  void SendMore(Flow& flow)
  {
    Packet packet;
    packet.flags = kAck;
    packet.seq = flow.unacked;
    packet.ack = flow.expected;
    packet.data = flow.out;
    flow.next = flow.unacked + uint32_t(flow.out.size());
    flow.unseen = 0;
    Send(flow, packet);
    uint64_t timer = ++flow.timer;
    auto delay = milliseconds(std::min(1600, 200 << std::min(flow.tries, 3)));
    m_loop.After(delay, [this, key = flow.key, timer] {
      Flow& flow = m_flows.at(key);
      if (flow.timer == timer && flow.end == FlowEnd::None &&
          !flow.out.empty()) {
        flow.tries += 1;
        SendMore(flow);
      }
    });
  }

  Loop& m_loop;
  Record& m_record;
  const Router& m_router;
  CallerOptions m_options;
  int m_fd = -1;
  uint16_t m_nextPort = 40'000;
  std::map<FlowKey, Flow> m_flows;
  uint64_t m_forged = 0;
  uint64_t m_foreign = 0;
  std::mt19937 m_random{ std::random_device{}() };
};

} // namespace review
