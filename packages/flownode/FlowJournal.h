#pragma once

#include "EventLoop.h"
#include "FlowMessages.h"
#include "Journal.h"
#include "StoreClient.h"
#include "StoredBatches.h"

#include <absl/container/flat_hash_map.h>

namespace bilberryfield {

/**
 * The hash-chained journal of the flows that reached a server, in order, and of
 * those that were refused. It is stored in batches; after a failure the next
 * flush stores the same batch again.
 */
class FlowJournal
{
public:
  /** aOrigin identifies the agent and its start; aService is the service of its
   * server. */
  FlowJournal(EventLoop& aLoop,
              StoreClient& aStore,
              std::string aOrigin,
              std::string aService);

  /** Records that a flow was delivered to the server; repeats are ignored. */
  void OnOpened(TimePoint aNow, const FlowKey& aFlow);
  /** Records the end of a flow; unknown flows are ignored. */
  void OnEnded(TimePoint aNow, const FlowKey& aFlow);
  /** Records that a flow was refused. */
  void OnRefused(TimePoint aNow, const FlowKey& aFlow, ReturnReason aReason);

  /**
   * Stores the pending records batch by batch until none is left or a write
   * fails. Then calls aOnDone on the loop's thread; calls it at once when
   * nothing is pending or another flush is in progress.
   */
  void Flush(const std::function<void()>& aOnDone);

  /** Number of records that have not been stored yet. */
  size_t PendingCount() const { return m_journal.PendingCount(); }
  /** Number of records dropped before they could be stored. */
  uint64_t LostCount() const { return m_journal.LostCount(); }

private:
  JournalRecord MakeRecord(TimePoint aNow, const FlowKey& aFlow) const;
  /** A batch that the store has lost, or the oldest pending records. */
  std::optional<JournalBatch> NextBatch();
  void OnWritten(TimePoint aCalledAt, const Result<StoreWrite>& aWrite);
  /** Finds out whether the store has lost acknowledged batches. */
  void Confirm(const std::function<void()>& aOnDone);

  EventLoop& m_loop;
  StoreClient& m_store;
  std::string m_service;
  Journal m_journal;
  uint64_t m_nextItem = 1;
  /** Item numbers of the open flows. */
  absl::flat_hash_map<FlowKey, uint64_t> m_itemByFlow;
  bool m_isFlushing = false;
  /** The batch that is being stored. A write that failed may have taken effect,
   * so it is repeated with the same records. */
  std::optional<JournalBatch> m_batch;
  StoredBatches m_storedBatches;
};

} // namespace bilberryfield
