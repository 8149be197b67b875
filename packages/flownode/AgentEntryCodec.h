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

/** Name of an agent's stored object, so that a new agent on a VM replaces the
 * entry of the previous one. */
std::string
EntryName(const AgentEntry& aEntry);

/** Decodes an agent's entry; aName identifies it in the error. */
Result<AgentEntry>
AgentEntryFromJson(const std::string& aName, const nlohmann::json& aContent);

/** As AgentEntryFromJson, from the JSON text of the stored object aName. */
Result<AgentEntry>
ParseAgentEntry(const std::string& aName, const std::string& aText);

} // namespace bilberryfield
