#include "FlowSearches.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Flows that may be searched for at a time. */
constexpr size_t kMaxSearches = 2'000;
/** Answers that may be awaited; small enough for a VM with little processor
 * time to take them in within the life of a search. */
constexpr size_t kMaxUnanswered = 3'000;
/** Packets held for one flow that is searched for. */
constexpr size_t kMaxHeld = 4;
/** Time after which agents that may have the flow are tried though answers of
 * others are missing. */
constexpr Duration kAnswerLimit = Milliseconds(30);
/** Time after which agents that have not answered are asked once more. */
constexpr Duration kAskAgainAfter = Milliseconds(250);
/** Time after which a search ends without a result. */
constexpr Duration kSearchLimit = Seconds(1);
/** Agents that get the same packets at a time. */
constexpr size_t kMaxTried = 16;
/** Time after which the agents that are tried are asked once more. */
constexpr Duration kTryCheckAfter = Milliseconds(30);
/** Time after which a try without a result ends. */
constexpr Duration kTryLimit = Milliseconds(500);

} // namespace

std::optional<SearchStep>
FlowSearches::Start(TimePoint aNow,
                    const FlowKey& aFlow,
                    uint32_t aAck,
                    PacketBytes aBytes,
                    const SearchScope& aScope)
{
  // One search may always run, however many agents it has to ask.
  bool isTooMany = m_unansweredCount > 0 &&
                   m_unansweredCount + aScope.m_agents.size() > kMaxUnanswered;
  if (m_searches.size() >= kMaxSearches || isTooMany) {
    return std::nullopt;
  }
  Search& search = m_searches[aFlow];
  search.m_startedAt = aNow;
  search.m_ack = aAck;
  search.m_isWhole = aScope.m_isWhole;
  search.m_unanswered = aScope.m_agents;
  search.m_held.emplace_back(aBytes.begin(), aBytes.end());
  m_unansweredCount += search.m_unanswered.size();
  SearchStep step;
  step.m_move = SearchMove::Ask;
  step.m_flow = aFlow;
  step.m_ack = aAck;
  step.m_agents = aScope.m_agents;
  return step;
}

void
FlowSearches::Hold(const FlowKey& aFlow, PacketBytes aBytes)
{
  Search& search = m_searches.at(aFlow);
  if (search.m_held.size() < kMaxHeld) {
    search.m_held.emplace_back(aBytes.begin(), aBytes.end());
  }
}

SearchStep
FlowSearches::End(TimePoint aNow,
                  Searches::iterator aFound,
                  SearchMove aMove,
                  uint32_t aAgentIp)
{
  Search& search = aFound->second;
  SearchStep step;
  step.m_move = aMove;
  step.m_flow = aFound->first;
  step.m_ack = search.m_ack;
  step.m_agentIp = aAgentIp;
  step.m_held = std::move(search.m_held);
  step.m_took = aNow - search.m_startedAt;
  m_unansweredCount -= search.m_unanswered.size();
  m_searches.erase(aFound);
  return step;
}

// Trying agents one after the other would take seconds while their servers'
// answers are slow, and leave the flow's own server without its packets.
SearchStep
FlowSearches::TryAll(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  size_t count = std::min(search.m_possible.size(), kMaxTried);
  auto end = search.m_possible.begin() + static_cast<ptrdiff_t>(count);
  search.m_trying.assign(search.m_possible.begin(), end);
  search.m_possible.erase(search.m_possible.begin(), end);
  search.m_triedAt = aNow;
  search.m_wasTryChecked = false;
  SearchStep step;
  step.m_move = SearchMove::Try;
  step.m_flow = aFound->first;
  step.m_agents = search.m_trying;
  step.m_held = std::move(search.m_held);
  step.m_took = aNow - search.m_startedAt;
  search.m_held.clear();
  return step;
}

