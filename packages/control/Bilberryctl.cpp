#include "Commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>
#include <sodium.h>

ABSL_FLAG(std::string,
          platform,
          "",
          "IP and port of the platform's object API.");
ABSL_FLAG(std::vector<std::string>,
          daemons,
          {},
          "Admin addresses (IP:port) of the daemons to ask, by commas.");
ABSL_FLAG(std::string, output, "table", "table for people, json for scripts.");
ABSL_FLAG(std::string, publisher, "", "Who publishes; default: $USER.");
ABSL_FLAG(std::vector<std::string>,
          withdraw,
          {},
          "Services that publish withdraws, by commas.");

namespace {

using namespace bilberryfield;

constexpr const char* kUsage =
  "Operators' client of bilberryfield.\n\n"
  "Commands:\n"
  "  check FILES...                  list every mistake in service files\n"
  "  publish DIR                     merge a folder of service files\n"
  "  status                          what each daemon does\n"
  "  drain | undrain                 take agents out of service and back\n"
  "  explain flow SERVICE CALLER [TOKEN]\n"
  "                                  where a flow goes, and why\n"
  "  explain reason NAME             what a refusal means\n"
  "  audit SERVER                    verify a server's journals and order\n"
  "  config show | history           the accepted configuration\n\n"
  "Examples:\n"
  "  bilberryctl check services/*.json\n"
  "  bilberryctl publish services --platform=10.0.0.9:8080\n"
  "  bilberryctl status --daemons=10.0.1.1:9000,10.0.1.2:9000\n"
  "  bilberryctl drain --daemons=10.0.2.7:9000\n"
  "  bilberryctl explain flow catalogue 10.8.0.4:51000 "
  "--daemons=10.0.1.1:9000\n\n"
  "Exit codes: 0 done, 1 a call failed, 2 user's mistake, 3 another publish\n"
  "came first, 4 the services clash, 5 uncertain, 6 an audit failed.\n";

std::string
PublisherName()
{
  std::string name = absl::GetFlag(FLAGS_publisher);
  if (!name.empty()) {
    return name;
  }
  const char* user = std::getenv("USER");
  return user ? user : "unknown";
}

ExitCode
RunCommand(const std::string& aName, const CommandContext& aContext)
{
  if (aName == "check") {
    return RunCheck(aContext);
  }
  if (aName == "publish") {
    return RunPublish(aContext, PublisherName(), absl::GetFlag(FLAGS_withdraw));
  }
  if (aName == "status") {
    return RunStatus(aContext);
  }
  if (aName == "drain" || aName == "undrain") {
    return RunDrain(aContext, aName == "drain");
  }
  if (aName == "explain") {
    return RunExplain(aContext);
  }
  if (aName == "audit") {
    return RunAudit(aContext);
  }
  if (aName == "config") {
    return RunConfig(aContext);
  }
  return FailUsage(aContext, "unknown command \"" + aName + "\"");
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(kUsage);
  std::vector<char*> words = absl::ParseCommandLine(aArgumentCount, aArguments);
  CommandContext context;
  context.m_output = &std::cout;
  context.m_errors = &std::cerr;
  context.m_platform = absl::GetFlag(FLAGS_platform);
  context.m_daemons = absl::GetFlag(FLAGS_daemons);
  context.m_isJson = absl::GetFlag(FLAGS_output) == "json";
  if (!context.m_isJson && absl::GetFlag(FLAGS_output) != "table") {
    return static_cast<int>(FailUsage(context, "--output is table or json"));
  }
  if (words.size() < 2) {
    return static_cast<int>(FailUsage(context, "no command"));
  }
  if (sodium_init() < 0) {
    std::cerr << "bilberryctl: libsodium cannot start\n";
    return static_cast<int>(ExitCode::CallFailed);
  }
  context.m_arguments.assign(words.begin() + 2, words.end());
  return static_cast<int>(RunCommand(words[1], context));
}
