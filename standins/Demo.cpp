// Runs the whole system on this machine for some seconds under mixed traffic,
// with a balancer killed and a backend server drained, and prints what
// callers saw.

#include "Callers.h"
#include "Cluster.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sodium.h>

ABSL_FLAG(std::string, build, "build", "Folder of the built programs.");
ABSL_FLAG(std::string, examples, "examples", "Folder of the service files.");
ABSL_FLAG(std::string, operator_name, "bibliobus", "bibliobus or siracusa.");
ABSL_FLAG(int, seconds, 8, "Length of the run.");
ABSL_FLAG(int, callers, 24, "Callers at a time.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the traffic.");

namespace {

using namespace bilberryfield;

ServiceConfig
ReadService(const std::string& aPath)
{
  std::ifstream file(aPath);
  ServiceParse parsed =
    ParseServiceConfig(nlohmann::json::parse(file, nullptr, false));
  if (!parsed) {
    std::ostringstream text;
    text << aPath << ": " << parsed.error().front();
    throw std::runtime_error(text.str());
  }
  return *parsed;
}

struct Scenario
{
  std::vector<ServerGroup> m_groups;
  std::vector<std::string> m_files;
  std::vector<RequestKind> m_kinds;
};

Scenario
BibliobusScenario()
{
  return { { { "catalogue", 7, 4 }, { "images", 3, 4 } },
           { "bibliobus/catalogue.json", "bibliobus/images.json" },
           { { "renewal", "0", "/renewals", 10, 100, false, 2.0 },
             { "check-in", "0", "/check-ins", 10, 100, true, 1.0 },
             { "lookup", "0", "/lookups", 8, 400, false, 4.0 },
             { "cover", "1", "/covers", 120, 200'000, false, 2.0 } } };
}

Scenario
SiracusaScenario()
{
  return { { { "moorings", 7, 2 }, { "barges", 3, 2 } },
           { "siracusa/moorings.json", "siracusa/barges.json" },
           { { "assignment", "0", "/assignments", 8, 100, true, 1.0 },
             { "status", "0", "/berths", 5, 100, false, 4.0 },
             { "catalogue", "1", "/catalogue", 150, 300'000, false, 1.0 } } };
}

void
PrintReport(const CallersReport& aReport)
{
  std::cout << std::left << std::setw(12) << "class" << std::right
            << std::setw(9) << "served" << std::setw(9) << "not-run"
            << std::setw(9) << "unknown" << std::setw(9) << "ran-bef."
            << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
            << "\n";
  for (const auto& [name, tally] : aReport.m_classes) {
    std::cout << std::left << std::setw(12) << name << std::right;
    for (uint64_t count : tally.m_outcomes) {
      std::cout << std::setw(9) << count;
    }
    std::cout << std::fixed << std::setprecision(1) << std::setw(10)
              << Percentile(tally.m_latenciesMs, 0.5) << std::setw(10)
              << Percentile(tally.m_latenciesMs, 0.99) << "\n";
  }
  for (const auto& [name, tally] : aReport.m_classes) {
    for (const auto& [reason, count] : tally.m_reasons) {
      std::cout << "refused: " << name << " " << reason << " " << count << "\n";
    }
  }
  std::cout << "flows " << aReport.m_flows << ", broken flows "
            << aReport.m_brokenFlows << ", wrong answers "
            << aReport.m_wrongAnswers << ", messages asked again "
            << aReport.m_askedAgain << "\n";
}

void
PrintImbalance(Cluster& aCluster, const std::string& aLabel)
{
  double most = 0.0;
  double sum = 0.0;
  int count = 0;
  for (const std::string& id : aCluster.AgentIds()) {
    // The first server of the group was drained during the run.
    if (!id.starts_with(aLabel) || id == aLabel + "-0") {
      continue;
    }
    auto ran = static_cast<double>(aCluster.RanAt(id));
    most = std::max(most, ran);
    sum += ran;
    ++count;
  }
  std::cout << "imbalance of " << aLabel
            << " (busiest server / mean): " << std::setprecision(2)
            << most / (sum / count) << "\n";
}

int
CountRepeats(Cluster& aCluster, const CallersReport& aReport)
{
  std::map<std::string, int> ran = aCluster.RanCounts();
  int repeats = 0;
  for (const std::string& id : aReport.m_servedOnce) {
    repeats += ran[id] == 1 ? 0 : 1;
  }
  return repeats;
}

int
RunDemo()
{
  bool isSiracusa = absl::GetFlag(FLAGS_operator_name) == "siracusa";
  Scenario scenario = isSiracusa ? SiracusaScenario() : BibliobusScenario();
  Cluster cluster({ absl::GetFlag(FLAGS_build),
                    3,
                    scenario.m_groups,
                    absl::GetFlag(FLAGS_seed) });
  cluster.Start();
  std::vector<ServiceConfig> services;
  for (const std::string& file : scenario.m_files) {
    services.push_back(ReadService(absl::GetFlag(FLAGS_examples) + "/" + file));
  }
  PublishResult published = cluster.PublishServices(services);
  std::cout << "published: "
            << NameOf(kPublishOutcomeNames, published.m_outcome) << ", version "
            << published.m_version << std::endl;
  if (!cluster.WaitForVersion(published.m_version) ||
      !cluster.WaitForMembers()) {
    std::cerr << "the system did not become ready\n";
    return 1;
  }
  for (RequestKind& kind : scenario.m_kinds) {
    kind.m_service = cluster.ServiceAddress(std::stoul(kind.m_service));
  }
  Callers callers(scenario.m_kinds, absl::GetFlag(FLAGS_seed));
  callers.Start(absl::GetFlag(FLAGS_callers), Milliseconds(5));
  auto third = std::chrono::seconds(absl::GetFlag(FLAGS_seconds)) / 3;
  std::this_thread::sleep_for(third);
  std::cout << "kill balancer-0" << std::endl;
  cluster.KillBalancer(0);
  std::this_thread::sleep_for(third);
  std::string drained = scenario.m_groups[0].m_label + "-0";
  std::cout << "drain " << drained << std::endl;
  cluster.SetDraining(drained, true);
  std::this_thread::sleep_for(third);
  CallersReport report = callers.Stop();
  PrintReport(report);
  PrintImbalance(cluster, scenario.m_groups[0].m_label);
  std::cout << "non-repeatable requests not run exactly once: "
            << CountRepeats(cluster, report) << "\n";
  return report.m_brokenFlows == 0 && report.m_wrongAnswers == 0 ? 0 : 1;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  if (sodium_init() < 0) {
    return 1;
  }
  try {
    return RunDemo();
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << "\n";
    return 1;
  }
}
