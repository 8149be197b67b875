// Case 6: a balancer restarts while the address of a lost server goes to a
// server of another service.
#include "Stage.h"

using namespace stage;

namespace {

constexpr int kFronts = 6;
/** Balancers that are killed and start again, one after the other. */
constexpr int kKilled = 3;
constexpr double kKillGapMs = 40;
constexpr int kDesks = 8;
/** Servers that are lost, on the first side VMs; a quarter of the service. */
constexpr int kLost = 2;
constexpr int kArchive = kDesks;
/** Time from the readiness of the balancers to the first request. */
constexpr double kSettleMs = 3000;
constexpr double kLossMs = 2000;
/** The pages' reuse-after-s is 2. */
constexpr double kReuseMs = kLossMs + 2500;
/** Start of the VMs with the new servers after the first balancer is killed. */
constexpr double kVmAfterKillMs[kLost] = { 100, 160 };
/** Start of a new server after that of its agent. */
constexpr double kServerAfterAgentMs = 70;
constexpr double kEndMs = kReuseMs + 3000;

const Endpoint kDeskRoute{ Ip(74, 1), 443 };
const Endpoint kArchiveRoute{ Ip(74, 2), 443 };

Server::Options
ServerOptions(const string& aName, const string& aService, int aSide)
{
  Server::Options options;
  options.m_name = aName;
  options.m_id = "i-" + aName;
  options.m_service = aService;
  options.m_zone = "laval";
  options.m_side = aSide;
  options.m_slots = 4;
  options.m_workMs = 15;
  return options;
}

int
Play()
{
  Deployment deployment;
  deployment.PlatformStore().WriteConfig(
    ConfigText(7,
               { RouteText("desk", kDeskRoute, "desk"),
                 RouteText("archive", kArchiveRoute, "archive") }));
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i <= kDesks; ++i) {
    string service = i == kArchive ? "archive" : "desk";
    deployment.StartSide(i, service, "laval");
    servers.push_back(std::make_unique<Server>(
      deployment, ServerOptions(service + std::to_string(i), service, i)));
    if (!servers.back()->IsBound()) {
      return kCouldNotRun;
    }
  }
  for (int i = 0; i < kFronts; ++i) {
    deployment.StartFront(i, kFronts, "laval");
  }
  Callers callers(deployment, kFronts);
  if (!callers.WaitForReady(kFronts, 10'000)) {
    Record::Line("the balancers did not become ready");
    return kCouldNotRun;
  }
  Sleep(kSettleMs);
  double begin = Now();
  callers.SetRate(kDeskRoute, 500);
  callers.SetRate(kArchiveRoute, 20);

  SleepUntil(begin + kLossMs);
  for (int i = 0; i < kLost; ++i) {
    Record::Line("server desk%d and its VM are lost for good", i);
    deployment.Kill("side-" + std::to_string(i));
    servers[i].reset();
  }

  SleepUntil(begin + kReuseMs);
  std::vector<std::thread> kills;
  if (HasTrouble()) {
    for (int i = 0; i < kKilled; ++i) {
      kills.emplace_back([&, i] {
        SleepUntil(begin + kReuseMs + i * kKillGapMs);
        deployment.Kill("front-" + std::to_string(i));
        deployment.StartFront(i, kFronts, "laval");
      });
    }
  }
  std::vector<std::thread> starts;
  for (int i = 0; i < kLost; ++i) {
    starts.emplace_back([&, i] {
      SleepUntil(begin + kReuseMs + kVmAfterKillMs[i]);
      Record::Line("the address of desk%d goes to a server of archive", i);
      deployment.StartSide(i, "archive", "laval");
      Sleep(kServerAfterAgentMs);
      servers[i] = std::make_unique<Server>(
        deployment,
        ServerOptions("archive-new" + std::to_string(i), "archive", i));
    });
  }
  for (std::vector<std::thread>* threads : { &kills, &starts }) {
    for (std::thread& thread : *threads) {
      thread.join();
    }
  }

  SleepUntil(begin + kEndMs);
  callers.SetRate(kDeskRoute, 0);
  callers.SetRate(kArchiveRoute, 0);
  Sleep(2000);

  std::map<string, int> ends;
  for (const Try& one : callers.Tries()) {
    ends[one.m_end] += 1;
  }
  for (const auto& [end, count] : ends) {
    Record::Line("%d requests: %s", count, end.c_str());
  }
  if (ends["answered"] == 0) {
    return kCouldNotRun;
  }
  int wrong = 0;
  for (const RunRequest& run : Server::Runs()) {
    bool isDeskRoute = run.m_route == Text(kDeskRoute);
    if (isDeskRoute != (run.m_service == "desk")) {
      wrong += 1;
      Record::Line("BROKEN: %s of route %s was run by %s, a server of %s",
                   run.m_id.c_str(),
                   run.m_route.c_str(),
                   run.m_server.c_str(),
                   run.m_service.c_str());
    }
  }
  Record::Line("%d requests were run by a service that their route never had",
               wrong);
  return wrong > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Record::Open(aCount > 1 ? aArguments[1] : "record.txt");
  int verdict = Play();
  Record::Line("exit code %d", verdict);
  fflush(nullptr);
  _exit(verdict);
}
