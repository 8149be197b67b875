#include "Commands.h"
#include "ReasonTexts.h"

namespace bilberryfield {

namespace {

ExitCode
ExplainReason(const CommandContext& aContext, const std::string& aName)
{
  for (const ReasonText& text : kReasonTexts) {
    if (NameOf(kRefusalNames, text.m_reason) != aName) {
      continue;
    }
    if (aContext.m_isJson) {
      *aContext.m_output << nlohmann::json({ { "reason", aName },
                                             { "meaning", text.m_meaning },
                                             { "advice", text.m_advice } })
                              .dump()
                         << "\n";
    } else {
      *aContext.m_output << aName << ": " << text.m_meaning << "\n"
                         << text.m_advice << "\n";
    }
    return ExitCode::Success;
  }
  std::string known;
  for (const ReasonText& text : kReasonTexts) {
    known += " " + std::string(NameOf(kRefusalNames, text.m_reason));
  }
  return FailUsage(aContext, "no reason \"" + aName + "\"; known are:" + known);
}

ExitCode
ExplainFlow(const CommandContext& aContext)
{
  if (aContext.m_daemons.empty()) {
    return FailUsage(aContext, "explain flow needs --daemons");
  }
  std::string path = "/explain?service=" + aContext.m_arguments[1] +
                     "&flow=" + aContext.m_arguments[2];
  if (aContext.m_arguments.size() > 3) {
    path += "&token=" + aContext.m_arguments[3];
  }
  auto answer = CallDaemon(aContext.m_daemons.front(), "GET", path);
  if (!answer) {
    return Fail(aContext, answer.error());
  }
  if (aContext.m_isJson) {
    *aContext.m_output << answer->dump() << "\n";
    return ExitCode::Success;
  }
  std::ostream& output = *aContext.m_output;
  if (!answer->at("service_known").get<bool>()) {
    output << "the service is not in force at this balancer (version "
           << answer->at("config_version") << ")\n";
  }
  if (answer->contains("token")) {
    output << "token: " << answer->at("token").dump() << "\n";
  }
  output << "a new flow is offered in this order (two by hash, the less "
            "loaded first, then the rest):\n";
  for (const auto& candidate : answer->at("candidates")) {
    output << "  " << candidate.at("server").get<std::string>() << " at "
           << candidate.at("address").get<std::string>() << "\n";
  }
  return ExitCode::Success;
}

} // namespace

ExitCode
RunExplain(const CommandContext& aContext)
{
  const auto& arguments = aContext.m_arguments;
  if (arguments.size() == 2 && arguments[0] == "reason") {
    return ExplainReason(aContext, arguments[1]);
  }
  if (arguments.size() >= 3 && arguments[0] == "flow") {
    return ExplainFlow(aContext);
  }
  return FailUsage(
    aContext,
    "explain needs `reason NAME` or `flow SERVICE CALLER-ADDRESS [TOKEN]`");
}

} // namespace bilberryfield
