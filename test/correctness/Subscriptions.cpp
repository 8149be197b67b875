#include "FlowAgent.h"
#include "FlowSamples.h"
#include "SubscriptionSchedule.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kFirstAgent = 0x0A010001;
constexpr uint32_t kBalancer = 0x0A000001;
constexpr TimePoint kStart{ Seconds(100) };
// The requirement is at most 26 KB/s of control traffic per VM. A load report
// of 20 bytes takes 48 bytes with its frame.
constexpr double kMaxBytesPerSecond = 26'000;
constexpr double kLoadReportBytes = 48;
constexpr double kSubscriptionBytes = 110;

std::vector<AgentEntry>
Entries(size_t aCount, size_t aSameDomain)
{
  std::vector<AgentEntry> entries;
  for (size_t i = 0; i < aCount; ++i) {
    entries.push_back({ "desk",
                        i < aSameDomain ? "here" : "there",
                        { kFirstAgent + static_cast<uint32_t>(i), 8000 } });
  }
  return entries;
}

/** A balancer that has received a report from each of its agents. */
struct SubscribingBalancer
{
  explicit SubscribingBalancer(size_t aCount, size_t aSameDomain)
  {
    m_agents.SetListed(m_now, { 1, 1 }, Entries(aCount, aSameDomain));
    RunFor(Seconds(1));
    m_entries = Entries(aCount, aSameDomain);
    ReportFromAll();
  }

  void ReportFromAll()
  {
    for (const AgentEntry& entry : m_entries) {
      m_agents.OnReport(m_now, ReadyReport(entry.m_packets, entry.m_domain));
    }
  }

  std::vector<DueSubscription> RunFor(Duration aTime, bool aWithReports = false)
  {
    std::vector<DueSubscription> all;
    for (TimePoint end = m_now + aTime; m_now < end;
         m_now += kSubscriptionTick) {
      if (aWithReports) {
        ReportFromAll();
      }
      for (auto& due : TakeDueSubscriptions(m_now, m_agents, m_routes, {})) {
        all.push_back(due);
      }
    }
    return all;
  }

  TimePoint m_now = kStart;
  std::vector<AgentEntry> m_entries;
  AgentList m_agents{ "here" };
  RoutesHolder m_routes{ 1, {} };
};

double
ReportsPerSecond(const std::vector<DueSubscription>& aDue)
{
  std::map<uint32_t, Milliseconds> intervals;
  for (const DueSubscription& due : aDue) {
    intervals[due.m_agentIp] = due.m_message.m_intervals.m_onFullChange;
  }
  double sum = 0;
  for (const auto& [ip, interval] : intervals) {
    sum += 1000.0 / static_cast<double>(interval.count());
  }
  return sum;
}

FlowAgentOptions
DeskAgent()
{
  FlowAgentOptions options;
  options.m_service = "desk";
  options.m_domain = "here";
  options.m_packets = { kFirstAgent, 8000 };
  return options;
}

Subscribe
SubscriptionOf(uint32_t aKnownTag, uint64_t aRoutes)
{
  Subscribe message;
  message.m_reportedTag = aKnownTag;
  message.m_routes = { aRoutes, {} };
  return message;
}

} // namespace

// The bound also holds if every server alternates between full and not full all
// the time.
Test(Subscriptions, KeepTrafficBoundedForAnyNumberOfAgents)
{
  for (size_t count : { 30U, 56U, 225U, 1000U, 3000U }) {
    SubscribingBalancer balancer(count, count / 3);
    constexpr double kSeconds = 120;
    std::vector<DueSubscription> due = balancer.RunFor(Seconds(120), true);
    double received = ReportsPerSecond(due) * kLoadReportBytes;
    double sent =
      static_cast<double>(due.size()) / kSeconds * kSubscriptionBytes;
    cr_assert_leq(
      received, kMaxBytesPerSecond, "%zu agents: %f", count, received);
    cr_assert_leq(sent, kMaxBytesPerSecond, "%zu agents: %f", count, sent);
  }
}

Test(Subscriptions, RequestFrequentReportsFromFewAgents)
{
  SubscribingBalancer balancer(12, 4);
  for (const DueSubscription& due : balancer.RunFor(Seconds(2))) {
    cr_assert_eq(due.m_message.m_intervals.m_unchanged.count(), 100);
  }
}

// A balancer that has just started and received the list of agents must not
// send all subscriptions at once.
Test(Subscriptions, ReachManyNewAgentsInBatches)
{
  AgentList agents("here");
  agents.SetListed(kStart, { 1, 1 }, Entries(3000, 1000));
  std::set<uint32_t> subscribed;
  for (int i = 0; i < 60; ++i) {
    TimePoint now = kStart + i * kSubscriptionTick;
    std::vector<DueSubscription> due =
      TakeDueSubscriptions(now, agents, {}, {});
    cr_assert_leq(due.size(), 100);
    for (const DueSubscription& subscription : due) {
      subscribed.insert(subscription.m_agentIp);
    }
  }
  cr_assert_eq(subscribed.size(), 3000);
}

Test(Subscriptions, AnnounceANewVersionSoon)
{
  SubscribingBalancer balancer(225, 75);
  balancer.RunFor(Seconds(20));
  balancer.m_routes.m_version = 2;
  std::set<uint32_t> updated;
  for (const DueSubscription& due : balancer.RunFor(Milliseconds(300))) {
    cr_assert_eq(due.m_message.m_routes.m_version, 2);
    updated.insert(due.m_agentIp);
  }
  cr_assert_eq(updated.size(), 225);
}

