#include "Commands.h"
#include "ServiceFiles.h"

namespace bilberryfield {

ExitCode
RunCheck(const CommandContext& aContext)
{
  if (aContext.m_arguments.empty()) {
    return FailUsage(aContext, "check needs at least one file");
  }
  ServiceFiles files = ReadServiceFiles(aContext.m_arguments);
  if (aContext.m_isJson) {
    nlohmann::json mistakes = nlohmann::json::array();
    for (const auto& [file, mistake] : files.m_mistakes) {
      mistakes.push_back({ { "file", file },
                           { "path", mistake.m_path },
                           { "found", mistake.m_found },
                           { "allowed", mistake.m_allowed } });
    }
    *aContext.m_output << nlohmann::json({ { "mistakes", mistakes } }).dump()
                       << "\n";
  } else {
    for (const auto& [file, mistake] : files.m_mistakes) {
      *aContext.m_output << file << ": " << mistake << "\n";
    }
    *aContext.m_output << aContext.m_arguments.size() << " files, "
                       << files.m_mistakes.size() << " mistakes\n";
  }
  return files.m_mistakes.empty() ? ExitCode::Success
                                  : ExitCode::ValidationError;
}

} // namespace bilberryfield
