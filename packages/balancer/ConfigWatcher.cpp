#include "ConfigWatcher.h"

#include "Log.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr size_t kMaxSeedsPerDomain = 8;
constexpr Duration kWatchTimeout = Seconds(2);
constexpr Duration kRetryDelay = Milliseconds(500);
// Nodes that do not watch receive changes by gossip. An occasional poll bounds
// how long a node that gossip does not reach can stay outdated. Counted in
// waits of kRetryDelay.
constexpr int kMaxSkippedPolls = 120;
const std::string kSeedPrefix = "members/";

std::vector<std::string>
ParseSeeds(const std::string& aText)
{
  nlohmann::json list = nlohmann::json::parse(aText, nullptr, false);
  if (!list.is_array()) {
    return {};
  }
  std::vector<std::string> seeds;
  for (const nlohmann::json& item : list) {
    if (item.is_string()) {
      seeds.push_back(item.get<std::string>());
    }
  }
  return seeds;
}

void
LogFailure(const StepError& aError)
{
  Log(LogLevel::Warning,
      "platform-call-failed",
      { { "step", NameOf(kStepNames, aError.m_step) },
        { "peer", aError.m_peer },
        { "detail", aError.m_detail } });
}

} // namespace

ConfigWatcher::ConfigWatcher(std::string aPlatform,
                             std::string aDomain,
                             WatcherCallbacks aCallbacks)
  : m_domain(std::move(aDomain))
  , m_callbacks(std::move(aCallbacks))
  , m_platform(std::move(aPlatform))
{
}

ConfigWatcher::~ConfigWatcher()
{
  Stop();
}

void
ConfigWatcher::Start(const std::string& aOwnAddress)
{
  m_ownAddress = aOwnAddress;
  m_isStopping = false;
  m_thread = std::thread([this] { Run(); });
}

void
ConfigWatcher::Stop()
{
  m_isStopping = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
ConfigWatcher::Sleep(Duration aTime)
{
  constexpr Duration kStep = Milliseconds(50);
  for (Duration slept{}; slept < aTime && !m_isStopping; slept += kStep) {
    std::this_thread::sleep_for(kStep);
  }
}

void
ConfigWatcher::Run()
{
  bool hasSeeds = false;
  std::optional<uint64_t> registeredEra;
  int skippedPolls = 0;
  while (!m_isStopping) {
    hasSeeds = hasSeeds || ReadSeeds();
    // A restoration of the store may have lost the registration.
    if (registeredEra != m_platform.Era()) {
      registeredEra = RegisterOwnAddress();
    }
    bool shouldPoll =
      m_control.m_shouldWatch || ++skippedPolls >= kMaxSkippedPolls;
    if (!shouldPoll) {
      Sleep(kRetryDelay);
      continue;
    }
    skippedPolls = 0;
    if (!ReadConfig()) {
      Sleep(kRetryDelay);
    }
  }
}

bool
ConfigWatcher::ReadSeeds()
{
  Result<std::vector<std::string>> keys = m_platform.List(kSeedPrefix);
  if (!keys) {
    LogFailure(keys.error());
    return false;
  }
  std::vector<std::string> seeds;
  for (const std::string& key : *keys) {
    Result<FoundObject> found = m_platform.Get(key);
    if (!found) {
      LogFailure(found.error());
      return false;
    }
    if (*found) {
      std::vector<std::string> domainSeeds = ParseSeeds((*found)->m_value);
      seeds.insert(seeds.end(), domainSeeds.begin(), domainSeeds.end());
    }
  }
  m_callbacks.m_onSeeds(std::move(seeds));
  return true;
}

std::optional<uint64_t>
ConfigWatcher::RegisterOwnAddress()
{
  std::string key = kSeedPrefix + m_domain;
  Result<FoundObject> found = m_platform.Get(key);
  if (!found) {
    LogFailure(found.error());
    return std::nullopt;
  }
  StorePosition position = *found ? (*found)->m_position : StorePosition{};
  std::vector<std::string> seeds;
  if (*found) {
    seeds = ParseSeeds((*found)->m_value);
  }
  if (std::find(seeds.begin(), seeds.end(), m_ownAddress) != seeds.end()) {
    return (*found)->m_position.m_era;
  }
  // Newest addresses come first; truncation removes those of replaced VMs.
  seeds.insert(seeds.begin(), m_ownAddress);
  seeds.resize(std::min(seeds.size(), kMaxSeedsPerDomain));
  Result<PutOutcome> put =
    m_platform.Put(key, nlohmann::json(seeds).dump(), position);
  if (!put) {
    LogFailure(put.error());
  }
  // Even after a success, the next iteration reads the list again: it confirms
  // the write and resolves a conflict or a lost response.
  return std::nullopt;
}

bool
ConfigWatcher::ReadConfig()
{
  // Taken before the head is read: the head then lacks a publish only if the
  // store has lost it, and not because gossip was faster.
  ConfigPointer own = m_control.m_config;
  Result<FoundObject> found =
    m_platform.Watch(kConfigHeadKey, m_lastHead, kWatchTimeout);
  if (!found) {
    LogFailure(found.error());
    return false;
  }
  bool wasRestored =
    m_lastHead.IsKnown() && m_platform.Era() > m_lastHead.m_era;
  if (!*found && !wasRestored) {
    return true;
  }
  auto current = FetchHead(m_platform);
  if (!current) {
    LogFailure(current.error());
    return false;
  }
  const auto& [head, position] = *current;
  if (RestoreHead(head, *own, position)) {
    return true;
  }
  if (!ApplyHead(head, *own)) {
    return false;
  }
  // A stale read can return an older head; never move the position back.
  m_lastHead = std::max(m_lastHead, position);
  return true;
}

bool
ConfigWatcher::ApplyHead(const ConfigHead& aHead, const ConfigSnapshot& aOwn)
{
  if (aHead.m_version <= aOwn.m_version) {
    return true;
  }
  Result<ConfigDelta> delta = FetchDelta(m_platform, aHead, aOwn.m_version);
  if (!delta) {
    LogFailure(delta.error());
    return false;
  }
  m_callbacks.m_onDelta(std::move(*delta));
  return true;
}

bool
ConfigWatcher::RestoreHead(const ConfigHead& aHead,
                           const ConfigSnapshot& aOwn,
                           const StorePosition& aPosition)
{
  auto restored = PlanRestore(aHead, aOwn, m_platform.Era());
  if (!restored) {
    return false;
  }
  for (const std::string& name : restored->m_clashes) {
    Log(LogLevel::Error,
        "lost-service-not-restored",
        { { "service", name },
          { "detail", "another service was published at its address" } });
  }
  Result<PutOutcome> put = StoreRestored(m_platform, *restored, aPosition);
  Log(LogLevel::Warning,
      "config-restored",
      { { "version", restored->m_head.m_version },
        { "stored_version", aHead.m_version },
        { "era", m_platform.Era() },
        { "services", restored->m_contents.size() },
        { "outcome",
          !put                         ? put.error().m_detail
          : *put == PutOutcome::Stored ? "stored"
                                       : "another node was first" } });
  if (!put) {
    Sleep(kRetryDelay);
  }
  return true;
}

} // namespace bilberryfield
