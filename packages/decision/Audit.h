#pragma once

#include "Journal.h"

#include <map>

namespace bilberryfield {

/** Key of the starts of one class before older requests of another class. */
struct Overtaking
{
  std::string m_service;
  std::string m_class;
  std::string m_overtakenClass;

  auto operator<=>(const Overtaking&) const = default;
};

/** A request that started before an older request of its own class. */
struct OrderFault
{
  uint64_t m_sequence = 0;
  uint64_t m_item = 0;
  uint64_t m_olderItem = 0;
};

/** Event counts of a journal, and the order in which requests started. */
struct AuditReport
{
  uint64_t m_queued = 0;
  uint64_t m_started = 0;
  uint64_t m_ended = 0;
  uint64_t m_refused = 0;
  /** Requests without an end or refusal: still open, or lost with the VM. */
  uint64_t m_open = 0;
  /** Number of overtakings, which class order and minimum shares allow. */
  std::map<Overtaking, uint64_t> m_overtakings;
  /** Order faults, which no rule allows; each one is a bug. */
  std::vector<OrderFault> m_faults;
};

/** Audits the records of one agent start, sorted by sequence number. */
AuditReport
AuditOrder(const std::vector<JournalRecord>& aRecords);

} // namespace bilberryfield
