#pragma once

#include "AgentList.h"
#include "Error.h"

#include <nlohmann/json.hpp>

namespace bilberryfield {

/** Kind of the store objects that register agents, one per agent. */
inline constexpr const char* kAgentKind = "bilberry-agents";

/** Encodes an agent's entry as it is stored. */
nlohmann::json
ToJson(const AgentEntry& aEntry);

/** Decodes an agent's entry; aName identifies it in the error. */
Result<AgentEntry>
AgentEntryFromJson(const std::string& aName, const nlohmann::json& aContent);

/** As AgentEntryFromJson, from a stored object's JSON text. */
Result<AgentEntry>
ParseAgentEntry(const std::string& aName, const std::string& aText);

} // namespace bilberryfield
