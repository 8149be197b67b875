#include "AgentCore.h"
#include "StoredBatches.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

std::vector<JournalRecord>
AnyJournal(size_t aCount)
{
  Journal journal("server/7", aCount);
  for (size_t i = 0; i < aCount; ++i) {
    JournalRecord record;
    record.m_atUs = *rc::gen::arbitrary<int64_t>();
    record.m_event = *rc::gen::element(JournalEvent::Queued,
                                       JournalEvent::Started,
                                       JournalEvent::Ended,
                                       JournalEvent::Refused);
    record.m_item = i;
    record.m_requestId = *rc::gen::arbitrary<std::string>();
    journal.Append(record);
  }
  return journal.PendingBatch(aCount);
}

} // namespace

Test(JournalChain, VerifiesAppendedRecords)
{
  cr_assert(rc::check("an unaltered journal verifies", [] {
    auto records = AnyJournal(*rc::gen::inRange<size_t>(0, 20));
    RC_ASSERT(!VerifyJournal("server/7", records));
    RC_ASSERT(records.empty() || VerifyJournal("server/8", records));
  }));
}

Test(JournalChain, DetectsEveryAlteration)
{
  cr_assert(rc::check("a changed, removed or moved record is detected", [] {
    auto records = AnyJournal(*rc::gen::inRange<size_t>(2, 20));
    auto altered = records;
    size_t place = *rc::gen::inRange<size_t>(0, records.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        altered[place].m_atUs ^= 1;
        break;
      case 1:
        altered[place].m_requestId += "x";
        break;
      case 2:
        std::swap(altered[place], altered[(place + 1) % altered.size()]);
        break;
      default:
        altered.erase(altered.begin() + static_cast<ptrdiff_t>(place));
        // The chain can't show that records at the end are missing.
        RC_PRE(place + 1 < records.size());
    }
    RC_ASSERT(VerifyJournal("server/7", altered));
  }));
}

Test(JournalChain, CountsDroppedRecords)
{
  Journal journal("server/7", 3);
  for (int i = 0; i < 5; ++i) {
    journal.Append({});
  }
  cr_assert(journal.LostCount() == 2);
  auto fault = VerifyJournal("server/7", journal.PendingBatch(10));
  cr_assert(fault && fault->m_sequence == 1);
}

Test(JournalChain, BatchesOfAnEarlierEraAreStoredAgain)
{
  TimePoint start{ Seconds(100) };
  StoredBatches batches;
  batches.OnStored(start, 1, { "agent/1", 0, {} });
  batches.OnEra(start + Seconds(1), 2);
  auto lost = batches.TakeLost();
  cr_assert(lost.has_value());
  cr_assert_eq(lost->m_origin, "agent/1");
  cr_assert_not(batches.TakeLost().has_value());
}

Test(JournalChain, BatchesAreKeptUntilEveryCopyHasThem)
{
  TimePoint start{ Seconds(100) };
  TimePoint later = start + StoredBatches::kMaxCopyAge + Seconds(1);
  StoredBatches batches;
  batches.OnStored(start, 1, { "agent/1", 0, {} });
  cr_assert_null(batches.AwaitingConfirmation(start));
  cr_assert_not_null(batches.AwaitingConfirmation(later));
  batches.OnEra(start + Seconds(1), 1);
  cr_assert_not_null(batches.AwaitingConfirmation(later));
  batches.OnEra(later, 1);
  cr_assert_null(batches.AwaitingConfirmation(later));
  batches.OnEra(later, 2);
  cr_assert_not(batches.TakeLost().has_value());
}
