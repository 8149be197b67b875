#include "PolicySim.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr Duration kNetwork = Duration(500);
constexpr size_t kFlows = 400;
constexpr double kFlowEnds = 0.2;

double
ToMs(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1000.0;
}

Duration
DrawWork(const LoadClass& aClass, std::mt19937_64& aRandom)
{
  if (aClass.m_isFixed) {
    return aClass.m_meanWork;
  }
  std::exponential_distribution<double> draw(1.0);
  double mean = static_cast<double>(aClass.m_meanWork.count());
  return Duration(static_cast<int64_t>(draw(aRandom) * mean) + 1);
}

// Time to the next arrival of a class; a class without arrivals now is looked
// at again soon.
Duration
DrawGap(const LoadClass& aClass, Duration aAt, std::mt19937_64& aRandom)
{
  double rate = aClass.m_rate(aAt);
  if (rate <= 0.0) {
    return Milliseconds(50);
  }
  std::exponential_distribution<double> draw(rate);
  return Duration(static_cast<int64_t>(draw(aRandom) * 1e6) + 1);
}

void
RecordOffered(SimResult& aResult,
              const std::string& aClass,
              Duration aSinceStart)
{
  aResult.m_classes[aClass].m_offered += 1;
  aResult.m_firstTries += 1;
  aResult.m_offeredBySecond[static_cast<size_t>(aSinceStart / Seconds(1))] += 1;
}

void
RecordServed(SimResult& aResult,
             ClassResult& aClass,
             Duration aSinceStart,
             Duration aLatency,
             Duration aDeadline)
{
  aClass.m_latencyMs.push_back(ToMs(aLatency));
  if (aLatency > aDeadline) {
    aClass.m_late += 1;
    return;
  }
  aClass.m_inTime += 1;
  auto second = static_cast<size_t>(aSinceStart / Seconds(1));
  if (second < aResult.m_inTimeBySecond.size()) {
    aResult.m_inTimeBySecond[second] += 1;
  }
}

} // namespace

double
PercentileOf(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<size_t>(aFraction *
                                     static_cast<double>(aValues.size() - 1))];
}

BilberrySim::BilberrySim(SimPlan aPlan)
  : m_plan(std::move(aPlan))
  , m_random(m_plan.m_seed)
  , m_flows(kFlows)
{
  ConfigDelta delta;
  delta.m_toVersion = 1;
  delta.m_keys = { MakeTokenKey(1, std::string(32, 'k')) };
  delta.m_entries = { { m_plan.m_service, 1, false } };
  m_config.Apply(delta);
  for (int i = 0; i < m_plan.m_servers; ++i) {
    AddServer();
  }
  for (Flow& flow : m_flows) {
    flow.m_number = m_nextFlow++;
  }
  ReplaceBalancer();
  auto seconds = static_cast<size_t>(m_plan.m_length / Seconds(1));
  m_result.m_inTimeBySecond.resize(seconds);
  m_result.m_offeredBySecond.resize(seconds);
}

MemberRecord
BilberrySim::RecordOf(size_t aServer) const
{
  MemberRecord record;
  record.m_id = "server-" + std::to_string(aServer);
  record.m_address = "10.0.0.1:" + std::to_string(aServer + 1);
  record.m_labels = m_plan.m_service.m_labels;
  record.m_slots = m_plan.m_slots;
  record.m_incarnation = 1;
  record.m_state =
    m_isDraining[aServer] ? MemberState::Draining : MemberState::Alive;
  return record;
}

void
BilberrySim::AddServer()
{
  m_isDraining.push_back(false);
  MemberRecord record = RecordOf(m_agents.size());
  AgentOptions options;
  options.m_server = record.m_id;
  options.m_address = record.m_address;
  options.m_labels = record.m_labels;
  options.m_admission.m_slots = m_plan.m_slots;
  m_agents.push_back(std::make_unique<AgentCore>(options));
  m_agentWakes.push_back(TimePoint::max());
  m_result.m_startsByServer.push_back(0);
  m_agents.back()->OnEvent(m_now, AgentConfigChanged{ m_config.Current() });
}

