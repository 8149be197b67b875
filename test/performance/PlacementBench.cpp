// Plays load on balancers, agents and servers in virtual time and prints what
// callers get: for operators who want to know how a deployment of theirs would
// do, and for changes of the placement. Prints one JSON line for each load.

#include "FakeFlowNet.h"
#include "Figures.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(uint64_t, seed, 1, "Seed of arrivals and placement.");
ABSL_FLAG(int, domains, 3, "Failure domains.");
ABSL_FLAG(int, balancers, 21, "Balancers, spread over the domains.");
ABSL_FLAG(int, servers, 45, "Backend servers, spread over the domains.");
ABSL_FLAG(int, slots, 2, "Requests that a server runs at a time.");
ABSL_FLAG(int, work_ms, 26, "Time that a request takes.");
ABSL_FLAG(int, seconds, 10, "Time for which flows are opened.");
ABSL_FLAG(std::vector<std::string>,
          loads,
          std::vector<std::string>({ "50", "70", "85", "95", "110" }),
          "Loads to play, in percent of what the servers can run.");

namespace {

using namespace bilberryfield;

const Endpoint kService{ 0xC6120001, 443 };

std::string
DomainOf(int aIndex)
{
  return "domain-" + std::to_string(aIndex % absl::GetFlag(FLAGS_domains));
}

double
TimeAt(const std::vector<Duration>& aSorted, double aPart)
{
  auto index = static_cast<size_t>(aPart * double(aSorted.size() - 1));
  return double(aSorted[index].count()) / 1000;
}

void
Play(double aLoad)
{
  FakeFlowNet net(absl::GetFlag(FLAGS_seed));
  for (int i = 0; i < absl::GetFlag(FLAGS_balancers); ++i) {
    net.AddBalancer(DomainOf(i));
  }
  for (int i = 0; i < absl::GetFlag(FLAGS_servers); ++i) {
    net.AddServer("service",
                  DomainOf(i),
                  static_cast<uint32_t>(absl::GetFlag(FLAGS_slots)));
  }
  net.SetRoutes({ { "route", kService, { { "service", 1 } }, 1, {} } });
  net.m_requestTime = Milliseconds(absl::GetFlag(FLAGS_work_ms));
  net.m_serverQueue = 1000;
  net.RunFor(Seconds(2));
  double perSecond = aLoad / 100 * absl::GetFlag(FLAGS_servers) *
                     absl::GetFlag(FLAGS_slots) * 1000 /
                     absl::GetFlag(FLAGS_work_ms);
  std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
  std::exponential_distribution<double> gap(perSecond / 1e6);
  TimePoint end = net.Now() + Seconds(absl::GetFlag(FLAGS_seconds));
  while (net.Now() < end) {
    net.RunFor(Duration(static_cast<int64_t>(gap(random))));
    net.OpenFlow(kService);
  }
  net.RunFor(Seconds(5));
  std::vector<Duration> times;
  for (const FakeFlow& flow : net.Flows()) {
    if (flow.m_state == FlowState::Answered) {
      times.push_back(flow.m_answeredAt - flow.m_openedAt);
    }
  }
  std::sort(times.begin(), times.end());
  if (times.empty()) {
    std::cerr << "no flow was answered\n";
    return;
  }
  double flows = static_cast<double>(net.Flows().size());
  nlohmann::json at = { { "load_percent", aLoad } };
  Print("flows a second", at, perSecond, "");
  Print("part answered", at, double(times.size()) / flows, "");
  Print("time to the answer, half of the flows", at, TimeAt(times, 0.5), "ms");
  Print("time to the answer, 99 of 100", at, TimeAt(times, 0.99), "ms");
  Print("packets handed back, for each flow",
        at,
        double(net.ReturnCount()) / flows,
        "");
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  for (const std::string& load : absl::GetFlag(FLAGS_loads)) {
    Play(std::stod(load));
  }
}
