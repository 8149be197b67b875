// A route is moved to another service. Flows that are open stay with their
// servers. Then the balancers are stopped and started in turn, as in roll_term.
#include "Deployment.h"

using namespace review;

namespace {

constexpr int kFlows = 60;
constexpr size_t kAnswerBytes = 2000;
constexpr int kPauseMs = 500; // between two requests on a flow
constexpr int kDownMs = 500;
constexpr int kGapMs = 1300; // gap_s of roll_term
constexpr int kMaxFlowMs = 60'000;

// Sends requests on a flow, with pauses, until the client stops.
void
KeepAsking(Deployment& deployment, Caller& caller, const FlowKey& key)
{
  deployment.Events().After(milliseconds(kPauseMs), [&, key] {
    caller.Ask(key, kAnswerBytes, [&](Caller::Flow& flow) {
      KeepAsking(deployment, caller, flow.key);
    });
  });
}

int
Play(Deployment& deployment)
{
  Record& record = deployment.Log();
  Loop& loop = deployment.Events();
  Caller& caller = deployment.AddCaller(0, 0);
  auto started = Clock::now();
  for (int i = 0; i < kFlows; ++i) {
    loop.Post([&] {
      caller.Open(kAnswerBytes, [&](Caller::Flow& flow) {
        KeepAsking(deployment, caller, flow.key);
      });
    });
    Sleep(20);
  }
  Sleep(3000);

  deployment.Configure({ "circulation-next", "jackets" });
  Sleep(6000);
  int open = loop.Call([&] {
    int count = 0;
    for (const auto& [key, flow] : caller.Flows()) {
      bool isServed = flow.end == FlowEnd::None && deployment.HasOpen(key);
      count += isServed ? 1 : 0;
    }
    return count;
  });
  record.Add("open flows after the change: " + std::to_string(open) + " of " +
             std::to_string(kFlows));
  if (open < kFlows) {
    return kNotRun;
  }

  if (HasTrouble()) {
    for (int i = 0; i < 3; ++i) {
      deployment.Roll(deployment.Balancer(i), kDownMs);
      Sleep(kGapMs);
    }
  } else {
    Sleep(15'000);
  }
  Sleep(4000);

  return loop.Call([&] {
    int broken = 0;
    for (const auto& [key, flow] : caller.Flows()) {
      bool isYoung = flow.endedAt - started < milliseconds(kMaxFlowMs);
      broken += flow.isBroken && isYoung ? 1 : 0;
    }
    record.Add("flows open at their server that the client saw reset by the "
               "system: " +
               std::to_string(broken) + " of " + std::to_string(kFlows));
    return broken > 0 ? kBroken : kHeld;
  });
}

} // namespace

int
main(int, char** arguments)
{
  DeploymentOptions options;
  options.groups = { { "circulation", 3 },
                     { "circulation-next", 2 },
                     { "jackets", 1 } };
  return RunCase(options,
                 { "circulation", "jackets" },
                 arguments[1],
                 [](Deployment& deployment) { return Play(deployment); });
}