void
BilberrySim::TellMembers()
{
  std::vector<MemberRecord> records;
  for (size_t i = 0; i < m_agents.size(); ++i) {
    records.push_back(RecordOf(i));
  }
  Decide(MembersChanged{ records });
}

void
BilberrySim::Drain(int aServer)
{
  auto server = static_cast<size_t>(aServer);
  m_isDraining[server] = true;
  DecideAgent(server, DrainChanged{ true });
  // The news reaches the balancers late.
  At(m_now + Seconds(1), [this] { TellMembers(); });
}

void
BilberrySim::Join()
{
  AddServer();
  TellMembers();
}

void
BilberrySim::ReplaceBalancer()
{
  // A planned replacement: the old balancer has finished its requests.
  m_balancer = std::make_unique<BalancerCore>(
    BalancerCore::Options{}, m_plan.m_seed + ++m_balancerStarts);
  Decide(ConfigChanged{ m_config.Current() });
  TellMembers();
}

void
BilberrySim::ChangeConfig()
{
  uint64_t version = m_config.Current()->m_version;
  ServiceConfig changed = m_plan.m_service;
  changed.m_flowLifetime += Seconds(static_cast<int64_t>(version));
  m_config.Apply({ version,
                   version + 1,
                   {},
                   {},
                   m_config.Current()->m_keys,
                   { { changed, version + 1, false } } });
  Decide(ConfigChanged{ m_config.Current() });
  for (size_t i = 0; i < m_agents.size(); ++i) {
    DecideAgent(i, AgentConfigChanged{ m_config.Current() });
  }
}

void
BilberrySim::At(TimePoint aTime, std::function<void()> aAction)
{
  m_events.emplace(aTime, std::move(aAction));
}

void
BilberrySim::WakeOnce(TimePoint& aNext,
                      TimePoint aAt,
                      std::function<void()> aWake)
{
  if (aAt >= aNext) {
    return;
  }
  aNext = aAt;
  At(aAt, [&aNext, aAt, wake = std::move(aWake)] {
    if (aNext == aAt) {
      aNext = TimePoint::max();
    }
    wake();
  });
}

SimResult
BilberrySim::Run()
{
  for (size_t i = 0; i < m_plan.m_load.size(); ++i) {
    At(m_now, [this, i] { Arrive(i); });
  }
  for (Duration at = Seconds(1); at < m_plan.m_length; at += Seconds(1)) {
    At(m_start + at, [this, at] {
      if (m_plan.m_onSecond) {
        m_plan.m_onSecond(*this, at);
      }
    });
  }
  while (!m_events.empty()) {
    auto next = m_events.begin();
    m_now = next->first;
    auto action = std::move(next->second);
    m_events.erase(next);
    action();
  }
  for (const auto& row : kRetryNames) {
    bool putsLoad = row.m_value == RetryReason::Overloaded ||
                    row.m_value == RetryReason::LinkLost ||
                    row.m_value == RetryReason::ServerFailed;
    m_result.m_retries += putsLoad ? m_balancer->Retries().Get(row.m_value) : 0;
  }
  return m_result;
}

void
BilberrySim::Arrive(size_t aClass)
{
  Duration at = m_now - m_start;
  if (at >= m_plan.m_length) {
    return;
  }
  const LoadClass& load = m_plan.m_load[aClass];
  At(m_now + DrawGap(load, at, m_random), [this, aClass] { Arrive(aClass); });
  if (load.m_rate(at) <= 0.0) {
    return;
  }
  std::uniform_int_distribution<size_t> pick(0, kFlows - 1);
  Job job{ aClass, m_now, DrawWork(load, m_random), pick(m_random), 1 };
  Flow& flow = m_flows[job.m_flow];
  if (std::bernoulli_distribution(kFlowEnds)(m_random)) {
    flow = Flow{ m_nextFlow++, "", 0 };
  }
  uint64_t id = m_nextJob++;
  RecordOffered(m_result, load.m_name, at);
  m_jobs[id] = job;
  Ask(id);
}

