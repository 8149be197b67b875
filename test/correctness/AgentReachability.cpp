#include "AgentReachability.h"
#include "FlowBalancer.h"
#include "FlowCodec.h"
#include "FlowSamples.h"
#include "ReportSchedule.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kFirst = 0x0A010001;
constexpr uint32_t kAgents = 8;
constexpr TimePoint kStart{ Seconds(100) };

/** A list of eight agents of "desk"; the first one can be in another domain. */
struct Site
{
  explicit Site(const std::string& aFirstDomain = "a")
    : m_firstDomain(aFirstDomain)
  {
    List(kAgents);
  }

  std::string DomainOf(uint32_t aIp) const
  {
    return aIp == kFirst ? m_firstDomain : "a";
  }

  void List(uint32_t aCount)
  {
    std::vector<AgentEntry> entries;
    for (uint32_t ip = kFirst; ip < kFirst + aCount; ++ip) {
      entries.push_back({ "desk", DomainOf(ip), { ip, 8000 } });
    }
    m_agents.SetListed(m_now, { 1, aCount }, entries);
  }

  /** Servers aFrom to aTo start now. */
  void Start(uint32_t aFrom, uint32_t aTo = kAgents)
  {
    for (uint32_t ip = kFirst + aFrom; ip < kFirst + aTo; ++ip) {
      m_startedAt[ip] = m_now - Milliseconds(1);
    }
  }

  /** Agents aFrom to aTo report at each tick of aTime. */
  void RunFor(Duration aTime,
              uint32_t aFrom,
              uint32_t aTo = kAgents,
              Duration aTick = FlowBalancer::kTick)
  {
    for (TimePoint end = m_now + aTime; m_now < end; m_now += aTick) {
      for (uint32_t ip = kFirst + aFrom; ip < kFirst + aTo; ++ip) {
        AgentReport report = ReadyReport({ ip, 8000 }, DomainOf(ip));
        report.m_sinceServerStart =
          std::chrono::duration_cast<Milliseconds>(m_now - m_startedAt.at(ip));
        m_agents.OnReport(m_now, report);
      }
      m_reachability.OnTick(m_now);
    }
  }

  /** The first agent reports that it knows no server. */
  void ReportNoServer()
  {
    AgentReport report = ReadyReport({ kFirst, 8000 }, DomainOf(kFirst));
    report.m_load.m_condition = ServerCondition::Unknown;
    m_agents.OnReport(m_now, report);
  }

  bool IsUnreachable(uint32_t aIp = kFirst)
  {
    return m_reachability.IsUnreachable(m_now, *m_agents.FindAt(aIp));
  }

  std::string m_firstDomain;
  TimePoint m_now = kStart;
  std::map<uint32_t, TimePoint> m_startedAt;
  AgentList m_agents{ "a" };
  AgentReachability m_reachability{ m_agents };
};

/** A site whose agents report and whose servers started 20 s ago. */
struct RunningSite : Site
{
  explicit RunningSite(const std::string& aFirstDomain = "a")
    : Site(aFirstDomain)
  {
    Start(0);
    RunFor(Seconds(20), 0);
  }
};

} // namespace

// Guards against resets of flows whose VM is only paused for a few seconds.
Test(AgentReachability, APausedAgentIsReachableForSixSeconds)
{
  RunningSite site;
  site.RunFor(Milliseconds(5900), 1);
  cr_assert_not(site.IsUnreachable());
  site.RunFor(Milliseconds(200), 1);
  cr_assert(site.IsUnreachable());
}

// Guards against a decision after a few lost reports where reports are rare.
Test(AgentReachability, AnAgentThatReportsRarelyIsReachableForTwoTimeouts)
{
  RunningSite site;
  Subscribe message;
  message.m_intervals.m_unchanged = Milliseconds(4000);
  site.m_agents.OnSubscribed(site.m_now, kFirst, message);
  site.RunFor(Seconds(16), 1);
  cr_assert_not(site.IsUnreachable());
  site.RunFor(Milliseconds(400), 1);
  cr_assert(site.IsUnreachable());
}

// Guards against callers that wait for a server that a power loss ended.
Test(AgentReachability, AfterAGeneralRestartOneSecondIsEnough)
{
  RunningSite site;
  site.RunFor(Milliseconds(600), 0, 0);
  site.Start(1);
  site.RunFor(Milliseconds(300), 1);
  cr_assert_not(site.IsUnreachable());
  site.RunFor(Milliseconds(300), 1);
  cr_assert(site.IsUnreachable());
}

// After a loss of power 22 agents were started without their servers, which had
// left before, and ended a second later. Callers of flows at these servers
// waited for 6 s.
Test(AgentReachability, AnAgentThatReturnedWithoutItsServerAndLeftIsUnreachable)
{
  Site site;
  site.Start(1);
  site.RunFor(Milliseconds(500), 1);
  site.ReportNoServer();
  site.RunFor(Milliseconds(900), 1);
  cr_assert_not(site.IsUnreachable());
  site.RunFor(Milliseconds(200), 1);
  cr_assert(site.IsUnreachable());
}

