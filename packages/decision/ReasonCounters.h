#pragma once

#include "Outcome.h"

#include <array>
#include <cstdint>

namespace bilberryfield {

/** One counter per enumerator; the enum class must end in Count. */
template<typename Enum>
class ReasonCounters
{
public:
  /** Increments the counter of a reason. */
  void Add(Enum aReason) { m_counts[static_cast<size_t>(aReason)] += 1; }

  /** Returns the count of a reason since the process started. */
  uint64_t Get(Enum aReason) const
  {
    return m_counts[static_cast<size_t>(aReason)];
  }

private:
  std::array<uint64_t, static_cast<size_t>(Enum::Count)> m_counts{};
};

using RefusalCounters = ReasonCounters<RefusalReason>;
using RetryCounters = ReasonCounters<RetryReason>;

} // namespace bilberryfield
