#pragma once

#include "Audit.h"
#include "Codec.h"
#include "KeyedStore.h"

#include <criterion/criterion.h>

namespace bilberryfield {

/** Reads the stored journal of an agent that started only once, verifies its
 * hash chain and audits its records. */
inline AuditReport
AuditStoredJournal(const std::string& aStore, const std::string& aAgent)
{
  KeyedStore store(aStore);
  auto keys = store.List("journal/" + aAgent + "/");
  cr_assert(keys && !keys->empty());
  std::string origin;
  std::vector<JournalRecord> records;
  for (const std::string& key : *keys) {
    auto batch = DecodeJournal(store.Get(key).value()->m_value, key);
    cr_assert(batch.has_value());
    origin = batch->m_origin;
    records.insert(
      records.end(), batch->m_records.begin(), batch->m_records.end());
  }
  cr_assert(!VerifyJournal(origin, records));
  return AuditOrder(records);
}

} // namespace bilberryfield
