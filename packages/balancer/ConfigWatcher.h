#pragma once

#include "ConfigState.h"
#include "KeyedStore.h"

#include <atomic>
#include <functional>
#include <thread>

namespace bilberryfield {

/** Called on the watcher's thread. */
struct WatcherCallbacks
{
  /** A later configuration was read. */
  std::function<void(ConfigDelta)> m_onDelta;
  /** Peer addresses of balancers that are written in the platform. */
  std::function<void(std::vector<std::string>)> m_onSeeds;
};

/** What the watcher shall do; written by the loop, read by the watcher. */
struct WatcherOrders
{
  /** Version in force at this node. */
  std::atomic<uint64_t> m_haveVersion{ 0 };
  /** Whether this node is one of its domain's few that watch the platform. */
  std::atomic<bool> m_isWatching{ true };
};

/**
 * Reads the configuration and the start addresses from the platform, and
 * writes this balancer's address there, on a thread of its own.
 */
class ConfigWatcher
{
public:
  ConfigWatcher(std::string aPlatform,
                std::string aDomain,
                WatcherCallbacks aCallbacks);
  ~ConfigWatcher();

  /** Starts the thread; aOwnAddress is this balancer's peer address. */
  void Start(const std::string& aOwnAddress);

  /** Ends the thread; waits for a call in progress. */
  void Stop();

  WatcherOrders& Orders() { return m_orders; }

private:
  void Run();
  bool ReadSeeds();
  bool WriteOwnSeed();
  bool ReadConfig();
  void Sleep(Duration aTime);

  std::string m_domain;
  std::string m_ownAddress;
  WatcherCallbacks m_callbacks;
  WatcherOrders m_orders;
  KeyedStore m_platform;
  std::atomic<bool> m_isStopping{ false };
  uint64_t m_seenHead = 0;
  std::thread m_thread;
};

} // namespace bilberryfield
