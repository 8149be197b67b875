#include "ReportSchedule.h"

#include <utility>

namespace bilberryfield {

namespace {

/** Time without any balancer's subscription after which the agent's entry in
 * the store is looked at. */
constexpr Duration kUnheardLimit = Seconds(10);

bool
IsFull(const ServerLoad& aLoad)
{
  return aLoad.m_busy >= aLoad.m_slots;
}

} // namespace

ReportSchedule::ReportSchedule(AgentReport aSelf, TimePoint aStart)
  : m_report(std::move(aSelf))
  , m_serviceTag(ServiceTag(m_report.m_service))
  , m_lastSubscribed(aStart)
{
}

void
ReportSchedule::OnSubscribe(TimePoint aNow,
                            uint32_t aBalancerIp,
                            const Subscribe& aMessage)
{
  m_lastSubscribed = aNow;
  Subscriber& subscriber = m_subscribers[aBalancerIp];
  subscriber.m_heardAt = aNow;
  subscriber.m_pace = aMessage.m_pace;
  subscriber.m_knowsAgent = aMessage.m_knownTag == m_serviceTag;
  subscriber.m_routes = aMessage.m_routes.m_version;
  subscriber.m_agents = aMessage.m_agents.m_version;
  m_isMissedInStore = m_isMissedInStore || !aMessage.m_isListed;
  if (aMessage.m_routes.m_version >= m_report.m_routes.m_version) {
    m_report.m_routes = aMessage.m_routes;
  }
  if (aMessage.m_agents.m_version >= m_report.m_agents.m_version) {
    m_report.m_agents = aMessage.m_agents;
  }
}

bool
ReportSchedule::IsDue(TimePoint aNow,
                      const Subscriber& aSubscriber,
                      const ServerLoad& aLoad)
{
  const ServerLoad& before = aSubscriber.m_reported;
  const ReportPace& pace = aSubscriber.m_pace;
  Duration since = aNow - aSubscriber.m_reportedAt;
  if (since >= pace.m_every || !aSubscriber.m_knowsAgent ||
      before.m_condition != aLoad.m_condition) {
    return true;
  }
  if (before.m_busy == aLoad.m_busy) {
    return false;
  }
  bool hasTurned = IsFull(before) != IsFull(aLoad);
  return since >= (hasTurned ? pace.m_onFull : pace.m_onChange);
}

bool
ReportSchedule::NeedsWholeReport(const Subscriber& aSubscriber) const
{
  return !aSubscriber.m_knowsAgent ||
         aSubscriber.m_routes < m_report.m_routes.m_version ||
         aSubscriber.m_agents < m_report.m_agents.m_version;
}

DueReports
ReportSchedule::OnTick(TimePoint aNow, const ServerLoad& aLoad)
{
  std::erase_if(m_subscribers, [&](const auto& aItem) {
    return aNow - aItem.second.m_heardAt > aItem.second.m_pace.m_life;
  });
  if (aNow - m_lastSubscribed > kUnheardLimit) {
    m_lastSubscribed = aNow;
    m_isMissedInStore = true;
  }
  DueReports due;
  due.m_load = aLoad;
  for (auto& [ip, subscriber] : m_subscribers) {
    if (!IsDue(aNow, subscriber, aLoad)) {
      continue;
    }
    (NeedsWholeReport(subscriber) ? due.m_reportTo : due.m_loadTo)
      .push_back(ip);
    subscriber.m_reportedAt = aNow;
    subscriber.m_reported = aLoad;
    // A report that is lost is made up for after the next subscription.
    subscriber.m_knowsAgent = true;
    subscriber.m_routes = m_report.m_routes.m_version;
    subscriber.m_agents = m_report.m_agents.m_version;
  }
  if (!due.m_reportTo.empty()) {
    due.m_report = m_report;
    due.m_report.m_load = aLoad;
  }
  return due;
}

bool
ReportSchedule::TakeMissedInStore()
{
  return std::exchange(m_isMissedInStore, false);
}

} // namespace bilberryfield
