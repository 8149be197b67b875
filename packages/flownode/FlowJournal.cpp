#include "FlowJournal.h"

#include "Codec.h"
#include "KeyedValue.h"
#include "Log.h"
#include "Rendezvous.h"

namespace bilberryfield {

namespace {

/** Maximum number of records kept while the store is unavailable. */
constexpr size_t kMaxPendingRecords = 20'000;
/** Maximum number of records in one object of the store. */
constexpr size_t kMaxBatchRecords = 2'500;
/** Maximum number of open flows that are tracked until they end. */
constexpr size_t kMaxOpenFlows = 100'000;

RefusalReason
ToRefusalReason(ReturnReason aReason)
{
  switch (aReason) {
    case ReturnReason::Full:
    case ReturnReason::Bounced:
      return RefusalReason::QueueFull;
    case ReturnReason::Starting:
      return RefusalReason::NotReady;
    case ReturnReason::NotAccepting:
    case ReturnReason::Evacuated:
      return RefusalReason::Draining;
    case ReturnReason::Silent:
      return RefusalReason::ServerUnreachable;
    case ReturnReason::Failing:
      return RefusalReason::ServerFailed;
    case ReturnReason::WrongService:
      return RefusalReason::UnknownService;
    case ReturnReason::NotOwner:
      return RefusalReason::NotOwner;
    case ReturnReason::None:
    case ReturnReason::Count:
      break;
  }
  return RefusalReason::None;
}

} // namespace

FlowJournal::FlowJournal(EventLoop& aLoop,
                         StoreClient& aStore,
                         std::string aOrigin,
                         std::string aService)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_service(std::move(aService))
  , m_journal(std::move(aOrigin), kMaxPendingRecords)
{
}

// A flow has no class or request id: the destination address is recorded as the
// class, and the caller's address as the request id.
JournalRecord
FlowJournal::MakeRecord(TimePoint aNow, const FlowKey& aFlow) const
{
  JournalRecord record;
  record.m_atUs = aNow.time_since_epoch().count();
  record.m_service = m_service;
  record.m_class = ToText(aFlow.m_service);
  record.m_requestId = ToText(aFlow.m_caller);
  record.m_flow = StableHash(ToText(aFlow));
  return record;
}

void
FlowJournal::OnOpened(TimePoint aNow, const FlowKey& aFlow)
{
  if (m_itemByFlow.size() >= kMaxOpenFlows) {
    m_itemByFlow.clear();
  }
  auto [it, isNew] = m_itemByFlow.try_emplace(aFlow, m_nextItem);
  if (!isNew) {
    return;
  }
  JournalRecord record = MakeRecord(aNow, aFlow);
  record.m_event = JournalEvent::Started;
  record.m_item = m_nextItem++;
  record.m_outcome = Outcome::Unknown;
  m_journal.Append(std::move(record));
}

void
FlowJournal::OnEnded(TimePoint aNow, const FlowKey& aFlow)
{
  auto found = m_itemByFlow.find(aFlow);
  if (found == m_itemByFlow.end()) {
    return;
  }
  JournalRecord record = MakeRecord(aNow, aFlow);
  record.m_event = JournalEvent::Ended;
  record.m_item = found->second;
  record.m_outcome = Outcome::Served;
  m_itemByFlow.erase(found);
  m_journal.Append(std::move(record));
}

void
FlowJournal::OnRefused(TimePoint aNow,
                       const FlowKey& aFlow,
                       ReturnReason aReason)
{
  JournalRecord record = MakeRecord(aNow, aFlow);
  record.m_event = JournalEvent::Refused;
  // A server may bounce a SYN that was already recorded as delivered.
  auto found = m_itemByFlow.find(aFlow);
  record.m_item = found == m_itemByFlow.end() ? m_nextItem++ : found->second;
  m_itemByFlow.erase(aFlow);
  record.m_outcome = Outcome::NotRun;
  record.m_reason = ToRefusalReason(aReason);
  m_journal.Append(std::move(record));
}

std::optional<JournalBatch>
FlowJournal::NextBatch()
{
  if (auto lost = m_storedBatches.TakeLost()) {
    return lost;
  }
  if (m_journal.PendingCount() == 0) {
    return std::nullopt;
  }
  return JournalBatch{ m_journal.Origin(),
                       m_journal.LostCount(),
                       m_journal.PendingBatch(kMaxBatchRecords) };
}

void
FlowJournal::Flush(const std::function<void()>& aOnDone)
{
  if (m_isFlushing) {
    return aOnDone();
  }
  if (!m_batch) {
    m_batch = NextBatch();
  }
  if (!m_batch) {
    return Confirm(aOnDone);
  }
  m_isFlushing = true;
  TimePoint calledAt = EventLoop::Now();
  ObjectName name = NameOfKey(
    JournalKey(m_batch->m_origin, m_batch->m_records.front().m_sequence));
  m_store.Create(name.m_kind,
                 name.m_name,
                 EncodeValue(EncodeJournal(*m_batch)),
                 [this, aOnDone, calledAt](Result<StoreWrite> aWrite) {
                   m_loop.Post(
                     [this, aOnDone, calledAt, write = std::move(aWrite)] {
                       m_isFlushing = false;
                       OnWritten(calledAt, write);
                       if (!write) {
                         return aOnDone();
                       }
                       Flush(aOnDone);
                     });
                 });
}

// A conflict means that an earlier attempt stored the batch but its response
// was lost.
void
FlowJournal::OnWritten(TimePoint aCalledAt, const Result<StoreWrite>& aWrite)
{
  if (!aWrite) {
    return Log(LogLevel::Warning,
               "journal-not-stored",
               { { "peer", aWrite.error().m_peer },
                 { "detail", aWrite.error().m_detail },
                 { "pending", m_journal.PendingCount() } });
  }
  m_journal.OnStored(m_batch->m_records.back().m_sequence);
  m_storedBatches.OnEra(aCalledAt, aWrite->m_era);
  m_storedBatches.OnStored(
    EventLoop::Now(), aWrite->m_era, std::move(*m_batch));
  m_batch.reset();
}

// Any call shows the era; reading the batch itself is the cheapest one.
void
FlowJournal::Confirm(const std::function<void()>& aOnDone)
{
  TimePoint now = EventLoop::Now();
  const JournalBatch* batch = m_storedBatches.AwaitingConfirmation(now);
  if (!batch) {
    return aOnDone();
  }
  m_isFlushing = true;
  ObjectName name =
    NameOfKey(JournalKey(batch->m_origin, batch->m_records.front().m_sequence));
  m_store.Read(
    name.m_kind, name.m_name, [this, aOnDone, now](const auto& aObject) {
      m_loop.Post([this, aOnDone, now, isAnswered = aObject.has_value()] {
        m_isFlushing = false;
        if (!isAnswered) {
          return aOnDone();
        }
        m_storedBatches.OnEra(now, m_store.Era());
        Flush(aOnDone);
      });
    });
}

} // namespace bilberryfield
