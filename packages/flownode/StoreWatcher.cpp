#include "StoreWatcher.h"

#include "Log.h"
#include "StoreWatchTiming.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kMinRetryDelay = Milliseconds(100);
constexpr Duration kMaxRetryDelay = Milliseconds(800);
/** As kMaxRetryDelay, before the first listing: until then no caller can be
 * served. */
constexpr Duration kMaxRetryDelayUnlisted = Milliseconds(250);
/** Timeout of a listing before the first one has succeeded. A store that was
 * unresponsive does not answer earlier calls after it recovers, so a short
 * timeout shortens the startup. */
constexpr Duration kFirstListTimeout = Milliseconds(400);
/** Before the first listing, every so many attempts use the full timeout, for a
 * store that is slow. */
constexpr uint32_t kFullTimeoutEvery = 3;
/** Time that the first watch after a failure waits for a change. */
constexpr Duration kResumeTimeout = Milliseconds(1);
/** Maximum number of times that the retry delay doubles. */
constexpr uint32_t kMaxDoublings = 3;

} // namespace

StoreWatcher::StoreWatcher(EventLoop& aLoop,
                           StoreClient& aStore,
                           std::string aKind,
                           OnChange aOnChange,
                           WatchTimeout aWatchTimeout)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_kind(std::move(aKind))
  , m_onChange(std::move(aOnChange))
  , m_watchTimeout(std::move(aWatchTimeout))
{
}

void
StoreWatcher::ListAnew(ListReason aReason)
{
  m_listCounts[static_cast<size_t>(aReason)] += 1;
  Log(LogLevel::Info,
      "store-listing",
      { { "kind", m_kind },
        { "reason", NameOf(kListReasonNames, aReason) },
        { "kept_era", m_position.m_era },
        { "kept_revision", m_position.m_revision },
        { "era", m_era } });
  m_isListing = true;
  List();
}

void
StoreWatcher::List()
{
  uint64_t number = ++m_callNumber;
  m_isWatchDelayed = false;
  auto onListed = [this, number](Result<StoreListing> aListing) {
    m_loop.Post([this, number, listing = std::move(aListing)]() mutable {
      if (number == m_callNumber) {
        OnListed(std::move(listing));
      }
    });
  };
  bool usesShortTimeout = !m_position.IsKnown() &&
                          (m_consecutiveFailures + 1) % kFullTimeoutEvery != 0;
  m_store.List(m_kind,
               onListed,
               usesShortTimeout ? kFirstListTimeout
                                : StoreClient::kCallTimeout);
}

void
StoreWatcher::OnListed(Result<StoreListing> aListing)
{
  if (aListing && aListing->m_position.m_era < m_era) {
    aListing = Failure(Step::CallPlatform, m_kind, "listing of an earlier era");
  }
  if (!aListing) {
    return RetryLater(aListing.error(), &StoreWatcher::List);
  }
  OnSuccess();
  m_isListing = false;
  m_objects.clear();
  m_position = aListing->m_position;
  m_era = m_position.m_era;
  for (StoreObject& object : aListing->m_objects) {
    std::string name = object.m_name;
    m_objects[name] = std::move(object);
  }
  m_onChange(m_objects, m_position);
  Watch();
}

void
StoreWatcher::OnStoreRestored(uint64_t aEra)
{
  if (aEra <= m_era) {
    return;
  }
  m_era = aEra;
  if (m_position.IsKnown() && !m_isListing) {
    ListAnew(ListReason::StoreRestored);
  }
}

void
StoreWatcher::Watch()
{
  uint64_t number = ++m_callNumber;
  m_isWatchDelayed = false;
  m_store.Watch(m_kind,
                m_position,
                NextWatchTimeout(),
                [this, number](Result<StoreChanges> aChanges) {
                  m_loop.Post(
                    [this, number, changes = std::move(aChanges)]() mutable {
                      if (number == m_callNumber) {
                        OnChanges(std::move(changes));
                      }
                    });
                });
}

// The store may have been restored while no watch was waiting there. It cannot
// tell a revision that it gave out before from one that it gave out again, so
// after a failure the first answer, which shows the era, must not wait.
Duration
StoreWatcher::NextWatchTimeout()
{
  bool isResumed = m_consecutiveFailures > 0 || m_isRenewed;
  return isResumed ? kResumeTimeout : m_watchTimeout();
}

void
StoreWatcher::Renew()
{
  if (!IsConnected()) {
    return;
  }
  Log(LogLevel::Info,
      "store-watch-renewed",
      { { "kind", m_kind },
        { "era", m_position.m_era },
        { "revision", m_position.m_revision } });
  m_isRenewed = true;
  Watch();
}

void
StoreWatcher::OnChanges(Result<StoreChanges> aChanges)
{
  if (!aChanges) {
    return RetryLater(aChanges.error(), &StoreWatcher::Watch);
  }
  OnSuccess();
  m_isRenewed = false;
  const StorePosition& answered = aChanges->m_position;
  m_era = std::max(m_era, answered.m_era);
  if (answered.m_era != m_position.m_era) {
    return ListAnew(ListReason::StoreRestored);
  }
  if (aChanges->m_isHistoryGone) {
    return ListAnew(ListReason::HistoryGone);
  }
  m_position = std::max(m_position, answered);
  for (StoreChange& change : aChanges->m_changes) {
    std::string name = change.m_object.m_name;
    if (change.m_isRemoved) {
      m_objects.erase(name);
    } else {
      m_objects[name] = std::move(change.m_object);
    }
  }
  if (aChanges->m_changes.empty()) {
    return Watch();
  }
  m_onChange(m_objects, m_position);
  ScheduleNextWatch();
}

// The delay batches changes that occur in quick succession into one call.
void
StoreWatcher::ScheduleNextWatch()
{
  Duration delay = BatchDelay(m_objects.size());
  m_isWatchDelayed = delay > kMinBatchDelay;
  RunNext(delay, &StoreWatcher::Watch);
}

void
StoreWatcher::RunNext(Duration aDelay, void (StoreWatcher::*aNext)())
{
  m_loop.RunAfter(aDelay, [this, aNext, number = m_callNumber] {
    if (number == m_callNumber) {
      (this->*aNext)();
    }
  });
}

void
StoreWatcher::OnSuccess()
{
  if (m_consecutiveFailures > 0) {
    Log(LogLevel::Info,
        "store-regained",
        { { "kind", m_kind }, { "failures", m_consecutiveFailures } });
  }
  m_consecutiveFailures = 0;
}

void
StoreWatcher::RetryLater(const StepError& aError, void (StoreWatcher::*aNext)())
{
  m_consecutiveFailures += 1;
  if (aNext == &StoreWatcher::Watch) {
    m_resumeCount += 1;
  }
  if (m_consecutiveFailures == 1) {
    Log(LogLevel::Warning,
        "store-lost",
        { { "kind", m_kind },
          { "era", m_position.m_era },
          { "revision", m_position.m_revision },
          { "detail", aError.m_detail } });
  }
  Duration delay = std::min<Duration>(
    kMinRetryDelay * (1 << std::min(m_consecutiveFailures - 1, kMaxDoublings)),
    !m_position.IsKnown() ? kMaxRetryDelayUnlisted : kMaxRetryDelay);
  // Jitter spreads the retries of processes that lost the store at once.
  std::uniform_int_distribution<Duration::rep> jitter(0, delay.count() / 2);
  RunNext(delay + Duration(jitter(m_random)), aNext);
}

} // namespace bilberryfield
