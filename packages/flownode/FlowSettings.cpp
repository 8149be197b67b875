#include "FlowSettings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberryfield {

namespace {

constexpr Milliseconds kMinTime{ 1 };
constexpr double kMinCpuShare = 0.001;
constexpr double kMaxOverage = 1000;
constexpr int64_t kMaxSlack = 1'000'000;
/** Default that stands for a missing slack. */
constexpr int64_t kNoSlack = -1;

Endpoint
ReadEndpoint(JsonFields& aFields, const std::string& aKey)
{
  std::string text = aFields.RequiredString(aKey);
  std::optional<Endpoint> endpoint = ParseIpAndPort(text);
  if (!text.empty() && !endpoint) {
    aFields.AddMistake(aKey, '"' + text + '"', "an IPv4 address and a port");
  }
  return endpoint.value_or(Endpoint{});
}

uint16_t
ReadPort(JsonFields& aFields, const std::string& aKey)
{
  auto port =
    static_cast<uint16_t>(aFields.OptionalInteger(aKey, 0, 0, UINT16_MAX));
  if (port == 0) {
    aFields.AddMistake(aKey, "nothing", "a port from 1 to 65535");
  }
  return port;
}

std::vector<Endpoint>
ReadSeeds(JsonFields& aFields)
{
  std::vector<Endpoint> seeds;
  for (const std::string& text : aFields.StringList("seeds", false)) {
    if (std::optional<Endpoint> seed = ParseIpAndPort(text)) {
      seeds.push_back(*seed);
    } else {
      aFields.AddMistake("seeds", '"' + text + '"', "IPv4 addresses and ports");
    }
  }
  return seeds;
}

// A template may leave out a bound of 0, so either of the two enables the limit
// of cold servers.
StartupOptions
ReadStartupOptions(JsonFields& aFields)
{
  constexpr double kNoOverage = 0;
  StartupOptions options;
  double overage =
    aFields.OptionalNumber("warmup_overage", kNoOverage, 1, kMaxOverage);
  int64_t slack =
    aFields.OptionalInteger("warmup_slack", kNoSlack, 0, kMaxSlack);
  if (overage != kNoOverage || slack != kNoSlack) {
    options.m_overage = std::max(overage, 1.0);
    options.m_slack = static_cast<uint32_t>(std::max<int64_t>(slack, 0));
  }
  options.m_pace =
    aFields.OptionalName("server_pace", kPaceModeNames, options.m_pace);
  return options;
}

void
ReadAgentFields(JsonFields& aFields, FlowSettings& aSettings)
{
  aSettings.m_serverListen = ReadEndpoint(aFields, "server_listen");
  aSettings.m_server = ReadEndpoint(aFields, "server");
  aSettings.m_service = aFields.RequiredString("service");
  aSettings.m_heartbeatEvery =
    aFields.OptionalTime("heartbeat_ms", aSettings.m_heartbeatEvery, kMinTime);
  aSettings.m_journalEvery = aFields.OptionalTime(
    "journal_every_ms", aSettings.m_journalEvery, kMinTime);
  aSettings.m_maxFlowAge =
    aFields.OptionalTime("max_flow_ms", aSettings.m_maxFlowAge, kMinTime);
  aSettings.m_ejectsFailingServer = aFields.OptionalBoolean(
    "eject_failing_server", aSettings.m_ejectsFailingServer);
  aSettings.m_startup = ReadStartupOptions(aFields);
  aSettings.m_orderRequests =
    aFields.OptionalBoolean("order_requests", aSettings.m_orderRequests);
}

} // namespace

// Logging competes with packet processing for CPU time. The lower bound keeps
// failed requests traceable on the smallest VM.
double
LogLinesPerSecond(const FlowSettings& aSettings)
{
  constexpr double kMinLines = 10;
  constexpr double kMaxLines = 100;
  return std::clamp(
    kLogLinesPerSecond * aSettings.m_cpuShare, kMinLines, kMaxLines);
}

bool
HasPacketPathRole(const nlohmann::json& aJson)
{
  return aJson.is_object() && aJson.contains("role") &&
         aJson["role"].is_string() &&
         ValueOf(kFlowRoleNames, aJson["role"].get<std::string>());
}

FlowSettingsParse
ParseFlowSettings(const nlohmann::json& aJson)
{
  std::vector<ValidationError> mistakes;
  FlowSettings settings;
  JsonFields fields(aJson, "", mistakes);
  settings.m_role =
    fields.OptionalName("role", kFlowRoleNames, FlowRole::Balancer);
  settings.m_id = fields.RequiredString("id");
  settings.m_domain = fields.RequiredString("failure_domain");
  settings.m_packetListen = ReadEndpoint(fields, "packet_listen");
  settings.m_adminListen = ReadEndpoint(fields, "admin_listen");
  settings.m_metricsListen = ReadEndpoint(fields, "metrics_listen");
  settings.m_platform = ToText(ReadEndpoint(fields, "platform"));
  settings.m_controlPort = ReadPort(fields, "control_port");
  settings.m_returnPort = ReadPort(fields, "hand_back_port");
  settings.m_logLevel =
    fields.OptionalName("log_level", kLogLevelNames, settings.m_logLevel);
  settings.m_cpuShare =
    fields.OptionalNumber("cpu_share", settings.m_cpuShare, kMinCpuShare, 1.0);
  settings.m_shutdownLimit = fields.OptionalTime(
    "shutdown_limit_ms", settings.m_shutdownLimit, kMinTime);
  if (settings.m_role == FlowRole::Agent) {
    ReadAgentFields(fields, settings);
  } else {
    settings.m_readinessListen = ReadEndpoint(fields, "readiness_listen");
    settings.m_seeds = ReadSeeds(fields);
    settings.m_staleEntryAfter = fields.OptionalTime(
      "stale_entry_ms", settings.m_staleEntryAfter, kMinTime);
    settings.m_resetLostFlows =
      fields.OptionalBoolean("reset_lost_flows", settings.m_resetLostFlows);
    settings.m_evacuations =
      fields.OptionalBoolean("evacuations", settings.m_evacuations);
  }
  fields.RejectUnknownKeys();
  if (!mistakes.empty()) {
    return tl::unexpected(std::move(mistakes));
  }
  return settings;
}

} // namespace bilberryfield
