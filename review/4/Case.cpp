// A server starts while the clock of its machine is ahead, and starts again
// after the clock has jumped back. Later it says that it is draining.
#include "Deployment.h"

using namespace review;

namespace {

constexpr int kClockAheadMs = 2400; // x of clock_step
constexpr int kFirstLifeMs = 1200;
constexpr int kDownMs = 300;
constexpr int kOpenEveryMs = 20;
constexpr size_t kAnswerBytes = 2000;
constexpr int kDrainMs = 3000;
constexpr int kSlackMs = 200;
constexpr int kStayMs = 9000; // "a little longer (at times many seconds)"

// Clients open a flow for each request.
void
KeepOpening(Deployment& deployment, Caller& caller)
{
  caller.Open(kAnswerBytes,
              [&](Caller::Flow& flow) { caller.Close(flow.key); });
  deployment.Events().After(milliseconds(kOpenEveryMs),
                            [&] { KeepOpening(deployment, caller); });
}

int
Play(Deployment& deployment)
{
  Record& record = deployment.Log();
  Loop& loop = deployment.Events();
  int ahead = HasTrouble() ? kClockAheadMs : 0;
  deployment.CrashServer(0);
  Sleep(4000);
  record.Add("the clock of the server's machine is ahead by " +
             std::to_string(ahead) + " ms");
  deployment.StartServer(0, ahead);
  Sleep(kFirstLifeMs);
  record.Add("the clock of the server's machine is right again");
  deployment.CrashServer(0);
  Sleep(kDownMs);
  deployment.StartServer(0);
  Sleep(100);

  Caller& caller = deployment.AddCaller(0, 0);
  loop.Post([&] { KeepOpening(deployment, caller); });
  Sleep(12'000);

  FlowServer& server = deployment.Server(0);
  record.Add("server " + server.Options().id + " says that it is draining");
  server.Drain();
  Sleep(kStayMs);
  deployment.RecordLogs("\"event\":\"heartbeat\"");
  std::optional<TimePoint> acknowledged = server.DrainingAcknowledgedAt();
  if (!acknowledged) {
    record.Add("that the server is draining was not acknowledged");
    return kNotRun;
  }
  return loop.Call([&] {
    TimePoint bound = *acknowledged + milliseconds(kDrainMs + kSlackMs);
    int early = 0;
    int late = 0;
    for (TimePoint at : server.Arrivals()) {
      early += at < *acknowledged ? 1 : 0;
      late += at > bound ? 1 : 0;
    }
    record.Add("new flows at the server before it was draining: " +
               std::to_string(early) + ", later than drain-ms + slack-ms " +
               "after the acknowledgement: " + std::to_string(late));
    return early == 0 ? kNotRun : late > 0 ? kBroken : kHeld;
  });
}

} // namespace

int
main(int, char** arguments)
{
  DeploymentOptions options;
  options.groups = { { "circulation", 3 }, { "jackets", 1 } };
  return RunCase(options,
                 { "circulation", "jackets" },
                 arguments[1],
                 [](Deployment& d) { return Play(d); });
}
