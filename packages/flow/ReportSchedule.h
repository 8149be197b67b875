#pragma once

#include "FlowMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace bilberryfield {

/** The reports to send at one tick. */
struct DueReports
{
  /** IP addresses of balancers that lack the agent's details or the newest
   * versions. They receive m_report. */
  std::vector<uint32_t> m_reportRecipients;
  AgentReport m_report;
  /** IP addresses of the other balancers, which receive only m_load. */
  std::vector<uint32_t> m_loadRecipients;
  ServerLoad m_load;
};

/** Decides when an agent sends which report to which balancers. */
class ReportSchedule
{
public:
  /** aDetails contains the agent's service, failure domain and address. */
  ReportSchedule(AgentReport aDetails, TimePoint aStart);

  /** Processes a balancer's subscription, which creates or renews it. */
  void OnSubscribe(TimePoint aNow,
                   uint32_t aBalancerIp,
                   const Subscribe& aMessage);

  /** Records the start of a new incarnation of the server, which all balancers
   * get reported. */
  void OnServerStart(TimePoint aNow);

  /** Returns the reports that are due, with the server's current load, and
   * drops expired subscriptions. */
  DueReports OnTick(TimePoint aNow, const ServerLoad& aLoad);

  /** True if the agent has to check its entry in the store: a balancer did not
   * find the agent there, or no balancer has subscribed for a while. Clears the
   * flag. */
  bool TakeStoreCheckDue();

private:
  struct Subscriber
  {
    TimePoint m_subscribedAt;
    TimePoint m_reportedAt;
    ReportIntervals m_intervals;
    ServerLoad m_reportedLoad;
    bool m_hasAgentDetails = false;
    /** Its last subscription named this agent's service tag. */
    bool m_hasNamedAgent = false;
    /** Versions that the balancer has, or that were reported to it. */
    RoutesVersion m_routes = 0;
    StorePosition m_agents;
    EvacuationSet m_evacuations;
  };

  static bool IsDue(TimePoint aNow,
                    const Subscriber& aSubscriber,
                    const ServerLoad& aLoad);
  bool NeedsFullReport(const Subscriber& aSubscriber) const;

  /** The full report without the load, which is set when it is sent. */
  AgentReport m_report;
  uint32_t m_serviceTag;
  std::optional<TimePoint> m_serverStartedAt;
  std::map<uint32_t, Subscriber> m_subscribers;
  bool m_isStoreCheckDue = false;
  /** Time of the last subscription, or of the last store check for lack of one.
   */
  TimePoint m_lastSubscribed;
  /** Time without a subscription after which the next store check is due. */
  Duration m_checkAfter;
};

} // namespace bilberryfield
