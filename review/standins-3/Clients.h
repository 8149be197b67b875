#pragma once

// Clients and the platform's router: a packet goes to one of the ready entry
// machines, by a hash of the flow.

#include "Record.h"

#include <algorithm>
#include <random>
#include <set>

namespace review {

struct Entry
{
  Address m_packets;
  Address m_readiness;
};

/** What became of a client's attempt. */
struct Tally
{
  size_t m_opened = 0;
  size_t m_answered = 0;
  size_t m_refused = 0;
  size_t m_silent = 0;
  /** Resets on open flows, by flow. */
  std::vector<std::string> m_broken;
};

class Clients
{
public:
  Clients(Address aListen,
          std::vector<Entry> aEntries,
          Address aService,
          Record& aRecord)
    : m_listen(std::move(aListen))
    , m_entries(std::move(aEntries))
    , m_service(std::move(aService))
    , m_record(aRecord)
    , m_misses(m_entries.size(), 2)
  {
  }

  ~Clients()
  {
    m_isRunning = false;
    if (m_packets.joinable()) {
      m_packets.join();
    }
    if (m_probes.joinable()) {
      m_probes.join();
    }
    close(m_fd);
  }

  bool Start()
  {
    m_fd = OpenUdp(m_listen);
    if (m_fd < 0) {
      return false;
    }
    m_isRunning = true;
    m_packets = std::thread([this] { Run(); });
    m_probes = std::thread([this] { Probe(); });
    return true;
  }

  bool WaitForReady(size_t aCount, int64_t aLimitMs)
  {
    int64_t end = NowMs() + aLimitMs;
    while (NowMs() < end) {
      {
        std::lock_guard lock(m_probeMutex);
        auto isReady = [](int aMisses) { return aMisses < 2; };
        auto count = std::count_if(m_misses.begin(), m_misses.end(), isReady);
        if (static_cast<size_t>(count) == aCount) {
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }

  /** Opens a flow each aGapMs, with one request. 0 ends it. */
  void SetGap(int64_t aGapMs) { m_gapMs = aGapMs; }

  /** When flows were opened, by their names. */
  std::map<std::string, int64_t> OpenedAt()
  {
    std::lock_guard lock(m_mutex);
    return m_openedAt;
  }

  /** Opens a flow that is kept; returns its name. */
  std::string OpenLong()
  {
    std::lock_guard lock(m_mutex);
    return Open(true);
  }
  /** Sends a request on a kept flow, with a body of that many bytes. False if
   * the flow is not open and idle. */
  bool Ask(const std::string& aFlow, size_t aBodyBytes = 0)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_flows.find(aFlow);
    if (found == m_flows.end() || !found->second.m_isOpen ||
        !found->second.m_request.empty()) {
      return false;
    }
    SendRequest(found->second, aBodyBytes);
    return true;
  }
  /** True if a kept flow is open and no request waits on it. */
  bool IsIdle(const std::string& aFlow)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_flows.find(aFlow);
    return found != m_flows.end() && found->second.m_isOpen &&
           found->second.m_request.empty();
  }

  Tally Count()
  {
    std::lock_guard lock(m_mutex);
    return m_tally;
  }

private:
  static constexpr int64_t kAttemptMs = 1400;
  static constexpr int64_t kDeadlineMs = 3000;

  struct Flow
  {
    std::string m_name;
    uint16_t m_port = 0;
    uint32_t m_seq = 0;
    uint32_t m_next = 0; // next number of the server
    uint32_t m_copies = 0;
    bool m_isOpen = false;
    bool m_isLong = false;
    int64_t m_startMs = 0;
    std::string m_request;
    int64_t m_askedMs = 0;
    int64_t m_repeatMs = 0;
    int64_t m_delayMs = 200;
  };

  std::vector<size_t> Ready()
  {
    std::lock_guard lock(m_probeMutex);
    std::vector<size_t> ready;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      if (m_misses[i] < 2) {
        ready.push_back(i);
      }
    }
    if (ready.size() * 2 < m_entries.size()) {
      ready.clear();
      for (size_t i = 0; i < m_entries.size(); ++i) {
        ready.push_back(i);
      }
    }
    return ready;
  }

