// A backend server that speaks in packets: it holds flows, runs HTTP/1.1
// requests in its slots, answers, and returns what it does not hold.
#pragma once

#include "Http.h"

#include <deque>
#include <random>
#include <set>

namespace review {

inline uint64_t
UnixMs()
{
  return uint64_t(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

struct ServerOptions
{
  std::string id;
  std::string service;
  std::string zone;
  Endpoint app;
  Endpoint outbound;
  Endpoint admin;
  int slots = 4;
  int workMs = 26;
  int heartbeatMs = 770;
  // By how much the clock of the server's machine is ahead at its start.
  int clockAheadMs = 0;
};

// All packets are handled on the loop's thread.
class FlowServer
{
public:
  FlowServer(Loop& loop, Record& record, ServerOptions options)
    : m_loop(loop)
    , m_record(record)
    , m_options(std::move(options))
    , m_born(UnixMs() + uint64_t(m_options.clockAheadMs))
  {
    m_fd = m_loop.Open(m_options.app, [this](const Packet& p) { On(p); });
    m_heart = std::thread([this] { Beat(); });
  }

  ~FlowServer() { StopHeartbeats(); }

  // Ends the server at once: its flows are gone and its address is free. On
  // the loop's thread.
  void Crash()
  {
    m_record.Add("server " + m_options.id + " crashes");
    m_isCrashed = true;
    m_flows.clear();
    m_waiting.clear();
    m_loop.Close(m_fd);
    m_isStopping = true;
  }

  // Says with the next heartbeat, which follows at once, that it is draining.
  void Drain() { m_isDraining = true; }

  // Time of the first acknowledgement that it is draining.
  std::optional<TimePoint> DrainingAcknowledgedAt() const
  {
    std::lock_guard lock(m_mutex);
    return m_drainingAcknowledgedAt;
  }

  // Times at which the first packet of a flow arrived. On the loop's thread.
  const std::vector<TimePoint>& Arrivals() const { return m_arrivals; }

  void StopHeartbeats()
  {
    m_isStopping = true;
    if (m_heart.joinable()) {
      m_heart.join();
    }
  }

  std::string HeartbeatPath() const
  {
    return "/bilberryfield/instances/" + m_options.id;
  }

  // The next heartbeat.
  std::string NextHeartbeat()
  {
    return "{\"service\":\"" + m_options.service + "\",\"address\":\"" +
           Text(m_options.app) + "\",\"zone\":\"" + m_options.zone +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(m_options.slots) + ",\"state\":\"" +
           (m_isDraining ? "draining" : "ready") +
           "\",\"warmup-left-ms\":0,\"seq\":" + std::to_string(++m_seq) +
           ",\"born\":" + std::to_string(m_born) + "}";
  }

  const ServerOptions& Options() const { return m_options; }

  // True if the server has the end of the handshake and has neither ended nor
  // given up the flow. On the loop's thread.
  bool HasOpen(const FlowKey& key) const
  {
    auto found = m_flows.find(key);
    return found != m_flows.end() && found->second.isOpen &&
           !found->second.hasGivenUp && !found->second.hasEnded;
  }

  // Packets of flows that the server does not hold. On the loop's thread.
  uint64_t Bounced() const { return m_bounced; }
  // Packets with a wrong sum: not written so by their sender.
  uint64_t Forged() const { return m_forged; }

private:
  struct Flow
  {
    uint32_t firstSeq = 0; // of the SYN+ACK
    uint32_t next = 0;     // next byte to send
    uint32_t highest = 0;  // first byte that was never sent
    uint32_t unacked = 0;  // first byte without acknowledgement
    uint32_t expected = 0; // next byte of the client
    bool isOpen = false;
    bool hasGivenUp = false;
    bool hasEnded = false;
    std::string received;
    std::string out; // from unacked on
    uint64_t timer = 0;
    int tries = 0;
  };

  struct Request
  {
    FlowKey key;
    std::string id;
    size_t bytes;
  };

  static constexpr uint32_t kWindow = 16 * kMaxData;
  static constexpr int kMaxTries = 8;

  void Beat()
  {
    auto next = Clock::now();
    bool wasDraining = false;
    while (!m_isStopping) {
      bool isNews = m_isDraining && !wasDraining;
      if (Clock::now() < next && !isNews) {
        Sleep(5);
        continue;
      }
      wasDraining = m_isDraining;
      next = Clock::now() + milliseconds(m_options.heartbeatMs);
      HttpMessage answer =
        HttpCall(m_options.admin, "PUT", HeartbeatPath(), NextHeartbeat());
      if (wasDraining && answer.status == 200) {
        Acknowledge();
      }
      if (answer.status != m_lastStatus) {
        m_record.Add("server " + m_options.id + " heartbeat " +
                     std::to_string(m_seq) + " -> " +
                     std::to_string(answer.status));
        m_lastStatus = answer.status;
      }
    }
  }

  void Acknowledge()
  {
    std::lock_guard lock(m_mutex);
    if (!m_drainingAcknowledgedAt) {
      m_drainingAcknowledgedAt = Clock::now();
      m_record.Add("server " + m_options.id +
                   ": that it is draining was acknowledged with 200");
    }
  }

  void Send(Packet packet)
  {
    if (m_isCrashed) {
      return;
    }
    packet.sum = Sum(packet);
    Loop::Send(m_fd, packet, m_options.outbound);
  }

  Packet Blank(const FlowKey& key, const Flow& flow, uint8_t flags) const
  {
    Packet packet;
    packet.src = key.route;
    packet.dst = key.caller;
    packet.flags = flags;
    packet.seq = flow.next;
    packet.ack = flow.expected;
    return packet;
  }

  void On(const Packet& packet)
  {
    if (packet.sum != Sum(packet)) {
      m_forged += 1;
      m_record.Add("server " + m_options.id + " got a forged packet of " +
                   Text(packet.src));
      return;
    }
    FlowKey key{ packet.src, packet.dst };
    if (packet.Has(kSyn)) {
      return OnSyn(key, packet);
    }
    auto found = m_flows.find(key);
    if (found == m_flows.end() || !Acknowledges(found->second, packet.ack)) {
      Packet bounced = packet;
      bounced.flags |= kBounced;
      bounced.pad = 0;
      m_bounced += 1;
      return Loop::Send(m_fd, bounced, m_options.outbound);
    }
    OnFlow(key, found->second, packet);
  }

  // True if the acknowledgement fits what this server sent on the flow.
  static bool Acknowledges(const Flow& flow, uint32_t ack)
  {
    return !flow.hasGivenUp &&
           ack - flow.firstSeq - 1 <= flow.highest - flow.firstSeq - 1;
  }

  void OnSyn(const FlowKey& key, const Packet& packet)
  {
    auto [place, isNew] = m_flows.try_emplace(key);
    Flow& flow = place->second;
    if (isNew) {
      m_arrivals.push_back(Clock::now());
      m_record.Add("server " + m_options.id + " gets the SYN of " + Text(key));
      flow.firstSeq = m_random();
      flow.next = flow.firstSeq + 1;
      flow.highest = flow.next;
      flow.unacked = flow.next;
      flow.expected = packet.seq + 1;
    }
    if (flow.isOpen) {
      return;
    }
    Packet answer = Blank(key, flow, kSyn | kAck);
    answer.seq = flow.firstSeq;
    Send(answer);
  }

  void OnFlow(const FlowKey& key, Flow& flow, const Packet& packet)
  {
    if (packet.Has(kReset)) {
      m_flows.erase(key);
      return;
    }
    if (!flow.isOpen) {
      flow.isOpen = true;
      m_record.Add("server " + m_options.id + " opens " + Text(key));
    }
    uint32_t acked = packet.ack - flow.unacked;
    if (int32_t(acked) > 0) {
      flow.out.erase(0, acked);
      flow.unacked = packet.ack;
      if (int32_t(flow.next - flow.unacked) < 0) {
        flow.next = flow.unacked;
      }
      flow.tries = 0;
      flow.timer += 1;
      SendMore(key, flow);
    }
    if (packet.Has(kFin)) {
      return OnFin(key, flow, packet);
    }
    if (packet.data.empty()) {
      return;
    }
    if (packet.seq == flow.expected) {
      flow.expected += uint32_t(packet.data.size());
      flow.received += packet.data;
      ReadRequests(key, flow);
    }
    Send(Blank(key, flow, kAck));
  }

  // Both ends close together.
  void OnFin(const FlowKey& key, Flow& flow, const Packet& packet)
  {
    flow.expected = packet.seq + 1;
    Send(Blank(key, flow, flow.hasEnded ? kAck : kFin | kAck));
    flow.hasEnded = true;
  }

  // "GET /bytes/N" asks for a body of N bytes.
  void ReadRequests(const FlowKey& key, Flow& flow)
  {
    size_t end = 0;
    while ((end = flow.received.find("\r\n\r\n")) != std::string::npos) {
      std::string head = flow.received.substr(0, end + 2);
      flow.received.erase(0, end + 4);
      size_t id = head.find("X-Request-Id: ") + 14;
      Request request{
        key,
        head.substr(id, head.find("\r\n", id) - id),
        strtoul(head.c_str() + head.find("/bytes/") + 7, nullptr, 10)
      };
      m_waiting.push_back(request);
    }
    RunWaiting();
  }

  void RunWaiting()
  {
    while (m_running < m_options.slots && !m_waiting.empty()) {
      Request request = m_waiting.front();
      m_waiting.pop_front();
      m_running += 1;
      m_record.Add("server " + m_options.id + " runs " + request.id);
      m_loop.After(milliseconds(m_options.workMs), [this, request] {
        m_running -= 1;
        Answer(request);
        RunWaiting();
      });
    }
  }

  void Answer(const Request& request)
  {
    auto found = m_flows.find(request.key);
    if (found == m_flows.end()) {
      return;
    }
    found->second.out +=
      "HTTP/1.1 200 OK\r\nX-Response-Stamp: " + request.id +
      "\r\nContent-Length: " + std::to_string(request.bytes) + "\r\n\r\n" +
      std::string(request.bytes, 'b');
    SendMore(request.key, found->second);
  }

  void SendMore(const FlowKey& key, Flow& flow)
  {
    for (;;) {
      uint32_t sent = flow.next - flow.unacked;
      if (sent >= flow.out.size() || sent >= kWindow) {
        break;
      }
      Packet packet = Blank(key, flow, kAck);
      packet.data = flow.out.substr(sent, kMaxData);
      flow.next += uint32_t(packet.data.size());
      if (int32_t(flow.next - flow.highest) > 0) {
        flow.highest = flow.next;
      }
      Send(packet);
    }
    if (flow.next != flow.unacked) {
      StartTimer(key, flow);
    }
  }

  void StartTimer(const FlowKey& key, Flow& flow)
  {
    uint64_t timer = ++flow.timer;
    auto delay = milliseconds(std::min(1600, 200 << std::min(flow.tries, 3)));
    m_loop.After(delay, [this, key, timer] {
      auto found = m_flows.find(key);
      if (found == m_flows.end() || found->second.timer != timer) {
        return;
      }
      Flow& flow = found->second;
      if (++flow.tries > kMaxTries) {
        flow.hasGivenUp = true;
        m_record.Add("server " + m_options.id + " gives up " + Text(key));
        return;
      }
      flow.next = flow.unacked;
      SendMore(key, flow);
    });
  }

  Loop& m_loop;
  Record& m_record;
  ServerOptions m_options;
  uint64_t m_born;
  std::atomic<bool> m_isStopping{ false };
  std::atomic<bool> m_isDraining{ false };
  std::atomic<uint64_t> m_seq{ 0 };
  mutable std::mutex m_mutex;
  std::optional<TimePoint> m_drainingAcknowledgedAt;
  std::vector<TimePoint> m_arrivals;
  bool m_isCrashed = false;
  int m_lastStatus = -1;
  int m_fd = -1;
  std::map<FlowKey, Flow> m_flows;
  std::deque<Request> m_waiting;
  int m_running = 0;
  uint64_t m_bounced = 0;
  uint64_t m_forged = 0;
  std::mt19937 m_random{ std::random_device{}() };
  std::thread m_heart;
};

} // namespace review
