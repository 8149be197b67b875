#pragma once

#include "ConfigRestore.h"
#include "KeyedStore.h"

#include <atomic>
#include <functional>
#include <thread>

namespace bilberryfield {

/** Callbacks of a ConfigWatcher, invoked on its thread. */
struct WatcherCallbacks
{
  /** Called with the changes after reading a newer configuration. */
  std::function<void(ConfigDelta)> m_onDelta;
  /** Called with the balancer peer addresses registered in the platform. */
  std::function<void(std::vector<std::string>)> m_onSeeds;
};

/** Inputs of a ConfigWatcher: set by the event loop, read by its thread. */
struct WatcherControl
{
  /** Configuration in force at this node. */
  std::atomic<ConfigPointer> m_config{ std::make_shared<ConfigSnapshot>() };
  /** True if this node is one of the few in its domain that watch. */
  std::atomic<bool> m_shouldWatch{ true };
};

/**
 * Reads the configuration and the seed addresses from the platform and
 * registers this balancer's address there, on a background thread. After a
 * restoration of the store it writes again what the store has lost of both.
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

  /** Joins the thread after any platform call in progress. */
  void Stop();

  /** Inputs of the watcher; may be set from any thread. */
  WatcherControl& Control() { return m_control; }

private:
  void Run();
  bool ReadSeeds();
  /** Returns the era of the store that has the own address; nullopt while that
   * is not confirmed. */
  std::optional<uint64_t> RegisterOwnAddress();
  bool ReadConfig();
  bool ApplyHead(const ConfigHead& aHead, const ConfigSnapshot& aOwn);
  /** Writes again what the store has lost of the configuration in force;
   * returns true if the head has to be read again. */
  bool RestoreHead(const ConfigHead& aHead,
                   const ConfigSnapshot& aOwn,
                   const StorePosition& aPosition);
  void Sleep(Duration aTime);

  std::string m_domain;
  std::string m_ownAddress;
  WatcherCallbacks m_callbacks;
  WatcherControl m_control;
  KeyedStore m_platform;
  std::atomic<bool> m_isStopping{ false };
  StorePosition m_lastHead;
  std::thread m_thread;
};

} // namespace bilberryfield
