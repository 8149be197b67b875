#include "Commands.h"

namespace bilberryfield {

namespace {

std::string
Text(const nlohmann::json& aStatus, const std::string& aKey)
{
  auto found = aStatus.find(aKey);
  if (found == aStatus.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

} // namespace

ExitCode
RunStatus(const CommandContext& aContext)
{
  if (aContext.m_daemons.empty()) {
    return FailUsage(aContext, "status needs --daemons");
  }
  Table table(
    { "daemon", "id", "role", "domain", "config", "load", "refused" });
  nlohmann::json all = nlohmann::json::array();
  ExitCode code = ExitCode::Success;
  for (const std::string& daemon : aContext.m_daemons) {
    auto status = CallDaemon(daemon, "GET", "/status");
    if (!status) {
      // One daemon that is down must not hide the others.
      code = Fail(aContext, status.error());
      continue;
    }
    bool isAgent = Text(*status, "role") == "agent";
    table.AddRow({ daemon,
                   Text(*status, "id"),
                   Text(*status, "role"),
                   Text(*status, "failure_domain"),
                   Text(*status, "config_version"),
                   isAgent ? Text(*status, "running") + " running, " +
                               Text(*status, "queued") + " queued, " +
                               Text(*status, "state")
                           : Text(*status, "waiting") + " waiting",
                   Text(*status, "refusals") });
    all.push_back(std::move(*status));
  }
  if (aContext.m_isJson) {
    *aContext.m_output << all.dump() << "\n";
  } else {
    table.Print(*aContext.m_output);
  }
  return code;
}

ExitCode
RunDrain(const CommandContext& aContext, bool aIsDraining)
{
  if (aContext.m_daemons.empty()) {
    return FailUsage(aContext, "drain and undrain need --daemons");
  }
  ExitCode code = ExitCode::Success;
  for (const std::string& daemon : aContext.m_daemons) {
    auto status =
      CallDaemon(daemon, "POST", aIsDraining ? "/drain" : "/undrain");
    if (!status) {
      code = Fail(aContext, status.error());
      continue;
    }
    *aContext.m_output << (aContext.m_isJson ? status->dump()
                                             : Text(*status, "id") + ": " +
                                                 Text(*status, "state"))
                       << "\n";
  }
  return code;
}

} // namespace bilberryfield
