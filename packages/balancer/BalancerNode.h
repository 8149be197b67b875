#pragma once

#include "BalancerCore.h"
#include "ConfigWatcher.h"
#include "Membership.h"
#include "NodeRuntime.h"

namespace bilberryfield {

/**
 * The balancer process. Passes requests, peer messages and timers to
 * BalancerCore and Membership and executes the actions that they return.
 */
class BalancerNode
{
public:
  /** aIncarnation must be greater than in any earlier run of this node. */
  BalancerNode(Settings aSettings, uint64_t aIncarnation);

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
  void OnCallerMessage(HttpIncoming aIncoming, HttpReply aReply);
  HttpOutgoing HealthResponse() const;
  void OnAnnounce(const HttpIncoming& aIncoming, const HttpReply& aReply);
  void OnPeerMessage(uint64_t aLink, const std::string& aBytes);
  void OnPeerReply(const std::string& aAddress, const std::string& aBytes);
  void Handle(uint64_t aLink, const Heartbeat& aHeartbeat);
  void Handle(uint64_t aLink, const Gossip& aGossip);
  void Handle(uint64_t aLink, const SyncDigest& aDigest);
  void Handle(uint64_t aLink, const SyncRecords& aRecords);
  void Handle(uint64_t aLink, const ConfigRequest& aRequest);
  template<typename Other>
  void Handle(uint64_t aLink, const Other& aOther);
  void RequestConfigIfNewer(const std::string& aAddress, uint64_t aPeerVersion);
  void ApplyDelta(const ConfigDelta& aDelta, const std::string& aFrom);
  void Tick();
  void UpdateCoreMembership();
  void HandleEvent(const BalancerEvent& aEvent);
  void Execute(const SendForward& aAction);
  void Execute(const SendCancel& aAction);
  void Execute(const AnswerCaller& aAction);
  void Execute(const SetTimer& aAction);
  void Send(const std::vector<SendToPeer>& aSends);
  void StopWhenDrained();
  AdminAnswer Status() const;
  AdminAnswer Explain(const HttpIncoming& aRequest) const;
  AdminAnswer ShowConfig() const;

  Settings m_settings;
  uint64_t m_incarnation;
  NodeRuntime m_runtime;
  PeerHub& m_hub;
  BalancerCore m_core;
  std::optional<Membership> m_membership;
  ConfigState m_config;
  HttpServer m_callerServer;
  ConfigWatcher m_watcher;
  std::unordered_map<uint64_t, HttpReply> m_pendingReplies;
  uint64_t m_nextRequestId = 1;
  uint64_t m_coreMembershipVersion = 0;
  bool m_wasStale = false;
  /** Never reset, so that the fabric sends no further requests. */
  std::atomic<bool> m_isDraining{ false };
  bool m_isDrained = false;
  /**
   * Set once the membership has settled after the start, so that new flows can
   * be accepted; never reset.
   */
  std::atomic<bool> m_isReady{ false };
  TimePoint m_drainStart;
  TimePoint m_lastRequestTime;
  std::array<uint64_t, kOutcomeNames.size()> m_outcomes{};
};

} // namespace bilberryfield
