#pragma once

#include "EventLoop.h"
#include "NameTable.h"
#include "StoreClient.h"

#include <map>
#include <random>

namespace bilberryfield {

/** Why a watcher lists a kind instead of watching it. */
enum class ListReason : uint8_t
{
  Start,
  HistoryGone,   /**< The store has discarded the changes since the position. */
  StoreRestored, /**< The position is of another era of the store. */
  Count,
};

inline constexpr NameTable<ListReason, 3> kListReasonNames = { {
  { ListReason::Start, "start" },
  { ListReason::HistoryGone, "history-gone" },
  { ListReason::StoreRestored, "store-restored" },
} };

/**
 * Keeps a copy of all objects of one kind in the platform's store: lists them
 * once, then watches for changes. Failed calls are retried with backoff until
 * the store answers. The position of a watch counts only in the era in which it
 * was received; after a restoration of the store the objects are listed anew.
 */
class StoreWatcher
{
public:
  using Objects = std::map<std::string, StoreObject>;
  /** Called on the loop's thread with all objects, after the listing and after
   * each change. */
  using OnChange = std::function<void(const Objects&, const StorePosition&)>;

  /** Returns the maximum time that the next watch waits for a change. */
  using WatchTimeout = std::function<Duration()>;

  StoreWatcher(EventLoop& aLoop,
               StoreClient& aStore,
               std::string aKind,
               OnChange aOnChange,
               WatchTimeout aWatchTimeout);

  /** Starts the first listing. */
  void Start() { ListAnew(ListReason::Start); }

  /** Lists the objects anew if they are of an earlier era than aEra, which
   * another call of this process has shown. */
  void OnStoreRestored(uint64_t aEra);

  /** Replaces the watch in progress by one that is answered at once. For a
   * connection that no longer carries anything although it is open. */
  void Renew();

  /** True once a listing has succeeded and while the last call succeeded. */
  bool IsConnected() const
  {
    return m_consecutiveFailures == 0 && m_position.IsKnown() && !m_isListing;
  }

  /** True while changes are received without a long delay. */
  bool IsCurrent() const { return IsConnected() && !m_isWatchDelayed; }

  /** The position up to which changes were received. */
  const StorePosition& Position() const { return m_position; }

  /** Number of listings that were begun for a reason. */
  uint64_t ListCount(ListReason aReason) const
  {
    return m_listCounts[static_cast<size_t>(aReason)];
  }
  /** Number of watches that were resumed after a failed one. */
  uint64_t ResumeCount() const { return m_resumeCount; }

private:
  void ListAnew(ListReason aReason);
  void List();
  void Watch();
  Duration NextWatchTimeout();
  /** Runs aNext after a delay unless another call was begun meanwhile. */
  void RunNext(Duration aDelay, void (StoreWatcher::*aNext)());
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
  StorePosition m_position;
  /** Latest era that an answer or another call of this process has shown. */
  uint64_t m_era = 0;
  /** Number of the call in progress; answers to earlier ones are ignored. */
  uint64_t m_callNumber = 0;
  bool m_isListing = false;
  /** The next answer is the one of a renewed watch. */
  bool m_isRenewed = false;
  uint32_t m_consecutiveFailures = 0;
  /** The next watch waits for longer than the minimum delay. */
  bool m_isWatchDelayed = false;
  std::array<uint64_t, static_cast<size_t>(ListReason::Count)> m_listCounts{};
  uint64_t m_resumeCount = 0;
  std::mt19937_64 m_random{ std::random_device{}() };
};

} // namespace bilberryfield
