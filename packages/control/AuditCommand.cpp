#include "Audit.h"
#include "Codec.h"
#include "Commands.h"
#include "KeyedStore.h"

#include <map>

namespace bilberryfield {

namespace {

/** The stored journal of one agent start. */
struct StoredJournal
{
  std::vector<JournalRecord> m_records;
  uint64_t m_lost = 0;
};

using Journals = std::map<std::string, StoredJournal>;

Result<Journals>
ReadJournals(KeyedStore& aPlatform, const std::string& aServer)
{
  auto keys = aPlatform.List("journal/" + aServer + "/");
  if (!keys) {
    return tl::unexpected(keys.error());
  }
  Journals journals;
  for (const std::string& key : *keys) {
    Result<FoundObject> found = aPlatform.Get(key);
    if (!found) {
      return tl::unexpected(found.error());
    }
    if (!*found) {
      continue;
    }
    Result<JournalBatch> batch = DecodeJournal((*found)->m_value, key);
    if (!batch) {
      return tl::unexpected(batch.error());
    }
    StoredJournal& journal = journals[batch->m_origin];
    journal.m_lost = batch->m_lost;
    journal.m_records.insert(journal.m_records.end(),
                             batch->m_records.begin(),
                             batch->m_records.end());
  }
  return journals;
}

nlohmann::json
ReportToJson(const std::string& aOrigin,
             const StoredJournal& aJournal,
             const AuditReport& aReport,
             const std::optional<JournalFault>& aFault)
{
  nlohmann::json overtakings = nlohmann::json::array();
  for (const auto& [overtaking, count] : aReport.m_overtakings) {
    overtakings.push_back({ { "service", overtaking.m_service },
                            { "class", overtaking.m_class },
                            { "overtaken", overtaking.m_overtakenClass },
                            { "starts", count } });
  }
  nlohmann::json body = { { "journal", aOrigin },
                          { "records", aJournal.m_records.size() },
                          { "dropped", aJournal.m_lost },
                          { "queued", aReport.m_queued },
                          { "started", aReport.m_started },
                          { "ended", aReport.m_ended },
                          { "refused", aReport.m_refused },
                          { "open", aReport.m_open },
                          { "overtakings", overtakings },
                          { "order_faults", aReport.m_faults.size() } };
  body["chain_fault"] = aFault
                          ? nlohmann::json{ { "sequence", aFault->m_sequence },
                                            { "what", aFault->m_description } }
                          : nlohmann::json();
  return body;
}

void
PrintReport(std::ostream& aOutput, const nlohmann::json& aReport)
{
  aOutput << "journal " << aReport.at("journal").get<std::string>() << ": "
          << aReport.at("records") << " records, " << aReport.at("queued")
          << " queued, " << aReport.at("started") << " started, "
          << aReport.at("ended") << " ended, " << aReport.at("refused")
          << " refused, " << aReport.at("open") << " open, "
          << aReport.at("dropped") << " dropped\n";
  for (const auto& overtaking : aReport.at("overtakings")) {
    aOutput << "  by class order or share: " << overtaking.at("starts")
            << " starts of " << overtaking.at("class").get<std::string>()
            << " before an older "
            << overtaking.at("overtaken").get<std::string>() << "\n";
  }
  aOutput << "  by no rule: " << aReport.at("order_faults") << "\n";
  if (!aReport.at("chain_fault").is_null()) {
    aOutput << "  BROKEN at record " << aReport.at("chain_fault").at("sequence")
            << ": " << aReport.at("chain_fault").at("what").get<std::string>()
            << "\n";
  }
}

} // namespace

ExitCode
RunAudit(const CommandContext& aContext)
{
  if (aContext.m_arguments.size() != 1 || aContext.m_platform.empty()) {
    return FailUsage(aContext, "audit needs a server's id and --platform");
  }
  KeyedStore platform(aContext.m_platform);
  Result<Journals> journals = ReadJournals(platform, aContext.m_arguments[0]);
  if (!journals) {
    return Fail(aContext, journals.error());
  }
  ExitCode code = ExitCode::Success;
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [origin, journal] : *journals) {
    auto fault = VerifyJournal(origin, journal.m_records);
    AuditReport report = AuditOrder(journal.m_records);
    if (fault || !report.m_faults.empty()) {
      code = ExitCode::AuditFailed;
    }
    all.push_back(ReportToJson(origin, journal, report, fault));
    if (!aContext.m_isJson) {
      PrintReport(*aContext.m_output, all.back());
    }
  }
  if (aContext.m_isJson) {
    *aContext.m_output << all.dump() << "\n";
  } else if (all.empty()) {
    *aContext.m_output << "no journal of " << aContext.m_arguments[0] << "\n";
  }
  return code;
}

} // namespace bilberryfield