// The same agent beside servers that did not restart: its server may be alive.
Test(AgentReachability, AnAgentThatRestartedAloneAndLeftStaysReachable)
{
  RunningSite site;
  site.ReportNoServer();
  site.RunFor(Seconds(5), 1);
  cr_assert_not(site.IsUnreachable());
}

// A balancer restarts some seconds after a general restart, while an agent is
// down whose server is alive. A flow that was opened after the restart was
// reset (fault soak, seed 26).
Test(AgentReachability, ABalancerThatStartsLaterCannotTellARestart)
{
  Site site;
  site.Start(1);
  site.m_now += Seconds(3);
  site.m_agents = AgentList{ "a" };
  site.List(kAgents);
  site.RunFor(Milliseconds(1500), 1);
  cr_assert_not(site.IsUnreachable());
}

// Guards against taking a release for a power loss, both one that replaced all
// other servers before the pause and one that replaces half of them during it.
Test(AgentReachability, ARollingReleaseIsNoGeneralRestart)
{
  RunningSite before;
  before.Start(1);
  before.RunFor(Seconds(1), 0);
  before.RunFor(Seconds(3), 1);
  cr_assert_not(before.IsUnreachable());
  RunningSite during;
  during.Start(kAgents / 2);
  during.RunFor(Seconds(3), 1);
  cr_assert_not(during.IsUnreachable());
}

// Guards against resets of flows in a failure domain that is only cut off while
// another one loses power.
Test(AgentReachability, ARestartInAnotherDomainIsNoEvidence)
{
  RunningSite site("b");
  site.Start(1);
  site.RunFor(Seconds(3), 1);
  cr_assert_not(site.IsUnreachable());
}

// Guards against decisions of a balancer that has just started or is cut off.
Test(AgentReachability, NothingIsDecidedWhenFewAgentsAreHeard)
{
  Site site;
  site.Start(1);
  site.RunFor(Seconds(10), 1, kAgents / 2);
  cr_assert_not(site.IsUnreachable());
}

// Another balancer may have placed flows at a new agent that this one has not
// heard yet.
Test(AgentReachability, ANewAgentDoesNotBelongToAnEarlierRestart)
{
  Site site;
  site.Start(0);
  site.RunFor(Seconds(1), 0);
  site.List(kAgents + 1);
  site.RunFor(Seconds(5), 0);
  cr_assert_not(site.IsUnreachable(kFirst + kAgents));
  site.RunFor(Milliseconds(1100), 0);
  cr_assert(site.IsUnreachable(kFirst + kAgents));
}

// A process that does not run has not read the reports that arrived. A pause
// that the agents' times already exclude is not subtracted twice.
Test(AgentReachability, DelaysOfTheProcessAreNoSilence)
{
  RunningSite late;
  late.RunFor(Seconds(10), 1, kAgents, Milliseconds(100));
  cr_assert_not(late.IsUnreachable());
  RunningSite paused;
  paused.RunFor(Seconds(4), 1);
  paused.m_now += Seconds(3);
  paused.m_agents.OnPause(Seconds(3));
  paused.m_reachability.OnPause(Seconds(3));
  paused.RunFor(Milliseconds(1900), 1);
  cr_assert_not(paused.IsUnreachable());
  paused.RunFor(Milliseconds(200), 1);
  cr_assert(paused.IsUnreachable());
}

// A balancer that knew the agent before its restart would otherwise take the
// server's earlier start for a sign that the server ran through.
Test(AgentReachability, AStartIsReportedToABalancerThatKnowsTheAgent)
{
  AgentReport details = ReadyReport({ kFirst, 8000 }, "a");
  ReportSchedule schedule(details, kStart);
  schedule.OnServerStart(kStart);
  Subscribe message;
  message.m_reportedTag = ServiceTag("desk");
  schedule.OnSubscribe(kStart, 1, message);
  DueReports due = schedule.OnTick(kStart + Seconds(2), details.m_load);
  cr_assert_eq(due.m_reportRecipients.size(), 1);
  cr_assert(due.m_report.m_sinceServerStart == Seconds(2));
}

// During an upgrade, agents of the earlier build report without the field.
Test(AgentReachability, ReportsOfEarlierBuildsShowNoStart)
{
  AgentReport report = ReadyReport({ kFirst, 8000 }, "a");
  std::string earlier = EncodeFlowMessage(report);
  cr_assert(std::get<AgentReport>(*DecodeFlowMessage(earlier, "a")) == report);
  report.m_sinceServerStart = Seconds(2);
  cr_assert_lt(earlier.size(), EncodeFlowMessage(report).size());
}
