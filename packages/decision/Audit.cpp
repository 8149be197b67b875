#include "Audit.h"

#include <algorithm>
#include <set>

namespace bilberryfield {

namespace {

using ClassName = std::pair<std::string, std::string>;

// Queued items of each class, oldest first.
class WaitingItems
{
public:
  void Add(const JournalRecord& aRecord)
  {
    m_waiting[NameOf(aRecord)].insert(aRecord.m_item);
  }

  bool Remove(const JournalRecord& aRecord)
  {
    return m_waiting[NameOf(aRecord)].erase(aRecord.m_item) > 0;
  }

  void RecordStart(const JournalRecord& aRecord, AuditReport& aReport)
  {
    for (const auto& [name, items] : m_waiting) {
      // Item numbers increase with arrival, so the first one is the oldest.
      if (items.empty() || *items.begin() >= aRecord.m_item) {
        continue;
      }
      if (name == NameOf(aRecord)) {
        aReport.m_faults.push_back(
          { aRecord.m_sequence, aRecord.m_item, *items.begin() });
      } else {
        aReport
          .m_overtakings[{ aRecord.m_service, aRecord.m_class, name.second }] +=
          1;
      }
    }
  }

  size_t Count() const
  {
    size_t count = 0;
    for (const auto& [name, items] : m_waiting) {
      count += items.size();
    }
    return count;
  }

private:
  static ClassName NameOf(const JournalRecord& aRecord)
  {
    return { aRecord.m_service, aRecord.m_class };
  }

  std::map<ClassName, std::set<uint64_t>> m_waiting;
};

} // namespace

AuditReport
AuditOrder(const std::vector<JournalRecord>& aRecords)
{
  AuditReport report;
  WaitingItems waiting;
  std::set<uint64_t> running;
  for (const JournalRecord& record : aRecords) {
    switch (record.m_event) {
      case JournalEvent::Queued:
        report.m_queued += 1;
        waiting.Add(record);
        break;
      case JournalEvent::Started:
        report.m_started += 1;
        waiting.Remove(record);
        waiting.RecordStart(record, report);
        running.insert(record.m_item);
        break;
      case JournalEvent::Ended:
        report.m_ended += 1;
        running.erase(record.m_item);
        break;
      case JournalEvent::Refused:
        report.m_refused += 1;
        waiting.Remove(record);
        break;
    }
  }
  report.m_open = waiting.Count() + running.size();
  return report;
}

} // namespace bilberryfield
