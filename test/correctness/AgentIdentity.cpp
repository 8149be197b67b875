#include "FlowAgent.h"
#include "FlowBalancer.h"
#include "FlowSamples.h"
#include "ReportSchedule.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kFirst = 0x0A010001;
constexpr uint32_t kSecond = 0x0A010002;

/** A packet of an open flow that no balancer knows. */
PacketHeader
FlowPacket()
{
  PacketHeader header = SynPacket();
  header.m_flags = kAck;
  header.m_ack = 5'001;
  header.m_length = 100;
  return header;
}

/** A balancer with the entries of two agents of "desk", complete for a second.
 */
struct RunningBalancer
{
  RunningBalancer()
  {
    m_balancer.EnableLostFlowResets();
    m_balancer.SetRoutes(DeskRoutes());
    m_balancer.Agents().SetListed(
      m_now, { 1, 1 }, { EntryOf("desk", kFirst), EntryOf("desk", kSecond) });
    for (int i = 0; i < 50; ++i) {
      m_now += FlowBalancer::kTick;
      m_balancer.SetAgentsCurrent(m_now, true);
      m_balancer.OnTick(m_now);
    }
  }

  std::vector<BalancerStep> SendPacket()
  {
    return m_balancer.OnCallerPacket(m_now, FlowPacket(), m_bytes);
  }

  std::vector<BalancerStep> Answer(uint32_t aIp, const FlowAnswer& aAnswer)
  {
    return m_balancer.OnAnswer(m_now, aIp, aAnswer);
  }

  std::vector<BalancerStep> Deny(uint32_t aIp)
  {
    return Answer(aIp, { FlowPacket().FlowFromCaller(), FlowOwnership::No });
  }

  AgentList& Agents() { return m_balancer.Agents(); }
  size_t CandidatesOf(const std::string& aService)
  {
    return Agents().Candidates(m_now, aService, {}).size();
  }

  TimePoint m_now{ Seconds(100) };
  std::vector<uint8_t> m_bytes = std::vector<uint8_t>(8);
  FlowBalancer m_balancer{ "a", 1 };
};

} // namespace

// Guards against a server that gets no flows because a SYN packet came back
// that was for the agent which had its address before.
Test(AgentIdentity, AReturnForAnEarlierAgentSaysNothingOfThePresentOne)
{
  RunningBalancer site;
  site.Agents().OnReport(site.m_now, ReportOf("desk", kFirst));
  site.m_balancer.OnCallerPacket(site.m_now, SynPacket(), {});
  site.Agents().OnReport(site.m_now, ReportOf("archive", kFirst));
  site.m_balancer.OnReturnedPacket(
    site.m_now, SynPacket(), {}, kFirst, ReturnReason::WrongService);
  cr_assert_eq(site.CandidatesOf("archive"), 1);
}

// Guards against the same after a restart: the earlier process of the balancer
// forwarded the packet.
Test(AgentIdentity, AReturnOfAnUnknownFlowForAnotherServiceSaysNothing)
{
  RunningBalancer site;
  site.Agents().OnReport(site.m_now, ReportOf("desk", kFirst));
  site.m_balancer.OnReturnedPacket(
    site.m_now, SynPacket(), {}, kFirst, ReturnReason::WrongService);
  cr_assert_eq(site.CandidatesOf("desk"), 1);
}

// Guards against a reset of a living flow because its packet was forwarded to
// an agent with the service tag of the one that had its address before.
Test(AgentIdentity, ACandidateOfAnotherServiceHasNotDeniedTheFlow)
{
  RunningBalancer site;
  site.SendPacket();
  site.Deny(kSecond);
  site.Answer(kFirst,
              { FlowPacket().FlowFromCaller(), FlowOwnership::Possible });
  const auto& steps = site.m_balancer.OnReturnedPacket(
    site.m_now, FlowPacket(), site.m_bytes, kFirst, ReturnReason::WrongService);
  for (const BalancerStep& step : steps) {
    cr_assert(step.m_action != FlowBalancerAction::Reset);
  }
  // The next packet asks it again.
  bool isAskedAgain = false;
  for (const BalancerStep& step : site.SendPacket()) {
    const std::vector<uint32_t>& asked = step.m_queriedAgents;
    isAskedAgain = std::find(asked.begin(), asked.end(), kFirst) != asked.end();
  }
  cr_assert(isAskedAgain);
}

