#include "Settings.h"

#include "JsonFields.h"

namespace bilberryfield {

namespace {

constexpr Milliseconds kLeastTime{ 0 };
constexpr int64_t kMaxSlots = 10'000;

// Port 0 is allowed for addresses that this process listens on.
std::string
ReadAddress(JsonFields& aFields, const std::string& aKey, bool aMayBePortZero)
{
  std::string address = aFields.RequiredString(aKey);
  bool isPortZero = address.size() > 2 && address.ends_with(":0");
  std::string checked = aMayBePortZero && isPortZero
                          ? address.substr(0, address.size() - 1) + "1"
                          : address;
  if (!address.empty() && !IsIpAndPort(checked)) {
    aFields.AddMistake(aKey, '"' + address + '"', "an IPv4 address and a port");
  }
  return address;
}

void
ReadAgentFields(JsonFields& aFields, Settings& aSettings)
{
  aSettings.m_fabric = ReadAddress(aFields, "fabric", false);
  aSettings.m_server = ReadAddress(aFields, "server", false);
  aSettings.m_labels = aFields.StringList("labels", true);
  aSettings.m_slots = static_cast<uint32_t>(
    aFields.OptionalInteger("slots", aSettings.m_slots, 1, kMaxSlots));
  aSettings.m_longShare =
    aFields.OptionalNumber("long_share", aSettings.m_longShare, 0.0, 1.0);
  aSettings.m_journalEvery = aFields.OptionalTime(
    "journal_every_ms", aSettings.m_journalEvery, kLeastTime);
  aSettings.m_drainGrace =
    aFields.OptionalTime("drain_grace_ms", aSettings.m_drainGrace, kLeastTime);
  aSettings.m_drainLinger = aFields.OptionalTime(
    "drain_linger_ms", aSettings.m_drainLinger, kLeastTime);
}

} // namespace

SettingsParse
ParseSettings(const nlohmann::json& aJson)
{
  std::vector<ValidationError> mistakes;
  Settings settings;
  JsonFields fields(aJson, "", mistakes);
  settings.m_role = fields.OptionalName("role", kRoleNames, Role::Balancer);
  settings.m_id = fields.RequiredString("id");
  settings.m_domain = fields.RequiredString("failure_domain");
  settings.m_peerListen = ReadAddress(fields, "peer_listen", true);
  settings.m_adminListen = ReadAddress(fields, "admin_listen", true);
  settings.m_platform = ReadAddress(fields, "platform", false);
  settings.m_logLevel =
    fields.OptionalName("log_level", kLogLevelNames, settings.m_logLevel);
  settings.m_drainLimit =
    fields.OptionalTime("drain_limit_ms", settings.m_drainLimit, kLeastTime);
  if (settings.m_role == Role::Agent) {
    ReadAgentFields(fields, settings);
  } else {
    settings.m_callerListen = ReadAddress(fields, "caller_listen", true);
  }
  fields.RejectUnknownKeys();
  if (!mistakes.empty()) {
    return tl::unexpected(std::move(mistakes));
  }
  return settings;
}

} // namespace bilberryfield
