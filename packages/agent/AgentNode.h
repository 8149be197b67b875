#pragma once

#include "AgentCore.h"
#include "Announcer.h"
#include "HttpClient.h"
#include "JournalWriter.h"
#include "NodeRuntime.h"

namespace bilberryfield {

/**
 * The agent process. Passes messages, timers and server responses to AgentCore
 * as events and executes the actions that it returns.
 */
class AgentNode
{
public:
  /** aIncarnation must be greater than in any earlier run of this agent. */
  AgentNode(Settings aSettings, uint64_t aIncarnation);

  /** Starts all components; returns the error of the first that fails. */
  Result<void> Start();

  /** Begins a graceful shutdown. Thread-safe. */
  void BeginShutdown();

  /** Blocks until the shutdown has finished. */
  void WaitUntilStopped() { m_runtime.WaitUntilStopped(); }

private:
  void AddChildren();
  void AddRoutes();
  PeerCallbacks MakePeerCallbacks();
  Result<void> StartLinks();
  void OnPeerMessage(uint64_t aLink, const std::string& aBytes);
  void OnPeerReply(const std::string& aAddress, const std::string& aBytes);
  void OnHeartbeatReply(const std::string& aAddress,
                        const HeartbeatReply& aReply);
  void Tick();
  void Announce();
  void SetDraining(bool aIsDraining);
  void StopWhenDrained();
  void StoreJournal(bool aIsFinal);
  void HandleEvent(const AgentEvent& aEvent);
  void Execute(const StartWork& aAction);
  void Execute(const CancelWork& aAction);
  void Execute(const SendAnswer& aAction);
  void Execute(const SetAgentTimer& aAction);
  AdminAnswer Status() const;

  Settings m_settings;
  uint64_t m_incarnation;
  NodeRuntime m_runtime;
  PeerHub& m_hub;
  std::optional<AgentCore> m_core;
  std::optional<Announcer> m_announcer;
  ConfigState m_config;
  HttpClient m_server;
  HttpClient m_fabric;
  JournalWriter m_journalWriter;
  TimePoint m_nextJournalWrite;
  bool m_isStopping = false;
  TimePoint m_shutdownStart;
};

} // namespace bilberryfield
