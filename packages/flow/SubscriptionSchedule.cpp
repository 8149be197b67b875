#include "SubscriptionSchedule.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Reports a second from the agents of the own failure domain; up to twice
 * as many while their servers fill up and get free all the time. */
constexpr int kSameDomainReportsPerSecond = 210;
/** As kSameDomainReportsPerSecond, from all other agents; never more. */
constexpr int kOtherDomainReportsPerSecond = 100;
/** Subscriptions sent a second while nothing changes. */
constexpr int kSubscriptionsPerSecond = 60;
constexpr Milliseconds kMinReportInterval{ 100 };
constexpr Milliseconds kMinChangeInterval{ 40 };
constexpr Milliseconds kMinRenewalInterval{ 1000 };
/** Subscriptions that may be lost before an agent stops reporting. */
constexpr int kRenewalsPerLifetime = 4;
/** Time between two subscriptions because of new versions. */
constexpr Duration kVersionUpdateInterval = Milliseconds(200);
/** Time after which an agent whose report is missing is asked again. */
constexpr Duration kMinRetryInterval = Milliseconds(200);
/** Questions a second for missing reports. */
constexpr int kRetriesPerSecond = 500;
/** Subscriptions sent in one tick; more wait for the next one. */
constexpr size_t kMaxPerTick = 100;
/** Time for which a missing report is asked for. */
constexpr Duration kRetryPeriod = Seconds(5);

Milliseconds
IntervalFor(size_t aAgents, int aPerSecond)
{
  return Milliseconds(aAgents * 1000 / static_cast<size_t>(aPerSecond));
}

Duration
RetryInterval(size_t aAllAgents)
{
  return std::max<Duration>(kMinRetryInterval,
                            IntervalFor(aAllAgents, kRetriesPerSecond));
}

Duration
RenewalInterval(size_t aAllAgents)
{
  return std::max(kMinRenewalInterval,
                  IntervalFor(aAllAgents, kSubscriptionsPerSecond));
}

// Agents of the own failure domain get most of the flows, so their changes
// are reported as often as their part of the bound allows. Whether a server is
// full decides where a new flow goes.
ReportPace
ReportPaceFor(bool aIsSameDomain, size_t aAgentsInGroup, size_t aAllAgents)
{
  Milliseconds interval = IntervalFor(
    aAgentsInGroup,
    aIsSameDomain ? kSameDomainReportsPerSecond : kOtherDomainReportsPerSecond);
  ReportPace pace;
  pace.m_every = std::max(kMinReportInterval, interval);
  pace.m_onChange =
    aIsSameDomain ? std::max(kMinChangeInterval, interval) : pace.m_every;
  pace.m_onFull = aIsSameDomain ? pace.m_onChange / 2 : pace.m_every;
  pace.m_life = std::chrono::duration_cast<Milliseconds>(
    kRenewalsPerLifetime * RenewalInterval(aAllAgents));
  return pace;
}

size_t
CountSameDomain(const AgentList& aAgents)
{
  return static_cast<size_t>(
    std::count_if(aAgents.All().begin(), aAgents.All().end(), [&](auto& aItem) {
      return aItem.second.m_isNear;
    }));
}

// An agent that started anew reports to nobody until it is asked.
bool
IsReportOverdue(TimePoint aNow, const KnownAgent& aAgent)
{
  Duration sinceContact = aAgent.Silence(aNow);
  Duration allowed = aAgent.m_silenceLimit / 2;
  return sinceContact > allowed && sinceContact < allowed + kRetryPeriod;
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
  Duration elapsed = aNow - sent.m_at;
  bool hasNewVersion =
    sent.m_routes != aNext.m_routes || sent.m_listed != aNext.m_listed;
  return elapsed >= RenewalInterval(aAllAgents) ||
         (hasNewVersion && elapsed >= kVersionUpdateInterval) ||
         (elapsed >= RetryInterval(aAllAgents) &&
          IsReportOverdue(aNow, aAgent));
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
  size_t sameDomain = CountSameDomain(aAgents);
  std::vector<DueSubscription> due;
  for (const auto& [ip, agent] : aAgents.All()) {
    if (due.size() == kMaxPerTick) {
      break;
    }
    if (!IsDue(aNow, agent, next, all)) {
      continue;
    }
    Subscribe message;
    message.m_pace = ReportPaceFor(
      agent.m_isNear, agent.m_isNear ? sameDomain : all - sameDomain, all);
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
