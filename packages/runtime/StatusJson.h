#pragma once

#include "ReasonCounters.h"
#include "Supervisor.h"

#include <nlohmann/json.hpp>

namespace bilberryfield {

/** The counters that are not zero, by name. */
template<typename Enum, size_t Size>
nlohmann::json
CountersToJson(const NameTable<Enum, Size>& aNames,
               const ReasonCounters<Enum>& aCounters)
{
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& row : aNames) {
    if (uint64_t count = aCounters.Get(row.m_value)) {
      counts[std::string(row.m_name)] = count;
    }
  }
  return counts;
}

/** The children of a supervisor, in the order of their start. */
inline nlohmann::json
SupervisorToJson(const Supervisor& aSupervisor)
{
  nlohmann::json children = nlohmann::json::array();
  for (const ChildStatus& child : aSupervisor.Status()) {
    children.push_back(
      { { "name", child.m_name },
        { "condition", NameOf(kChildConditionNames, child.m_condition) },
        { "restarts", child.m_restarts },
        { "last_error", child.m_lastError } });
  }
  return children;
}

} // namespace bilberryfield
