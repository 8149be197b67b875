#include "JournalWriter.h"

#include "Codec.h"
#include "Log.h"

namespace bilberryfield {

namespace {

constexpr auto kRetryDelay = std::chrono::seconds(1);

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
  return !m_batch;
}

void
JournalWriter::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_isStopping) {
    if (!m_batch) {
      m_changed.wait(lock);
      continue;
    }
    JournalBatch batch = *m_batch;
    lock.unlock();
    bool isStored = Store(batch);
    lock.lock();
    if (isStored) {
      m_batch.reset();
      m_onStored(batch.m_records.back().m_sequence);
    } else {
      m_changed.wait_for(lock, kRetryDelay);
    }
  }
}

bool
JournalWriter::Store(const JournalBatch& aBatch)
{
  // Only this agent writes to this key, so a conflict means that an earlier
  // attempt stored the batch but its response was lost. It counts as success.
  Result<PutOutcome> put = m_platform.Put(
    JournalKey(aBatch.m_origin, aBatch.m_records.front().m_sequence),
    EncodeJournal(aBatch),
    0);
  if (!put) {
    Log(LogLevel::Warning,
        "journal-not-stored",
        { { "step", NameOf(kStepNames, put.error().m_step) },
          { "peer", put.error().m_peer },
          { "detail", put.error().m_detail } });
  }
  return put.has_value();
}

} // namespace bilberryfield
