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

/** A balancer on the packet path: sockets, timers and the store around the
 * decisions of FlowBalancer. */
class BalancerDaemon
{
public:
  explicit BalancerDaemon(const FlowSettings& aSettings);

  Result<void> Start();

  /** Runs on the calling thread until a shutdown has ended. */
  void Run() { m_loop.Run(); }

  /** Begins a graceful shutdown; any thread may call it. */
  void BeginShutdown();

private:
  Result<void> OpenSockets();
  Result<void> StartServers();
  void OnCallerDatagram(std::span<uint8_t> aBytes);
  void PlaceOpenings();
  void OnHandedBack(std::span<uint8_t> aBytes, const Endpoint& aFrom);
  void OnControl(const FlowMessage& aMessage, uint32_t aFromIp);
  void OnConfigObjects(const StoreFollower::Objects& aObjects);
  void OnConfiguration(const std::string& aContent, const char* aSource);
  void OnSnapshot(const PeerSnapshot& aSnapshot);
  AdminAnswer Status() const;
  AdminAnswer Snapshot(const HttpIncoming& aRequest) const;
  LocalVersions Versions() const;
  void AskPeers();
  void OnAgents(const StoreFollower::Objects& aObjects, uint64_t aRevision);
  void Execute(const std::vector<BalancerStep>& aSteps,
               std::span<uint8_t> aBytes);
  void SendForward(const BalancerStep& aStep, std::span<uint8_t> aBytes);
  void LogStep(const BalancerStep& aStep);
  /** Fields of the log line of a step. */
  nlohmann::json FieldsOf(const BalancerStep& aStep) const;
  HttpOutgoing Metrics() const;
  void OnTick();
  void SubscribeToAgents();
  void RemoveStaleEntries();
  void ContinueShutdown();

  FlowSettings m_settings;
  EventLoop m_loop;
  ControlChannel m_control;
  StoreClient m_store;
  FlowBalancer m_core;
  SynBacklog m_openings;
  StoreFollower m_routesFollower;
  StoreFollower m_agentsFollower;
  PeerVersions m_peerNews;
  PeerSync m_peerSync;
  /** The configuration in force, as the operator stored it. */
  std::string m_configuration;
  TimePoint m_startedAt;
  HttpServer m_readiness;
  HttpServer m_metrics;
  AdminServer m_admin;
  EventLoop::Socket* m_callers = nullptr;
  EventLoop::Socket* m_handBack = nullptr;
  std::array<uint64_t, static_cast<size_t>(ReturnReason::Count)> m_handedBack{};
  uint64_t m_malformed = 0;
  std::mt19937_64 m_random{ std::random_device{}() };
  std::atomic<bool> m_isReady{ false };
  std::optional<TimePoint> m_stoppingSince;
  TimePoint m_lastCallerPacket;
};

} // namespace bilberryfield
