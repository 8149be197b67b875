#pragma once

#include "FlowMessages.h"

#include <map>
#include <vector>

namespace bilberryfield {

/** Reports for several balancers. */
struct DueReports
{
  /** Balancers that have to learn who the agent is, or newer versions. */
  std::vector<uint32_t> m_reportRecipients;
  AgentReport m_report;
  std::vector<uint32_t> m_loadRecipients;
  ServerLoad m_load;
};

/** Decides when an agent reports to which balancers, and how much. */
class ReportSchedule
{
public:
  /** aDetails tells who the agent is. */
  ReportSchedule(AgentReport aDetails, TimePoint aStart);

  /** A balancer asks for reports. */
  void OnSubscribe(TimePoint aNow,
                   uint32_t aBalancerIp,
                   const Subscribe& aMessage);

  /** Reports that are due, with the server's present load. */
  DueReports OnTick(TimePoint aNow, const ServerLoad& aLoad);

  /** Once true after a balancer missed this agent in the store's list, or when
   * no balancer has asked for reports for a while. */
  bool TakeStoreCheckDue();

private:
  struct Subscriber
  {
    TimePoint m_subscribedAt;
    TimePoint m_reportedAt;
    ReportPace m_pace;
    ServerLoad m_reportedLoad;
    bool m_hasAgentDetails = false;
    /** Versions that the balancer has, or was told of. */
    uint64_t m_routes = 0;
    uint64_t m_agents = 0;
  };

  static bool IsDue(TimePoint aNow,
                    const Subscriber& aSubscriber,
                    const ServerLoad& aLoad);
  bool NeedsFullReport(const Subscriber& aSubscriber) const;

  /** The whole report; its load is set when one is sent. */
  AgentReport m_report;
  uint32_t m_serviceTag;
  std::map<uint32_t, Subscriber> m_subscribers;
  bool m_isStoreCheckDue = false;
  /** When a balancer last asked for reports, or the lack of one was noted. */
  TimePoint m_lastSubscribed;
};

} // namespace bilberryfield
