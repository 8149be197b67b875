#include "AgentRegistrar.h"

#include "EntryRemoval.h"
#include "Log.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kRetryDelayStep = Milliseconds(150);
constexpr Duration kMaxRetryDelay = Milliseconds(700);

} // namespace

AgentRegistrar::AgentRegistrar(EventLoop& aLoop,
                               StoreClient& aStore,
                               AgentEntry aEntry)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_entry(std::move(aEntry))
  , m_entryName(EntryName(m_entry))
{
}

void
AgentRegistrar::SetDesired(bool aIsDesired)
{
  if (m_isDesired == aIsDesired) {
    return;
  }
  m_isDesired = aIsDesired;
  Reconcile();
}

void
AgentRegistrar::OnEntryMissing()
{
  if (m_isDesired && m_storedState == EntryState::Present) {
    m_storedState = EntryState::Uncertain;
    Reconcile();
  }
}

// An agent that was restarted after its server had left does not know whether
// its previous start has stored an entry.
void
AgentRegistrar::Withdraw()
{
  if (m_storedState == EntryState::Unknown) {
    m_storedState = EntryState::Uncertain;
  }
  m_isDesired = false;
  Reconcile();
}

void
AgentRegistrar::Reconcile()
{
  if (m_isWriting) {
    return;
  }
  if (m_isDesired && m_storedState != EntryState::Present) {
    m_isWriting = true;
    return Create();
  }
  bool mayBePresent = m_storedState == EntryState::Present ||
                      m_storedState == EntryState::Uncertain;
  if (!m_isDesired && mayBePresent) {
    m_isWriting = true;
    return Remove();
  }
}

void
AgentRegistrar::Create()
{
  m_store.Create(
    kAgentKind,
    m_entryName,
    ToJson(m_entry),
    [this](Result<StoreWrite> aWrite) {
      m_loop.Post([this, write = std::move(aWrite)] {
        bool isConflict =
          write && write->m_outcome == StoreWrite::Outcome::Conflict;
        if (isConflict && !IsOwnEntry(write->m_object)) {
          return Replace(write->m_object);
        }
        OnWriteFinished("agent-entry-stored", write, EntryState::Present);
      });
    });
}

bool
AgentRegistrar::IsOwnEntry(const std::optional<StoreObject>& aStored) const
{
  return aStored && ParseAgentEntry(m_entryName, aStored->m_content) == m_entry;
}

void
AgentRegistrar::Replace(const std::optional<StoreObject>& aOther)
{
  m_store.Replace(kAgentKind,
                  m_entryName,
                  ToJson(m_entry),
                  aOther ? aOther->m_position : StorePosition{},
                  [this](Result<StoreWrite> aWrite) {
                    m_loop.Post([this, write = std::move(aWrite)] {
                      bool isStored = write && write->m_outcome ==
                                                 StoreWrite::Outcome::Stored;
                      OnWriteFinished("agent-entry-replaced",
                                      write,
                                      isStored ? EntryState::Present
                                               : EntryState::Uncertain);
                    });
                  });
}

// A store that was restored may have given the revision to another entry.
void
AgentRegistrar::Remove()
{
  auto onEnd = [this](Result<StoreWrite> aWrite) {
    m_loop.Post([this, write = std::move(aWrite)] {
      bool isConflict =
        write && write->m_outcome == StoreWrite::Outcome::Conflict;
      if (isConflict) {
        m_storedAt = {};
        return Remove();
      }
      bool isMissing =
        write && write->m_outcome == StoreWrite::Outcome::Missing;
      OnWriteFinished(isMissing ? "agent-entry-absent" : "agent-entry-removed",
                      write,
                      EntryState::Absent);
    });
  };
  if (m_storedAt.IsKnown() && m_storedAt.m_era == m_store.Era()) {
    return m_store.Remove(kAgentKind, m_entryName, m_storedAt, onEnd);
  }
  RemoveEntry(m_store, m_entry, onEnd);
}

void
AgentRegistrar::OnWriteFinished(const char* aEvent,
                                const Result<StoreWrite>& aWrite,
                                EntryState aNewState)
{
  m_isWriting = false;
  bool hasPosition =
    aNewState == EntryState::Present && aWrite && aWrite->m_object;
  m_storedAt = hasPosition ? aWrite->m_object->m_position : StorePosition{};
  if (!aWrite) {
    // The write may have taken effect all the same.
    m_storedState = EntryState::Uncertain;
    return RetryLater(aWrite.error());
  }
  Log(LogLevel::Info, aEvent, { { "name", m_entryName } });
  m_consecutiveFailures = 0;
  m_storedState = aNewState;
  Reconcile();
}

void
AgentRegistrar::RetryLater(const StepError& aError)
{
  m_consecutiveFailures += 1;
  if (m_consecutiveFailures == 1) {
    Log(LogLevel::Warning,
        "agent-entry-not-stored",
        { { "name", m_entryName }, { "detail", aError.m_detail } });
  }
  Duration delay =
    std::min<Duration>(kRetryDelayStep * m_consecutiveFailures, kMaxRetryDelay);
  m_loop.RunAfter(delay, [this] { Reconcile(); });
}

} // namespace bilberryfield
