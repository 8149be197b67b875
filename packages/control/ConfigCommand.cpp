#include "Commands.h"
#include "ConfigReader.h"
#include "KeyedStore.h"

namespace bilberryfield {

namespace {

ExitCode
ShowHistory(const CommandContext& aContext, const ConfigHead& aHead)
{
  Table table({ "version", "publisher", "publish id", "changed" });
  nlohmann::json all = nlohmann::json::array();
  for (const PublishRecord& record : aHead.m_history) {
    nlohmann::json changed = record.m_changed;
    table.AddRow({ std::to_string(record.m_version),
                   record.m_publisher,
                   record.m_publishId,
                   changed.dump() });
    all.push_back({ { "version", record.m_version },
                    { "publisher", record.m_publisher },
                    { "publish_id", record.m_publishId },
                    { "changed", std::move(changed) } });
  }
  if (aContext.m_isJson) {
    *aContext.m_output << all.dump() << "\n";
  } else {
    table.Print(*aContext.m_output);
  }
  return ExitCode::Success;
}

ExitCode
ShowServices(const CommandContext& aContext,
             KeyedStore& aPlatform,
             const ConfigHead& aHead)
{
  auto delta = FetchDelta(aPlatform, aHead, 0);
  if (!delta) {
    return Fail(aContext, delta.error());
  }
  // Token keys are secrets and stay out of every listing.
  nlohmann::json services = nlohmann::json::array();
  for (const ServiceEntry& entry : delta->m_entries) {
    if (!entry.m_removed) {
      services.push_back(ToJson(entry.m_config));
    }
  }
  nlohmann::json body = { { "version", aHead.m_version },
                          { "services", std::move(services) } };
  *aContext.m_output << body.dump(aContext.m_isJson ? -1 : 2) << "\n";
  return ExitCode::Success;
}

} // namespace

ExitCode
RunConfig(const CommandContext& aContext)
{
  bool isShow = aContext.m_arguments == std::vector<std::string>{ "show" };
  bool isHistory =
    aContext.m_arguments == std::vector<std::string>{ "history" };
  if (!isShow && !isHistory) {
    return FailUsage(aContext, "config needs `show` or `history`");
  }
  if (aContext.m_platform.empty()) {
    return FailUsage(aContext, "config needs --platform");
  }
  KeyedStore platform(aContext.m_platform);
  auto head = FetchHead(platform);
  if (!head) {
    return Fail(aContext, head.error());
  }
  return isShow ? ShowServices(aContext, platform, head->first)
                : ShowHistory(aContext, head->first);
}

} // namespace bilberryfield
