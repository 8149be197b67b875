#include "ReportSchedule.h"

#include <algorithm>
#include <utility>

namespace bilberryfield {

namespace {

/** Time without a subscription from any balancer after which the agent checks
 * its entry in the store for the first time, unless balancers renew their
 * subscriptions less often. */
constexpr Duration kFirstCheckAfter = Seconds(3);
/** As kFirstCheckAfter, for later checks: the interval doubles up to this. */
constexpr Duration kMaxCheckInterval = Seconds(10);
/** A subscription lives for four renewals; two of them may be late. */
constexpr int kLifetimesPerCheck = 2;
/** Age up to which a server's start matters to balancers. */
constexpr Duration kStartReportPeriod = Seconds(10);
/** Zero would mean that the agent did not see the server's start. */
constexpr Milliseconds kMinSinceStart{ 1 };

bool
IsFull(const ServerLoad& aLoad)
{
  return aLoad.m_busy >= aLoad.m_slots;
}

} // namespace

ReportSchedule::ReportSchedule(AgentReport aDetails, TimePoint aStart)
  : m_report(std::move(aDetails))
  , m_serviceTag(ServiceTag(m_report.m_service))
  , m_lastSubscribed(aStart)
  , m_checkAfter(kFirstCheckAfter)
{
}

void
ReportSchedule::OnSubscribe(TimePoint aNow,
                            uint32_t aBalancerIp,
                            const Subscribe& aMessage)
{
  m_lastSubscribed = aNow;
  m_checkAfter = std::max<Duration>(
    kFirstCheckAfter, aMessage.m_intervals.m_lifetime / kLifetimesPerCheck);
  auto [found, isNew] = m_subscribers.try_emplace(aBalancerIp);
  Subscriber& subscriber = found->second;
  subscriber.m_subscribedAt = aNow;
  subscriber.m_intervals = aMessage.m_intervals;
  // A balancer that knew an earlier process of this agent has not been told of
  // the server's start.
  bool isStartNews = isNew && m_serverStartedAt &&
                     aNow - *m_serverStartedAt < kStartReportPeriod;
  subscriber.m_hasNamedAgent = aMessage.m_reportedTag == m_serviceTag;
  subscriber.m_hasAgentDetails = subscriber.m_hasNamedAgent && !isStartNews;
  subscriber.m_routes = aMessage.m_routes.m_version;
  subscriber.m_agents = aMessage.m_agents.m_version;
  subscriber.m_evacuations = aMessage.m_evacuations;
  m_isStoreCheckDue = m_isStoreCheckDue || !aMessage.m_isListed;
  if (aMessage.m_routes.m_version >= m_report.m_routes.m_version) {
    m_report.m_routes = aMessage.m_routes;
  }
  if (aMessage.m_agents.m_version >= m_report.m_agents.m_version) {
    m_report.m_agents = aMessage.m_agents;
  }
  if (aMessage.m_evacuations.m_position > m_report.m_evacuations.m_position) {
    m_report.m_evacuations = aMessage.m_evacuations;
  }
}

void
ReportSchedule::OnServerStart(TimePoint aNow)
{
  m_serverStartedAt = aNow;
  for (auto& [ip, subscriber] : m_subscribers) {
    subscriber.m_hasAgentDetails = false;
  }
}

bool
ReportSchedule::IsDue(TimePoint aNow,
                      const Subscriber& aSubscriber,
                      const ServerLoad& aLoad)
{
  const ServerLoad& reported = aSubscriber.m_reportedLoad;
  const ReportIntervals& intervals = aSubscriber.m_intervals;
  Duration elapsed = aNow - aSubscriber.m_reportedAt;
  if (elapsed >= intervals.m_unchanged || !aSubscriber.m_hasAgentDetails ||
      reported.m_condition != aLoad.m_condition) {
    return true;
  }
  if (reported.m_busy == aLoad.m_busy && reported.m_slots == aLoad.m_slots) {
    return false;
  }
  bool hasFullnessChanged = IsFull(reported) != IsFull(aLoad);
  return elapsed >= (hasFullnessChanged ? intervals.m_onFullChange
                                        : intervals.m_onLoadChange);
}

bool
ReportSchedule::NeedsFullReport(const Subscriber& aSubscriber) const
{
  return !aSubscriber.m_hasAgentDetails ||
         aSubscriber.m_routes < m_report.m_routes.m_version ||
         aSubscriber.m_agents < m_report.m_agents.m_version ||
         m_report.m_evacuations.IsNewsFor(aSubscriber.m_evacuations);
}

DueReports
ReportSchedule::OnTick(TimePoint aNow, const ServerLoad& aLoad)
{
  std::erase_if(m_subscribers, [&](const auto& aItem) {
    return aNow - aItem.second.m_subscribedAt >
           aItem.second.m_intervals.m_lifetime;
  });
  // No balancer that could tell that the entry is missing knows this agent.
  if (aNow - m_lastSubscribed > m_checkAfter) {
    m_lastSubscribed = aNow;
    m_checkAfter =
      std::max(m_checkAfter, std::min(2 * m_checkAfter, kMaxCheckInterval));
    m_isStoreCheckDue = true;
  }
  DueReports due;
  due.m_load = aLoad;
  for (auto& [ip, subscriber] : m_subscribers) {
    if (!IsDue(aNow, subscriber, aLoad)) {
      continue;
    }
    if (NeedsFullReport(subscriber)) {
      due.m_reportRecipients.push_back(ip);
    } else {
      due.m_loadRecipients.push_back(ip);
      // The full report may have been lost.
      due.m_load.m_serviceTag =
        subscriber.m_hasNamedAgent ? due.m_load.m_serviceTag : m_serviceTag;
    }
    subscriber.m_reportedAt = aNow;
    subscriber.m_reportedLoad = aLoad;
    // If the report is lost, the next subscription shows what the balancer
    // lacks and the report is sent again.
    subscriber.m_hasAgentDetails = true;
    subscriber.m_routes = m_report.m_routes.m_version;
    subscriber.m_agents = m_report.m_agents.m_version;
    subscriber.m_evacuations = m_report.m_evacuations;
  }
  if (!due.m_reportRecipients.empty()) {
    due.m_report = m_report;
    due.m_report.m_load = aLoad;
    if (m_serverStartedAt) {
      due.m_report.m_sinceServerStart = std::max(
        kMinSinceStart,
        std::chrono::duration_cast<Milliseconds>(aNow - *m_serverStartedAt));
    }
  }
  return due;
}

bool
ReportSchedule::TakeStoreCheckDue()
{
  return std::exchange(m_isStoreCheckDue, false);
}

} // namespace bilberryfield
