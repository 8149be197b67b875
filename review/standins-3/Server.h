#pragma once

// A backend server: it speaks packets, runs requests in slots, and sends
// heartbeats to the node on its machine.

#include "Record.h"

#include <algorithm>
#include <deque>
#include <random>

namespace review {

struct ServerPlace
{
  Address m_app;
  Address m_outbound;
  Address m_admin;
  std::string m_service;
  std::string m_zone;
};

/** A later packet of a flow that reached a server. */
struct Arrival
{
  std::string m_flow;
  int64_t m_atMs = 0;
  uint32_t m_seq = 0;
  /** The server holds the flow. */
  bool m_isHeld = false;
};

/** A flow that a server took, by its opening packet. */
struct Opening
{
  std::string m_flow;
  int64_t m_atMs = 0;
};

class Server
{
public:
  Server(ServerPlace aPlace, std::string aId, Record& aRecord)
    : m_place(std::move(aPlace))
    , m_id(std::move(aId))
    , m_record(aRecord)
    , m_bornMs(UnixMs())
  {
  }

  ~Server() { Crash(); }

  bool Start()
  {
    m_fd = OpenUdp(m_place.m_app);
    if (m_fd < 0) {
      return false;
    }
    m_isRunning = true;
    m_packets = std::thread([this] { Run(); });
    m_heartbeats = std::thread([this] { Beat(); });
    m_record.Line("server " + m_id + " started at " + m_place.m_app.Text());
    return true;
  }

  /** Ends without a word. */
  void Crash()
  {
    if (!m_isRunning.exchange(false)) {
      return;
    }
    m_packets.join();
    m_heartbeats.join();
    close(m_fd);
    m_record.Line("server " + m_id + " ended");
  }

  /** Says in the heartbeats from now on that it leaves. Returns the time of the
   * acknowledgement, or 0 if none came within aLimitMs. */
  int64_t Drain(int64_t aLimitMs)
  {
    m_isDraining = true;
    int64_t end = NowMs() + aLimitMs;
    while (m_drainAckMs == 0 && NowMs() < end) {
      SleepMs(5);
    }
    return m_drainAckMs;
  }

  /** Says that it ends, then ends. */
  void Leave()
  {
    HttpAnswer answer = Call(
      m_place.m_admin, "DELETE", "/bilberryfield/instances/" + m_id, "", 1000);
    m_record.Line("server " + m_id + " DELETE answered " +
                  std::to_string(answer.m_status));
    Crash();
  }

  std::vector<Opening> Openings()
  {
    std::lock_guard lock(m_mutex);
    return m_openings;
  }
  std::vector<Arrival> Arrivals()
  {
    std::lock_guard lock(m_mutex);
    return m_arrivals;
  }
  /** True if the client has opened the flow at this server. */
  bool Holds(const std::string& aFlow)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_flows.find(aFlow);
    return found != m_flows.end() && found->second.m_isOpen &&
           !found->second.m_isEnded;
  }
  const std::string& Id() const { return m_id; }
  const ServerPlace& Place() const { return m_place; }

private:
  static constexpr size_t kSlots = 4;
  static constexpr int64_t kWorkMs = 20;
  static constexpr int64_t kHeartbeatMs = 770;

  struct Flow
  {
    Packet m_syn;
    uint32_t m_seq = 0;
    bool m_isOpen = false;
    bool m_isEnded = false;
    uint32_t m_next = 0;  // next number of the client
    uint32_t m_sent = 0;  // number after the last byte sent
    std::string m_answer; // last answer, for repeats
    uint32_t m_answerSeq = 0;
    bool m_isAcknowledged = true;
    int64_t m_repeatMs = 0;
    int64_t m_delayMs = 200;
    int m_repeats = 0;
    bool m_isBusy = false;
    std::string m_request; // as far as it has come
  };
  struct Work
  {
    std::string m_flow;
    int64_t m_doneMs = 0;
  };

