#pragma once

#include "AgentCore.h"
#include "BalancerCore.h"

#include <functional>
#include <queue>

namespace bilberryfield {

/** One class of the load: how often it arrives and how long it works. */
struct LoadClass
{
  std::string m_name;
  /** Arrivals per second at a time. */
  std::function<double(Duration aAt)> m_rate;
  /** Mean service time; single times are drawn exponentially. */
  Duration m_meanWork;
  /** True for work of a fixed length. */
  bool m_isFixed = false;
};

/** One run: servers, load and what goes wrong. */
struct SimPlan
{
  int m_servers = 7;
  uint32_t m_slots = 4;
  ServiceConfig m_service;
  std::vector<LoadClass> m_load;
  Duration m_length = Seconds(20);
  /** Factor on the work of a server at a time; negative: the work is lost. */
  std::function<double(int aServer, Duration aAt)> m_slowness =
    [](int, Duration) { return 1.0; };
  /** Load report of a server as balancers see it. */
  std::function<LoadReport(int aServer, LoadReport aTrue)> m_report =
    [](int, LoadReport aTrue) { return aTrue; };
  /** Called once a virtual second: planned changes go here. */
  std::function<void(class BilberrySim&, Duration aAt)> m_onSecond;
  uint64_t m_seed = 1;
};

/** How the requests of one class ended. */
struct ClassResult
{
  uint64_t m_offered = 0;
  /** Served before the deadline. */
  uint64_t m_inTime = 0;
  uint64_t m_late = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
  std::vector<double> m_latencyMs;
  /** Longest time from arrival to a refusal. */
  double m_slowestRefusalMs = 0.0;
};

/** What a run gave. */
struct SimResult
{
  std::map<std::string, ClassResult> m_classes;
  std::vector<uint64_t> m_startsByServer;
  /** Served in time, by the second of the arrival. */
  std::vector<double> m_inTimeBySecond;
  /** First tries, by the second of the arrival. */
  std::vector<double> m_offeredBySecond;
  uint64_t m_firstTries = 0;
  uint64_t m_retries = 0;
  /** Requests of flows that had a token, and were told "unknown". */
  uint64_t m_brokenFlows = 0;
};

/** The project's policy: real balancer and agent cores. */
class BilberrySim
{
public:
  explicit BilberrySim(SimPlan aPlan);
  SimResult Run();

  /** Planned changes, for SimPlan::m_onSecond. */
  void Drain(int aServer);
  void Join();
  void ReplaceBalancer();
  void ChangeConfig();

private:
  struct Job
  {
    size_t m_class = 0;
    TimePoint m_arrival;
    Duration m_work{};
    size_t m_flow = 0;
    uint32_t m_attempt = 1;
  };

  struct Flow
  {
    uint64_t m_number = 0;
    std::string m_token;
    uint64_t m_sequence = 0;
  };

  void At(TimePoint aTime, std::function<void()> aAction);
  void WakeOnce(TimePoint& aNext, TimePoint aAt, std::function<void()> aWake);
  void Arrive(size_t aClass);
  void Ask(uint64_t aId);
  void Decide(const BalancerEvent& aEvent);
  void DecideAgent(size_t aServer, const AgentEvent& aEvent);
  void StartAt(size_t aServer, const StartWork& aStart);
  void OnAnswer(uint64_t aId, const CallerAnswer& aAnswer);
  void AddServer();
  void TellMembers();
  MemberRecord RecordOf(size_t aServer) const;

  SimPlan m_plan;
  std::mt19937_64 m_random;
  TimePoint m_now{ Seconds(1) };
  TimePoint m_start{ Seconds(1) };
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::unique_ptr<BalancerCore> m_balancer;
  std::vector<std::unique_ptr<AgentCore>> m_agents;
  std::vector<bool> m_isDraining;
  TimePoint m_balancerWake = TimePoint::max();
  std::deque<TimePoint> m_agentWakes;
  ConfigState m_config;
  std::vector<Flow> m_flows;
  std::unordered_map<uint64_t, Job> m_jobs;
  uint64_t m_nextJob = 1;
  uint64_t m_nextFlow = 1;
  uint64_t m_balancerStarts = 0;
  SimResult m_result;
};

/** The baseline: round robin, one FIFO queue a server, no limits. */
SimResult
RunBaseline(const SimPlan& aPlan);

/** Value at a fraction of the sorted values; 0 when there are none. */
double
PercentileOf(std::vector<double> aValues, double aFraction);

} // namespace bilberryfield
