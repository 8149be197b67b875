// The number of flows that a server gets at a time after a start or recovery.

#include "FakeFlowNet.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kSlots = 4;
constexpr uint32_t kFullLimit = kSlots + 1;
const TimePoint kStart{ Seconds(100) };

/** Answers of aTime until the ramp ends, at most 100. */
int
AnswersUntilFull(ServerPace& aPace, Duration aTime)
{
  int answers = 0;
  while (aPace.IsRamping() && answers < 100) {
    aPace.OnAnswer(aTime, kFullLimit);
    answers += 1;
  }
  return answers;
}

/** Two balancers and servers of "desk". */
struct RampCluster
{
  FakeFlowNet m_net{ 5 };
  std::vector<uint32_t> m_servers;

  RampCluster(size_t aServers, PaceMode aPace, uint32_t aSlots = kSlots)
  {
    m_net.AddBalancer("a");
    m_net.AddBalancer("a");
    m_net.m_startup.m_pace = aPace;
    m_net.m_warmups["desk"] = { 0, Seconds(2) };
    m_net.m_requestTime = Milliseconds(30);
    m_net.m_callerDelay = Milliseconds(5);
    for (size_t i = 0; i < aServers; ++i) {
      m_servers.push_back(m_net.AddServer("desk", "a", aSlots));
    }
    m_net.SetRoutes({ DeskRoutes()->m_routes.at(kDeskAddress) });
    m_net.RunFor(Seconds(2));
  }

  void Arrive(int aPerSecond, Duration aTime)
  {
    Duration gap = Duration(Seconds(1)) / aPerSecond;
    for (Duration elapsed{ 0 }; elapsed < aTime; elapsed += gap) {
      m_net.OpenFlow(kDeskAddress);
      m_net.RunFor(gap);
    }
  }

  size_t FlowsAt(uint32_t aServer, TimePoint aSince, Duration aTime) const
  {
    auto times = m_net.FlowTimesAt(aServer);
    return static_cast<size_t>(
      std::count_if(times.begin(), times.end(), [&](TimePoint aAt) {
        return aAt >= aSince && aAt < aSince + aTime;
      }));
  }

  /** Callers since number aFirst that were not answered within aLimit. */
  size_t LateSince(size_t aFirst, Duration aLimit) const
  {
    size_t late = 0;
    for (size_t i = aFirst; i < m_net.Flows().size(); ++i) {
      const FakeFlow& flow = m_net.Flow(i);
      bool isInTime = flow.m_state == FlowState::Answered &&
                      flow.m_answeredAt - flow.m_openedAt <= aLimit;
      late += isInTime ? 0 : 1;
    }
    return late;
  }
};

struct SlowStart
{
  size_t m_late = 0;
  size_t m_flows = 0;
};

// One of four servers restarts and needs 300 ms per request for 2 s.
SlowStart
PlaySlowStart(PaceMode aPace)
{
  RampCluster cluster(4, aPace);
  cluster.Arrive(200, Seconds(1));
  cluster.m_net.m_coldRequestTime = Milliseconds(300);
  cluster.m_net.StartCold(cluster.m_servers[0], Seconds(2));
  size_t first = cluster.m_net.Flows().size();
  TimePoint since = cluster.m_net.Now();
  cluster.Arrive(200, Seconds(2));
  cluster.m_net.RunFor(Seconds(2));
  return { cluster.LateSince(first, Milliseconds(150)),
           cluster.FlowsAt(cluster.m_servers[0], since, Seconds(2)) };
}

struct HealthyStart
{
  size_t m_late = 0;
  std::vector<ServerSecond> m_seconds;
};

// One of three servers restarts and is as fast as before. The load is nearly
// what two servers can handle.
HealthyStart
PlayHealthyStart(PaceMode aPace)
{
  RampCluster cluster(3, aPace);
  ServerStartup& startup =
    cluster.m_net.AgentAt(cluster.m_servers[0]).Startup();
  cluster.Arrive(250, Seconds(1));
  startup.TakeFirstSeconds();
  cluster.m_net.StartCold(cluster.m_servers[0], Seconds(2));
  size_t first = cluster.m_net.Flows().size();
  cluster.Arrive(250, Seconds(2));
  cluster.m_net.RunFor(Seconds(2));
  return { cluster.LateSince(first, Milliseconds(150)),
           startup.TakeFirstSeconds() };
}

} // namespace

