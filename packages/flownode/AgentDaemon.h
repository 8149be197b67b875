#pragma once

#include "AgentRegistrar.h"
#include "ControlChannel.h"
#include "EventLoop.h"
#include "FlowAgent.h"
#include "FlowJournal.h"
#include "FlowSettings.h"
#include "HttpServer.h"

namespace bilberryfield {

/** The agent process of one backend server: the sockets, timers and store
 * access around FlowAgent, which makes the decisions. */
class AgentDaemon
{
public:
  explicit AgentDaemon(const FlowSettings& aSettings);

  /** Opens the sockets and HTTP servers and schedules the timers. */
  Result<void> Start();

  /** Runs the event loop on the calling thread until a shutdown completes. */
  void Run() { m_loop.Run(); }

  /** Starts a graceful shutdown; may be called from any thread. */
  void BeginShutdown();

private:
  Result<void> OpenSockets();
  void OnBalancerDatagram(std::span<uint8_t> aBytes, const Endpoint& aFrom);
  void OnServerDatagram(std::span<uint8_t> aBytes);
  void OnControlMessage(const FlowMessage& aMessage, uint32_t aFromIp);
  /** Executes the decisions on packets that have left a queue. */
  void ExecuteDequeuedPackets(TimePoint aNow);
  void Execute(const AgentDecision& aDecision,
               const PacketHeader& aHeader,
               std::span<uint8_t> aBytes,
               uint32_t aBalancerIp);
  void ReturnToBalancer(uint32_t aBalancerIp,
                        ReturnReason aReason,
                        std::span<uint8_t> aBytes);
  HttpOutgoing OnServerHttpRequest(const HttpIncoming& aRequest);
  void OnHeartbeat(const ServerHeartbeat& aHeartbeat);
  HttpOutgoing Metrics() const;
  void LogDecision(const AgentDecision& aDecision,
                   const PacketHeader& aHeader,
                   uint32_t aBalancerIp);
  /** Logs the begin or the end of a request's wait. */
  void LogRequestWait(const PacketHeader& aHeader,
                      const std::optional<RequestWait>& aEnded);
  void OnTick();
  /** Logs ramps of the server and the figures of its first seconds. */
  void LogStartup();
  void AppendToJournal(TimePoint aNow,
                       const AgentDecision& aDecision,
                       const PacketHeader& aHeader,
                       const FlowKey& aFlow);
  void ContinueShutdown();
  /** During a shutdown: true if the entry in the store may stay, or has been
   * removed because the server has left. */
  bool IsEntrySettled();

  FlowSettings m_settings;
  EventLoop m_loop;
  ControlChannel m_control;
  StoreClient m_store;
  TimePoint m_startedAt;
  FlowAgent m_core;
  AgentRegistrar m_registrar;
  FlowJournal m_journal;
  HttpServer m_heartbeatServer;
  HttpServer m_metricsServer;
  uint64_t m_malformedPackets = 0;
  EventLoop::Socket* m_packetSocket = nullptr;
  EventLoop::Socket* m_serverSocket = nullptr;
  ServerCondition m_loggedCondition = ServerCondition::Unknown;
  std::optional<TimePoint> m_shutdownStartedAt;
};

} // namespace bilberryfield
