#include "SubscriptionSchedule.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Reports per second from all agents of the balancer's failure domain. The
 * rate can double while their servers alternate between full and not full. */
constexpr int kSameDomainReportsPerSecond = 210;
/** Reports per second from all agents of other failure domains; a hard limit.
 */
constexpr int kOtherDomainReportsPerSecond = 100;
/** Subscriptions renewed per second while no version changes. */
constexpr int kSubscriptionsPerSecond = 60;
constexpr Milliseconds kMinReportInterval{ 100 };
constexpr Milliseconds kMinChangeInterval{ 40 };
constexpr Milliseconds kMinRenewalInterval{ 1000 };
/** Lifetime of a subscription in renewal intervals: an agent stops reporting
 * when this many consecutive renewals are lost. */
constexpr int kRenewalsPerLifetime = 4;
/** Minimum interval between subscriptions that carry new versions to an agent.
 */
constexpr Duration kVersionUpdateInterval = Milliseconds(200);
/** Minimum interval between subscriptions to an agent whose report is overdue.
 */
constexpr Duration kMinRetryInterval = Milliseconds(200);
/** Subscriptions per second to agents whose reports are overdue. */
constexpr int kRetriesPerSecond = 500;
/** Subscriptions per tick; the rest are sent in later ticks. */
constexpr size_t kMaxPerTick = 100;
/** Time for which an overdue report is requested at the retry interval. */
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

// Agents of the balancer's failure domain get most of the flows, so they report
// load changes as often as the rate limit allows. Becoming full or free is
// reported sooner still, because it decides where a new flow is placed.
ReportIntervals
ReportIntervalsFor(bool aIsSameDomain, size_t aAgentsInGroup, size_t aAllAgents)
{
  Milliseconds interval = IntervalFor(
    aAgentsInGroup,
    aIsSameDomain ? kSameDomainReportsPerSecond : kOtherDomainReportsPerSecond);
  ReportIntervals intervals;
  intervals.m_unchanged = std::max(kMinReportInterval, interval);
  intervals.m_onLoadChange = aIsSameDomain
                               ? std::max(kMinChangeInterval, interval)
                               : intervals.m_unchanged;
  intervals.m_onFullChange =
    aIsSameDomain ? intervals.m_onLoadChange / 2 : intervals.m_unchanged;
  intervals.m_lifetime = std::chrono::duration_cast<Milliseconds>(
    kRenewalsPerLifetime * RenewalInterval(aAllAgents));
  return intervals;
}

size_t
CountSameDomain(const AgentList& aAgents)
{
  return static_cast<size_t>(
    std::count_if(aAgents.All().begin(), aAgents.All().end(), [&](auto& aItem) {
      return aItem.second.m_isSameDomain;
    }));
}

// A restarted agent has no subscribers, so it sends no reports until the
// balancer subscribes again.
bool
IsReportOverdue(TimePoint aNow, const AgentState& aAgent)
{
  Duration sinceContact = aAgent.TimeSinceContact(aNow);
  Duration allowed = aAgent.m_reportTimeout / 2;
  return sinceContact > allowed && sinceContact < allowed + kRetryPeriod;
}

bool
IsDue(TimePoint aNow,
      const AgentState& aAgent,
      const SentSubscription& aNext,
      size_t aAllAgents)
{
  if (!aAgent.m_lastSubscription) {
    return true;
  }
  const SentSubscription& sent = *aAgent.m_lastSubscription;
  Duration elapsed = aNow - sent.m_at;
  bool hasNewVersion = sent.m_routesVersion != aNext.m_routesVersion ||
                       sent.m_agentsPosition != aNext.m_agentsPosition ||
                       sent.m_evacuationNews != aNext.m_evacuationNews;
  return elapsed >= RenewalInterval(aAllAgents) ||
         (hasNewVersion && elapsed >= kVersionUpdateInterval) ||
         (elapsed >= RetryInterval(aAllAgents) &&
          IsReportOverdue(aNow, aAgent));
}

void
SetWarmup(Subscribe& aMessage,
          const ServiceWarmups& aServices,
          const std::string& aService)
{
  auto found = aServices.find(aService);
  if (found != aServices.end()) {
    aMessage.m_coldRate = found->second.m_perSecond;
    aMessage.m_hasWarmup = found->second.m_duration > Milliseconds(0);
  }
}

} // namespace

std::vector<DueSubscription>
TakeDueSubscriptions(TimePoint aNow,
                     AgentList& aAgents,
                     const RoutesHolder& aRoutes,
                     const AgentsHolder& aListed,
                     const ServiceWarmups& aServices)
{
  const Evacuations& evacuations = aAgents.EvacuatedDomains();
  SentSubscription next{
    aNow, aRoutes.m_version, aListed.m_version, evacuations.NewsCount()
  };
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
    message.m_intervals =
      ReportIntervalsFor(agent.m_isSameDomain,
                         agent.m_isSameDomain ? sameDomain : all - sameDomain,
                         all);
    message.m_routes = aRoutes;
    message.m_agents = aListed;
    message.m_isListed = agent.m_isListed;
    message.m_reportedTag = agent.m_lastReport ? agent.m_serviceTag : 0;
    SetWarmup(message, aServices, agent.m_entry.m_service);
    message.m_evacuations = evacuations.Latest();
    due.push_back({ ip, message });
  }
  for (const DueSubscription& subscription : due) {
    aAgents.OnSubscribed(aNow, subscription.m_agentIp, subscription.m_message);
  }
  return due;
}

} // namespace bilberryfield
