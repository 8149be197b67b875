#pragma once

#include "AgentEntryCodec.h"
#include "EvacuationReader.h"
#include "MetricsText.h"
#include "StoreWatcher.h"

namespace bilberryfield {

/** What a balancer does with news from the store; called on the loop's thread.
 */
struct StoreFollowerCallbacks
{
  /** Called with the operator's configuration after each change. */
  std::function<void(const StoreObject&)> m_onConfiguration;
  /** Called with all readable entries of agents after each change. */
  std::function<void(const std::vector<AgentEntry>&, const StorePosition&)>
    m_onAgents;
  /** Called with the evacuated failure domains after each change. If empty,
   * these are not watched. */
  std::function<void(const EvacuationSet&)> m_onEvacuations;
  /** Returns the maximum time that the next watch of the configuration, or of
   * the evacuations, waits. */
  StoreWatcher::WatchTimeout m_configWatchTimeout;
};

/**
 * A balancer's view of the platform's store: watches the operator's
 * configuration, the entries of the agents and, if wanted, the evacuated
 * failure domains. A restoration of the store that one call shows counts for
 * all of them.
 */
class StoreFollower
{
public:
  /** aAddress is the IP and port of the store. */
  StoreFollower(EventLoop& aLoop,
                std::string aAddress,
                StoreFollowerCallbacks aCallbacks);

  /** Starts the first listings. */
  void Start();

  /** True while the last call for the agents succeeded. */
  bool AreAgentsWatched() const { return m_agents.IsConnected(); }
  /** True while changes of the agents are received without a long delay. */
  bool AreAgentsCurrent() const { return m_agents.IsCurrent(); }
  /** Position up to which changes of the agents were received. */
  const StorePosition& AgentsPosition() const { return m_agents.Position(); }
  /** Asks at once for changes of the agents; see StoreWatcher::Renew. */
  void RenewAgents() { m_agents.Renew(); }

  /** The client, for writes. */
  StoreClient& Client() { return m_client; }

  /** Adds the store's era, and position and calls of each watch. */
  void AddMetrics(MetricsText& aText) const;

private:
  void OnConfigObjects(const StoreWatcher::Objects& aObjects);
  void OnAgentObjects(const StoreWatcher::Objects& aObjects,
                      const StorePosition& aPosition);
  void OnEvacuationObjects(const StoreWatcher::Objects& aObjects,
                           const StorePosition& aPosition);

  EventLoop& m_loop;
  StoreFollowerCallbacks m_callbacks;
  StoreClient m_client;
  StoreWatcher m_config;
  StoreWatcher m_agents;
  EvacuationReader m_evacuationReader;
  std::optional<StoreWatcher> m_evacuations;
};

} // namespace bilberryfield
