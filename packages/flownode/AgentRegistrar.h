#pragma once

#include "AgentEntryCodec.h"
#include "EventLoop.h"
#include "StoreClient.h"

namespace bilberryfield {

/**
 * Keeps an agent's entry in the platform's store as it should be: there while
 * its server lives, gone after the server left. Writes only on change.
 */
class AgentRegistrar
{
public:
  AgentRegistrar(EventLoop& aLoop, StoreClient& aStore, AgentEntry aEntry);

  /** States whether the entry shall be there. */
  void SetDesired(bool aIsDesired);

  /** The entry was found missing and is written again. */
  void OnEntryMissing();

private:
  /** What the store holds, as far as known. */
  enum class EntryState : uint8_t
  {
    Unknown,
    Present,
    Absent,
  };

  void Reconcile();
  void Create();
  bool IsOwnEntry(const std::optional<StoreObject>& aStored) const;
  void Replace();
  void Remove();
  void OnWriteFinished(const char* aEvent,
                       const Result<StoreWrite>& aWrite,
                       EntryState aNewState);
  void RetryLater(const StepError& aError);

  EventLoop& m_loop;
  StoreClient& m_store;
  AgentEntry m_entry;
  std::string m_entryName;
  bool m_isDesired = false;
  bool m_isWriting = false;
  EntryState m_storedState = EntryState::Unknown;
  uint32_t m_consecutiveFailures = 0;
};

} // namespace bilberryfield
