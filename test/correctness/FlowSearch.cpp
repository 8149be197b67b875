#include "FlowSearches.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
const std::vector<uint8_t> kPacket = { 1, 2, 3 };

FlowKey
FlowNumber(uint16_t aNumber)
{
  return { { 0x64400001, aNumber }, { 0xC6120001, 443 } };
}

constexpr AgentId
Agent(uint32_t aNumber)
{
  return { aNumber, 77 };
}

using Agents = std::vector<AgentId>;

SearchScope
ScopeOf(uint32_t aAgents)
{
  SearchScope scope;
  for (uint32_t number = 1; number <= aAgents; ++number) {
    scope.m_agents.push_back(Agent(number));
  }
  scope.m_isComplete = true;
  return scope;
}

FlowAnswer
AnswerOf(FlowOwnership aOwnership)
{
  return { FlowNumber(1), aOwnership };
}

/** A search for flow 1 among three agents. */
struct SearchAmongThree
{
  SearchAmongThree()
  {
    m_searches.Start(kStart, FlowNumber(1), 7, kPacket, ScopeOf(3));
  }

  SearchStep Answer(Duration aAt, uint32_t aNumber, FlowOwnership aOwnership)
  {
    return m_searches.OnAnswer(
      kStart + aAt, Agent(aNumber), AnswerOf(aOwnership));
  }

  FlowSearches m_searches;
};

} // namespace

// A VM that is short of CPU time reads answers late. Restarting the search for
// the next packet would only add to its load.
Test(FlowSearch, AcceptsALateAnswer)
{
  SearchAmongThree search;
  for (int i = 1; i < 20; ++i) {
    search.m_searches.OnTick(kStart + i * Milliseconds(20));
  }
  SearchStep step = search.Answer(Milliseconds(400), 2, FlowOwnership::Yes);
  cr_assert(step.m_action == SearchAction::Found);
  cr_assert(step.m_agent == Agent(2));
  cr_assert_eq(step.m_heldPackets.size(), 1);
}

Test(FlowSearch, QueriesUnansweringAgentsOnceMore)
{
  SearchAmongThree search;
  search.Answer(Milliseconds(2), 1, FlowOwnership::No);
  Agents queried;
  for (int i = 1; i < 40; ++i) {
    for (const SearchStep& step :
         search.m_searches.OnTick(kStart + i * Milliseconds(20))) {
      cr_assert(step.m_action == SearchAction::Query);
      queried.insert(queried.end(), step.m_agents.begin(), step.m_agents.end());
    }
  }
  cr_assert(queried == Agents({ Agent(2), Agent(3) }));
}

Test(FlowSearch, EndsWithoutAResultWhenAnswersAreMissing)
{
  SearchAmongThree search;
  search.Answer(Milliseconds(2), 1, FlowOwnership::No);
  SearchAction last = SearchAction::Wait;
  for (int i = 1; i < 60; ++i) {
    for (const SearchStep& step :
         search.m_searches.OnTick(kStart + i * Milliseconds(20))) {
      last = step.m_action;
    }
  }
  cr_assert(last == SearchAction::GiveUp);
  cr_assert_not(search.m_searches.Contains(FlowNumber(1)));
}

// Guards against searches that wait for agents of VMs that are gone, and
// against a decision while an agent that may have the flow is reachable.
Test(FlowSearch, EndsWhenOnlyUnreachableAgentsHaveNotAnswered)
{
  SearchAmongThree search;
  auto isUnreachable = [](const AgentId& aAgent) { return aAgent == Agent(3); };
  search.Answer(Milliseconds(2), 1, FlowOwnership::No);
  TimePoint at = kStart + Milliseconds(220);
  cr_assert(search.m_searches.OnTick(at, isUnreachable).empty());
  search.Answer(Milliseconds(225), 2, FlowOwnership::No);
  std::vector<SearchStep> steps = search.m_searches.OnTick(at, isUnreachable);
  cr_assert_eq(steps.size(), 1);
  cr_assert(steps[0].m_action == SearchAction::Lost);
  cr_assert(steps[0].m_unanswered == Agents({ Agent(3) }));
}