Test(ServerRamps, DoublePerRoundOfResponsesInGoodTime)
{
  ServerPace pace;
  pace.Begin(kStart, false);
  cr_assert_eq(pace.Limit(), 1);
  cr_assert_eq(AnswersUntilFull(pace, Milliseconds(30)), 4);
}

// A server that is slower with each further flow is overloaded.
Test(ServerRamps, DoNotGrowOnLateResponses)
{
  ServerPace pace;
  pace.Begin(kStart, false);
  pace.OnAnswer(Milliseconds(30), kFullLimit);
  pace.OnAnswer(Milliseconds(100), kFullLimit);
  cr_assert_eq(pace.Limit(), 2);
}

Test(ServerRamps, GrowSlowlyAfterThreeFailures)
{
  ServerPace pace;
  for (int i = 0; i < 3; ++i) {
    pace.Begin(kStart + Seconds(i), true);
  }
  // 1 + 2 + 3 + 4 answers for the limits 2, 3, 4 and 5.
  cr_assert_eq(AnswersUntilFull(pace, Milliseconds(30)), 10);
  pace.Begin(kStart + Seconds(40), true);
  cr_assert_eq(AnswersUntilFull(pace, Milliseconds(30)), 4);
}

// SYN packets that were sent together fail together.
Test(ServerRamps, CountRefusalsOfOneRoundAsOneFailure)
{
  ServerStartup startup({ {}, 0, PaceMode::Always }, kStart);
  startup.OnHeartbeat(kStart, HeartbeatResult::NewIncarnation, {}, false);
  TimePoint sent = kStart + Milliseconds(1);
  TimePoint refused = kStart + Milliseconds(2);
  startup.OnAnswer(sent, sent, Milliseconds(9), Milliseconds(9), kFullLimit);
  cr_assert_eq(startup.RampLimit(), 2);
  for (int i = 0; i < 3; ++i) {
    startup.OnRefused(refused, sent);
  }
  cr_assert_eq(startup.RampLimit(), 1);
  cr_assert_eq(startup.RampCount(RampReason::Refused), 1);
}

// With a round trip of 8 ms and answers of 30 ms, three rounds of responses
// have to suffice.
Test(ServerRamps, LeaveNoHealthyServerIdle)
{
  RampCluster cluster(1, PaceMode::Configured);
  uint32_t server = cluster.m_servers[0];
  cluster.m_net.StartCold(server, Seconds(2));
  ServerStartup& startup = cluster.m_net.AgentAt(server).Startup();
  cr_assert_eq(startup.RampLimit(), 1);
  size_t earlier = cluster.m_net.FlowTimesAt(server).size();
  cluster.Arrive(200, Milliseconds(10));
  while (startup.RampLimit() > 0) {
    cluster.Arrive(200, Milliseconds(5));
  }
  TimePoint first = cluster.m_net.FlowTimesAt(server)[earlier];
  Duration time = cluster.m_net.Now() - first;
  cr_assert_leq(time, Milliseconds(150), "%ld ms", ToMilliseconds(time));
}

Test(ServerRamps, CostCallersOfAHealthyServerNothing)
{
  HealthyStart off = PlayHealthyStart(PaceMode::Off);
  HealthyStart on = PlayHealthyStart(PaceMode::Configured);
  printf("healthy: late off %zu on %zu of 500; busy off %.3f on %.3f\n",
         off.m_late,
         on.m_late,
         off.m_seconds.at(0).MeanBusyShare(),
         on.m_seconds.at(0).MeanBusyShare());
  cr_assert_leq(on.m_late, off.m_late);
  cr_assert_geq(on.m_seconds.at(0).MeanBusyShare(),
                0.8 * off.m_seconds.at(0).MeanBusyShare());
}

