#pragma once

#include "AgentEntryCodec.h"
#include "EventLoop.h"
#include "StoreClient.h"

namespace bilberryfield {

/**
 * Reconciles an agent's entry in the platform's store with the desired state:
 * present while its server runs, absent after the server has left. Writes only
 * when the two differ.
 */
class AgentRegistrar
{
public:
  AgentRegistrar(EventLoop& aLoop, StoreClient& aStore, AgentEntry aEntry);

  /** Sets whether the entry should be present. */
  void SetDesired(bool aIsDesired);

  /** Writes the entry again after a balancer did not find it in the store. */
  void OnEntryMissing();

  /** Removes the entry for good, also one that an earlier start of this agent
   * has stored. For the shutdown of an agent without a server. */
  void Withdraw();

  /** True if the entry is absent and no write is in progress. */
  bool IsWithdrawn() const
  {
    return m_storedState == EntryState::Absent && !m_isWriting;
  }

private:
  /** State of the entry in the store, as far as this process knows. */
  enum class EntryState : uint8_t
  {
    Unknown,   /**< As an earlier process has left it. */
    Uncertain, /**< A write had no answer, or the entry was found missing. */
    Present,
    Absent,
  };

  void Reconcile();
  void Create();
  bool IsOwnEntry(const std::optional<StoreObject>& aStored) const;
  /** aOther is the entry of another agent that is in the store. */
  void Replace(const std::optional<StoreObject>& aOther);
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
  /** Position of the own entry; unknown if its write was not answered. */
  StorePosition m_storedAt;
  uint32_t m_consecutiveFailures = 0;
};

} // namespace bilberryfield
