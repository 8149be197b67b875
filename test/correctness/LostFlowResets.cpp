#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kLookups{ 0xC6120001, 443 };
constexpr int kBalancers = 3;

/** Balancers that reset lost flows, and flows with running requests. */
struct LongFlows
{
  explicit LongFlows(int aServers = 8, int aFlows = 1, int aOtherServers = 0)
  {
    m_net.m_resetsLostFlows = true;
    m_net.m_requestTime = Seconds(30);
    m_net.m_serverQueue = 1000;
    for (int i = 0; i < kBalancers; ++i) {
      m_net.AddBalancer("a");
    }
    for (int i = 0; i < aServers; ++i) {
      m_servers.push_back(m_net.AddServer("desk", "a", 100));
    }
    for (int i = 0; i < aOtherServers; ++i) {
      m_servers.push_back(m_net.AddServer("images", "a", 100));
    }
    m_net.SetRoutes({ { "r", kLookups, { { "desk", 1 } }, 1, {} } });
    m_net.RunFor(Seconds(12));
    for (int i = 0; i < aFlows; ++i) {
      m_net.OpenFlow(kLookups);
      m_net.RunFor(Milliseconds(2));
    }
    m_net.RunFor(Milliseconds(100));
    m_lost = m_net.Flow(0).m_server;
  }

  void RestartBalancers()
  {
    for (size_t i = 0; i < kBalancers; ++i) {
      m_net.RestartBalancer(i);
    }
  }

  /** Each caller repeats its request five times a second. */
  void RunCallersFor(Duration aTime)
  {
    for (TimePoint end = m_net.Now() + aTime; m_net.Now() < end;) {
      for (size_t i = 0; i < m_net.Flows().size(); ++i) {
        m_net.RepeatRequest(i);
      }
      m_net.RunFor(Milliseconds(200));
    }
  }

  /** All servers lose power, and all but the first flow's one return, the agent
   * of that one only with aIsAgentBack. Returns the time from the return until
   * the last caller's reset. */
  Duration LongestSilence(bool aDoBalancersRestart, bool aIsAgentBack)
  {
    for (uint32_t ip : m_servers) {
      m_net.KillServer(ip);
    }
    RunCallersFor(Milliseconds(400));
    for (uint32_t ip : m_servers) {
      if (ip != m_lost || aIsAgentBack) {
        m_net.RestartServer(ip);
        m_net.RestartAgent(ip);
      }
    }
    m_net.HangServer(m_lost);
    if (aDoBalancersRestart) {
      RestartBalancers();
    }
    TimePoint restartedAt = m_net.Now();
    RunCallersFor(Seconds(6));
    Duration longest{ 0 };
    for (const FakeFlow& flow : m_net.Flows()) {
      longest = std::max(longest, flow.m_resetAt - restartedAt);
    }
    return longest;
  }

  size_t ResetCount() const
  {
    return static_cast<size_t>(std::count_if(
      m_net.Flows().begin(), m_net.Flows().end(), [](const auto& aFlow) {
        return aFlow.m_state == FlowState::Reset;
      }));
  }

  FakeFlowNet m_net{ 1 };
  std::vector<uint32_t> m_servers;
  /** Server of the first flow. */
  uint32_t m_lost = 0;
};

} // namespace

// Guards against callers that stay silent until their deadline because one of
// the servers that lost power never came back, and against their
// retransmissions flooding the agents with queries.
Test(LostFlowResets, EndTheWaitAfterAGeneralRestart)
{
  constexpr int kServers = 40;
  constexpr int kFlows = 400;
  // Heartbeats follow a restart within 800 ms.
  constexpr Duration kHeard = Milliseconds(900);
  for (bool doBalancersRestart : { true, false }) {
    LongFlows site(kServers, kFlows);
    Duration longest = site.LongestSilence(doBalancersRestart, false);
    cr_assert_eq(site.ResetCount(), kFlows);
    cr_log_info("longest silence %ld us, %lu queries",
                longest.count(),
                site.m_net.QueryCount());
    cr_assert_leq(longest, kHeard + Seconds(1));
    // One search per flow, and further queries to the agent that is gone.
    cr_assert_leq(site.m_net.QueryCount(),
                  uint64_t{ kFlows } * (kServers + 10));
    // An agent that is back without its server cannot deny a flow.
    LongFlows withAgent(8, 50);
    longest = withAgent.LongestSilence(doBalancersRestart, true);
    cr_assert_eq(withAgent.ResetCount(), 50);
    cr_assert_leq(longest, Seconds(4));
  }
}

// Guards against callers that wait longer because the agents of all services
// are asked before a reset.
Test(LostFlowResets, EndTheWaitAsSoonBesideOtherServices)
{
  constexpr int kServers = 40;
  constexpr int kFlows = 400;
  constexpr Duration kHeard = Milliseconds(900);
  for (bool doBalancersRestart : { true, false }) {
    LongFlows site(kServers, kFlows, kServers / 4);
    Duration longest = site.LongestSilence(doBalancersRestart, false);
    cr_assert_eq(site.ResetCount(), kFlows);
    cr_log_info("longest silence %ld us, %lu queries",
                longest.count(),
                site.m_net.QueryCount());
    cr_assert_leq(longest, kHeard + Seconds(1));
  }
}

