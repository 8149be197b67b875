#include "AgentRegistrar.h"

#include "Log.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kFirstRetry = Milliseconds(150);
constexpr Duration kMaxRetry = Milliseconds(700);

} // namespace

// The entry is named by the address, so that a new agent at an address
// replaces the entry of the one before.
AgentRegistrar::AgentRegistrar(EventLoop& aLoop,
                               StoreClient& aStore,
                               AgentEntry aEntry)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_entry(std::move(aEntry))
  , m_name(IpToText(m_entry.m_packets.m_ip))
{
}

void
AgentRegistrar::SetWanted(bool aIsWanted)
{
  if (m_isWanted == aIsWanted) {
    return;
  }
  m_isWanted = aIsWanted;
  Work();
}

void
AgentRegistrar::OnMissing()
{
  if (m_isWanted && m_stored == Stored::Present) {
    m_stored = Stored::Unknown;
    Work();
  }
}

void
AgentRegistrar::Work()
{
  if (m_isBusy) {
    return;
  }
  if (m_isWanted && m_stored != Stored::Present) {
    m_isBusy = true;
    return Create();
  }
  if (!m_isWanted && m_stored == Stored::Present) {
    m_isBusy = true;
    return Remove();
  }
}

void
AgentRegistrar::Create()
{
  m_store.Create(
    kAgentKind, m_name, ToJson(m_entry), [this](Result<StoreWrite> aWrite) {
      m_loop.Post([this, write = std::move(aWrite)] {
        bool isConflict = write && write->m_end == StoreWrite::End::Conflict;
        if (isConflict && !IsOwnEntry(write->m_object)) {
          return Replace();
        }
        OnWritten("agent-entry-stored", write, Stored::Present);
      });
    });
}

bool
AgentRegistrar::IsOwnEntry(const std::optional<StoreObject>& aStored) const
{
  return aStored && ParseAgentEntry(m_name, aStored->m_content) == m_entry;
}

void
AgentRegistrar::Replace()
{
  m_store.Replace(
    kAgentKind, m_name, ToJson(m_entry), 0, [this](Result<StoreWrite> aWrite) {
      m_loop.Post([this, write = std::move(aWrite)] {
        bool isStored = write && write->m_end == StoreWrite::End::Stored;
        OnWritten("agent-entry-replaced",
                  write,
                  isStored ? Stored::Present : Stored::Unknown);
      });
    });
}

void
AgentRegistrar::Remove()
{
  m_store.Remove(kAgentKind, m_name, [this](Result<StoreWrite> aWrite) {
    m_loop.Post([this, write = std::move(aWrite)] {
      OnWritten("agent-entry-removed", write, Stored::Absent);
    });
  });
}

void
AgentRegistrar::OnWritten(const char* aWhat,
                          const Result<StoreWrite>& aWrite,
                          Stored aStored)
{
  m_isBusy = false;
  if (!aWrite) {
    return TryLater(aWrite.error());
  }
  Log(LogLevel::Info, aWhat, { { "name", m_name } });
  m_failures = 0;
  m_stored = aStored;
  Work();
}

void
AgentRegistrar::TryLater(const StepError& aError)
{
  m_failures += 1;
  if (m_failures == 1) {
    Log(LogLevel::Warning,
        "agent-entry-not-stored",
        { { "name", m_name }, { "detail", aError.m_detail } });
  }
  Duration pause = std::min<Duration>(kFirstRetry * m_failures, kMaxRetry);
  m_loop.RunAfter(pause, [this] { Work(); });
}

} // namespace bilberryfield
