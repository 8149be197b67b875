#include "JournalWriter.h"

#include "Codec.h"
#include "Log.h"
#include "SteadyClock.h"

namespace bilberryfield {

namespace {

constexpr auto kRetryDelay = std::chrono::seconds(1);
/** Interval of the checks for batches that the store may have lost, while there
 * is nothing to write. */
constexpr auto kConfirmInterval = std::chrono::seconds(10);

} // namespace

JournalWriter::JournalWriter(std::string aPlatform, OnStored aOnStored)
  : m_platform(std::move(aPlatform))
  , m_onStored(std::move(aOnStored))
{
}

JournalWriter::~JournalWriter()
{
  Stop();
}

void
JournalWriter::Start()
{
  m_isStopping = false;
  m_thread = std::thread([this] { Run(); });
}

void
JournalWriter::Stop()
{
  {
    std::lock_guard lock(m_mutex);
    m_isStopping = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool
JournalWriter::Write(JournalBatch aBatch)
{
  std::lock_guard lock(m_mutex);
  if (m_batch) {
    return false;
  }
  m_batch = std::move(aBatch);
  m_changed.notify_all();
  return true;
}

bool
JournalWriter::IsIdle()
{
  std::lock_guard lock(m_mutex);
  return !m_batch && !m_isStoringLost;
}

void
JournalWriter::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_isStopping) {
    if (!m_batch) {
      m_changed.wait_for(lock, kConfirmInterval);
      lock.unlock();
      Confirm();
      lock.lock();
      continue;
    }
    JournalBatch batch = *m_batch;
    lock.unlock();
    bool isStored = Store(batch);
    lock.lock();
    if (isStored) {
      m_batch.reset();
      m_onStored(batch.m_records.back().m_sequence);
      m_isStoringLost = true;
      lock.unlock();
      StoreLostBatches();
      lock.lock();
      m_isStoringLost = false;
    } else {
      m_changed.wait_for(lock, kRetryDelay);
    }
  }
}

bool
JournalWriter::Store(const JournalBatch& aBatch)
{
  TimePoint calledAt = SteadyNow();
  // Only this agent writes to this key, so a conflict means that an earlier
  // attempt stored the batch but its response was lost. It counts as success.
  Result<PutOutcome> put = m_platform.Put(
    JournalKey(aBatch.m_origin, aBatch.m_records.front().m_sequence),
    EncodeJournal(aBatch),
    {});
  if (!put) {
    Log(LogLevel::Warning,
        "journal-not-stored",
        { { "step", NameOf(kStepNames, put.error().m_step) },
          { "peer", put.error().m_peer },
          { "detail", put.error().m_detail } });
    return false;
  }
  uint64_t era = m_platform.Era();
  m_storedBatches.OnEra(calledAt, era);
  m_storedBatches.OnStored(SteadyNow(), era, aBatch);
  return true;
}

void
JournalWriter::StoreLostBatches()
{
  while (auto lost = m_storedBatches.TakeLost()) {
    if (!Store(*lost)) {
      return m_storedBatches.ReturnLost(std::move(*lost));
    }
  }
}

void
JournalWriter::Confirm()
{
  StoreLostBatches();
  TimePoint now = SteadyNow();
  const JournalBatch* batch = m_storedBatches.AwaitingConfirmation(now);
  if (!batch) {
    return;
  }
  auto found = m_platform.Get(
    JournalKey(batch->m_origin, batch->m_records.front().m_sequence));
  if (found) {
    m_storedBatches.OnEra(now, m_platform.Era());
    StoreLostBatches();
  }
}

} // namespace bilberryfield