// Guards against resets of flows at a living server, whose agent answers after
// the balancers have remembered the search as undecided, and against queries to
// agents that have denied the flow.
Test(LostFlowResets, SpareALiveServerThatIsSilent)
{
  LongFlows site;
  site.m_net.PauseServer(site.m_lost, Seconds(3));
  site.RestartBalancers();
  site.RunCallersFor(Milliseconds(2800));
  cr_assert_eq(site.ResetCount(), 0);
  // The seven others once, and the silent agent twice in each search.
  constexpr uint64_t kMaxQueries = 7 + 2 * 3;
  cr_assert_leq(site.m_net.QueryCount(), kMaxQueries);
  site.RunCallersFor(Seconds(2));
  cr_assert_eq(site.ResetCount(), 0);
  uint64_t settled = site.m_net.QueryCount();
  site.RunCallersFor(Seconds(30));
  cr_assert(site.m_net.Flow(0).m_state == FlowState::Answered);
  cr_assert_eq(site.m_net.QueryCount(), settled);
}

// Guards against another search although an agent has confirmed the flow after
// its search had ended.
Test(LostFlowResets, UseAnAnswerThatArrivesAfterTheSearch)
{
  LongFlows site;
  // The caller's own retransmissions are over after 3 s.
  site.m_net.RunFor(Seconds(4));
  site.m_net.PauseServer(site.m_lost, Milliseconds(1300));
  site.RestartBalancers();
  site.RunCallersFor(Milliseconds(200));
  site.m_net.RunFor(Milliseconds(1200));
  uint64_t queries = site.m_net.QueryCount();
  site.RunCallersFor(Milliseconds(200));
  cr_assert_eq(site.m_net.QueryCount(), queries);
  cr_assert_eq(site.ResetCount(), 0);
}

// Guards against callers that wait although their flow's balancer ran through.
Test(LostFlowResets, CoverFlowsThatTheBalancerKnows)
{
  LongFlows site;
  site.m_net.KillServer(site.m_lost);
  site.RunCallersFor(Milliseconds(5500));
  cr_assert_eq(site.ResetCount(), 0);
  site.RunCallersFor(Milliseconds(1500));
  cr_assert_eq(site.ResetCount(), 1);
}

// Guards against a reset before a VM that has just resumed has answered, and
// against each caller waiting anew for an agent that has not answered others.
Test(LostFlowResets, GiveAnUnreachableAgentTimeToAnswerOnce)
{
  LongFlows resumed;
  resumed.m_net.PauseServer(resumed.m_lost, Milliseconds(8100));
  resumed.m_net.RunFor(Seconds(8));
  resumed.RunCallersFor(Milliseconds(600));
  cr_assert_eq(resumed.ResetCount(), 0);

  LongFlows gone(8, 40);
  gone.m_net.KillServer(gone.m_lost);
  gone.m_net.RunFor(Seconds(8));
  size_t lost = 0;
  size_t slow = 0;
  for (size_t i = 0; i < gone.m_net.Flows().size(); ++i) {
    TimePoint sentAt = gone.m_net.Now();
    gone.m_net.RepeatRequest(i);
    gone.m_net.RunFor(Milliseconds(300));
    const FakeFlow& flow = gone.m_net.Flow(i);
    if (flow.m_state == FlowState::Reset) {
      lost += 1;
      slow += flow.m_resetAt - sentAt > Milliseconds(50) ? 1 : 0;
    }
  }
  cr_assert_gt(lost, kBalancers);
  cr_assert_leq(slow, kBalancers);
}

// An agent that is missing from an outdated list may have the flow.
Test(LostFlowResets, RequireACurrentListOfAgents)
{
  LongFlows site;
  site.m_net.m_areAgentsCurrent = false;
  site.m_net.KillServer(site.m_lost);
  site.RestartBalancers();
  site.RunCallersFor(Seconds(10));
  cr_assert_eq(site.ResetCount(), 0);
  site.m_net.m_areAgentsCurrent = true;
  site.RunCallersFor(Seconds(2));
  cr_assert_eq(site.ResetCount(), 1);
}

// Guards against resets by balancers that take the restarted agent of a living
// server, which cannot deny the flow, for one of those that lost power.
Test(LostFlowResets, SpareAServerWhoseAgentRestarted)
{
  LongFlows site;
  for (uint32_t ip : site.m_servers) {
    site.m_net.RestartAgent(ip);
    if (ip != site.m_lost) {
      site.m_net.RestartServer(ip);
    }
  }
  site.m_net.PauseServer(site.m_lost, Milliseconds(600));
  site.RestartBalancers();
  site.RunCallersFor(Seconds(31));
  cr_assert(site.m_net.Flow(0).m_state == FlowState::Answered);
}
