#pragma once

#include "AgentList.h"
#include "RouteTable.h"

namespace bilberryfield {

/** A subscription that a balancer has to send to an agent. */
struct DueSubscription
{
  uint32_t m_agentIp = 0;
  Subscribe m_message;
};

/** Interval between two calls of TakeDueSubscriptions. */
inline constexpr Duration kSubscriptionTick = Milliseconds(100);

/**
 * Returns the subscriptions that are due at aNow, and records them in aAgents
 * as sent. Report intervals grow with the number of agents, so that the rate of
 * reports that the balancer receives stays bounded. aServices belongs to the
 * version of aRoutes.
 */
std::vector<DueSubscription>
TakeDueSubscriptions(TimePoint aNow,
                     AgentList& aAgents,
                     const RoutesHolder& aRoutes,
                     const AgentsHolder& aListed,
                     const ServiceWarmups& aServices = {});

} // namespace bilberryfield
