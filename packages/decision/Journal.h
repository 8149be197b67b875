#pragma once

#include "Outcome.h"
#include "Time.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bilberryfield {

/** The event of a request that a journal record describes. */
enum class JournalEvent : uint8_t
{
  Queued,
  Started,
  Ended,
  Refused,
};

inline constexpr NameTable<JournalEvent, 4> kJournalEventNames = { {
  { JournalEvent::Queued, "queued" },
  { JournalEvent::Started, "started" },
  { JournalEvent::Ended, "ended" },
  { JournalEvent::Refused, "refused" },
} };

/** The table of names of JournalEvent. */
constexpr const auto&
NamesOf(JournalEvent)
{
  return kJournalEventNames;
}

/** One event of one request; records are in the order of the events. */
struct JournalRecord
{
  /** Position in the journal of this agent start, starting at 1. */
  uint64_t m_sequence = 0;
  /** Time of the agent's clock in microseconds. */
  int64_t m_atUs = 0;
  JournalEvent m_event = JournalEvent::Queued;
  /** Number of the request at the agent; the same in all of its records. */
  uint64_t m_item = 0;
  std::string m_service;
  std::string m_class;
  uint64_t m_flow = 0;
  std::string m_requestId;
  Outcome m_outcome = Outcome::NotRun;
  RefusalReason m_reason = RefusalReason::None;
  /** Hexadecimal hash of this record and the previous record's hash. */
  std::string m_chainHash;

  bool operator==(const JournalRecord&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("n", aSelf.m_sequence);
    aVisitor("t", aSelf.m_atUs);
    aVisitor("e", aSelf.m_event);
    aVisitor("i", aSelf.m_item);
    aVisitor("s", aSelf.m_service);
    aVisitor("c", aSelf.m_class);
    aVisitor("f", aSelf.m_flow);
    aVisitor.Bytes("r", aSelf.m_requestId);
    aVisitor("o", aSelf.m_outcome);
    aVisitor("w", aSelf.m_reason);
    aVisitor("h", aSelf.m_chainHash);
  }
};

/** Records that are stored as one object of the platform. */
struct JournalBatch
{
  /** Server and incarnation; the initial value of the hash chain. */
  std::string m_origin;
  /** Number of records dropped so far because they could not be stored. */
  uint64_t m_lost = 0;
  std::vector<JournalRecord> m_records;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("j", aSelf.m_origin);
    aVisitor("l", aSelf.m_lost);
    aVisitor("r", aSelf.m_records);
  }
};

/** The first missing or altered record of a journal. */
struct JournalFault
{
  uint64_t m_sequence = 0;
  std::string m_description;
};

/** Holds the records of one agent start until they are stored. */
class Journal
{
public:
  /** aOrigin is the server and incarnation; the hash chain starts with it. */
  Journal(std::string aOrigin, size_t aMaxPending);

  /** Appends a record and sets its sequence number and chain hash. */
  void Append(JournalRecord aRecord);

  /** The oldest records that are not stored yet, at most aCount. */
  std::vector<JournalRecord> PendingBatch(size_t aCount) const;

  /** Discards the records up to a sequence number, which are now stored. */
  void OnStored(uint64_t aSequence);

  size_t PendingCount() const { return m_pending.size(); }

  /** Number of records dropped because too many were pending. */
  uint64_t LostCount() const { return m_lost; }

  const std::string& Origin() const { return m_origin; }

private:
  std::string m_origin;
  size_t m_maxPending;
  std::deque<JournalRecord> m_pending;
  std::string m_lastChainHash;
  uint64_t m_nextSequence = 1;
  uint64_t m_lost = 0;
};

/** Key of the object that stores a batch; sorts by first sequence number. */
std::string
JournalKey(const std::string& aOrigin, uint64_t aFirstSequence);

/** Checks sequence and hash chain of a whole journal; empty if correct. */
std::optional<JournalFault>
VerifyJournal(const std::string& aOrigin,
              const std::vector<JournalRecord>& aRecords);

} // namespace bilberryfield
