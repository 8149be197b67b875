#include "FakeSystem.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>

using namespace bilberryfield;

namespace {

/** A recorded run and the counts that its replay must give. */
struct Trace
{
  std::string m_name;
  std::vector<FakeAction> m_actions;
  uint64_t m_served = 0;
  uint64_t m_started = 0;
};

Trace
ReadTrace(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  nlohmann::json document = nlohmann::json::parse(file);
  Trace trace;
  trace.m_name = aPath.stem().string();
  trace.m_served = document.at("served");
  trace.m_started = document.at("started");
  for (const auto& step : document.at("steps")) {
    auto kind = ValueOf(kFakeActionKindNames, step.at(0).get<std::string>());
    cr_assert(kind.has_value(), "%s: unknown step kind", trace.m_name.c_str());
    trace.m_actions.push_back({ *kind, step.at(1), step.at(2) });
  }
  return trace;
}

} // namespace

Test(Traces, ReplayToTheRecordedCounts)
{
  size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(BILBERRY_TRACES)) {
    Trace trace = ReadTrace(entry.path());
    FakeSystem system;
    for (const FakeAction& action : trace.m_actions) {
      system.Perform(action, {});
    }
    system.RunUntilIdle();
    cr_expect(system.ServedCount() == trace.m_served &&
                system.RunCount() == trace.m_started,
              "%s: served %lu, started %lu",
              trace.m_name.c_str(),
              system.ServedCount(),
              system.RunCount());
    ++count;
  }
  cr_assert(count > 0);
}
