#include "FlowJournal.h"

#include "Codec.h"
#include "KeyedValue.h"
#include "Log.h"
#include "Rendezvous.h"

namespace bilberryfield {

namespace {

/** Records kept while the store is away. */
constexpr size_t kMaxPending = 20'000;
/** Records in one object of the store. */
constexpr size_t kBatchRecords = 2'500;
/** Open flows whose end is waited for. */
constexpr size_t kMaxOpen = 100'000;

RefusalReason
ReasonOf(ReturnReason aReason)
{
  switch (aReason) {
    case ReturnReason::Full:
    case ReturnReason::Bounced:
      return RefusalReason::QueueFull;
    case ReturnReason::Starting:
      return RefusalReason::NotReady;
    case ReturnReason::NotAccepting:
      return RefusalReason::Draining;
    case ReturnReason::Silent:
      return RefusalReason::ServerUnreachable;
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
  , m_journal(std::move(aOrigin), kMaxPending)
{
}

// The class of a flow is the address that it was sent to; the caller's end
// takes the place of a request id.
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
  if (m_items.size() >= kMaxOpen) {
    m_items.clear();
  }
  auto [place, isNew] = m_items.try_emplace(aFlow, m_nextItem);
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
  auto found = m_items.find(aFlow);
  if (found == m_items.end()) {
    return;
  }
  JournalRecord record = MakeRecord(aNow, aFlow);
  record.m_event = JournalEvent::Ended;
  record.m_item = found->second;
  record.m_outcome = Outcome::Served;
  m_items.erase(found);
  m_journal.Append(std::move(record));
}

void
FlowJournal::OnRefused(TimePoint aNow,
                       const FlowKey& aFlow,
                       ReturnReason aReason)
{
  JournalRecord record = MakeRecord(aNow, aFlow);
  record.m_event = JournalEvent::Refused;
  // A server may send back an opening packet that it was given before.
  auto found = m_items.find(aFlow);
  record.m_item = found == m_items.end() ? m_nextItem++ : found->second;
  m_items.erase(aFlow);
  record.m_outcome = Outcome::NotRun;
  record.m_reason = ReasonOf(aReason);
  m_journal.Append(std::move(record));
}

void
FlowJournal::Store(const std::function<void()>& aOnEnd)
{
  if (m_isStoring || m_journal.PendingCount() == 0) {
    return aOnEnd();
  }
  JournalBatch batch{ m_journal.Origin(),
                      m_journal.LostCount(),
                      m_journal.PendingBatch(kBatchRecords) };
  uint64_t last = batch.m_records.back().m_sequence;
  ObjectName name =
    NameOfKey(JournalKey(batch.m_origin, batch.m_records.front().m_sequence));
  m_isStoring = true;
  auto onStored = [this, last, aOnEnd](const Result<StoreWrite>& aWrite) {
    m_isStoring = false;
    if (!aWrite) {
      Log(LogLevel::Warning,
          "journal-not-stored",
          { { "peer", aWrite.error().m_peer },
            { "detail", aWrite.error().m_detail },
            { "pending", m_journal.PendingCount() } });
      return aOnEnd();
    }
    // A conflict means that the batch was stored before and its answer lost.
    m_journal.OnStored(last);
    Store(aOnEnd);
  };
  m_store.Create(
    name.m_kind,
    name.m_name,
    EncodeValue(EncodeJournal(batch)),
    [this, onStored](Result<StoreWrite> aWrite) {
      m_loop.Post([onStored, write = std::move(aWrite)] { onStored(write); });
    });
}

} // namespace bilberryfield
