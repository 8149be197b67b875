// The policy bench: the real decision cores in virtual time before one
// service's servers, beside the simplest baseline, against the users' bounds.
// Prints a table and one JSON line for each measure.

#include "PolicySim.h"

#include <cmath>
#include <iomanip>
#include <iostream>
#include <sodium.h>

namespace {

using namespace bilberryfield;

constexpr Duration kShortWork = Milliseconds(10);
constexpr Duration kImageWork = Milliseconds(250);
constexpr int kServers = 7;

/** A site: its slots, and the names of its urgent and common classes. */
struct Site
{
  std::string m_name;
  uint32_t m_slots;
  ServiceConfig m_service;

  double Capacity() const { return kServers * double(m_slots) * 100.0; }
};

Site
Bibliobus()
{
  ServiceConfig service;
  service.m_name = "catalogue";
  service.m_address = "10.0.0.1:80";
  service.m_labels = { "catalogue" };
  service.m_defaultClass = "lookup";
  service.m_classes = {
    { .m_name = "renewal", .m_minShare = 0.3, .m_deadline = Milliseconds(500) },
    { .m_name = "check-in",
      .m_nonRepeatable = true,
      .m_minShare = 0.2,
      .m_deadline = Milliseconds(500) },
    { .m_name = "lookup", .m_minShare = 0.2, .m_deadline = Milliseconds(500) },
    { .m_name = "image",
      .m_work = WorkLength::Long,
      .m_minShare = 0.1,
      .m_deadline = Milliseconds(5000) }
  };
  return { "bibliobus", 4, service };
}

Site
Siracusa()
{
  ServiceConfig service = Bibliobus().m_service;
  service.m_classes[0].m_name = "assignment";
  service.m_classes[0].m_nonRepeatable = true;
  service.m_classes.erase(service.m_classes.begin() + 1);
  return { "siracusa", 2, service };
}

LoadClass
Steady(const std::string& aName, double aRate, Duration aWork)
{
  return { aName, [aRate](Duration) { return aRate; }, aWork, false };
}

SimPlan
PlanFor(const Site& aSite, uint64_t aSeed)
{
  SimPlan plan;
  plan.m_slots = aSite.m_slots;
  plan.m_service = aSite.m_service;
  plan.m_seed = aSeed;
  return plan;
}

/** One measured figure beside its bound. */
class Report
{
public:
  explicit Report(uint64_t aSeed)
    : m_seed(aSeed)
  {
    std::cout << std::left << std::setw(11) << "site" << std::setw(48)
              << "measure" << std::right << std::setw(11) << "baseline"
              << std::setw(11) << "today" << std::setw(11) << "bound"
              << "\n";
  }

  void Add(const Site& aSite,
           const std::string& aMeasure,
           double aBaseline,
           double aToday,
           double aBound,
           bool aIsUpper)
  {
    bool isMet = aIsUpper ? aToday <= aBound : aToday >= aBound;
    std::cout << std::left << std::setw(11) << aSite.m_name << std::setw(48)
              << aMeasure << std::right << std::fixed << std::setprecision(3)
              << std::setw(11) << aBaseline << std::setw(11) << aToday
              << std::setw(3) << (aIsUpper ? "<=" : ">=") << std::setw(8)
              << aBound << (isMet ? "" : "  MISSED") << "\n";
    m_lines.push_back({ { "site", aSite.m_name },
                        { "measure", aMeasure },
                        { "baseline", aBaseline },
                        { "today", aToday },
                        { "bound", aBound },
                        { "met", isMet },
                        { "seed", m_seed } });
  }

