#pragma once

#include "EventLoop.h"
#include "StoreClient.h"

#include <map>
#include <random>

namespace bilberryfield {

/**
 * Keeps a copy of all objects of one kind in the platform's store: lists them
 * once, then watches for changes. Failed calls are retried with backoff until
 * the store answers.
 */
class StoreWatcher
{
public:
  using Objects = std::map<std::string, StoreObject>;
  /** Called on the loop's thread with all objects, after the listing and after
   * each change. */
  using OnChange = std::function<void(const Objects&, uint64_t aRevision)>;

  /** Returns the maximum time that the next watch waits for a change. */
  using WatchTimeout = std::function<Duration()>;

  StoreWatcher(EventLoop& aLoop,
               StoreClient& aStore,
               std::string aKind,
               OnChange aOnChange,
               WatchTimeout aWatchTimeout);

  /** Starts the first listing. */
  void Start() { List(); }

  /** True once a listing has succeeded and while the last call succeeded. */
  bool IsConnected() const
  {
    return m_consecutiveFailures == 0 && m_revision > 0;
  }

  /** True while changes are received without a long delay. */
  bool IsCurrent() const { return IsConnected() && !m_isWatchDelayed; }

private:
  void List();
  void Watch();
  void ScheduleNextWatch();
  void OnListed(Result<StoreListing> aListing);
  void OnChanges(Result<StoreChanges> aChanges);
  void RetryLater(const StepError& aError, void (StoreWatcher::*aNext)());
  void OnSuccess();

  EventLoop& m_loop;
  StoreClient& m_store;
  std::string m_kind;
  OnChange m_onChange;
  WatchTimeout m_watchTimeout;
  Objects m_objects;
  uint64_t m_revision = 0;
  uint32_t m_consecutiveFailures = 0;
  /** The next watch waits for longer than the minimum delay. */
  bool m_isWatchDelayed = false;
  std::mt19937_64 m_random{ std::random_device{}() };
};

} // namespace bilberryfield
