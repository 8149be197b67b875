#pragma once

#include "Messages.h"

#include <unordered_map>

namespace bilberryfield {

/** Identifies a non-repeatable request by its flow and the caller's id. */
struct RequestKey
{
  uint64_t m_flow = 0;
  std::string m_requestId;

  bool operator==(const RequestKey&) const = default;
};

/** Hash function for RequestKey. */
struct RequestKeyHash
{
  size_t operator()(const RequestKey& aKey) const;
};

/** State of a non-repeatable request in the ledger. */
enum class LedgerState : uint8_t
{
  Absent,  /**< Neither admitted nor refused. */
  Refused, /**< Refused up to and including m_refusedAttempt. */
  Pending, /**< Queued or running. */
  Served,  /**< Has run; the answer is stored if it is short enough. */
  Lost,    /**< Started, but its result was never received. */
};

/** One entry of the ledger. */
struct LedgerEntry
{
  LedgerState m_state = LedgerState::Absent;
  /** Highest refused attempt. */
  uint32_t m_refusedAttempt = 0;
  /** The answer, if m_isAnswerKept. */
  HttpAnswer m_answer;
  bool m_isAnswerKept = false;
};

/**
 * Deduplicates non-repeatable requests so that each runs at most once within an
 * agent incarnation. An entry is kept until its flow ends. A full ledger
 * rejects new requests rather than evict entries.
 */
class RequestLedger
{
public:
  /** Limits the number of entries and the body size of stored answers. */
  RequestLedger(size_t aMaxEntries, size_t aMaxAnswerBytes);

  /** Returns the entry of a request, with state Absent if there is none. */
  LedgerEntry Find(const RequestKey& aKey) const;

  /** Marks the request as pending; false if the ledger is full. */
  bool Admit(const RequestKey& aKey);

  /** Refuses all attempts up to aAttempt; false if the ledger is full. */
  bool Refuse(const RequestKey& aKey, uint32_t aAttempt);

  /** Marks a pending request as served and stores its answer. */
  void Complete(const RequestKey& aKey, const HttpAnswer& aAnswer);

  /** Records that the result of a pending request will not be received. */
  void MarkLost(const RequestKey& aKey);

  /** Removes the entries of a flow that no valid token refers to any more. */
  void EndFlow(uint64_t aFlow);

  /** Number of entries. */
  size_t Size() const { return m_entries.size(); }

private:
  LedgerEntry* FindOrAdd(const RequestKey& aKey);

  size_t m_maxEntries;
  size_t m_maxAnswerBytes;
  std::unordered_map<RequestKey, LedgerEntry, RequestKeyHash> m_entries;
  std::unordered_map<uint64_t, std::vector<std::string>> m_byFlow;
};

} // namespace bilberryfield
