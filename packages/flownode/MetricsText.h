#pragma once

#include "LatencyHistogram.h"
#include "NameTable.h"

#include <string>

namespace bilberryfield {

/** Builds metrics in the Prometheus text exposition format. */
class MetricsText
{
public:
  /** Adds a sample; aLabel is empty or of the form name="value". */
  void Add(const std::string& aName,
           uint64_t aValue,
           const std::string& aLabel = "");

  /** Adds a histogram of latencies in seconds. */
  void Add(const std::string& aName, const LatencyHistogram& aHistogram);

  /** Adds one counter per row of a name table, labelled with reason="name". */
  template<typename Enum, size_t Size, typename CountOf>
  void AddPerReason(const std::string& aName,
                    const NameTable<Enum, Size>& aTable,
                    CountOf aCountOf)
  {
    for (const auto& row : aTable) {
      Add(aName,
          aCountOf(row.m_value),
          "reason=\"" + std::string(row.m_name) + '"');
    }
  }

  const std::string& Text() const { return m_text; }

private:
  std::string m_text;
};

} // namespace bilberryfield