// Called when an answer or a returned packet may have decided the search.
SearchStep
FlowSearches::GoOn(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  if (!search.m_trying.empty()) {
    return {};
  }
  bool isPatient =
    !search.m_unanswered.empty() && aNow - search.m_startedAt <= kAnswerLimit;
  if (isPatient) {
    return {};
  }
  if (!search.m_possible.empty()) {
    return TryAll(aNow, aFound);
  }
  if (!search.m_unanswered.empty()) {
    return {};
  }
  return End(
    aNow, aFound, search.m_isWhole ? SearchMove::Lost : SearchMove::GiveUp, 0);
}

SearchStep
FlowSearches::OnAnswer(TimePoint aNow,
                       uint32_t aAgentIp,
                       const FlowAnswer& aAnswer)
{
  auto found = m_searches.find(aAnswer.m_flow);
  if (found == m_searches.end()) {
    return {};
  }
  Search& search = found->second;
  if (aAnswer.m_ownership == FlowOwnership::Yes) {
    return End(aNow, found, SearchMove::Found, aAgentIp);
  }
  // An agent that is asked twice answers twice.
  bool isFirst = std::erase(search.m_unanswered, aAgentIp) > 0;
  if (!isFirst) {
    return {};
  }
  m_unansweredCount -= 1;
  if (aAnswer.m_ownership == FlowOwnership::Possible) {
    search.m_possible.push_back(aAgentIp);
  }
  return GoOn(aNow, found);
}

// The packet is kept for the agents that are tried next only when no tried
// agent is left that may have taken it.
SearchStep
FlowSearches::OnReturned(TimePoint aNow,
                         const FlowKey& aFlow,
                         uint32_t aAgentIp,
                         PacketBytes aBytes)
{
  auto found = m_searches.find(aFlow);
  Search& search = found->second;
  bool wasTried = std::erase(search.m_trying, aAgentIp) > 0;
  if (search.m_trying.empty()) {
    Hold(aFlow, aBytes);
  }
  return wasTried ? GoOn(aNow, found) : SearchStep{};
}

SearchStep
FlowSearches::Ask(Searches::iterator aFound,
                  const std::vector<uint32_t>& aAgents)
{
  SearchStep step;
  step.m_move = SearchMove::Ask;
  step.m_flow = aFound->first;
  step.m_ack = aFound->second.m_ack;
  step.m_agents = aAgents;
  return step;
}

// The server that has the flow has answered its caller by the time of the
// check. One that is silent and hands nothing back may be slow; with a single
// one left there is nothing to choose.
SearchStep
FlowSearches::CheckTry(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  Duration since = aNow - search.m_triedAt;
  if (since > kTryLimit) {
    bool isDecided = search.m_trying.size() == 1 && !search.m_held.empty();
    uint32_t last = search.m_trying.front();
    return End(
      aNow, aFound, isDecided ? SearchMove::Found : SearchMove::Wait, last);
  }
  if (since > kTryCheckAfter && !search.m_wasTryChecked) {
    search.m_wasTryChecked = true;
    return Ask(aFound, search.m_trying);
  }
  return {};
}

SearchStep
FlowSearches::OnTime(TimePoint aNow, Searches::iterator aFound)
{
  Search& search = aFound->second;
  Duration age = aNow - search.m_startedAt;
  if (!search.m_trying.empty()) {
    return CheckTry(aNow, aFound);
  }
  if (age > kSearchLimit) {
    return End(aNow, aFound, SearchMove::GiveUp, 0);
  }
  if (age > kAskAgainAfter && !search.m_wasAskedAgain) {
    search.m_wasAskedAgain = true;
    return Ask(aFound, search.m_unanswered);
  }
  return GoOn(aNow, aFound);
}

std::vector<SearchStep>
FlowSearches::OnTick(TimePoint aNow)
{
  // Searches end while they are looked at.
  std::vector<FlowKey> flows;
  for (const auto& [flow, search] : m_searches) {
    flows.push_back(flow);
  }
  std::vector<SearchStep> steps;
  for (const FlowKey& flow : flows) {
    SearchStep step = OnTime(aNow, m_searches.find(flow));
    if (step.m_move != SearchMove::Wait) {
      steps.push_back(std::move(step));
    }
  }
  return steps;
}

} // namespace bilberryfield
