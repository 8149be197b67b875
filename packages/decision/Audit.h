#pragma once

#include "Journal.h"

#include <map>

namespace bilberryfield {

/** Requests of one class that started before older ones of another. */
struct Overtaking
{
  std::string m_service;
  std::string m_class;
  std::string m_overtakenClass;

  auto operator<=>(const Overtaking&) const = default;
};

/** A request that started before an older one of its own class. */
struct OrderFault
{
  uint64_t m_sequence = 0;
  uint64_t m_item = 0;
  uint64_t m_olderItem = 0;
};

/** What a journal tells about who was served, and in what order. */
struct AuditReport
{
  uint64_t m_queued = 0;
  uint64_t m_started = 0;
  uint64_t m_ended = 0;
  uint64_t m_refused = 0;
  /** Requests with no end in the journal: still running, or lost with the VM.
   */
  uint64_t m_open = 0;
  /** By the rules of class order and minimum shares. */
  std::map<Overtaking, uint64_t> m_overtakings;
  /** By no rule: each one is a defect. */
  std::vector<OrderFault> m_faults;
};

/** Reads the records of one agent start in the order of their sequence. */
AuditReport
AuditOrder(const std::vector<JournalRecord>& aRecords);

} // namespace bilberryfield
