#include "FlowSearches.h"

#include <algorithm>
#include <iterator>

namespace bilberryfield {

namespace {

/** Maximum number of concurrent searches. */
constexpr size_t kMaxSearches = 2'000;
/** Maximum number of outstanding answers. Low enough that a VM with little
 * processor time processes them before the searches time out. */
constexpr size_t kMaxUnanswered = 3'000;
/** Maximum number of packets held for one search. */
constexpr size_t kMaxHeld = 4;
/** Time after which candidates get the packets although answers of other agents
 * are outstanding. */
constexpr Duration kAnswerTimeout = Milliseconds(30);
/** Time after which agents that have not answered are queried once more. */
constexpr Duration kQueryAgainAfter = Milliseconds(250);
/** Time that agents which count as unreachable have to answer after all, for
 * example when their VM has just resumed. */
constexpr Duration kUnreachableAnswerTimeout = Milliseconds(200);
/** Time after which a search without candidates ends without a result. */
constexpr Duration kSearchTimeout = Seconds(1);
/** Maximum number of candidates that get the packets at the same time. */
constexpr size_t kMaxTriedAtOnce = 16;
/** Time after which candidates that got the packets are queried once more. */
constexpr Duration kQueryCandidatesAfter = Milliseconds(30);
/** Time after which a search ends if its candidates, after getting the packets,
 * give no result. */
constexpr Duration kTryTimeout = Milliseconds(500);

} // namespace

std::optional<SearchStep>
FlowSearches::Start(TimePoint aNow,
                    const FlowKey& aFlow,
                    uint32_t aAck,
                    PacketBytes aBytes,
                    const SearchScope& aScope)
{
  if (m_searches.size() >= kMaxSearches || !MayAwait(aScope.m_agents.size())) {
    return std::nullopt;
  }
  Search& search = m_searches[aFlow];
  search.m_startedAt = aNow;
  search.m_lastQueriedAt = aNow;
  search.m_ack = aAck;
  search.m_isComplete = aScope.m_isComplete;
  search.m_unanswered = aScope.m_agents;
  search.m_others = aScope.m_others;
  search.m_wereOthersQueried = search.m_others.empty();
  search.m_heldPackets.emplace_back(aBytes.begin(), aBytes.end());
  m_unansweredCount += search.m_unanswered.size();
  SearchStep step;
  step.m_action = SearchAction::Query;
  step.m_flow = aFlow;
  step.m_ack = aAck;
  step.m_agents = aScope.m_agents;
  return step;
}

// One search is always allowed, however many agents it has to query.
bool
FlowSearches::MayAwait(size_t aAnswers) const
{
  return m_unansweredCount == 0 ||
         m_unansweredCount + aAnswers <= kMaxUnanswered;
}

void
FlowSearches::HoldPacket(const FlowKey& aFlow, PacketBytes aBytes)
{
  Search& search = m_searches.at(aFlow);
  if (search.m_heldPackets.size() < kMaxHeld) {
    search.m_heldPackets.emplace_back(aBytes.begin(), aBytes.end());
  }
}

SearchStep
FlowSearches::End(TimePoint aNow,
                  Searches::iterator aFound,
                  SearchAction aAction,
                  const AgentId& aAgent)
{
  Search& search = aFound->second;
  SearchStep step;
  step.m_action = aAction;
  step.m_flow = aFound->first;
  step.m_ack = search.m_ack;
  step.m_agent = aAgent;
  step.m_heldPackets = std::move(search.m_heldPackets);
  step.m_elapsed = aNow - search.m_startedAt;
  m_unansweredCount -= search.m_unanswered.size();
  step.m_unanswered = std::move(search.m_unanswered);
  step.m_wereOthersQueried = search.m_wereOthersQueried;
  for (const std::vector<AgentId>* candidates :
       { &search.m_untried, &search.m_trying, &search.m_undecided }) {
    step.m_unanswered.insert(
      step.m_unanswered.end(), candidates->begin(), candidates->end());
  }
  m_searches.erase(aFound);
  return step;
}

// All candidates get the packets at once. One after the other would take
// seconds when servers answer slowly, and the flow's own server would get no
// packet meanwhile.
SearchStep
FlowSearches::TryCandidates(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  size_t count = std::min(search.m_untried.size(), kMaxTriedAtOnce);
  auto end = search.m_untried.begin() + static_cast<ptrdiff_t>(count);
  search.m_trying.assign(search.m_untried.begin(), end);
  search.m_untried.erase(search.m_untried.begin(), end);
  search.m_triedAt = aNow;
  search.m_wereCandidatesQueried = false;
  SearchStep step;
  step.m_action = SearchAction::Try;
  step.m_flow = aFound->first;
  step.m_agents = search.m_trying;
  step.m_heldPackets = std::move(search.m_heldPackets);
  step.m_elapsed = aNow - search.m_startedAt;
  search.m_heldPackets.clear();
  return step;
}

// Called after each answer, returned packet and tick.
SearchStep
FlowSearches::Advance(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  if (!search.m_trying.empty()) {
    return {};
  }
  bool isAwaitingAnswers = !search.m_unanswered.empty() &&
                           aNow - search.m_lastQueriedAt <= kAnswerTimeout;
  if (isAwaitingAnswers) {
    return {};
  }
  if (!search.m_untried.empty()) {
    return TryCandidates(aNow, aFound);
  }
  if (!search.m_unanswered.empty()) {
    return {};
  }
  if (!search.m_wereOthersQueried) {
    return QueryOthers(aNow, aFound);
  }
  bool isLost = search.m_isComplete && search.m_undecided.empty();
  return End(aNow, aFound, isLost ? SearchAction::Lost : SearchAction::GiveUp);
}

// A denial holds for each agent that has had the address: if a flow was at an
// earlier one, its server is gone.
SearchStep
FlowSearches::OnAnswer(TimePoint aNow,
                       const AgentId& aAgent,
                       const FlowAnswer& aAnswer)
{
  auto found = m_searches.find(aAnswer.m_flow);
  if (found == m_searches.end()) {
    return {};
  }
  Search& search = found->second;
  if (aAnswer.m_ownership == FlowOwnership::Yes) {
    return End(aNow, found, SearchAction::Found, aAgent);
  }
  // An agent that was queried twice answers twice.
  bool isFirst = EraseAddress(search.m_unanswered, aAgent.m_ip) > 0;
  if (!isFirst) {
    return {};
  }
  m_unansweredCount -= 1;
  if (aAnswer.m_ownership == FlowOwnership::Possible) {
    search.m_untried.push_back(aAgent);
  }
  return Advance(aNow, found);
}

// The packet is held for the next candidates only after all current ones have
// returned it; until then one of them may have accepted it.
SearchStep
FlowSearches::OnReturned(TimePoint aNow,
                         const FlowKey& aFlow,
                         uint32_t aAgentIp,
                         PacketBytes aBytes,
                         bool aIsDenial)
{
  auto found = m_searches.find(aFlow);
  Search& search = found->second;
  if (!aIsDenial) {
    std::copy_if(search.m_trying.begin(),
                 search.m_trying.end(),
                 std::back_inserter(search.m_undecided),
                 [&](const AgentId& aId) { return aId.m_ip == aAgentIp; });
  }
  bool wasTried = EraseAddress(search.m_trying, aAgentIp) > 0;
  if (search.m_trying.empty()) {
    HoldPacket(aFlow, aBytes);
  }
  return wasTried ? Advance(aNow, found) : SearchStep{};
}

SearchStep
FlowSearches::Query(Searches::iterator aFound,
                    const std::vector<AgentId>& aAgents)
{
  SearchStep step;
  step.m_action = SearchAction::Query;
  step.m_flow = aFound->first;
  step.m_ack = aFound->second.m_ack;
  step.m_agents = aAgents;
  return step;
}

// A flow can be at a server of another service than those of its present route:
// the route was moved, and this process did not see that or no longer knows it.
// They are queried last: after a loss of power, when every search awaits agents
// that are not back yet, their queries would only add to the load. While too
// many answers are outstanding, a later call tries again.
SearchStep
FlowSearches::QueryOthers(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  if (!MayAwait(search.m_others.size())) {
    return {};
  }
  search.m_wereOthersQueried = true;
  search.m_lastQueriedAt = aNow;
  search.m_unanswered.insert(
    search.m_unanswered.end(), search.m_others.begin(), search.m_others.end());
  m_unansweredCount += search.m_others.size();
  return Query(aFound, search.m_others);
}

// By the time of the second query the flow's server has usually answered the
// caller, so its agent answers Yes. A candidate that neither answers nor
// returns the packet may just be slow, so after the timeout the search succeeds
// only if a single candidate is left and a further packet is held for it.
// Otherwise the search is erased and its packets are dropped.
SearchStep
FlowSearches::CheckCandidates(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  Duration since = aNow - search.m_triedAt;
  if (since > kTryTimeout) {
    bool isDecided =
      search.m_trying.size() == 1 && !search.m_heldPackets.empty();
    AgentId last = search.m_trying.front();
    return End(aNow,
               aFound,
               isDecided ? SearchAction::Found : SearchAction::GiveUp,
               last);
  }
  if (since > kQueryCandidatesAfter && !search.m_wereCandidatesQueried) {
    search.m_wereCandidatesQueried = true;
    return Query(aFound, search.m_trying);
  }
  return {};
}

bool
FlowSearches::IsOnlyAwaiting(const Search& aSearch,
                             const AgentPredicate& aHasProperty)
{
  auto haveProperty = [&](const std::vector<AgentId>& aAgents) {
    return std::all_of(aAgents.begin(), aAgents.end(), aHasProperty);
  };
  return aHasProperty && aSearch.m_isComplete && aSearch.m_undecided.empty() &&
         haveProperty(aSearch.m_unanswered) && haveProperty(aSearch.m_trying) &&
         haveProperty(aSearch.m_untried);
}

SearchStep
FlowSearches::OnTimer(TimePoint aNow,
                      Searches::iterator aFound,
                      const AgentPredicate& aIsUnreachable,
                      const AgentPredicate& aIsUnresponsive)
{
  Search& search = aFound->second;
  Duration age = aNow - search.m_startedAt;
  bool hadTime = aNow - search.m_lastQueriedAt > kUnreachableAnswerTimeout;
  if (IsOnlyAwaiting(search, hadTime ? aIsUnreachable : aIsUnresponsive)) {
    return search.m_wereOthersQueried ? End(aNow, aFound, SearchAction::Lost)
                                      : QueryOthers(aNow, aFound);
  }
  if (!search.m_trying.empty()) {
    return CheckCandidates(aNow, aFound);
  }
  if (age > kSearchTimeout) {
    return End(aNow, aFound, SearchAction::GiveUp);
  }
  if (age > kQueryAgainAfter && !search.m_wasQueriedAgain) {
    search.m_wasQueriedAgain = true;
    return Query(aFound, search.m_unanswered);
  }
  return Advance(aNow, aFound);
}

std::vector<SearchStep>
FlowSearches::OnTick(TimePoint aNow,
                     const AgentPredicate& aIsUnreachable,
                     const AgentPredicate& aIsUnresponsive)
{
  // OnTimer may erase searches, so their keys are copied first.
  std::vector<FlowKey> flows;
  for (const auto& [flow, search] : m_searches) {
    flows.push_back(flow);
  }
  std::vector<SearchStep> steps;
  for (const FlowKey& flow : flows) {
    SearchStep step =
      OnTimer(aNow, m_searches.find(flow), aIsUnreachable, aIsUnresponsive);
    if (step.m_action != SearchAction::Wait) {
      steps.push_back(std::move(step));
    }
  }
  return steps;
}

} // namespace bilberryfield
