#include "StoredBatches.h"

namespace bilberryfield {

void
StoredBatches::OnStored(TimePoint aNow, uint64_t aEra, JournalBatch aBatch)
{
  m_stored.push_back({ std::move(aBatch), aEra, aNow });
}

bool
StoredBatches::IsInEveryCopy(TimePoint aNow, const Stored& aStored)
{
  return aNow - aStored.m_at > kMaxCopyAge;
}

// The answer may have been received long after the store gave it, but never
// before the call began. An answer of an earlier era says nothing about batches
// of the current one.
void
StoredBatches::OnEra(TimePoint aCalledAt, uint64_t aEra)
{
  std::deque<Stored> kept;
  for (Stored& stored : m_stored) {
    if (stored.m_era < aEra) {
      m_lost.push_back(std::move(stored.m_batch));
    } else if (stored.m_era > aEra || !IsInEveryCopy(aCalledAt, stored)) {
      kept.push_back(std::move(stored));
    }
  }
  m_stored = std::move(kept);
}

std::optional<JournalBatch>
StoredBatches::TakeLost()
{
  if (m_lost.empty()) {
    return std::nullopt;
  }
  JournalBatch batch = std::move(m_lost.front());
  m_lost.pop_front();
  return batch;
}

void
StoredBatches::ReturnLost(JournalBatch aBatch)
{
  m_lost.push_front(std::move(aBatch));
}

const JournalBatch*
StoredBatches::AwaitingConfirmation(TimePoint aNow) const
{
  bool isDue = !m_stored.empty() && IsInEveryCopy(aNow, m_stored.front());
  return isDue ? &m_stored.front().m_batch : nullptr;
}

} // namespace bilberryfield
