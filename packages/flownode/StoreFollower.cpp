#include "StoreFollower.h"

#include "Log.h"
#include "StoreWatchTiming.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kFirstRetry = Milliseconds(100);
constexpr Duration kMaxRetry = Milliseconds(800);
/** As kMaxRetry, while nothing is known yet and no caller can be served. */
constexpr Duration kMaxRetryUnlisted = Milliseconds(250);
/** Time for a listing's answer while nothing is known yet; a store that has
 * fallen silent does not answer later, when it is back. */
constexpr Duration kUnlistedTimeout = Milliseconds(400);
/** Every so many tries without a listing, a slow store gets its full time. */
constexpr uint32_t kPatientTry = 3;
/** Failures after which the time between two tries grows no more. */
constexpr uint32_t kMaxDoublings = 3;

} // namespace

StoreFollower::StoreFollower(EventLoop& aLoop,
                             StoreClient& aStore,
                             std::string aKind,
                             OnChange aOnChange,
                             WatchWait aWatchWait)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_kind(std::move(aKind))
  , m_onChange(std::move(aOnChange))
  , m_watchWait(std::move(aWatchWait))
{
}

void
StoreFollower::List()
{
  auto onEnd = [this](Result<StoreListing> aListing) {
    m_loop.Post([this, listing = std::move(aListing)]() mutable {
      OnListed(std::move(listing));
    });
  };
  bool isUrgent = m_revision == 0 && (m_failures + 1) % kPatientTry != 0;
  m_store.List(
    m_kind, onEnd, isUrgent ? kUnlistedTimeout : StoreClient::kCallTimeout);
}

void
StoreFollower::OnListed(Result<StoreListing> aListing)
{
  if (!aListing) {
    return TryLater(aListing.error(), &StoreFollower::List);
  }
  OnSuccess();
  m_objects.clear();
  m_revision = aListing->m_revision;
  for (StoreObject& object : aListing->m_objects) {
    std::string name = object.m_name;
    m_objects[name] = std::move(object);
  }
  m_onChange(m_objects, m_revision);
  Watch();
}

void
StoreFollower::Watch()
{
  m_store.Watch(
    m_kind, m_revision, m_watchWait(), [this](Result<StoreChanges> aChanges) {
      m_loop.Post([this, changes = std::move(aChanges)]() mutable {
        OnChanges(std::move(changes));
      });
    });
}

void
StoreFollower::OnChanges(Result<StoreChanges> aChanges)
{
  if (!aChanges) {
    return TryLater(aChanges.error(), &StoreFollower::Watch);
  }
  OnSuccess();
  if (aChanges->m_isHistoryGone) {
    Log(LogLevel::Info,
        "store-history-gone",
        { { "kind", m_kind }, { "revision", m_revision } });
    return List();
  }
  m_revision = std::max(m_revision, aChanges->m_revision);
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
  m_onChange(m_objects, m_revision);
  GatherChanges();
}

void
StoreFollower::GatherChanges()
{
  Duration pause = BatchDelay(m_objects.size());
  m_isGathering = pause > kMinBatchDelay;
  m_loop.RunAfter(pause, [this] {
    m_isGathering = false;
    Watch();
  });
}

void
StoreFollower::OnSuccess()
{
  if (m_failures > 0) {
    Log(LogLevel::Info,
        "store-regained",
        { { "kind", m_kind }, { "failures", m_failures } });
  }
  m_failures = 0;
}

void
StoreFollower::TryLater(const StepError& aError, void (StoreFollower::*aNext)())
{
  m_failures += 1;
  if (m_failures == 1) {
    Log(LogLevel::Warning,
        "store-lost",
        { { "kind", m_kind }, { "detail", aError.m_detail } });
  }
  Duration pause = std::min<Duration>(
    kFirstRetry * (1 << std::min(m_failures - 1, kMaxDoublings)),
    m_revision == 0 ? kMaxRetryUnlisted : kMaxRetry);
  // Processes that lost the store together shall not return together.
  std::uniform_int_distribution<Duration::rep> jitter(0, pause.count() / 2);
  m_loop.RunAfter(pause + Duration(jitter(m_random)),
                  [this, aNext] { (this->*aNext)(); });
}

} // namespace bilberryfield
