#include "FlowCallers.h"

#include "HttpPaths.h"
#include "HttpStatus.h"
#include "PacketCodec.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kProbeEvery = Milliseconds(200);
/** Missed probes after which a balancer gets no packets. */
constexpr int kMisses = 2;
constexpr Duration kFirstRepeat = Milliseconds(200);
/** Time after which a caller gives up. */
constexpr Duration kPatience = Seconds(4);
constexpr uint16_t kRequestBytes = 50;

} // namespace

FlowCallers::FlowCallers(Endpoint aListen,
                         std::vector<FabricTarget> aTargets,
                         std::vector<Endpoint> aServices)
  : m_listen(aListen)
  , m_targets(std::move(aTargets))
  , m_services(std::move(aServices))
  , m_client(HttpClientOptions{})
  , m_misses(m_targets.size(), kMisses)
{
  Result<void> opened = m_loop.OpenSocket(
    m_listen,
    [this](auto aBytes, const Endpoint&) {
      std::vector<uint8_t> bytes(aBytes.begin(), aBytes.end());
      Travel([this, bytes]() mutable { OnPacket(bytes); });
    },
    m_socket);
  if (!opened) {
    throw std::runtime_error(opened.error().m_detail);
  }
  m_loop.RunEvery(kProbeEvery, [this] {
    for (size_t i = 0; i < m_targets.size(); ++i) {
      Probe(i);
    }
  });
  m_thread = std::thread([this] { m_loop.Run(); });
}

FlowCallers::~FlowCallers()
{
  m_loop.Stop();
  m_thread.join();
}

void
FlowCallers::Probe(size_t aTarget)
{
  HttpCall call;
  call.m_host = ToText(m_targets[aTarget].m_readiness);
  call.m_path = kReadinessPath;
  call.m_timeout = kProbeEvery;
  m_client.Send(call, [this, aTarget](const HttpResult& aResult) {
    bool isReady =
      aResult.m_end == HttpEnd::Answered && aResult.m_status == kHttpOk;
    m_loop.Post([this, aTarget, isReady] {
      m_misses[aTarget] =
        isReady ? 0 : std::min(kMisses, m_misses[aTarget] + 1);
      m_readyCount = static_cast<size_t>(
        std::count_if(m_misses.begin(), m_misses.end(), [](int aMisses) {
          return aMisses < kMisses;
        }));
    });
  });
}

bool
FlowCallers::WaitForReady(size_t aCount)
{
  constexpr int kLooks = 200;
  for (int i = 0; i < kLooks && m_readyCount != aCount; ++i) {
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return m_readyCount == aCount;
}

void
FlowCallers::Start(Duration aGap)
{
  m_loop.Post([this, aGap] {
    m_gap = aGap;
    m_isStarting = true;
    OpenFlow();
  });
}

FlowTally
FlowCallers::Stop()
{
  m_isStarting = false;
  while (m_openCount > 0) {
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return m_tally;
}

void
FlowCallers::OpenFlow()
{
  if (!m_isStarting) {
    return;
  }
  FlowKey key{ { m_listen.m_ip, m_nextPort++ },
               m_services[m_random() % m_services.size()] };
  Flow& flow = m_flows[key];
  flow.m_seq = m_random();
  flow.m_startedAt = EventLoop::Now();
  m_openCount += 1;
  m_tally.m_opened += 1;
  Send(key, flow);
  Repeat(key, kFirstRepeat);
  m_loop.RunAfter(m_gap, [this] { OpenFlow(); });
}

void
FlowCallers::Send(const FlowKey& aKey, Flow& aFlow)
{
  std::vector<size_t> ready;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    if (m_misses[i] < kMisses) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    return;
  }
  PacketHeader header;
  header.m_source = aKey.m_caller;
  header.m_destination = aKey.m_service;
  header.m_flags = aFlow.m_isOpen ? kAck : kSyn;
  header.m_seq = aFlow.m_seq + (aFlow.m_isOpen ? 1 : 0);
  header.m_ack = aFlow.m_isOpen ? aFlow.m_serverSeq + 1 : aFlow.m_copies++;
  header.m_length = aFlow.m_isOpen ? kRequestBytes : 0;
  HeaderBytes head = EncodeHeader(header);
  std::vector<uint8_t> bytes(head.begin(), head.end());
  bytes.resize(bytes.size() + header.m_length);
  size_t hash = aKey.m_caller.m_port * size_t{ 2654435761U } >> 8U;
  size_t target = ready[hash % ready.size()];
  m_sentTo[ToText(aKey)].insert(target);
  Endpoint to = m_targets[target].m_packets;
  Travel([this, bytes, to] { m_socket->Send(bytes, to); });
}

void
FlowCallers::SetTroubles(const LinkTroubles& aTroubles)
{
  m_loop.Post([this, aTroubles] { m_troubles = aTroubles; });
}

void
FlowCallers::Travel(std::function<void()> aArrive)
{
  if (std::uniform_real_distribution<double>(0, 1)(m_random) <
      m_troubles.m_loss) {
    return;
  }
  if (m_troubles.m_delay.count() == 0) {
    return aArrive();
  }
  std::uniform_int_distribution<int64_t> delay(0, m_troubles.m_delay.count());
  m_loop.RunAfter(Milliseconds(delay(m_random)), std::move(aArrive));
}

void
FlowCallers::Repeat(const FlowKey& aKey, Duration aAfter)
{
  m_loop.RunAfter(aAfter, [this, aKey, aAfter] {
    auto found = m_flows.find(aKey);
    if (found == m_flows.end()) {
      return;
    }
    if (EventLoop::Now() - found->second.m_startedAt > kPatience) {
      return End(aKey, &FlowTally::m_silent);
    }
    Send(aKey, found->second);
    Repeat(aKey, aAfter);
  });
}

void
FlowCallers::OnPacket(std::span<uint8_t> aBytes)
{
  std::optional<PacketHeader> header = DecodeHeader(aBytes);
  if (!header) {
    return;
  }
  FlowKey key = header->FlowFromServer();
  auto found = m_flows.find(key);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  if (header->Has(kReset)) {
    return End(key,
               flow.m_isOpen ? &FlowTally::m_broken : &FlowTally::m_refused);
  }
  if (header->Has(kSyn) && !flow.m_isOpen) {
    flow.m_isOpen = true;
    flow.m_serverSeq = header->m_seq;
    return Send(key, flow);
  }
  if (header->m_length > 0) {
    End(key, &FlowTally::m_answered);
  }
}

void
FlowCallers::End(const FlowKey& aKey, uint64_t FlowTally::*aCount)
{
  Duration took = EventLoop::Now() - m_flows[aKey].m_startedAt;
  auto tookMs = static_cast<uint64_t>(ToMilliseconds(took));
  m_tally.m_slowestMs = std::max(m_tally.m_slowestMs, tookMs);
  m_tally.*aCount += 1;
  if (aCount != &FlowTally::m_answered) {
    const char* end = aCount == &FlowTally::m_refused  ? "refused"
                      : aCount == &FlowTally::m_broken ? "broken"
                                                       : "silent";
    m_failed.push_back(
      { ToText(aKey), end, m_flows[aKey].m_startedAt, EventLoop::Now() });
  }
  m_flows.erase(aKey);
  m_openCount -= 1;
}

} // namespace bilberryfield
