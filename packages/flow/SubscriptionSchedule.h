#pragma once

#include "AgentList.h"

namespace bilberryfield {

/** A subscription that a balancer has to send. */
struct DueSubscription
{
  uint32_t m_agentIp = 0;
  Subscribe m_message;
};

/** Time between two calls of TakeDueSubscriptions. */
inline constexpr Duration kSubscriptionTick = Milliseconds(100);

/**
 * The agents that a balancer has to subscribe to now, and the pace at which
 * each shall report, so that what it hears in a second stays within a bound
 * however many agents there are. Each is noted in the list as sent.
 */
std::vector<DueSubscription>
TakeDueSubscriptions(TimePoint aNow,
                     AgentList& aAgents,
                     const VersionHolder& aRoutes,
                     const VersionHolder& aListed);

} // namespace bilberryfield
