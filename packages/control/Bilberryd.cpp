#include "AgentNode.h"
#include "BalancerNode.h"
#include "StopSignals.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fstream>
#include <iostream>
#include <sodium.h>

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
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  auto incarnation = static_cast<uint64_t>(
    std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
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
  SettingsParse settings = ParseSettings(*document);
  if (!settings) {
    for (const UserMistake& mistake : settings.error()) {
      std::cerr << path << ": " << mistake << "\n";
    }
    return kBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": no mistakes\n";
    return kSuccess;
  }
  if (sodium_init() < 0) {
    std::cerr << "bilberryd: libsodium cannot start\n";
    return kStartFailed;
  }
  StartLog(settings->m_logLevel, settings->m_id);
  return settings->m_role == Role::Agent ? RunNode<AgentNode>(*settings)
                                         : RunNode<BalancerNode>(*settings);
}
