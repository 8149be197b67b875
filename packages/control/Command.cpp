#include "Command.h"

#include "HttpStatus.h"

#include <algorithm>
#include <iomanip>

namespace bilberryfield {

Table::Table(std::vector<std::string> aHeadings)
  : m_rows({ std::move(aHeadings) })
{
}

void
Table::AddRow(std::vector<std::string> aCells)
{
  BILBERRY_ASSERT(aCells.size() == m_rows.front().size(),
                  aCells.size() << " cells");
  m_rows.push_back(std::move(aCells));
}

void
Table::Print(std::ostream& aStream) const
{
  std::vector<size_t> widths(m_rows.front().size(), 0);
  for (const auto& row : m_rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : m_rows) {
    for (size_t i = 0; i + 1 < row.size(); ++i) {
      aStream << std::left << std::setw(static_cast<int>(widths[i]) + 2)
              << row[i];
    }
    aStream << row.back() << "\n";
  }
}

Result<nlohmann::json>
CallDaemon(const std::string& aAddress,
           const std::string& aMethod,
           const std::string& aPath)
{
  HttpClient client(HttpClientOptions{});
  HttpCall call;
  call.m_method = aMethod;
  call.m_host = aAddress;
  call.m_path = aPath;
  HttpResult result = client.SendAndWait(call);
  if (result.m_end != HttpEnd::Answered) {
    return Failure(Step::CallDaemon, aAddress, result.m_body);
  }
  if (result.m_status != kHttpOk) {
    return Failure(Step::CallDaemon,
                   aAddress,
                   aMethod + " " + aPath + ": status " +
                     std::to_string(result.m_status));
  }
  nlohmann::json body = nlohmann::json::parse(result.m_body, nullptr, false);
  if (body.is_discarded()) {
    return Failure(Step::CallDaemon, aAddress, "the answer is not JSON");
  }
  return body;
}

ExitCode
Fail(const CommandContext& aContext, const StepError& aError)
{
  if (aContext.m_isJson) {
    nlohmann::json error = { { "step", NameOf(kStepNames, aError.m_step) },
                             { "peer", aError.m_peer },
                             { "detail", aError.m_detail } };
    *aContext.m_errors << nlohmann::json({ { "error", error } }).dump() << "\n";
  } else {
    *aContext.m_errors << "bilberryctl: " << aError << "\n";
  }
  return ExitCode::CallFailed;
}

ExitCode
FailUsage(const CommandContext& aContext, const std::string& aDetail)
{
  *aContext.m_errors << "bilberryctl: " << aDetail
                     << " (see bilberryctl --help)\n";
  return ExitCode::ValidationError;
}

} // namespace bilberryfield
