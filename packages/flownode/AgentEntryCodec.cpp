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
    if (!packets || packets->m_ip == 0 || packets->m_port == 0) {
      return Failure(
        Step::DecodeMessage, aName, "packets is not an IPv4 address and port");
    }
    entry.m_packets = *packets;
    return entry;
  } catch (const nlohmann::json::exception& error) {
    return Failure(Step::DecodeMessage, aName, error.what());
  }
}

// Another writer's entry under another name must not replace the one of a
// living agent.
Result<AgentEntry>
ParseAgentEntry(const std::string& aName, const std::string& aText)
{
  Result<AgentEntry> entry =
    AgentEntryFromJson(aName, nlohmann::json::parse(aText, nullptr, false));
  if (entry && EntryName(*entry) != aName) {
    return Failure(
      Step::DecodeMessage, aName, "the entry is not named after its address");
  }
  return entry;
}

std::string
EntryName(const AgentEntry& aEntry)
{
  return IpToText(aEntry.m_packets.m_ip);
}

} // namespace bilberryfield