  void Beat()
  {
    uint64_t sequence = 0;
    int64_t next = 0;
    bool wasDraining = false;
    while (m_isRunning) {
      bool isDraining = m_isDraining;
      if (NowMs() < next && isDraining == wasDraining) {
        SleepMs(5);
        continue;
      }
      next = NowMs() + kHeartbeatMs;
      wasDraining = isDraining;
      std::string body =
        "{\"service\":\"" + m_place.m_service + "\",\"address\":\"" +
        m_place.m_app.Text() + "\",\"zone\":\"" + m_place.m_zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(kSlots) +
        ",\"state\":\"" + (isDraining ? "draining" : "ready") +
        "\",\"warmup-left-ms\":0,\"seq\":" + std::to_string(++sequence) +
        ",\"born\":" + std::to_string(m_bornMs) + "}";
      HttpAnswer answer = Call(
        m_place.m_admin, "PUT", "/bilberryfield/instances/" + m_id, body, 1000);
      bool isAcknowledged = answer.m_status / 100 == 2;
      if (isDraining && isAcknowledged && m_drainAckMs == 0) {
        m_drainAckMs = NowMs();
        m_record.Line("server " + m_id + " draining, acknowledged with " +
                      std::to_string(answer.m_status));
      }
    }
  }

  void Send(const Flow& aFlow,
            uint8_t aFlags,
            uint32_t aSeq,
            const std::string& aData = "")
  {
    Packet packet;
    packet.m_src = aFlow.m_syn.m_dst;
    packet.m_sport = aFlow.m_syn.m_dport;
    packet.m_dst = aFlow.m_syn.m_src;
    packet.m_dport = aFlow.m_syn.m_sport;
    packet.m_flags = aFlags;
    packet.m_seq = aSeq;
    packet.m_ack = aFlow.m_next;
    packet.m_data = aData;
    SendUdp(m_fd, Encode(packet), m_place.m_outbound);
  }

  void Bounce(std::vector<uint8_t> aBytes)
  {
    aBytes[12] |= kBounced;
    aBytes[13] = aBytes[14] = aBytes[15] = 0;
    SendUdp(m_fd, aBytes, m_place.m_outbound);
  }

