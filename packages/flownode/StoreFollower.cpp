#include "StoreFollower.h"

#include "HttpPaths.h"
#include "Log.h"
#include "StoreWatchTiming.h"

namespace bilberryfield {

namespace {

void
AddWatcherMetrics(MetricsText& aText,
                  const std::string& aKind,
                  const StoreWatcher& aWatcher)
{
  std::string kind = "kind=\"" + aKind + '"';
  const StorePosition& position = aWatcher.Position();
  aText.Add("bilberry_watch_era", position.m_era, kind);
  aText.Add("bilberry_watch_revision", position.m_revision, kind);
  aText.Add("bilberry_watches_resumed_total", aWatcher.ResumeCount(), kind);
  for (const auto& row : kListReasonNames) {
    std::string labels = kind + ",reason=\"" + std::string(row.m_name) + '"';
    aText.Add(
      "bilberry_listings_total", aWatcher.ListCount(row.m_value), labels);
  }
}

} // namespace

StoreFollower::StoreFollower(EventLoop& aLoop,
                             std::string aAddress,
                             StoreFollowerCallbacks aCallbacks)
  : m_loop(aLoop)
  , m_callbacks(std::move(aCallbacks))
  , m_client(std::move(aAddress))
  , m_config(
      m_loop,
      m_client,
      kConfigKind,
      [this](const auto& aObjects, const StorePosition&) {
        OnConfigObjects(aObjects);
      },
      m_callbacks.m_configWatchTimeout)
  , m_agents(
      m_loop,
      m_client,
      kAgentKind,
      [this](const auto& aObjects, const StorePosition& aPosition) {
        OnAgentObjects(aObjects, aPosition);
      },
      [] { return kMaxWatchTimeout; })
{
  if (!m_callbacks.m_onEvacuations) {
    return;
  }
  m_evacuations.emplace(
    m_loop,
    m_client,
    kEvacuationKind,
    [this](const auto& aObjects, const StorePosition& aPosition) {
      OnEvacuationObjects(aObjects, aPosition);
    },
    m_callbacks.m_configWatchTimeout);
}

void
StoreFollower::Start()
{
  m_client.SetOnRestored([this](uint64_t aEra) {
    m_loop.Post([this, aEra] {
      m_config.OnStoreRestored(aEra);
      m_agents.OnStoreRestored(aEra);
      if (m_evacuations) {
        m_evacuations->OnStoreRestored(aEra);
      }
    });
  });
  m_config.Start();
  m_agents.Start();
  if (m_evacuations) {
    m_evacuations->Start();
  }
}

void
StoreFollower::OnConfigObjects(const StoreWatcher::Objects& aObjects)
{
  auto found = aObjects.find(kConfigName);
  if (found != aObjects.end()) {
    m_callbacks.m_onConfiguration(found->second);
  }
}

void
StoreFollower::OnAgentObjects(const StoreWatcher::Objects& aObjects,
                              const StorePosition& aPosition)
{
  std::vector<AgentEntry> entries;
  for (const auto& [name, object] : aObjects) {
    Result<AgentEntry> entry = ParseAgentEntry(name, object.m_content);
    if (entry) {
      entries.push_back(std::move(*entry));
    } else {
      Log(LogLevel::Warning,
          "agent-entry-rejected",
          { { "name", name }, { "detail", entry.error().m_detail } });
    }
  }
  m_callbacks.m_onAgents(entries, aPosition);
}

void
StoreFollower::OnEvacuationObjects(const StoreWatcher::Objects& aObjects,
                                   const StorePosition& aPosition)
{
  EvacuationReading reading = m_evacuationReader.Read(aObjects, aPosition);
  for (const std::string& name : reading.m_rejected) {
    Log(LogLevel::Warning,
        "evacuation-rejected",
        { { "name", name }, { "detail", "the content is not an object" } });
  }
  m_callbacks.m_onEvacuations(reading.m_set);
}

void
StoreFollower::AddMetrics(MetricsText& aText) const
{
  aText.Add("bilberry_store_era", m_client.Era());
  AddWatcherMetrics(aText, kConfigKind, m_config);
  AddWatcherMetrics(aText, kAgentKind, m_agents);
  if (m_evacuations) {
    AddWatcherMetrics(aText, kEvacuationKind, *m_evacuations);
  }
}

} // namespace bilberryfield
