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
  void SetWanted(bool aIsWanted);

  /** The entry was found missing and is written again. */
  void OnMissing();

private:
  /** What the store holds, as far as known. */
  enum class Stored : uint8_t
  {
    Unknown,
    Present,
    Absent,
  };

  void Work();
  void Create();
  bool IsOwnEntry(const std::optional<StoreObject>& aStored) const;
  void Replace();
  void Remove();
  void OnWritten(const char* aWhat,
                 const Result<StoreWrite>& aWrite,
                 Stored aStored);
  void TryLater(const StepError& aError);

  EventLoop& m_loop;
  StoreClient& m_store;
  AgentEntry m_entry;
  std::string m_name;
  bool m_isWanted = false;
  bool m_isBusy = false;
  Stored m_stored = Stored::Unknown;
  uint32_t m_failures = 0;
};

} // namespace bilberryfield
