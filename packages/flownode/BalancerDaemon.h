#pragma once

#include "AdminServer.h"
#include "ControlChannel.h"
#include "EventLoop.h"
#include "FlowBalancer.h"
#include "FlowSettings.h"
#include "PeerSync.h"
#include "StoreFollower.h"
#include "SynBacklog.h"

namespace bilberryfield {

/** The balancer process on the packet path: the sockets, timers and store
 * access around FlowBalancer, which makes the decisions. */
class BalancerDaemon
{
public:
  explicit BalancerDaemon(const FlowSettings& aSettings);

  /** Opens the sockets and HTTP servers and starts the timers and watches. */
  Result<void> Start();

  /** Runs the event loop on the calling thread until a shutdown completes. */
  void Run() { m_loop.Run(); }

  /** Starts a graceful shutdown; may be called from any thread. */
  void BeginShutdown();

private:
  /** What the store's news lead to. */
  StoreFollowerCallbacks StoreCallbacks();
  Result<void> OpenSockets();
  Result<void> StartServers();
  void OnCallerDatagram(std::span<uint8_t> aBytes);
  void PlaceQueuedSyns();
  void OnReturnedPacket(std::span<uint8_t> aBytes, const Endpoint& aFrom);
  void OnControlMessage(const FlowMessage& aMessage, uint32_t aFromIp);
  void OnConfiguration(const std::string& aContent,
                       const char* aSource,
                       const StorePosition& aPosition);
  void OnSnapshot(const PeerSnapshot& aSnapshot);
  /** Adopts a set of evacuated failure domains if it is newer. aSource is named
   * in the log. */
  void OnEvacuations(const EvacuationSet& aSet, const char* aSource);
  void LogEvacuations(TimePoint aNow, const char* aSource);
  /** Logs each evacuated domain that no agent is in, once per evacuation. */
  void WarnOfUnknownDomains();
  AdminAnswer Status() const;
  AdminAnswer Snapshot(const HttpIncoming& aRequest) const;
  LocalVersions CurrentVersions() const;
  /** Position up to which this balancer knows the agents in the store. */
  StorePosition AgentsKnownUpTo() const;
  void FetchFromPeersIfBehind();
  void OnAgentsListed(const std::vector<AgentEntry>& aEntries,
                      const StorePosition& aPosition);
  void Execute(const std::vector<BalancerStep>& aSteps,
               std::span<uint8_t> aBytes);
  void ForwardPacket(const BalancerStep& aStep, std::span<uint8_t> aBytes);
  void LogStep(const BalancerStep& aStep);
  /** Fields of a step's log line. */
  nlohmann::json LogFields(const BalancerStep& aStep) const;
  HttpOutgoing Metrics() const;
  void OnTick();
  void SubscribeToAgents();
  void RemoveStaleEntries();
  void ContinueShutdown();

  FlowSettings m_settings;
  EventLoop m_loop;
  ControlChannel m_control;
  FlowBalancer m_core;
  StoreFollower m_store;
  SynBacklog m_synBacklog;
  PeerVersions m_peerVersions;
  PeerSync m_peerSync;
  /** Evacuated domains that no agent is in, as logged last. */
  std::vector<std::string> m_unknownDomains;
  /** JSON text of the configuration in force, as the operator stored it. */
  std::string m_configurationText;
  TimePoint m_startedAt;
  HttpServer m_readinessServer;
  HttpServer m_metricsServer;
  AdminServer m_adminServer;
  EventLoop::Socket* m_callerSocket = nullptr;
  /** Sends packets to agents and receives those that agents return. */
  EventLoop::Socket* m_agentSocket = nullptr;
  std::array<uint64_t, static_cast<size_t>(ReturnReason::Count)>
    m_returnCounts{};
  uint64_t m_malformedPackets = 0;
  std::mt19937_64 m_random{ std::random_device{}() };
  std::atomic<bool> m_isReady{ false };
  std::optional<TimePoint> m_shutdownStartedAt;
  TimePoint m_lastCallerPacketAt;
};

} // namespace bilberryfield
