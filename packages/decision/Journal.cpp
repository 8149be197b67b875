#include "Journal.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sstream>

namespace bilberryfield {

namespace {

constexpr size_t kChainBytes = 16;

std::string
ChainHash(const std::string& aPreviousHash, const JournalRecord& aRecord)
{
  // CBOR preserves the bytes of strings that are not valid UTF-8.
  std::vector<uint8_t> bytes =
    nlohmann::json::to_cbor(nlohmann::json::array({ aPreviousHash,
                                                    aRecord.m_sequence,
                                                    aRecord.m_atUs,
                                                    aRecord.m_event,
                                                    aRecord.m_item,
                                                    aRecord.m_service,
                                                    aRecord.m_class,
                                                    aRecord.m_flow,
                                                    aRecord.m_requestId,
                                                    aRecord.m_outcome,
                                                    aRecord.m_reason }));
  std::array<unsigned char, kChainBytes> hash{};
  crypto_generichash(
    hash.data(), hash.size(), bytes.data(), bytes.size(), nullptr, 0);
  std::array<char, 2 * kChainBytes + 1> hex{};
  return sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
}

} // namespace

Journal::Journal(std::string aOrigin, size_t aMaxPending)
  : m_origin(std::move(aOrigin))
  , m_maxPending(aMaxPending)
  , m_lastChainHash(m_origin)
{
}

void
Journal::Append(JournalRecord aRecord)
{
  aRecord.m_sequence = m_nextSequence++;
  aRecord.m_chainHash = ChainHash(m_lastChainHash, aRecord);
  m_lastChainHash = aRecord.m_chainHash;
  m_pending.push_back(std::move(aRecord));
  if (m_pending.size() > m_maxPending) {
    // An audit reports the gap in the sequence numbers.
    m_pending.pop_front();
    ++m_lost;
  }
}

std::vector<JournalRecord>
Journal::PendingBatch(size_t aCount) const
{
  size_t count = std::min(aCount, m_pending.size());
  return { m_pending.begin(),
           m_pending.begin() + static_cast<ptrdiff_t>(count) };
}

void
Journal::OnStored(uint64_t aSequence)
{
  while (!m_pending.empty() && m_pending.front().m_sequence <= aSequence) {
    m_pending.pop_front();
  }
}

std::string
JournalKey(const std::string& aOrigin, uint64_t aFirstSequence)
{
  std::ostringstream key;
  key << "journal/" << aOrigin << "/" << std::setfill('0') << std::setw(12)
      << aFirstSequence;
  return key.str();
}

std::optional<JournalFault>
VerifyJournal(const std::string& aOrigin,
              const std::vector<JournalRecord>& aRecords)
{
  std::string previousHash = aOrigin;
  uint64_t expected = 1;
  for (const JournalRecord& record : aRecords) {
    if (record.m_sequence != expected) {
      return JournalFault{ expected,
                           "record missing, the next one is " +
                             std::to_string(record.m_sequence) };
    }
    if (record.m_chainHash != ChainHash(previousHash, record)) {
      return JournalFault{ expected, "record altered" };
    }
    previousHash = record.m_chainHash;
    ++expected;
  }
  return std::nullopt;
}

} // namespace bilberryfield
