// A balancer freezes for some seconds, again and again. Flows that are opened
// meanwhile get their last SYN to another balancer, and the frozen one places
// the earlier SYN at a second server when it wakes. The flows are used again
// once all machines are in touch.
#include "Deployment.h"

using namespace review;

namespace {

constexpr int kCycles = 9;
constexpr int kFreezeMs = 3500;  // for_s of node_freeze
constexpr int kOpenFromMs = 300; // after the begin of a freeze
constexpr int kOpenUntilMs = 1500;
constexpr int kOpenEveryMs = 2;
constexpr int kPauseMs = 8000; // before a flow's second request
constexpr int kCycleMs = 11'000;
constexpr int kStableWindowMs = 4000;
constexpr size_t kAnswerBytes = 600;

void
OpenFlow(Deployment& deployment, Caller& caller)
{
  caller.Open(kAnswerBytes, [&](Caller::Flow& flow) {
    deployment.Events().After(milliseconds(kPauseMs), [&, key = flow.key] {
      caller.Ask(
        key, kAnswerBytes, [&](Caller::Flow& last) { caller.Close(last.key); });
    });
  });
}

int
Play(Deployment& deployment)
{
  Record& record = deployment.Log();
  Loop& loop = deployment.Events();
  Caller& caller = deployment.AddCaller(0, 0);
  std::vector<TimePoint> wakes;
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    Daemon& balancer = deployment.Balancer(cycle % 3);
    auto begin = Clock::now();
    auto until = [&](int ms) {
      std::this_thread::sleep_until(begin + milliseconds(ms));
    };
    if (HasTrouble()) {
      record.Add("platform: " + balancer.Name() + " freezes");
      balancer.Signal(SIGSTOP);
    }
    for (int ms = kOpenFromMs; ms < kOpenUntilMs; ms += kOpenEveryMs) {
      until(ms);
      loop.Post([&] { OpenFlow(deployment, caller); });
    }
    until(kFreezeMs);
    if (HasTrouble()) {
      balancer.Signal(SIGCONT);
      wakes.push_back(Clock::now());
      record.Add("platform: " + balancer.Name() + " wakes");
    }
    until(kCycleMs);
  }
  deployment.RecordLogs("\"event\":\"flow-reset\"", 400);
  return loop.Call([&] {
    int used = 0;
    int broken = 0;
    for (const auto& [key, flow] : caller.Flows()) {
      used += flow.requests > 1 ? 1 : 0;
      bool isInTouch = true;
      for (TimePoint wake : wakes) {
        isInTouch &= flow.endedAt < wake - milliseconds(kFreezeMs) ||
                     flow.endedAt > wake + milliseconds(kStableWindowMs);
      }
      broken += flow.isBroken && isInTouch ? 1 : 0;
    }
    record.Add("flows with a second request: " + std::to_string(used) +
               ", open at their server and reset by the system while all "
               "machines were in touch: " +
               std::to_string(broken));
    return used == 0 ? kNotRun : broken > 0 ? kBroken : kHeld;
  });
}

} // namespace

int
main(int, char** arguments)
{
  DeploymentOptions options;
  options.groups = { { "circulation", 10 }, { "jackets", 1 } };
  options.workMs = 4;
  return RunCase(options,
                 { "circulation", "jackets" },
                 arguments[1],
                 [](Deployment& d) { return Play(d); });
}