// A restarted agent has no subscribers and sends no reports until it receives a
// subscription.
Test(Subscriptions, AreRepeatedWhenReportsAreMissing)
{
  SubscribingBalancer balancer(12, 4);
  balancer.RunFor(Milliseconds(200));
  std::set<uint32_t> subscribed;
  for (const DueSubscription& due : balancer.RunFor(Milliseconds(400))) {
    subscribed.insert(due.m_agentIp);
  }
  cr_assert_eq(subscribed.size(), 12);
}

// An agent counts as silent only if requested reports are missing, and with
// many agents each of them reports less often.
Test(Subscriptions, SetTheReportTimeoutFromTheReportInterval)
{
  SubscribingBalancer many(3000, 1000);
  many.RunFor(Seconds(1));
  const AgentState* agent = many.m_agents.FindAt(kFirstAgent);
  cr_assert(many.m_agents.IsReporting(many.m_now + Seconds(8), *agent));
  SubscribingBalancer few(12, 4);
  few.RunFor(Seconds(1), true);
  agent = few.m_agents.FindAt(kFirstAgent);
  // One of two reports can be lost and the next one delayed.
  cr_assert(few.m_agents.IsReporting(few.m_now + Milliseconds(200), *agent));
  cr_assert_not(few.m_agents.IsReporting(few.m_now + Seconds(8), *agent));
}

Test(Subscriptions, CauseOneFullReport)
{
  FlowAgent agent(DeskAgent(), kStart);
  TimePoint now = kStart + Seconds(1);
  agent.OnSubscribe(now, kBalancer, SubscriptionOf(0, 1));
  cr_assert_eq(agent.OnTick(now).m_reportRecipients.size(), 1);
  agent.OnSubscribe(now, kBalancer, SubscriptionOf(ServiceTag("desk"), 1));
  now += Milliseconds(100);
  DueReports due = agent.OnTick(now);
  cr_assert(due.m_reportRecipients.empty());
  cr_assert_eq(due.m_loadRecipients.size(), 1);
}

// When the balancer received its last report, the address belonged to an agent
// of another service.
Test(Subscriptions, CauseAFullReportWhenTheServiceHasChanged)
{
  FlowAgent agent(DeskAgent(), kStart);
  TimePoint now = kStart + Seconds(1);
  agent.OnSubscribe(now, kBalancer, SubscriptionOf(ServiceTag("images"), 1));
  cr_assert_eq(agent.OnTick(now).m_reportRecipients.size(), 1);
}

Test(Subscriptions, PropagateANewerVersionThroughAnAgent)
{
  FlowAgent agent(DeskAgent(), kStart);
  TimePoint now = kStart + Seconds(1);
  uint32_t tag = ServiceTag("desk");
  agent.OnSubscribe(now, kBalancer, SubscriptionOf(tag, 1));
  agent.OnTick(now);
  agent.OnSubscribe(now, kBalancer + 1, SubscriptionOf(tag, 2));
  now += Milliseconds(100);
  DueReports due = agent.OnTick(now);
  cr_assert_eq(due.m_reportRecipients.size(), 1);
  cr_assert_eq(due.m_reportRecipients.front(), kBalancer);
  cr_assert_eq(due.m_report.m_routes.m_version, 2);
}

Test(Subscriptions, LoadOfAnUnknownAgentIsIgnored)
{
  AgentList agents("here");
  agents.SetListed(kStart, { 1, 1 }, Entries(1, 1));
  ServerLoad load;
  load.m_condition = ServerCondition::Ready;
  agents.OnLoad(kStart, kFirstAgent, load);
  cr_assert_not(agents.FindAt(kFirstAgent)->m_lastReport.has_value());
}

// Its entry may have been removed from the store while the agent was paused.
Test(Subscriptions, AnAgentWithoutAnyChecksItsStoreEntry)
{
  FlowAgent agent(DeskAgent(), kStart);
  agent.OnTick(kStart + Milliseconds(2'900));
  cr_assert_not(agent.TakeStoreCheckDue());
  agent.OnTick(kStart + Milliseconds(3'100));
  cr_assert(agent.TakeStoreCheckDue());
}

// While all balancers are down, the checks of many agents must not take the
// whole rate of the store.
Test(Subscriptions, TheirAbsenceMakesAnAgentCheckTheStoreEverLessOften)
{
  ReportSchedule schedule(ReadyReport({ kFirstAgent, 8000 }, "here"), kStart);
  std::vector<int64_t> checksAt;
  for (Duration time{}; time < Seconds(40); time += Milliseconds(100)) {
    schedule.OnTick(kStart + time, {});
    if (schedule.TakeStoreCheckDue()) {
      checksAt.push_back(ToMilliseconds(time));
    }
  }
  cr_assert(checksAt ==
            std::vector<int64_t>({ 3100, 9200, 19300, 29400, 39500 }));
}

// With many agents each balancer renews its subscriptions seldom.
Test(Subscriptions, ThatAreRenewedSeldomCauseNoStoreChecks)
{
  ReportSchedule schedule(ReadyReport({ kFirstAgent, 8000 }, "here"), kStart);
  Subscribe message;
  message.m_intervals.m_lifetime = Seconds(80);
  schedule.OnSubscribe(kStart, kBalancer, message);
  schedule.OnTick(kStart + Seconds(40), {});
  cr_assert_not(schedule.TakeStoreCheckDue());
  schedule.OnTick(kStart + Milliseconds(40'001), {});
  cr_assert(schedule.TakeStoreCheckDue());
}
