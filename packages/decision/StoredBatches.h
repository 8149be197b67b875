#pragma once

#include "Journal.h"

namespace bilberryfield {

/**
 * Journal batches that the store has acknowledged. A restoration from a copy
 * can still lose them, so they are kept until an answer of the same era, which
 * is later by more than the age of a copy, shows that they are in every copy.
 */
class StoredBatches
{
public:
  /** Maximum age of a copy from which the store is restored. */
  static constexpr Duration kMaxCopyAge = Seconds(30);

  /** Keeps a batch whose write was acknowledged in an era at aNow. */
  void OnStored(TimePoint aNow, uint64_t aEra, JournalBatch aBatch);

  /** Handles the era of the answer to a call that began at aCalledAt: forgets
   * the batches that are in every copy. After a restoration the kept ones have
   * to be stored again. */
  void OnEra(TimePoint aCalledAt, uint64_t aEra);

  /** Removes and returns a batch that has to be stored again. */
  std::optional<JournalBatch> TakeLost();

  /** Puts back a lost batch that could not be stored. */
  void ReturnLost(JournalBatch aBatch);

  /** A batch that the next answer of the store allows to forget, or nullptr.
   * While there is one, a call is due even if there is nothing to write. */
  const JournalBatch* AwaitingConfirmation(TimePoint aNow) const;

private:
  struct Stored
  {
    JournalBatch m_batch;
    uint64_t m_era = 0;
    TimePoint m_at;
  };

  static bool IsInEveryCopy(TimePoint aNow, const Stored& aStored);

  /** By time of the acknowledgement. */
  std::deque<Stored> m_stored;
  std::deque<JournalBatch> m_lost;
};

} // namespace bilberryfield
