#include "ListeningPlan.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Reports a second from the agents of the own failure domain; up to twice
 * as many while their servers fill up and get free all the time. */
constexpr int kNearReportsPerSecond = 210;
/** As kNearReportsPerSecond, from all other agents; never more. */
constexpr int kFarReportsPerSecond = 100;
/** Subscriptions sent a second while nothing changes. */
constexpr int kSubscriptionsPerSecond = 60;
constexpr Milliseconds kShortestEvery{ 100 };
constexpr Milliseconds kShortestOnChange{ 40 };
constexpr Milliseconds kShortestRepeat{ 1000 };
/** Subscriptions that may be lost before an agent stops reporting. */
constexpr int kLivesInRepeats = 4;
/** Time between two subscriptions because of new versions. */
constexpr Duration kNewsEvery = Milliseconds(200);
/** Time after which an agent whose report is missing is asked again. */
constexpr Duration kAskAgainAfter = Milliseconds(200);
/** Questions a second for missing reports. */
constexpr int kAskedAgainPerSecond = 500;
/** Subscriptions sent in one tick; more wait for the next one. */
constexpr size_t kMostInATick = 100;
/** Time for which a missing report is asked for. */
constexpr Duration kAwaitedFor = Seconds(5);

Milliseconds
Share(size_t aAgents, int aPerSecond)
{
  return Milliseconds(aAgents * 1000 / static_cast<size_t>(aPerSecond));
}

Duration
AskAgainAfter(size_t aAllAgents)
{
  return std::max<Duration>(kAskAgainAfter,
                            Share(aAllAgents, kAskedAgainPerSecond));
}

Duration
RepeatAfter(size_t aAllAgents)
{
  return std::max(kShortestRepeat, Share(aAllAgents, kSubscriptionsPerSecond));
}

// Agents of the own failure domain get most of the flows, so their changes
// are reported as often as their part of the bound allows. Whether a server is
// full decides where a new flow goes.
ReportPace
PaceFor(bool aIsNear, size_t aAgentsLikeIt, size_t aAllAgents)
{
  Milliseconds share = Share(
    aAgentsLikeIt, aIsNear ? kNearReportsPerSecond : kFarReportsPerSecond);
  ReportPace pace;
  pace.m_every = std::max(kShortestEvery, share);
  pace.m_onChange = aIsNear ? std::max(kShortestOnChange, share) : pace.m_every;
  pace.m_onFull = aIsNear ? pace.m_onChange / 2 : pace.m_every;
  pace.m_life = std::chrono::duration_cast<Milliseconds>(
    kLivesInRepeats * RepeatAfter(aAllAgents));
  return pace;
}

size_t
CountNear(const AgentList& aAgents)
{
  return static_cast<size_t>(
    std::count_if(aAgents.All().begin(), aAgents.All().end(), [&](auto& aItem) {
      return aItem.second.m_isNear;
    }));
}

// An agent that started anew reports to nobody until it is asked.
bool
IsAwaited(TimePoint aNow, const KnownAgent& aAgent)
{
  Duration silence = aAgent.Silence(aNow);
  Duration expected = aAgent.m_silenceLimit / 2;
  return silence > expected && silence < expected + kAwaitedFor;
}

bool
IsDue(TimePoint aNow,
      const KnownAgent& aAgent,
      const SentSubscription& aNext,
      size_t aAllAgents)
{
  if (!aAgent.m_subscribed) {
    return true;
  }
  const SentSubscription& sent = *aAgent.m_subscribed;
  Duration since = aNow - sent.m_at;
  bool isNews =
    sent.m_routes != aNext.m_routes || sent.m_listed != aNext.m_listed;
  return since >= RepeatAfter(aAllAgents) || (isNews && since >= kNewsEvery) ||
         (since >= AskAgainAfter(aAllAgents) && IsAwaited(aNow, aAgent));
}

} // namespace

std::vector<DueSubscription>
TakeDueSubscriptions(TimePoint aNow,
                     AgentList& aAgents,
                     const VersionHolder& aRoutes,
                     const VersionHolder& aListed)
{
  SentSubscription next{ aNow, aRoutes.m_version, aListed.m_version };
  size_t all = aAgents.All().size();
  size_t near = CountNear(aAgents);
  std::vector<DueSubscription> due;
  for (const auto& [ip, agent] : aAgents.All()) {
    if (due.size() == kMostInATick) {
      break;
    }
    if (!IsDue(aNow, agent, next, all)) {
      continue;
    }
    Subscribe message;
    message.m_pace =
      PaceFor(agent.m_isNear, agent.m_isNear ? near : all - near, all);
    message.m_routes = aRoutes;
    message.m_agents = aListed;
    message.m_isListed = agent.m_isListed;
    message.m_knownTag = agent.m_heardAt ? agent.m_serviceTag : 0;
    due.push_back({ ip, message });
  }
  for (const DueSubscription& subscription : due) {
    aAgents.OnSubscribed(aNow, subscription.m_agentIp, subscription.m_message);
  }
  return due;
}

} // namespace bilberryfield