// Guards against packets that the flow's own agent returns because the
// balancer still has the entry of the earlier agent at its address.
Test(AgentIdentity, ACandidateGetsPacketsWithTheServiceThatItAnswered)
{
  RunningBalancer site;
  FlowAgentOptions options;
  options.m_service = "archive";
  options.m_packets = { kFirst, 8000 };
  FlowAgent agent(options, site.m_now);
  site.SendPacket();
  site.Deny(kSecond);
  FlowAnswer answer =
    agent.OnQuery(site.m_now, { FlowPacket().FlowFromCaller(), 5'001 });
  std::vector<BalancerStep> steps = site.Answer(kFirst, answer);
  cr_assert_eq(steps.size(), 1);
  cr_assert(steps[0].m_action == FlowBalancerAction::Forward);
  PacketHeader packet = FlowPacket();
  packet.m_tag = steps[0].m_tag;
  AgentDecision decision =
    agent.OnBalancerPacket(site.m_now, packet, site.m_bytes, 1);
  cr_assert(decision.m_action == FlowAgentAction::Deliver);
}

// Guards against an agent that is replaced, in the balancer's list, by the
// entry that its predecessor at the address has left in the store.
Test(AgentIdentity, AnEntryThatWasThereBeforeDoesNotReplaceAReportedAgent)
{
  RunningBalancer site;
  site.Agents().OnReport(site.m_now, ReportOf("archive", kFirst));
  site.Agents().SetListed(site.m_now,
                          { 1, 2 },
                          { EntryOf("desk", kFirst),
                            EntryOf("desk", kSecond),
                            EntryOf("desk", kSecond + 1) });
  cr_assert_eq(site.CandidatesOf("archive"), 1);
  cr_assert_not(site.Agents().FindAt(kFirst)->m_isListed);
  // An entry that the store has got since is news.
  site.Agents().SetListed(site.m_now, { 1, 3 }, { EntryOf("images", kFirst) });
  cr_assert_eq(site.CandidatesOf("archive"), 0);
  cr_assert_eq(site.CandidatesOf("images"), 1);
}

// Guards against the same after the store was restored from a copy: its entry
// is older than the report.
Test(AgentIdentity, AnEntryOfACopyDoesNotReplaceAReportedAgent)
{
  RunningBalancer site;
  site.Agents().SetListed(site.m_now, { 1, 2 }, { EntryOf("archive", kFirst) });
  site.Agents().OnReport(site.m_now, ReportOf("archive", kFirst));
  site.Agents().SetListed(site.m_now, { 2, 1 }, { EntryOf("desk", kFirst) });
  cr_assert_eq(site.CandidatesOf("archive"), 1);
}

// Guards against an address that no search asks, because the agent that had it
// last has fallen silent and the store has another one's entry.
Test(AgentIdentity, TheListedAgentReturnsWhenTheReportedOneIsEvicted)
{
  RunningBalancer site;
  site.Agents().OnReport(site.m_now, ReportOf("archive", kFirst));
  site.m_now += Seconds(11);
  site.Agents().OnTick(site.m_now);
  const AgentState* agent = site.Agents().FindAt(kFirst);
  cr_assert(agent);
  cr_assert_eq(agent->m_entry.m_service, "desk");
  cr_assert(agent->m_isListed);
  cr_assert(agent->m_mustReport);
}

// Guards against resets of flows at an agent that a peer's snapshot of the
// store's list leaves out, because the agent has reported another service than
// the entry at its address. The peer would take the list for complete.
Test(AgentIdentity, TheStoresListIsPassedOnWithAllAddresses)
{
  RunningBalancer site;
  site.Agents().OnReport(site.m_now, ReportOf("archive", kFirst));
  AgentList peer("a");
  peer.SetListed(
    site.m_now, site.Agents().Position(), site.Agents().ListedEntries());
  cr_assert(peer.FindAt(kFirst));
  cr_assert_eq(peer.FindAt(kFirst)->m_entry.m_service, "desk");
  cr_assert(peer.FindAt(kSecond));
}

// Guards against a server that is gone and seems to report: the full report of
// the next agent at its address was lost, and the load reports after it were
// taken for the earlier agent's.
Test(AgentIdentity, ALoadReportOfTheNextAgentIsNotTakenForTheEarlierOnes)
{
  RunningBalancer site;
  site.Agents().OnReport(site.m_now, ReportOf("desk", kFirst));
  ReportSchedule schedule(ReportOf("archive", kFirst), site.m_now);
  Subscribe subscription;
  subscription.m_reportedTag = ServiceTag("desk");
  schedule.OnSubscribe(site.m_now, 1, subscription);
  ServerLoad load = ReportOf("archive", kFirst).m_load;
  cr_assert_eq(schedule.OnTick(site.m_now, load).m_reportRecipients.size(), 1);
  for (int i = 0; i < 10; ++i) {
    site.m_now += Milliseconds(100);
    DueReports due = schedule.OnTick(site.m_now, load);
    cr_assert_eq(due.m_loadRecipients.size(), 1);
    site.Agents().OnLoad(site.m_now, kFirst, due.m_load);
  }
  cr_assert_eq(site.CandidatesOf("desk"), 0);
  // The balancer asks for the report.
  cr_assert_not(site.Agents().FindAt(kFirst)->m_lastSubscription.has_value());
  // Once the balancer has named the agent, its reports are short again.
  subscription.m_reportedTag = ServiceTag("archive");
  schedule.OnSubscribe(site.m_now, 1, subscription);
  site.m_now += Milliseconds(100);
  cr_assert_eq(schedule.OnTick(site.m_now, load).m_load.m_serviceTag, 0);
}
