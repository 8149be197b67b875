#include "RequestLedger.h"

#include "Error.h"
#include "Rendezvous.h"

#include <algorithm>

namespace bilberryfield {

size_t
RequestKeyHash::operator()(const RequestKey& aKey) const
{
  return StableHash(aKey.m_requestId, aKey.m_flow);
}

RequestLedger::RequestLedger(size_t aMaxEntries, size_t aMaxAnswerBytes)
  : m_maxEntries(aMaxEntries)
  , m_maxAnswerBytes(aMaxAnswerBytes)
{
}

LedgerEntry
RequestLedger::Find(const RequestKey& aKey) const
{
  auto found = m_entries.find(aKey);
  return found == m_entries.end() ? LedgerEntry{} : found->second;
}

LedgerEntry*
RequestLedger::FindOrAdd(const RequestKey& aKey)
{
  auto found = m_entries.find(aKey);
  if (found != m_entries.end()) {
    return &found->second;
  }
  if (m_entries.size() >= m_maxEntries) {
    return nullptr;
  }
  m_byFlow[aKey.m_flow].push_back(aKey.m_requestId);
  return &m_entries[aKey];
}

bool
RequestLedger::Admit(const RequestKey& aKey)
{
  LedgerEntry* entry = FindOrAdd(aKey);
  if (!entry) {
    return false;
  }
  BILBERRY_ASSERT(entry->m_state == LedgerState::Absent ||
                    entry->m_state == LedgerState::Refused,
                  "request " << aKey.m_requestId << " is already admitted");
  entry->m_state = LedgerState::Pending;
  return true;
}

bool
RequestLedger::Refuse(const RequestKey& aKey, uint32_t aAttempt)
{
  LedgerEntry* entry = FindOrAdd(aKey);
  if (!entry) {
    return false;
  }
  entry->m_state = LedgerState::Refused;
  entry->m_refusedAttempt = std::max(entry->m_refusedAttempt, aAttempt);
  return true;
}

void
RequestLedger::Complete(const RequestKey& aKey, const HttpAnswer& aAnswer)
{
  LedgerEntry& entry = m_entries.at(aKey);
  entry.m_state = LedgerState::Served;
  entry.m_isAnswerKept = aAnswer.m_body.size() <= m_maxAnswerBytes;
  if (entry.m_isAnswerKept) {
    entry.m_answer = aAnswer;
  }
}

void
RequestLedger::MarkLost(const RequestKey& aKey)
{
  m_entries.at(aKey).m_state = LedgerState::Lost;
}

void
RequestLedger::EndFlow(uint64_t aFlow)
{
  auto found = m_byFlow.find(aFlow);
  if (found == m_byFlow.end()) {
    return;
  }
  for (const std::string& requestId : found->second) {
    m_entries.erase({ aFlow, requestId });
  }
  m_byFlow.erase(found);
}

} // namespace bilberryfield