  void Run()
  {
    while (m_isRunning) {
      pollfd wait{ m_fd, POLLIN, 0 };
      if (poll(&wait, 1, 5) > 0) {
        uint8_t bytes[2048];
        ssize_t size = recv(m_fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (size > 0) {
          std::lock_guard lock(m_mutex);
          OnPacket({ bytes, bytes + size });
        }
      }
      std::lock_guard lock(m_mutex);
      OnTime(NowMs());
    }
  }

  void OnPacket(const std::vector<uint8_t>& aBytes)
  {
    std::optional<Packet> packet = Decode(aBytes.data(), aBytes.size());
    if (!packet) {
      return;
    }
    if (packet->m_sum != SumOf(*packet)) {
      m_record.Line("UNASKED at " + m_id + ": a changed packet");
      return;
    }
    std::string name = packet->FlowFromClient();
    auto found = m_flows.find(name);
    if (packet->Is(kSyn) && packet->Is(kAck)) {
      m_record.Line("UNASKED at " + m_id + ": a SYN+ACK");
      return;
    }
    if (packet->Is(kSyn)) {
      if (found == m_flows.end() ||
          found->second.m_syn.m_seq != packet->m_seq) {
        Flow flow;
        flow.m_syn = *packet;
        flow.m_seq = static_cast<uint32_t>(m_random());
        flow.m_next = packet->m_seq + 1;
        flow.m_sent = flow.m_seq + 1;
        m_flows[name] = flow;
        m_openings.push_back({ name, NowMs() });
        m_record.Line("server " + m_id + " took " + name);
        found = m_flows.find(name);
      }
      return Send(found->second, kSyn | kAck, found->second.m_seq);
    }
    bool isHeld = found != m_flows.end() &&
                  found->second.m_sent - packet->m_ack <=
                    found->second.m_sent - found->second.m_seq - 1;
    m_arrivals.push_back({ name, NowMs(), packet->m_seq, isHeld });
    if (!isHeld) {
      return Bounce(aBytes);
    }
    Flow& flow = found->second;
    if (packet->Is(kRst)) {
      m_flows.erase(found);
      return;
    }
    if (flow.m_isEnded) {
      if (!packet->m_data.empty()) {
        return Send(flow, kRst, flow.m_sent);
      }
      return packet->Is(kFin) ? Send(flow, kAck, flow.m_sent) : void();
    }
    flow.m_isOpen = true;
    if (packet->m_ack == flow.m_sent) {
      flow.m_isAcknowledged = true;
    }
    if (packet->m_seq != flow.m_next && !packet->m_data.empty()) {
      // A repeat: the client lacks the answer, or it is still being made.
      return flow.m_isBusy || flow.m_answer.empty() || !flow.m_request.empty()
               ? Send(flow, kAck, flow.m_sent)
               : Send(flow, kAck, flow.m_answerSeq, flow.m_answer);
    }
    if (!packet->m_data.empty()) {
      flow.m_next += static_cast<uint32_t>(packet->m_data.size());
      flow.m_request += packet->m_data;
      Send(flow, kAck, flow.m_sent);
      if (IsWhole(flow.m_request)) {
        flow.m_isBusy = true;
        m_record.Line("server " + m_id + " ran " + RequestId(flow.m_request));
        m_waiting.push_back(name);
        flow.m_request.clear();
      }
    }
    if (packet->Is(kFin)) {
      flow.m_next += 1;
      Send(flow, kAck | kFin, flow.m_sent);
      flow.m_isEnded = true;
    }
  }

  static bool IsWhole(const std::string& aRequest)
  {
    const std::string key = "Content-Length: ";
    size_t head = aRequest.find("\r\n\r\n");
    size_t at = aRequest.find(key);
    size_t length =
      at == std::string::npos
        ? 0
        : std::strtoull(aRequest.c_str() + at + key.size(), nullptr, 10);
    return head != std::string::npos && aRequest.size() >= head + 4 + length;
  }

  static std::string RequestId(const std::string& aData)
  {
    const std::string key = "X-Request-Id: ";
    size_t at = aData.find(key);
    return at == std::string::npos
             ? "?"
             : aData.substr(at + key.size(),
                            aData.find('\r', at) - at - key.size());
  }

  void OnTime(int64_t aNow)
  {
    for (auto it = m_running.begin(); it != m_running.end();) {
      if (it->m_doneMs > aNow) {
        ++it;
        continue;
      }
      if (auto found = m_flows.find(it->m_flow); found != m_flows.end()) {
        Answer(aNow, found->second);
      }
      it = m_running.erase(it);
    }
    while (m_running.size() < kSlots && !m_waiting.empty()) {
      m_running.push_back({ m_waiting.front(), aNow + kWorkMs });
      m_waiting.pop_front();
    }
    for (auto& [name, flow] : m_flows) {
      constexpr int kMaxRepeats = 8;
      if (flow.m_isAcknowledged || flow.m_repeatMs > aNow ||
          flow.m_repeats >= kMaxRepeats) {
        continue;
      }
      flow.m_repeats += 1;
      flow.m_delayMs = std::min<int64_t>(2 * flow.m_delayMs, 1600);
      flow.m_repeatMs = aNow + flow.m_delayMs;
      Send(flow, kAck, flow.m_answerSeq, flow.m_answer);
    }
  }

  void Answer(int64_t aNow, Flow& aFlow)
  {
    aFlow.m_isBusy = false;
    aFlow.m_answer = "HTTP/1.1 200 OK\r\nX-Response-Stamp: " + m_id +
                     "\r\nContent-Length: 2\r\n\r\nok";
    aFlow.m_answerSeq = aFlow.m_sent;
    aFlow.m_sent += static_cast<uint32_t>(aFlow.m_answer.size());
    aFlow.m_isAcknowledged = false;
    aFlow.m_repeats = 0;
    aFlow.m_delayMs = 200;
    aFlow.m_repeatMs = aNow + 200;
    Send(aFlow, kAck, aFlow.m_answerSeq, aFlow.m_answer);
  }

  ServerPlace m_place;
  std::string m_id;
  Record& m_record;
  int64_t m_bornMs;
  int m_fd = -1;
  std::atomic<bool> m_isRunning{ false };
  std::atomic<bool> m_isDraining{ false };
  std::atomic<int64_t> m_drainAckMs{ 0 };
  std::thread m_packets;
  std::thread m_heartbeats;
  std::mutex m_mutex;
  std::mt19937 m_random{ std::random_device{}() };
  std::map<std::string, Flow> m_flows;
  std::vector<Opening> m_openings;
  std::vector<Arrival> m_arrivals;
  std::deque<std::string> m_waiting;
  std::vector<Work> m_running;
};

} // namespace review
