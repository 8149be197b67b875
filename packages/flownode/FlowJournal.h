#pragma once

#include "EventLoop.h"
#include "FlowMessages.h"
#include "Journal.h"
#include "StoreClient.h"

#include <absl/container/flat_hash_map.h>

namespace bilberryfield {

/**
 * The chained record of which flows reached a server, in what order, and which
 * were refused. It is stored in batches; a batch that is not stored is tried
 * again with the next one.
 */
class FlowJournal
{
public:
  /** aOrigin names the agent and its start; aService is the server's. */
  FlowJournal(EventLoop& aLoop,
              StoreClient& aStore,
              std::string aOrigin,
              std::string aService);

  void OnOpened(TimePoint aNow, const FlowKey& aFlow);
  void OnEnded(TimePoint aNow, const FlowKey& aFlow);
  void OnRefused(TimePoint aNow, const FlowKey& aFlow, ReturnReason aReason);

  /**
   * Stores all that is pending, batch after batch, or up to the first failure;
   * aOnDone is called on the loop's thread.
   */
  void Flush(const std::function<void()>& aOnDone);

  size_t PendingCount() const { return m_journal.PendingCount(); }
  uint64_t LostCount() const { return m_journal.LostCount(); }

private:
  JournalRecord MakeRecord(TimePoint aNow, const FlowKey& aFlow) const;

  EventLoop& m_loop;
  StoreClient& m_store;
  std::string m_service;
  Journal m_journal;
  uint64_t m_nextItem = 1;
  /** Numbers of the flows that are open. */
  absl::flat_hash_map<FlowKey, uint64_t> m_itemByFlow;
  bool m_isFlushing = false;
};

} // namespace bilberryfield
