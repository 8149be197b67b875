#pragma once

#include "Messages.h"

#include <unordered_map>

namespace bilberryfield {

/** Names a non-repeatable request: its flow and the caller's request id. */
struct RequestKey
{
  uint64_t m_flow = 0;
  std::string m_requestId;

  bool operator==(const RequestKey&) const = default;
};

/** Hash for maps keyed by RequestKey. */
struct RequestKeyHash
{
  size_t operator()(const RequestKey& aKey) const;
};

/** What the ledger knows of a non-repeatable request. */
enum class LedgerState : uint8_t
{
  Absent,  /**< Never admitted. */
  Refused, /**< Refused; attempts up to a number stay refused. */
  Pending, /**< Queued or running. */
  Served,  /**< Has run; the answer may be kept. */
  Lost,    /**< Was started, and its end was never seen. */
};

/** One entry of the ledger. */
struct LedgerEntry
{
  LedgerState m_state = LedgerState::Absent;
  /** Highest attempt refused so far. */
  uint32_t m_refusedAttempt = 0;
  /** The answer, while it is short enough to keep. */
  HttpAnswer m_answer;
  bool m_isAnswerKept = false;
};

/**
 * At-most-once memory of one agent start. An entry stays until its flow ends;
 * a full ledger admits nothing new and forgets nothing.
 */
class RequestLedger
{
public:
  /** Bounds on the entries, and on the size of an answer that is kept. */
  RequestLedger(size_t aMaxEntries, size_t aMaxAnswerBytes);

  /** Entry of a request; state Absent when there is none. */
  LedgerEntry Find(const RequestKey& aKey) const;

  /** Makes the entry pending; false when the ledger is full. */
  bool Admit(const RequestKey& aKey);

  /** Keeps attempts up to aAttempt refused; false when the ledger is full. */
  bool Refuse(const RequestKey& aKey, uint32_t aAttempt);

  /** Records the answer of a pending request. */
  void Complete(const RequestKey& aKey, const HttpAnswer& aAnswer);

  /** Records that a pending request's end will never be known. */
  void MarkLost(const RequestKey& aKey);

  /** Forgets the requests of a flow that no token can bring back. */
  void EndFlow(uint64_t aFlow);

  size_t Size() const { return m_entries.size(); }

private:
  LedgerEntry* FindOrAdd(const RequestKey& aKey);

  size_t m_maxEntries;
  size_t m_maxAnswerBytes;
  std::unordered_map<RequestKey, LedgerEntry, RequestKeyHash> m_entries;
  std::unordered_map<uint64_t, std::vector<std::string>> m_byFlow;
};

} // namespace bilberryfield