// The server of a flow must receive its packet soon, no matter how many agents
// started after their servers and how slowly the wrong ones return the packet.
Test(FlowSearch, TriesAllPossibleAgentsAtOnce)
{
  SearchAmongThree search;
  search.Answer(Milliseconds(1), 1, FlowOwnership::Possible);
  search.Answer(Milliseconds(1), 2, FlowOwnership::No);
  SearchStep first = search.Answer(Milliseconds(2), 3, FlowOwnership::Possible);
  cr_assert(first.m_action == SearchAction::Try);
  cr_assert(first.m_agents == Agents({ Agent(1), Agent(3) }));
  cr_assert_eq(first.m_heldPackets.size(), 1);
  auto returnFrom = [&](uint32_t aAgentIp) {
    return search.m_searches.OnReturned(
      kStart + Milliseconds(4), FlowNumber(1), aAgentIp, kPacket, true);
  };
  cr_assert(returnFrom(1).m_action == SearchAction::Wait);
  SearchStep last = returnFrom(3);
  cr_assert(last.m_action == SearchAction::Lost);
  cr_assert_eq(last.m_ack, 7);
}

Test(FlowSearch, FindsTheAgentWhoseServerAnsweredDuringTheTry)
{
  SearchAmongThree search;
  search.Answer(Milliseconds(1), 1, FlowOwnership::Possible);
  search.Answer(Milliseconds(1), 2, FlowOwnership::Possible);
  search.Answer(Milliseconds(2), 3, FlowOwnership::Possible);
  search.m_searches.OnReturned(
    kStart + Milliseconds(4), FlowNumber(1), 1, kPacket, true);
  search.m_searches.HoldPacket(FlowNumber(1), kPacket);
  std::vector<SearchStep> due =
    search.m_searches.OnTick(kStart + Milliseconds(40));
  cr_assert_eq(due.size(), 1);
  cr_assert(due[0].m_action == SearchAction::Query);
  cr_assert(due[0].m_agents == Agents({ Agent(2), Agent(3) }));
  SearchStep found = search.Answer(Milliseconds(42), 2, FlowOwnership::Yes);
  cr_assert(found.m_action == SearchAction::Found);
  cr_assert(found.m_agent == Agent(2));
  cr_assert_eq(found.m_heldPackets.size(), 1);
}

// A slow VM receives returned packets late. It must not assume that a server
// has the flow only because it was tried first.
Test(FlowSearch, ChoosesNoneOfSeveralSilentAgents)
{
  SearchAmongThree search;
  search.Answer(Milliseconds(1), 1, FlowOwnership::Possible);
  search.Answer(Milliseconds(1), 2, FlowOwnership::Possible);
  search.Answer(Milliseconds(2), 3, FlowOwnership::No);
  search.m_searches.HoldPacket(FlowNumber(1), kPacket);
  SearchAction last = SearchAction::Wait;
  for (int i = 1; i < 60; ++i) {
    for (const SearchStep& step :
         search.m_searches.OnTick(kStart + i * Milliseconds(20))) {
      cr_assert(step.m_action != SearchAction::Found);
      last = step.m_action;
    }
  }
  // The step makes the dropped packets visible in the log and the metrics.
  cr_assert(last == SearchAction::GiveUp);
  cr_assert_not(search.m_searches.Contains(FlowNumber(1)));
}

Test(FlowSearch, BoundsTheNumberOfPendingAnswers)
{
  FlowSearches searches;
  size_t pending = 0;
  for (uint16_t i = 1; i < 1000; ++i) {
    if (searches.Start(kStart, FlowNumber(i), 0, kPacket, ScopeOf(50))) {
      pending += 50;
    }
  }
  cr_assert_leq(pending, 3000);
  // Answers allow further searches.
  for (uint32_t ip = 1; ip <= 50; ++ip) {
    searches.OnAnswer(kStart, Agent(ip), AnswerOf(FlowOwnership::No));
  }
  cr_assert(searches.Start(kStart, FlowNumber(2000), 0, kPacket, ScopeOf(50)));
}
