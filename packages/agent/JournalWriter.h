#pragma once

#include "Journal.h"
#include "KeyedStore.h"
#include "StoredBatches.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace bilberryfield {

/**
 * Writes journal batches to the platform, one at a time, on a background
 * thread. A failed write is retried until the batch is stored. Batches that a
 * restoration of the store has lost are written again.
 */
class JournalWriter
{
public:
  /** Called on the writer's thread with the last stored sequence number. */
  using OnStored = std::function<void(uint64_t)>;

  JournalWriter(std::string aPlatform, OnStored aOnStored);
  ~JournalWriter();

  /** Starts the thread. */
  void Start();

  /** Joins the thread; a batch that is not stored yet stays pending. */
  void Stop();

  /** Queues aBatch; returns false if the previous one is still pending. */
  bool Write(JournalBatch aBatch);

  /** True if no batch is pending and none is known to be lost. */
  bool IsIdle();

private:
  void Run();
  bool Store(const JournalBatch& aBatch);
  void StoreLostBatches();
  void Confirm();

  KeyedStore m_platform;
  OnStored m_onStored;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<JournalBatch> m_batch;
  bool m_isStoringLost = false;
  bool m_isStopping = false;
  /** Used on the writer's thread only. */
  StoredBatches m_storedBatches;
  std::thread m_thread;
};

} // namespace bilberryfield