Test(ServerRamps, KeepCallersFromASlowServer)
{
  SlowStart off = PlaySlowStart(PaceMode::Off);
  SlowStart on = PlaySlowStart(PaceMode::Configured);
  printf("slow: late off %zu on %zu of 400; flows off %zu on %zu\n",
         off.m_late,
         on.m_late,
         off.m_flows,
         on.m_flows);
  cr_assert_leq(2 * on.m_late, off.m_late);
  cr_assert_gt(on.m_flows, 0);
}

// A server that crashes under load must not get the full load at once each
// time.
Test(ServerRamps, AreSlowForAFlappingServer)
{
  RampCluster cluster(2, PaceMode::Configured, 16);
  uint32_t server = cluster.m_servers[0];
  std::vector<size_t> flows;
  for (int i = 0; i < 4; ++i) {
    cluster.m_net.StartCold(server, Seconds(2));
    TimePoint since = cluster.m_net.Now();
    cluster.Arrive(1000, Milliseconds(800));
    flows.push_back(cluster.FlowsAt(server, since, Milliseconds(200)));
    cluster.m_net.HangServer(server);
    cluster.Arrive(100, Milliseconds(500));
  }
  cr_assert_leq(3 * flows[3],
                2 * flows[0],
                "%zu and %zu flows in 200 ms",
                flows[0],
                flows[3]);
}

// A server that hangs keeps its flows; a burst when it returns would make it
// hang again.
Test(ServerRamps, FollowARecovery)
{
  FlowAgentOptions options;
  options.m_service = "desk";
  options.m_startup.m_pace = PaceMode::Always;
  FlowAgent agent(options, kStart);
  TimePoint now = kStart;
  agent.OnHeartbeat(now, { "s", 1, 7, "desk", {}, kSlots, false, {} });
  cr_assert_eq(agent.Startup().RampLimit(), 0, "agent started beside a server");
  agent.OnBalancerPacket(now, SynPacket(), {}, 7);
  for (; now < kStart + Milliseconds(900); now += FlowAgent::kTick) {
    agent.OnTick(now);
    agent.TakeUnansweredSyns(now);
  }
  cr_assert_eq(agent.Condition(now), ServerCondition::Silent);
  agent.OnHeartbeat(now, { "s", 1, 8, "desk", {}, kSlots, false, {} });
  cr_assert_eq(agent.Startup().RampCount(RampReason::Recovered), 1);
  cr_assert_eq(agent.Load(now).m_slots, 1);
}

// At the start of a VM the server's first heartbeat comes before any balancer's
// subscription.
Test(ServerRamps, BeginWhenABalancerTellsOfTheWarmup)
{
  ServerStartup startup({}, kStart);
  startup.OnHeartbeat(kStart, HeartbeatResult::NewIncarnation, {}, false);
  cr_assert_eq(startup.RampLimit(), 0);
  Subscribe message;
  message.m_routes.m_version = 1;
  message.m_hasWarmup = true;
  startup.OnSubscribe(kStart, message);
  startup.OnSubscribe(kStart, message);
  cr_assert_eq(startup.RampLimit(), 1);
  cr_assert_eq(startup.TakeRampEvents().size(), 1);
  cr_assert_eq(startup.RampCount(RampReason::Start), 1);
}

// The short answer times of the earlier incarnation would hide that a server is
// slow after its restart, and its lost requests would look like load.
Test(ServerRamps, StartMeansAndLoadAnew)
{
  RampCluster cluster(1, PaceMode::Configured);
  uint32_t server = cluster.m_servers[0];
  cluster.Arrive(100, Seconds(1));
  cluster.m_net.m_requestTime = Milliseconds(300);
  cluster.Arrive(100, Milliseconds(100));
  FlowAgent& agent = cluster.m_net.AgentAt(server);
  cr_assert_geq(agent.BusyFlows(), kSlots);
  cluster.m_net.SetRotation({});
  cluster.m_net.RunFor(Milliseconds(20));
  cluster.m_net.StartCold(server, Seconds(2));
  cr_assert_eq(agent.BusyFlows(), 0, "%u busy", agent.BusyFlows());
  DueReports due = agent.OnTick(cluster.m_net.Now());
  cr_assert_eq(due.m_load.m_answerUs, 0);
}
