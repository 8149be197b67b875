#pragma once

#include "EventLoop.h"
#include "StoreClient.h"

#include <map>
#include <random>

namespace bilberryfield {

/**
 * Follows all objects of one kind in the platform's store: lists them once,
 * then watches. After a failure it tries again until the store answers.
 */
class StoreFollower
{
public:
  using Objects = std::map<std::string, StoreObject>;
  /** Called on the loop's thread with all objects after each change. */
  using OnChange = std::function<void(const Objects&, uint64_t aRevision)>;

  /** The time that the next watch waits for a change. */
  using WatchWait = std::function<Duration()>;

  StoreFollower(EventLoop& aLoop,
                StoreClient& aStore,
                std::string aKind,
                OnChange aOnChange,
                WatchWait aWatchWait);

  void Start() { List(); }

  /** True after a listing, while the last call to the store succeeded. */
  bool IsConnected() const { return m_failures == 0 && m_revision > 0; }

  /** True while a change would be heard of at once. */
  bool IsCurrent() const { return IsConnected() && !m_isGathering; }

private:
  void List();
  void Watch();
  void GatherChanges();
  void OnListed(Result<StoreListing> aListing);
  void OnChanges(Result<StoreChanges> aChanges);
  void TryLater(const StepError& aError, void (StoreFollower::*aNext)());
  void OnSuccess();

  EventLoop& m_loop;
  StoreClient& m_store;
  std::string m_kind;
  OnChange m_onChange;
  WatchWait m_watchWait;
  Objects m_objects;
  uint64_t m_revision = 0;
  uint32_t m_failures = 0;
  /** A long pause for more changes is under way. */
  bool m_isGathering = false;
  std::mt19937_64 m_random{ std::random_device{}() };
};

} // namespace bilberryfield