  void PrintJson() const
  {
    for (const auto& line : m_lines) {
      std::cout << line.dump() << "\n";
    }
  }

private:
  uint64_t m_seed;
  std::vector<nlohmann::json> m_lines;
};

double
ShareOf(const SimResult& aResult, size_t aServer)
{
  double sum = 0.0;
  for (uint64_t starts : aResult.m_startsByServer) {
    sum += double(starts);
  }
  double mean = sum / double(aResult.m_startsByServer.size());
  return double(aResult.m_startsByServer[aServer]) / mean;
}

double
BusiestShare(const SimResult& aResult)
{
  double busiest = 0.0;
  for (size_t i = 0; i < aResult.m_startsByServer.size(); ++i) {
    busiest = std::max(busiest, ShareOf(aResult, i));
  }
  return busiest;
}

void
MeasureImbalance(const Site& aSite, uint64_t aSeed, Report& aReport)
{
  SimPlan plan = PlanFor(aSite, aSeed);
  plan.m_length = Seconds(60);
  plan.m_load = { Steady("lookup", 0.7 * aSite.Capacity(), kShortWork) };
  SimResult honest = BilberrySim(plan).Run();
  plan.m_report = [](int aServer, LoadReport aTrue) {
    return aServer == 0 ? LoadReport{ 0, 0, aTrue.m_slots } : aTrue;
  };
  SimResult lying = BilberrySim(plan).Run();
  SimResult baseline = RunBaseline(plan);
  aReport.Add(aSite,
              "imbalance: busiest server's share of the mean",
              BusiestShare(baseline),
              BusiestShare(honest),
              1.1,
              true);
  aReport.Add(aSite,
              "imbalance: share of a server that reports no load",
              ShareOf(baseline, 0),
              ShareOf(lying, 0),
              1.1,
              true);
}

void
MeasureCrest(const Site& aSite, uint64_t aSeed, Report& aReport)
{
  constexpr double kBefore = 0.8;
  constexpr double kCrest = 3.0;
  auto demand = [](Duration aAt) {
    double seconds = double(aAt.count()) / 1e6;
    double up = std::clamp((seconds - 5.0) / 2.0, 0.0, 1.0);
    double down = std::clamp((seconds - 17.0) / 2.0, 0.0, 1.0);
    return kBefore + (kCrest - kBefore) * (up - down);
  };
  const std::string urgent = aSite.m_service.m_classes[0].m_name;
  double capacity = aSite.Capacity();
  constexpr double kUrgentPart = 0.2;
  SimPlan plan = PlanFor(aSite, aSeed);
  plan.m_length = Seconds(30);
  plan.m_load = {
    { urgent,
      [=](Duration aAt) { return kUrgentPart * demand(aAt) * capacity; },
      kShortWork },
    { "lookup",
      [=](Duration aAt) { return (1 - kUrgentPart) * demand(aAt) * capacity; },
      kShortWork }
  };
  SimResult today = BilberrySim(plan).Run();
  SimResult baseline = RunBaseline(plan);
  // Arrivals of some seconds differ from the mean by several percent.
  auto servedPart = [](const SimResult& aResult, size_t aFrom, size_t aTo) {
    double offered = 0.0;
    double inTime = 0.0;
    for (size_t i = aFrom; i < aTo; ++i) {
      offered += aResult.m_offeredBySecond[i];
      inTime += aResult.m_inTimeBySecond[i];
    }
    return inTime / offered;
  };
  auto goodput = [&](const SimResult& aResult, size_t aFrom, size_t aTo) {
    double sum = 0.0;
    for (size_t i = aFrom; i < aTo; ++i) {
      sum += aResult.m_inTimeBySecond[i];
    }
    return sum / (double(aTo - aFrom) * capacity);
  };
  auto inTime = [&](const SimResult& aResult) {
    const ClassResult& result = aResult.m_classes.at(urgent);
    return double(result.m_inTime) / double(result.m_offered);
  };
  aReport.Add(aSite,
              "crest: goodput as a part of capacity",
              goodput(baseline, 7, 17),
              goodput(today, 7, 17),
              0.95,
              false);
  aReport.Add(aSite,
              "crest: urgent requests within their deadline",
              inTime(baseline),
              inTime(today),
              0.999,
              false);
  aReport.Add(aSite,
              "crest: served in time 2 s after, part of what arrived",
              servedPart(baseline, 21, 25),
              servedPart(today, 21, 25),
              0.99,
              false);
  double slowest = 0.0;
  for (const auto& [name, result] : today.m_classes) {
    slowest = std::max(slowest, result.m_slowestRefusalMs);
  }
  aReport.Add(aSite, "crest: slowest refusal, ms", 0.0, slowest, 500.0, true);
}

void
MeasureHeadOfLine(const Site& aSite, uint64_t aSeed, Report& aReport)
{
  SimPlan plan = PlanFor(aSite, aSeed);
  plan.m_length = Seconds(60);
  plan.m_load = { Steady("lookup", 0.3 * aSite.Capacity(), kShortWork) };
  auto p99 = [](const SimResult& aResult) {
    return PercentileOf(aResult.m_classes.at("lookup").m_latencyMs, 0.99);
  };
  double todayWithout = p99(BilberrySim(plan).Run());
  double baselineWithout = p99(RunBaseline(plan));
  // Half as many images again as the slots for long work can serve.
  double longSlots =
    std::max(1.0, std::floor(aSite.m_slots * AdmissionOptions().m_longShare));
  double imageCapacity = kServers * longSlots / 0.25;
  double imageRate = 1.5 * imageCapacity;
  plan.m_load.push_back(Steady("image", imageRate, kImageWork));
  SimResult today = BilberrySim(plan).Run();
  double baselineWith = p99(RunBaseline(plan));
  aReport.Add(aSite,
              "head of line: p99 of lookups, with images / without",
              baselineWith / baselineWithout,
              p99(today) / todayWithout,
              1.2,
              true);
  const ClassResult& images = today.m_classes.at("image");
  aReport.Add(aSite,
              "head of line: images served, part of what their slots do",
              0.0,
              double(images.m_inTime) / (60.0 * imageCapacity),
              0.9,
              false);
}

void
MeasureStarvation(const Site& aSite, uint64_t aSeed, Report& aReport)
{
  const std::string urgent = aSite.m_service.m_classes[0].m_name;
  SimPlan plan = PlanFor(aSite, aSeed);
  plan.m_length = Seconds(60);
  plan.m_load = { Steady(urgent, 2.0 * aSite.Capacity(), kShortWork),
                  Steady("lookup", 0.5 * aSite.Capacity(), kShortWork) };
  SimResult today = BilberrySim(plan).Run();
  SimResult baseline = RunBaseline(plan);
  auto share = [&](const SimResult& aResult) {
    double lookups = double(aResult.m_classes.at("lookup").m_inTime);
    double all = lookups + double(aResult.m_classes.at(urgent).m_inTime);
    return all == 0.0 ? 0.0 : lookups / all;
  };
  aReport.Add(aSite,
              "starvation: lookups' part of the answers (share 0.2)",
              share(baseline),
              share(today),
              0.2,
              false);
}

void
MeasureRetries(const Site& aSite, uint64_t aSeed, Report& aReport)
{
  SimPlan plan = PlanFor(aSite, aSeed);
  plan.m_length = Seconds(30);
  plan.m_load = { Steady("lookup", 0.7 * aSite.Capacity(), kShortWork) };
  plan.m_slowness = [](int aServer, Duration aAt) {
    bool isSlow = aAt > Seconds(15) && aAt < Seconds(20);
    if (aServer == 0 && aAt < Seconds(10)) {
      return -1.0;
    }
    return isSlow ? 10.0 : 1.0;
  };
  SimResult today = BilberrySim(plan).Run();
  SimResult baseline = RunBaseline(plan);
  aReport.Add(aSite,
              "retries: part of first tries",
              0.0,
              double(today.m_retries) / double(today.m_firstTries),
              0.1,
              true);
  auto lost = [](const SimResult& aResult) {
    const ClassResult& result = aResult.m_classes.at("lookup");
    return double(result.m_unknown) / double(result.m_offered);
  };
  // While one server of seven fails, a fair share of a third of the run.
  aReport.Add(aSite,
              "failing server: requests lost, part of all",
              lost(baseline),
              lost(today),
              1.1 / kServers / 3,
              true);
}

void
MeasurePlannedChanges(const Site& aSite, uint64_t aSeed, Report& aReport)
{
  SimPlan plan = PlanFor(aSite, aSeed);
  plan.m_length = Seconds(30);
  const std::string urgent = aSite.m_service.m_classes[0].m_name;
  plan.m_load = { Steady(urgent, 0.1 * aSite.Capacity(), kShortWork),
                  Steady("lookup", 0.4 * aSite.Capacity(), kShortWork) };
  plan.m_onSecond = [](BilberrySim& aSim, Duration aAt) {
    switch (aAt / Seconds(1)) {
      case 5:
        return aSim.Drain(0);
      case 10:
        return aSim.Join();
      case 15:
        return aSim.ChangeConfig();
      case 20:
        return aSim.Drain(1);
      default:
        return;
    }
  };
  SimResult today = BilberrySim(plan).Run();
  uint64_t refused = 0;
  for (const auto& [name, result] : today.m_classes) {
    refused += result.m_notRun + result.m_unknown;
  }
  aReport.Add(aSite,
              "planned changes: broken flows",
              0.0,
              double(today.m_brokenFlows),
              0.0,
              true);
  aReport.Add(aSite,
              "planned changes: requests refused",
              0.0,
              double(refused),
              0.0,
              true);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  if (sodium_init() < 0) {
    return 1;
  }
  uint64_t seed = aArgumentCount > 1 ? std::stoull(aArguments[1]) : 1;
  Report report(seed);
  for (const Site& site : { Bibliobus(), Siracusa() }) {
    MeasurePlannedChanges(site, seed, report);
    MeasureImbalance(site, seed, report);
    MeasureCrest(site, seed, report);
    MeasureHeadOfLine(site, seed, report);
    MeasureStarvation(site, seed, report);
    MeasureRetries(site, seed, report);
  }
  report.PrintJson();
}