  void Probe()
  {
    while (m_isRunning) {
      for (size_t i = 0; i < m_entries.size(); ++i) {
        HttpAnswer answer = Call(
          m_entries[i].m_readiness, "GET", "/bilberryfield/readyz", "", 400);
        std::lock_guard lock(m_probeMutex);
        m_misses[i] = answer.m_status == 200 ? 0 : m_misses[i] + 1;
      }
      SleepMs(500);
    }
  }

  void Send(const Flow& aFlow,
            uint8_t aFlags,
            uint32_t aSeq,
            uint32_t aAck,
            const std::string& aData = "")
  {
    Packet packet;
    packet.m_src = IpNumber(m_listen.m_ip);
    packet.m_sport = aFlow.m_port;
    packet.m_dst = IpNumber(m_service.m_ip);
    packet.m_dport = m_service.m_port;
    packet.m_flags = aFlags;
    packet.m_seq = aSeq;
    packet.m_ack = aAck;
    packet.m_data = aData;
    std::vector<size_t> ready = Ready();
    size_t hash = (aFlow.m_port * size_t{ 2654435761U }) >> 8U;
    const Entry& entry = m_entries[ready[hash % ready.size()]];
    SendUdp(m_fd, Encode(packet), entry.m_packets);
  }

  std::string Open(bool aIsLong)
  {
    Flow flow;
    flow.m_port = m_nextPort++;
    flow.m_seq = static_cast<uint32_t>(m_random());
    flow.m_isLong = aIsLong;
    flow.m_startMs = NowMs();
    flow.m_name = m_listen.m_ip + ":" + std::to_string(flow.m_port) + ">" +
                  m_service.Text();
    m_tally.m_opened += 1;
    Send(flow, kSyn, flow.m_seq, 0);
    m_record.Line("client opens " + flow.m_name);
    m_flows[flow.m_name] = flow;
    m_openedAt[flow.m_name] = flow.m_startMs;
    return flow.m_name;
  }

  void SendData(const Flow& aFlow)
  {
    constexpr size_t kMaxData = 1200;
    for (size_t at = 0; at < aFlow.m_request.size(); at += kMaxData) {
      Send(aFlow,
           kAck,
           aFlow.m_seq + 1 + static_cast<uint32_t>(at),
           aFlow.m_next,
           aFlow.m_request.substr(at, kMaxData));
    }
  }

  void SendRequest(Flow& aFlow, size_t aBodyBytes = 0)
  {
    std::string id = "q" + std::to_string(++m_requests);
    aFlow.m_request = std::string(aBodyBytes > 0 ? "POST" : "GET") +
                      " /holdings HTTP/1.1\r\nHost: " + m_service.m_ip +
                      "\r\nX-Request-Id: " + id +
                      "\r\nContent-Length: " + std::to_string(aBodyBytes) +
                      "\r\n\r\n" + std::string(aBodyBytes, 'x');
    aFlow.m_askedMs = NowMs();
    aFlow.m_delayMs = 200;
    aFlow.m_repeatMs = aFlow.m_askedMs + aFlow.m_delayMs;
    m_record.Line("client sends " + id + " on " + aFlow.m_name);
    SendData(aFlow);
  }

  void Run()
  {
    int64_t nextOpen = 0;
    while (m_isRunning) {
      pollfd wait{ m_fd, POLLIN, 0 };
      if (poll(&wait, 1, 2) > 0) {
        uint8_t bytes[2048];
        ssize_t size = recv(m_fd, bytes, sizeof bytes, MSG_DONTWAIT);
        std::optional<Packet> packet =
          size > 0 ? Decode(bytes, static_cast<size_t>(size)) : std::nullopt;
        if (packet) {
          std::lock_guard lock(m_mutex);
          OnPacket(*packet);
        }
      }
      int64_t now = NowMs();
      std::lock_guard lock(m_mutex);
      if (m_gapMs > 0 && now >= nextOpen) {
        nextOpen = now + m_gapMs;
        Open(false);
      }
      OnTime(now);
    }
  }

