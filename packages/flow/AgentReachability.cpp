#include "AgentReachability.h"

#include <algorithm>
#include <utility>

namespace bilberryfield {

namespace {

/** Gap between two ticks beyond which the gap does not count as silence. Three
 * ticks; agents' reports may still be unread after a longer one. */
constexpr Duration kLateTickGap = Milliseconds(60);
/** Time for which late ticks are kept. */
constexpr Duration kLateTickRetention = Seconds(60);
/** Report timeouts without a report after which an agent counts as unreachable.
 * In deployments with many agents, reports are many seconds apart, and a single
 * timeout passes when three of them are lost. */
constexpr int kReportTimeoutsMissed = 2;
/** Minimum number of restarted servers in a general restart. The restart of a
 * single server says nothing about the others. */
constexpr size_t kMinRestarted = 2;
/** Time within which the VMs of a general restart start. */
constexpr Duration kRestartSpread = Seconds(2);

bool
IsAtLeastHalf(size_t aCount, size_t aTotal)
{
  return 2 * aCount >= aTotal;
}

} // namespace

size_t
AgentReachability::Group::StartsAfter(TimePoint aTime) const
{
  auto first = std::upper_bound(m_starts.begin(), m_starts.end(), aTime);
  return static_cast<size_t>(m_starts.end() - first);
}

void
AgentReachability::OnPause(Duration aPause)
{
  m_pausedSinceTick += aPause;
  for (LateTick& tick : m_lateTicks) {
    tick.m_at += aPause;
  }
}

void
AgentReachability::OnTick(TimePoint aNow)
{
  m_services.clear();
  Duration gap = m_lastTick ? aNow - *m_lastTick : Duration(0);
  gap -= std::exchange(m_pausedSinceTick, Duration(0));
  m_lastTick = aNow;
  if (gap > kLateTickGap) {
    m_totalDelay += gap;
    m_lateTicks.push_back({ aNow, m_totalDelay });
  }
  while (!m_lateTicks.empty() &&
         aNow - m_lateTicks.front().m_at > kLateTickRetention) {
    m_lateTicks.pop_front();
  }
}

// The state is computed only when a search needs it.
const AgentReachability::ServiceState&
AgentReachability::StateOf(TimePoint aNow, const std::string& aService)
{
  auto [found, isNew] = m_services.try_emplace(aService);
  ServiceState& state = found->second;
  if (!isNew) {
    return state;
  }
  size_t listedCount = 0;
  size_t heardCount = 0;
  for (uint32_t ip : m_agents.AgentsOf(aService)) {
    const AgentState& agent = *m_agents.FindAt(ip);
    bool isReporting = m_agents.IsReporting(aNow, agent);
    listedCount += agent.m_isListed ? 1 : 0;
    heardCount += agent.m_isListed && isReporting ? 1 : 0;
    if (!isReporting) {
      continue;
    }
    for (Group* group :
         { &state.m_all, &state.m_byDomain[agent.m_entry.m_domain] }) {
      group->m_reportingCount += 1;
      if (agent.m_serverStartedAt) {
        group->m_starts.push_back(*agent.m_serverStartedAt);
      }
    }
  }
  state.m_isHeard = heardCount > 0 && IsAtLeastHalf(heardCount, listedCount);
  std::sort(state.m_all.m_starts.begin(), state.m_all.m_starts.end());
  for (auto& [domain, group] : state.m_byDomain) {
    std::sort(group.m_starts.begin(), group.m_starts.end());
  }
  return state;
}

Duration
AgentReachability::CountedTime(TimePoint aNow, TimePoint aContact) const
{
  Duration elapsed = aNow - aContact;
  auto first = std::upper_bound(
    m_lateTicks.begin(),
    m_lateTicks.end(),
    aContact,
    [](TimePoint aTime, const LateTick& aTick) { return aTime < aTick.m_at; });
  if (first == m_lateTicks.end()) {
    return elapsed;
  }
  Duration before =
    first == m_lateTicks.begin() ? Duration(0) : std::prev(first)->m_totalDelay;
  return elapsed - (m_totalDelay - before);
}

// Servers that started before the last sign of this one say nothing about it: a
// rolling release replaces many servers while a paused one keeps its flows. A
// server of the same failure domain that is known to have run through shows
// that the domain did not lose power.
bool
AgentReachability::WasRestartGeneral(TimePoint aNow,
                                     const AgentState& aAgent,
                                     std::optional<TimePoint> aKnownAt)
{
  if (!aKnownAt && !aAgent.m_isInFirstList) {
    // A new agent. Another balancer may have heard it and placed flows there.
    return false;
  }
  TimePoint windowStart = aNow - kRestartWindow;
  // A balancer that starts later than the servers cannot know whether a flow
  // was opened after their restart.
  TimePoint earliest = aKnownAt.value_or(aAgent.m_addedAt - kRestartSpread);
  TimePoint after = std::max(windowStart, earliest);
  const ServiceState& service = StateOf(aNow, aAgent.m_entry.m_service);
  size_t started = service.m_all.StartsAfter(after);
  if (started < kMinRestarted ||
      !IsAtLeastHalf(started, service.m_all.m_reportingCount)) {
    return false;
  }
  auto found = service.m_byDomain.find(aAgent.m_entry.m_domain);
  if (found == service.m_byDomain.end()) {
    return false;
  }
  const Group& domain = found->second;
  size_t startedInDomain = domain.StartsAfter(after);
  bool didOthersSurvive = startedInDomain < domain.m_starts.size();
  return !didOthersSurvive &&
         IsAtLeastHalf(startedInDomain, domain.m_reportingCount);
}

bool
AgentReachability::IsSilent(TimePoint aNow, const AgentState& aAgent)
{
  Duration silence = CountedTime(aNow, aNow - aAgent.TimeSinceContact(aNow));
  Duration limit =
    std::max(kUnreachable, kReportTimeoutsMissed * aAgent.m_reportTimeout);
  // After a loss of power the platform starts the agents of servers that had
  // left again, and then ends them. Their last reports name no server.
  std::optional<TimePoint> knownAt =
    aAgent.m_serverUnknownSince ? aAgent.m_serverKnownAt : aAgent.m_lastReport;
  return silence >= limit || (silence >= kUnreachableAfterRestart &&
                              WasRestartGeneral(aNow, aAgent, knownAt));
}

// An agent that restarted cannot deny a flow until it hears its server. A
// server that is alive sends heartbeats.
bool
AgentReachability::IsServerAbsent(TimePoint aNow, const AgentState& aAgent)
{
  Duration absence = CountedTime(aNow, *aAgent.m_serverUnknownSince);
  return absence >= kUnreachable ||
         (absence >= kServerAbsentAfterRestart &&
          WasRestartGeneral(aNow, aAgent, aAgent.m_serverKnownAt));
}

bool
AgentReachability::IsUnreachable(TimePoint aNow, const AgentState& aAgent)
{
  bool isReporting = m_agents.IsReporting(aNow, aAgent);
  if (isReporting && !aAgent.m_serverUnknownSince) {
    return false;
  }
  if (!StateOf(aNow, aAgent.m_entry.m_service).m_isHeard) {
    return false;
  }
  return isReporting ? IsServerAbsent(aNow, aAgent) : IsSilent(aNow, aAgent);
}

} // namespace bilberryfield
