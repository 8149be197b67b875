#include "Commands.h"
#include "KeyedStore.h"
#include "Publisher.h"
#include "ServiceFiles.h"

#include <sodium.h>

namespace bilberryfield {

namespace {

std::string
RandomBytes(size_t aCount)
{
  std::string bytes(aCount, '\0');
  randombytes_buf(bytes.data(), bytes.size());
  return bytes;
}

std::string
NewPublishId()
{
  constexpr size_t kIdBytes = 8;
  std::string bytes = RandomBytes(kIdBytes);
  std::string hex(2 * kIdBytes + 1, '\0');
  sodium_bin2hex(hex.data(),
                 hex.size(),
                 reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  hex.pop_back();
  return hex;
}

std::string
Joined(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += (joined.empty() ? "" : ", ") + name;
  }
  return joined;
}

ExitCode
CodeOf(PublishOutcome aEnd)
{
  switch (aEnd) {
    case PublishOutcome::Accepted:
    case PublishOutcome::Unchanged:
      return ExitCode::Success;
    case PublishOutcome::LostRace:
      return ExitCode::LostRace;
    case PublishOutcome::Rejected:
      return ExitCode::Clash;
    case PublishOutcome::Uncertain:
      break;
  }
  return ExitCode::Uncertain;
}

void
PrintJson(const CommandContext& aContext,
          const PublishRequest& aRequest,
          const PublishResult& aResult)
{
  nlohmann::json body = { { "result",
                            NameOf(kPublishOutcomeNames, aResult.m_outcome) },
                          { "publish_id", aRequest.m_publishId },
                          { "version", aResult.m_version },
                          { "changed", aResult.m_changed },
                          { "detail", aResult.m_detail } };
  if (aResult.m_outcome == PublishOutcome::LostRace) {
    body["winner"] = { { "publisher", aResult.m_winner.m_publisher },
                       { "publish_id", aResult.m_winner.m_publishId },
                       { "changed", aResult.m_winner.m_changed } };
  }
  *aContext.m_output << body.dump() << "\n";
}

void
PrintText(const CommandContext& aContext,
          const PublishRequest& aRequest,
          const PublishResult& aResult)
{
  std::ostream& output = *aContext.m_output;
  switch (aResult.m_outcome) {
    case PublishOutcome::Accepted:
      output << "accepted as version " << aResult.m_version
             << "; changed: " << Joined(aResult.m_changed) << "\n";
      break;
    case PublishOutcome::Unchanged:
      output << "nothing to change; version " << aResult.m_version
             << " already says this\n";
      break;
    case PublishOutcome::LostRace:
      output << "not accepted: " << aResult.m_winner.m_publisher
             << " published version " << aResult.m_version
             << " first and changed " << Joined(aResult.m_winner.m_changed)
             << "; this publish would have changed "
             << Joined(aResult.m_changed) << ". Check, then publish again.\n";
      break;
    case PublishOutcome::Rejected:
      output << "not accepted: " << aResult.m_detail << "\n";
      break;
    case PublishOutcome::Uncertain:
      output << "uncertain (" << aResult.m_detail << "): look for publish id "
             << aRequest.m_publishId << " in `bilberryctl config history`\n";
      break;
  }
}

} // namespace

ExitCode
RunPublish(const CommandContext& aContext,
           const std::string& aPublisher,
           const std::vector<std::string>& aWithdrawn)
{
  if (aContext.m_arguments.size() != 1) {
    return FailUsage(aContext, "publish needs one folder");
  }
  if (aContext.m_platform.empty()) {
    return FailUsage(aContext, "publish needs --platform");
  }
  auto paths = ListServiceFiles(aContext.m_arguments[0]);
  if (!paths) {
    return Fail(aContext, paths.error());
  }
  ServiceFiles files = ReadServiceFiles(*paths);
  for (const auto& [file, mistake] : files.m_mistakes) {
    *aContext.m_errors << file << ": " << mistake << "\n";
  }
  if (!files.m_mistakes.empty()) {
    return ExitCode::ValidationError;
  }
  constexpr size_t kKeyBytes = 32;
  PublishRequest request{ NewPublishId(),
                          aPublisher,
                          std::move(files.m_services),
                          aWithdrawn,
                          RandomBytes(kKeyBytes) };
  KeyedStore platform(aContext.m_platform);
  PublishResult result = Publish(platform, request);
  if (aContext.m_isJson) {
    PrintJson(aContext, request, result);
  } else {
    PrintText(aContext, request, result);
  }
  return CodeOf(result.m_outcome);
}

} // namespace bilberryfield