void
BilberrySim::Ask(uint64_t aId)
{
  const Job& job = m_jobs.at(aId);
  const Flow& flow = m_flows[job.m_flow];
  CallerRequest request;
  // An id names one ask; the attempt makes it unique.
  request.m_id = aId * 16 + job.m_attempt;
  request.m_serviceAddress = m_plan.m_service.m_address;
  request.m_flowKey = "10.1.1.1:" + std::to_string(flow.m_number);
  request.m_token = flow.m_token;
  request.m_class = m_plan.m_load[job.m_class].m_name;
  request.m_requestId = std::to_string(aId);
  request.m_attempt = job.m_attempt;
  request.m_sequence = flow.m_sequence;
  request.m_request.m_body = std::to_string(aId);
  Decide(request);
}

void
BilberrySim::Decide(const BalancerEvent& aEvent)
{
  for (auto& action : m_balancer->OnEvent(m_now, aEvent)) {
    if (auto* send = std::get_if<SendForward>(&action)) {
      size_t server =
        std::stoul(send->m_address.substr(send->m_address.find(':') + 1)) - 1;
      At(m_now + kNetwork, [this, server, forward = send->m_forward] {
        DecideAgent(server, ForwardArrived{ 1, forward });
      });
    } else if (auto* cancel = std::get_if<SendCancel>(&action)) {
      size_t server =
        std::stoul(cancel->m_address.substr(cancel->m_address.find(':') + 1)) -
        1;
      At(m_now + kNetwork, [this, server, message = cancel->m_cancel] {
        DecideAgent(server, CancelArrived{ 1, message });
      });
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
      OnAnswer(answer->m_id / 16, answer->m_answer);
    } else if (auto* wake = std::get_if<SetTimer>(&action)) {
      WakeOnce(m_balancerWake, wake->m_at, [this] { Decide(TimerExpired{}); });
    }
  }
}

void
BilberrySim::DecideAgent(size_t aServer, const AgentEvent& aEvent)
{
  for (auto& action : m_agents[aServer]->OnEvent(m_now, aEvent)) {
    if (auto* start = std::get_if<StartWork>(&action)) {
      StartAt(aServer, *start);
    } else if (auto* send = std::get_if<SendAnswer>(&action)) {
      Answer answer = send->m_answer;
      answer.m_load = m_plan.m_report(int(aServer), answer.m_load);
      At(m_now + kNetwork,
         [this, answer, address = RecordOf(aServer).m_address] {
           Decide(AgentAnswer{ address, answer });
         });
    } else if (auto* wake = std::get_if<SetAgentTimer>(&action)) {
      WakeOnce(m_agentWakes[aServer], wake->m_at, [this, aServer] {
        DecideAgent(aServer, AgentTimerExpired{});
      });
    }
  }
  m_agents[aServer]->RequestJournal().OnStored(UINT64_MAX);
}

void
BilberrySim::StartAt(size_t aServer, const StartWork& aStart)
{
  m_result.m_startsByServer[aServer] += 1;
  uint64_t id = std::stoull(aStart.m_request.m_body);
  auto job = m_jobs.find(id);
  Duration work = job == m_jobs.end() ? Milliseconds(1) : job->second.m_work;
  double factor = m_plan.m_slowness(int(aServer), m_now - m_start);
  bool isLost = factor < 0.0;
  Duration takes =
    isLost ? Duration(Milliseconds(1))
           : Duration(static_cast<int64_t>(double(work.count()) * factor));
  At(m_now + takes, [this, aServer, isLost, work = aStart.m_work] {
    DecideAgent(aServer,
                WorkEnded{ work,
                           isLost ? WorkEnd::Lost : WorkEnd::Answered,
                           { 200, "", "" } });
  });
}

