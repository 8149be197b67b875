#include "AgentDaemon.h"
#include "AgentNode.h"
#include "BalancerDaemon.h"
#include "BalancerNode.h"
#include "StopSignals.h"
#include "WallClock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fstream>
#include <iostream>
#include <sodium.h>
#include <thread>

ABSL_FLAG(std::string,
          settings,
          "",
          "File with this daemon's settings (JSON).");
ABSL_FLAG(bool, check, false, "Only check the settings, then exit.");

namespace {

using namespace bilberryfield;

enum ExitCode
{
  kSuccess = 0,
  kStartFailed = 1,
  kBadSettings = 2,
};

Result<nlohmann::json>
ReadJsonFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Failure(Step::ReadSettings, aPath, "the file cannot be read");
  }
  try {
    return nlohmann::json::parse(file);
  } catch (const nlohmann::json::exception& error) {
    return Failure(Step::ReadSettings, aPath, error.what());
  }
}

template<typename Node>
int
RunNode(const Settings& aSettings)
{
  sigset_t signals = BlockStopSignals();
  uint64_t incarnation = WallClockMs();
  Node node(aSettings, incarnation);
  Result<void> started = node.Start();
  if (!started) {
    std::cerr << "bilberryd: " << started.error() << "\n";
    return kStartFailed;
  }
  Log(LogLevel::Info,
      "started",
      { { "role", NameOf(kRoleNames, aSettings.m_role) },
        { "incarnation", incarnation } });
  WaitForStop(signals);
  node.BeginShutdown();
  node.WaitUntilStopped();
  Log(LogLevel::Info, "stopped");
  return kSuccess;
}

// Addresses stay as they were at the start; a changed log level takes effect.
void
Reload(const std::string& aPath)
{
  Result<nlohmann::json> document = ReadJsonFile(aPath);
  if (!document) {
    Log(LogLevel::Error,
        "reload-failed",
        { { "peer", aPath }, { "detail", document.error().m_detail } });
    return;
  }
  FlowSettingsParse settings = ParseFlowSettings(*document);
  if (!settings) {
    std::ostringstream first;
    first << settings.error().front();
    Log(LogLevel::Error,
        "reload-failed",
        { { "peer", aPath },
          { "mistakes", settings.error().size() },
          { "detail", first.str() } });
    return;
  }
  SetLogLevel(settings->m_logLevel);
  Log(LogLevel::Info,
      "reloaded",
      { { "log_level", NameOf(kLogLevelNames, settings->m_logLevel) } });
}

template<typename Daemon>
int
RunDaemon(const std::string& aPath, const FlowSettings& aSettings)
{
  sigset_t signals = BlockStopSignals();
  Daemon daemon(aSettings);
  Result<void> started = daemon.Start();
  if (!started) {
    std::cerr << "bilberryd: " << started.error() << "\n";
    return kStartFailed;
  }
  Log(LogLevel::Info,
      "started",
      { { "role", NameOf(kFlowRoleNames, aSettings.m_role) } });
  std::thread([&daemon, signals, aPath] {
    while (WaitForSignal(signals) == SignalRequest::Reload) {
      Reload(aPath);
    }
    daemon.BeginShutdown();
  }).detach();
  daemon.Run();
  Log(LogLevel::Info, "stopped");
  // Threads of the HTTP client may still wait for the store.
  std::_Exit(kSuccess);
}

// The exit code when the program ends with the check of its settings.
template<typename SettingsParse>
std::optional<int>
EndAfterCheck(const std::string& aPath, const SettingsParse& aSettings)
{
  if (!aSettings) {
    for (const ValidationError& mistake : aSettings.error()) {
      std::cerr << aPath << ": " << mistake << "\n";
    }
    return kBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << aPath << ": no mistakes\n";
    return kSuccess;
  }
  return std::nullopt;
}

int
RunPacketPath(const std::string& aPath, const nlohmann::json& aDocument)
{
  FlowSettingsParse settings = ParseFlowSettings(aDocument);
  if (std::optional<int> code = EndAfterCheck(aPath, settings)) {
    return *code;
  }
  StartLog(settings->m_logLevel, settings->m_id, LogLinesPerSecond(*settings));
  return settings->m_role == FlowRole::Agent
           ? RunDaemon<AgentDaemon>(aPath, *settings)
           : RunDaemon<BalancerDaemon>(aPath, *settings);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "The bilberryfield daemon.\n"
    "Example: bilberryd --settings=/etc/bilberryfield/balancer.json");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  std::string path = absl::GetFlag(FLAGS_settings);
  Result<nlohmann::json> document = ReadJsonFile(path);
  if (!document) {
    std::cerr << "bilberryd: " << document.error() << "\n";
    return kBadSettings;
  }
  if (HasPacketPathRole(*document)) {
    return RunPacketPath(path, *document);
  }
  SettingsParse settings = ParseSettings(*document);
  if (std::optional<int> code = EndAfterCheck(path, settings)) {
    return *code;
  }
  if (sodium_init() < 0) {
    std::cerr << "bilberryd: libsodium cannot start\n";
    return kStartFailed;
  }
  StartLog(settings->m_logLevel, settings->m_id);
  return settings->m_role == Role::Agent ? RunNode<AgentNode>(*settings)
                                         : RunNode<BalancerNode>(*settings);
}
