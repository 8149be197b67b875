#pragma once

#include "AgentList.h"
#include "Error.h"

#include <nlohmann/json.hpp>

namespace bilberryfield {

/** Kind of the store's objects that list the agents. */
inline constexpr const char* kAgentKind = "bilberry-agents";

/** An agent's entry as it is stored. */
nlohmann::json
ToJson(const AgentEntry& aEntry);

/** The entry in a JSON value. */
Result<AgentEntry>
AgentEntryFromJson(const std::string& aName, const nlohmann::json& aContent);

/** The entry in a stored object's text. */
Result<AgentEntry>
ParseAgentEntry(const std::string& aName, const std::string& aText);

} // namespace bilberryfield
