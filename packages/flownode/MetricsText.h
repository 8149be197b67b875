#pragma once

#include "LatencyHistogram.h"
#include "NameTable.h"

#include <string>

namespace bilberryfield {

/** Builds the text that a metrics collector reads. */
class MetricsText
{
public:
  /** One value; aLabel is "" or of the form name="value". */
  void Add(const std::string& aName,
           uint64_t aValue,
           const std::string& aLabel = "");

  /** A latency histogram in seconds. */
  void Add(const std::string& aName, const LatencyHistogram& aHistogram);

  /** A counter for each row of a table of names. */
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
