#pragma once

#include "EventLoop.h"
#include "HttpClient.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace bilberryfield {

/** How the flows of some callers ended. */
struct FlowTally
{
  uint64_t m_opened = 0;
  uint64_t m_answered = 0;
  /** Reset before the flow was open; nothing ran. */
  uint64_t m_refused = 0;
  /** Reset after the flow was open. */
  uint64_t m_broken = 0;
  /** Neither answered nor reset within the callers' patience. */
  uint64_t m_silent = 0;
  uint64_t m_slowestMs = 0;
};

/** A flow that was not answered. */
struct FailedFlow
{
  std::string m_flow;
  std::string m_end;
  TimePoint m_startedAt;
  TimePoint m_endedAt;
};

/** What callers' links do to datagrams, either way. */
struct LinkTroubles
{
  /** Part of the datagrams that are lost. */
  double m_loss = 0;
  /** Each datagram is held for up to this time, so that they overtake. */
  Milliseconds m_delay{ 0 };
};

/** A balancer as the fabric knows it. */
struct FabricTarget
{
  Endpoint m_packets;
  Endpoint m_readiness;
};

/**
 * Callers that open a flow for each request, and the fabric before them, which
 * asks balancers whether they are ready and spreads packets by a hash.
 */
class FlowCallers
{
public:
  FlowCallers(Endpoint aListen,
              std::vector<FabricTarget> aTargets,
              std::vector<Endpoint> aServices);
  ~FlowCallers();

  /** Waits until so many balancers are ready; false after some seconds. */
  bool WaitForReady(size_t aCount);

  /** Opens a flow every aGap until Stop. */
  void Start(Duration aGap);

  void SetTroubles(const LinkTroubles& aTroubles);

  /** Flows that were not answered; to be called after Stop. */
  const std::vector<FailedFlow>& Failed() const { return m_failed; }

  /** Balancers to which packets of a flow were sent, by the flow's text; to be
   * called after Stop. */
  const std::map<std::string, std::set<size_t>>& SentTo() const
  {
    return m_sentTo;
  }

  /** Waits for the flows that are open, then tells how all ended. */
  FlowTally Stop();

private:
  struct Flow
  {
    uint32_t m_seq = 0;
    uint32_t m_serverSeq = 0;
    uint32_t m_copies = 0;
    bool m_isOpen = false;
    TimePoint m_startedAt;
  };

  void Probe(size_t aTarget);
  void OpenFlow();
  void Send(const FlowKey& aKey, Flow& aFlow);
  void Repeat(const FlowKey& aKey, Duration aAfter);
  /** Runs a function when a datagram gets through, or never. */
  void Travel(std::function<void()> aArrive);
  void OnPacket(std::span<uint8_t> aBytes);
  void End(const FlowKey& aKey, uint64_t FlowTally::*aCount);

  Endpoint m_listen;
  std::vector<FabricTarget> m_targets;
  std::vector<Endpoint> m_services;
  EventLoop m_loop;
  HttpClient m_client;
  EventLoop::Socket* m_socket = nullptr;
  std::map<FlowKey, Flow> m_flows;
  std::vector<int> m_misses;
  FlowTally m_tally;
  LinkTroubles m_troubles;
  std::vector<FailedFlow> m_failed;
  std::map<std::string, std::set<size_t>> m_sentTo;
  std::atomic<size_t> m_readyCount{ 0 };
  std::atomic<size_t> m_openCount{ 0 };
  std::atomic<bool> m_isStarting{ false };
  Duration m_gap{};
  uint16_t m_nextPort = 1024;
  std::mt19937 m_random{ 7 };
  std::thread m_thread;
};

} // namespace bilberryfield