void
BilberrySim::OnAnswer(uint64_t aId, const CallerAnswer& aAnswer)
{
  Job job = m_jobs.at(aId);
  Flow& flow = m_flows[job.m_flow];
  bool hadToken = !flow.m_token.empty();
  if (!aAnswer.m_token.empty()) {
    flow.m_token = aAnswer.m_token;
    flow.m_sequence += 1;
  }
  if (aAnswer.m_reason == RefusalReason::BindFirst) {
    m_jobs.at(aId).m_attempt += 1;
    return At(m_now, [this, aId] { Ask(aId); });
  }
  m_jobs.erase(aId);
  ClassResult& result = m_result.m_classes[m_plan.m_load[job.m_class].m_name];
  Duration latency = m_now - job.m_arrival;
  size_t index = m_plan.m_service.ClassIndex(m_plan.m_load[job.m_class].m_name);
  if (aAnswer.m_outcome == Outcome::Served) {
    return RecordServed(m_result,
                        result,
                        job.m_arrival - m_start,
                        latency,
                        m_plan.m_service.m_classes[index].m_deadline);
  }
  bool isNotRun = aAnswer.m_outcome == Outcome::NotRun;
  (isNotRun ? result.m_notRun : result.m_unknown) += 1;
  result.m_slowestRefusalMs =
    std::max(result.m_slowestRefusalMs, ToMs(latency));
  m_result.m_brokenFlows += hadToken && !isNotRun ? 1 : 0;
}

SimResult
RunBaseline(const SimPlan& aPlan)
{
  struct Waiting
  {
    size_t m_class;
    TimePoint m_arrival;
    Duration m_work;
  };
  std::mt19937_64 random(aPlan.m_seed);
  auto servers = static_cast<size_t>(aPlan.m_servers);
  std::vector<std::deque<Waiting>> queues(servers);
  std::vector<uint32_t> running(servers, 0);
  std::multimap<TimePoint, std::function<void()>> events;
  SimResult result;
  result.m_startsByServer.resize(servers);
  auto seconds = static_cast<size_t>(aPlan.m_length / Seconds(1));
  result.m_inTimeBySecond.resize(seconds);
  result.m_offeredBySecond.resize(seconds);
  TimePoint start{ Seconds(1) };
  TimePoint now = start;
  size_t next = 0;

  std::function<void(size_t)> startWaiting = [&](size_t aServer) {
    while (running[aServer] < aPlan.m_slots && !queues[aServer].empty()) {
      Waiting job = queues[aServer].front();
      queues[aServer].pop_front();
      running[aServer] += 1;
      result.m_startsByServer[aServer] += 1;
      double factor = aPlan.m_slowness(int(aServer), now - start);
      bool isLost = factor < 0.0;
      Duration takes =
        isLost
          ? Duration(Milliseconds(1))
          : Duration(static_cast<int64_t>(double(job.m_work.count()) * factor));
      events.emplace(now + takes, [&, aServer, job, isLost] {
        running[aServer] -= 1;
        const std::string& name = aPlan.m_load[job.m_class].m_name;
        ClassResult& tally = result.m_classes[name];
        size_t index = aPlan.m_service.ClassIndex(name);
        if (isLost) {
          tally.m_unknown += 1;
        } else {
          RecordServed(result,
                       tally,
                       job.m_arrival - start,
                       now - job.m_arrival + 4 * kNetwork,
                       aPlan.m_service.m_classes[index].m_deadline);
        }
        startWaiting(aServer);
      });
    }
  };
  std::function<void(size_t)> arrive = [&](size_t aClass) {
    Duration at = now - start;
    if (at >= aPlan.m_length) {
      return;
    }
    const LoadClass& load = aPlan.m_load[aClass];
    events.emplace(now + DrawGap(load, at, random),
                   [&, aClass] { arrive(aClass); });
    if (load.m_rate(at) <= 0.0) {
      return;
    }
    RecordOffered(result, load.m_name, at);
    size_t server = next++ % servers;
    queues[server].push_back({ aClass, now, DrawWork(load, random) });
    startWaiting(server);
  };
  for (size_t i = 0; i < aPlan.m_load.size(); ++i) {
    events.emplace(now, [&, i] { arrive(i); });
  }
  while (!events.empty()) {
    auto first = events.begin();
    now = first->first;
    auto action = std::move(first->second);
    events.erase(first);
    action();
  }
  return result;
}

} // namespace bilberryfield