  void OnPacket(const Packet& aPacket)
  {
    auto found = m_flows.find(aPacket.FlowFromServer());
    if (found == m_flows.end()) {
      return;
    }
    Flow& flow = found->second;
    if (aPacket.Is(kRst)) {
      constexpr uint32_t kWindow = 76'800;
      bool isOwn = aPacket.m_sum == 0;
      bool isNear = aPacket.m_seq - flow.m_next + kWindow <= 2 * kWindow;
      if (flow.m_isOpen && !isNear) {
        return;
      }
      m_record.Line("client " + flow.m_name + (flow.m_isOpen ? " open" : "") +
                    " gets a reset " +
                    (isOwn ? "of the system's own" : "from the server"));
      if (flow.m_isOpen) {
        if (isOwn) {
          m_tally.m_broken.push_back(flow.m_name);
        }
      } else {
        m_tally.m_refused += 1;
      }
      m_flows.erase(found);
      return;
    }
    if (aPacket.m_sum != SumOf(aPacket)) {
      m_record.Line("MIXED: a changed packet on " + flow.m_name);
      return;
    }
    if (aPacket.Is(kSyn)) {
      if (!flow.m_isOpen) {
        flow.m_isOpen = true;
        flow.m_next = aPacket.m_seq + 1;
        SendRequest(flow);
      }
      return;
    }
    if (!flow.m_isOpen || aPacket.m_data.empty()) {
      return;
    }
    if (aPacket.m_seq != flow.m_next) {
      return Send(flow, kAck, flow.m_seq + 1, flow.m_next);
    }
    flow.m_next += static_cast<uint32_t>(aPacket.m_data.size());
    flow.m_seq += static_cast<uint32_t>(flow.m_request.size());
    flow.m_request.clear();
    m_tally.m_answered += 1;
    m_record.Line("client " + flow.m_name + " answered");
    if (flow.m_isLong) {
      return Send(flow, kAck, flow.m_seq + 1, flow.m_next);
    }
    Send(flow, kAck | kFin, flow.m_seq + 1, flow.m_next);
    m_flows.erase(found);
  }

  void OnTime(int64_t aNow)
  {
    for (auto it = m_flows.begin(); it != m_flows.end();) {
      Flow& flow = it->second;
      constexpr int64_t kCopiesMs[] = { 200, 600 };
      if (!flow.m_isOpen) {
        if (aNow - flow.m_startMs >= kAttemptMs) {
          m_tally.m_refused += 1;
          m_record.Line("client " + flow.m_name + " gets no SYN+ACK");
          it = m_flows.erase(it);
          continue;
        }
        if (flow.m_copies < 2 &&
            aNow - flow.m_startMs >= kCopiesMs[flow.m_copies]) {
          flow.m_copies += 1;
          Send(flow, kSyn, flow.m_seq, flow.m_copies);
        }
      } else if (!flow.m_request.empty()) {
        if (aNow - flow.m_askedMs >= kDeadlineMs) {
          m_tally.m_silent += 1;
          m_record.Line("client " + flow.m_name + " gives up");
          it = m_flows.erase(it);
          continue;
        }
        if (aNow >= flow.m_repeatMs) {
          flow.m_delayMs = std::min<int64_t>(2 * flow.m_delayMs, 1600);
          flow.m_repeatMs = aNow + flow.m_delayMs;
          SendData(flow);
        }
      }
      ++it;
    }
  }

  Address m_listen;
  std::vector<Entry> m_entries;
  Address m_service;
  Record& m_record;
  std::mutex m_probeMutex;
  std::vector<int> m_misses;
  int m_fd = -1;
  std::atomic<bool> m_isRunning{ false };
  std::atomic<int64_t> m_gapMs{ 0 };
  std::thread m_packets;
  std::thread m_probes;
  std::mutex m_mutex;
  std::mt19937 m_random{ std::random_device{}() };
  std::map<std::string, Flow> m_flows;
  std::map<std::string, int64_t> m_openedAt;
  uint16_t m_nextPort = 20'000;
  uint64_t m_requests = 0;
  Tally m_tally;
};

} // namespace review
