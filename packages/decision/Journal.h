#pragma once

#include "Outcome.h"
#include "Time.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bilberryfield {

/** What a journal record tells. */
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

/** The table of names of JournalEvent, found by the type. */
constexpr const auto&
NamesOf(JournalEvent)
{
  return kJournalEventNames;
}

/** One step of one request, in the order in which the agent decided it. */
struct JournalRecord
{
  /** Position in the journal of this agent start, from 1. */
  uint64_t m_sequence = 0;
  /** Agent's own time in microseconds. */
  int64_t m_atUs = 0;
  JournalEvent m_event = JournalEvent::Queued;
  /** The agent's number for the request; the same in all its records. */
  uint64_t m_item = 0;
  std::string m_service;
  std::string m_class;
  uint64_t m_flow = 0;
  std::string m_requestId;
  Outcome m_outcome = Outcome::NotRun;
  RefusalReason m_reason = RefusalReason::None;
  /** Hexadecimal hash over this record and the hash of the one before. */
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

/** Records that are stored together as one object of the platform. */
struct JournalBatch
{
  /** Server and incarnation, as the journal's chain starts with. */
  std::string m_origin;
  /** Records dropped before they could be stored, so far. */
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

/** The first place at which a journal does not hold together. */
struct JournalFault
{
  uint64_t m_sequence = 0;
  std::string m_description;
};

/** Keeps the records of one agent start until they are stored. */
class Journal
{
public:
  /** aOrigin names server and incarnation and starts the chain. */
  Journal(std::string aOrigin, size_t aMaxPending);

  /** Appends a record; sequence and chain are filled in here. */
  void Append(JournalRecord aRecord);

  /** Oldest records that are not stored yet, at most aCount. */
  std::vector<JournalRecord> PendingBatch(size_t aCount) const;

  /** Drops the records up to a sequence number: they are stored. */
  void OnStored(uint64_t aSequence);

  size_t PendingCount() const { return m_pending.size(); }

  /** Records dropped because the store was away for too long. */
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

/** Key of the object that holds a batch; sorts by the first sequence. */
std::string
JournalKey(const std::string& aOrigin, uint64_t aFirstSequence);

/** Checks order and chain of a whole journal; nothing when it holds. */
std::optional<JournalFault>
VerifyJournal(const std::string& aOrigin,
              const std::vector<JournalRecord>& aRecords);

} // namespace bilberryfield
