#include "AgentEntryCodec.h"

namespace bilberryfield {

nlohmann::json
ToJson(const AgentEntry& aEntry)
{
  return { { "service", aEntry.m_service },
           { "failure_domain", aEntry.m_domain },
           { "packets", ToText(aEntry.m_packets) } };
}

Result<AgentEntry>
AgentEntryFromJson(const std::string& aName, const nlohmann::json& aContent)
{
  try {
    AgentEntry entry;
    entry.m_service = aContent.at("service").get<std::string>();
    entry.m_domain = aContent.at("failure_domain").get<std::string>();
    auto packets = ParseIpAndPort(aContent.at("packets").get<std::string>());
    if (!packets) {
      return Failure(
        Step::DecodeMessage, aName, "packets is not an IPv4 address and port");
    }
    entry.m_packets = *packets;
    return entry;
  } catch (const nlohmann::json::exception& error) {
    return Failure(Step::DecodeMessage, aName, error.what());
  }
}

Result<AgentEntry>
ParseAgentEntry(const std::string& aName, const std::string& aText)
{
  return AgentEntryFromJson(aName,
                            nlohmann::json::parse(aText, nullptr, false));
}

} // namespace bilberryfield
