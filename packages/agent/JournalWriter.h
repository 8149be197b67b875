#pragma once

#include "Journal.h"
#include "KeyedStore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace bilberryfield {

/**
 * Writes journal batches to the platform, one at a time, on a thread of its
 * own. A batch is tried again until it is stored.
 */
class JournalWriter
{
public:
  /** Called on the writer's thread with the last sequence that is stored. */
  using OnStored = std::function<void(uint64_t)>;

  JournalWriter(std::string aPlatform, OnStored aOnStored);
  ~JournalWriter();

  void Start();

  /** Ends the thread; a batch that is not stored yet is given up. */
  void Stop();

  /** Hands over a batch; false while the last one is still being written. */
  bool Write(JournalBatch aBatch);

  /** True when no batch is being written. */
  bool IsIdle();

private:
  void Run();
  bool Store(const JournalBatch& aBatch);

  KeyedStore m_platform;
  OnStored m_onStored;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<JournalBatch> m_batch;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace bilberryfield
