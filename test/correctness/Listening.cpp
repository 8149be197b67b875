#include "FlowAgent.h"
#include "FlowSamples.h"
#include "SubscriptionSchedule.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kFirstAgent = 0x0A010001;
constexpr uint32_t kBalancer = 0x0A000001;
constexpr TimePoint kStart{ Seconds(100) };
// The users allow 26 KB/s a VM for control; a load report of 20 bytes takes 48
// with its frame.
constexpr double kAllowedBytes = 26'000;
constexpr double kBytesOfLoad = 48;
constexpr double kBytesOfSubscription = 110;

std::vector<AgentEntry>
Entries(size_t aCount, size_t aNear)
{
  std::vector<AgentEntry> entries;
  for (size_t i = 0; i < aCount; ++i) {
    entries.push_back({ "desk",
                        i < aNear ? "here" : "there",
                        { kFirstAgent + static_cast<uint32_t>(i), 8000 } });
  }
  return entries;
}

/** A balancer that has heard all its agents. */
struct Listener
{
  explicit Listener(size_t aCount, size_t aNear)
  {
    m_agents.SetListed(m_now, 1, Entries(aCount, aNear));
    Pass(Seconds(1));
    m_entries = Entries(aCount, aNear);
    ReportFromAll();
  }

  void ReportFromAll()
  {
    for (const AgentEntry& entry : m_entries) {
      m_agents.OnReport(m_now, ReadyReport(entry.m_packets, entry.m_domain));
    }
  }

  std::vector<DueSubscription> Pass(Duration aTime, bool aDoReport = false)
  {
    std::vector<DueSubscription> all;
    for (TimePoint end = m_now + aTime; m_now < end;
         m_now += kSubscriptionTick) {
      if (aDoReport) {
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
  VersionHolder m_routes{ 1, {} };
};

double
ReportsPerSecond(const std::vector<DueSubscription>& aDue)
{
  std::map<uint32_t, Milliseconds> paces;
  for (const DueSubscription& due : aDue) {
    paces[due.m_agentIp] = due.m_message.m_intervals.m_onFullChange;
  }
  double sum = 0;
  for (const auto& [ip, pace] : paces) {
    sum += 1000.0 / static_cast<double>(pace.count());
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

// Also when every server fills up and gets free all the time.
Test(Listening, StaysWithinTheBoundHoweverManyAgentsThereAre)
{
  for (size_t count : { 30U, 56U, 225U, 1000U, 3000U }) {
    Listener listener(count, count / 3);
    constexpr double kSeconds = 120;
    std::vector<DueSubscription> due = listener.Pass(Seconds(120), true);
    double heard = ReportsPerSecond(due) * kBytesOfLoad;
    double sent =
      static_cast<double>(due.size()) / kSeconds * kBytesOfSubscription;
    cr_assert_leq(heard, kAllowedBytes, "%zu agents: %f", count, heard);
    cr_assert_leq(sent, kAllowedBytes, "%zu agents: %f", count, sent);
  }
}

Test(Listening, HearsFewAgentsOften)
{
  Listener listener(12, 4);
  for (const DueSubscription& due : listener.Pass(Seconds(2))) {
    cr_assert_eq(due.m_message.m_intervals.m_unchanged.count(), 100);
  }
}

// Also in the first second, when no agent is known yet.
Test(Listening, AsksManyNewAgentsOneAfterTheOther)
{
  AgentList agents("here");
  agents.SetListed(kStart, 1, Entries(3000, 1000));
  std::set<uint32_t> asked;
  for (int i = 0; i < 60; ++i) {
    TimePoint now = kStart + i * kSubscriptionTick;
    std::vector<DueSubscription> due =
      TakeDueSubscriptions(now, agents, {}, {});
    cr_assert_leq(due.size(), 100);
    for (const DueSubscription& subscription : due) {
      asked.insert(subscription.m_agentIp);
    }
  }
  cr_assert_eq(asked.size(), 3000);
}

Test(Listening, TellsANewVersionSoon)
{
  Listener listener(225, 75);
  listener.Pass(Seconds(20));
  listener.m_routes.m_version = 2;
  std::set<uint32_t> told;
  for (const DueSubscription& due : listener.Pass(Milliseconds(300))) {
    cr_assert_eq(due.m_message.m_routes.m_version, 2);
    told.insert(due.m_agentIp);
  }
  cr_assert_eq(told.size(), 225);
}

// An agent that starts anew reports to nobody until it is asked.
Test(Listening, AsksAnAgentWhoseReportsAreMissing)
{
  Listener listener(12, 4);
  listener.Pass(Milliseconds(200));
  std::set<uint32_t> asked;
  for (const DueSubscription& due : listener.Pass(Milliseconds(400))) {
    asked.insert(due.m_agentIp);
  }
  cr_assert_eq(asked.size(), 12);
}

// An agent counts as silent only when reports that it was asked for are
// missing.
Test(Listening, AllowsForThePaceBeforeAnAgentCountsAsSilent)
{
  Listener many(3000, 1000);
  many.Pass(Seconds(1));
  const AgentState* agent = many.m_agents.Find(kFirstAgent);
  cr_assert(many.m_agents.IsReporting(many.m_now + Seconds(8), *agent));
  Listener few(12, 4);
  few.Pass(Seconds(1), true);
  agent = few.m_agents.Find(kFirstAgent);
  // One report of two may be lost, and the next one late.
  cr_assert(few.m_agents.IsReporting(few.m_now + Milliseconds(200), *agent));
  cr_assert_not(few.m_agents.IsReporting(few.m_now + Seconds(8), *agent));
}

Test(Listening, LearnsWhoAnAgentIsOnce)
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

// The address belonged to another service's agent when the balancer heard it.
Test(Listening, LearnsThatAnAddressServesSomethingElse)
{
  FlowAgent agent(DeskAgent(), kStart);
  TimePoint now = kStart + Seconds(1);
  agent.OnSubscribe(now, kBalancer, SubscriptionOf(ServiceTag("images"), 1));
  cr_assert_eq(agent.OnTick(now).m_reportRecipients.size(), 1);
}

Test(Listening, HearsOfANewerVersionFromAnAgent)
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

Test(Listening, IgnoresTheLoadOfAnAgentThatIsNotKnown)
{
  AgentList agents("here");
  agents.SetListed(kStart, 1, Entries(1, 1));
  ServerLoad load;
  load.m_condition = ServerCondition::Ready;
  agents.OnLoad(kStart, kFirstAgent, load);
  cr_assert_not(agents.Find(kFirstAgent)->m_lastReport.has_value());
}

// Its entry may have been removed while it stood still.
Test(Listening, AnAgentThatNobodyAsksLooksAtItsEntry)
{
  FlowAgent agent(DeskAgent(), kStart);
  agent.OnTick(kStart + Seconds(9));
  cr_assert_not(agent.TakeStoreCheckDue());
  agent.OnTick(kStart + Seconds(11));
  cr_assert(agent.TakeStoreCheckDue());
}
