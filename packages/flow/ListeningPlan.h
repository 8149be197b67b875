#pragma once

#include "AgentList.h"

namespace bilberryfield {

/** A subscription that a balancer has to send. */
struct DueSubscription
{
  uint32_t m_agentIp = 0;
  Subscribe m_message;
};

/**
 * Decides when a balancer subscribes to which agents, and at what pace they
 * report, so that what it hears in a second stays within a bound however many
 * agents there are.
 */
class ListeningPlan
{
public:
  /** Subscriptions that are due; to be called every kTick. The list of agents
   * learns the pace of each. */
  std::vector<DueSubscription> OnTick(TimePoint aNow,
                                      AgentList& aAgents,
                                      const VersionHolder& aRoutes,
                                      const VersionHolder& aListed);

  static constexpr Duration kTick = Milliseconds(100);

private:
  struct Sent
  {
    TimePoint m_at;
    /** Versions that the agent was told. */
    uint64_t m_routes = 0;
    uint64_t m_listed = 0;

    bool TellsSameAs(const Sent& aOther) const
    {
      return m_routes == aOther.m_routes && m_listed == aOther.m_listed;
    }
  };

  std::map<uint32_t, Sent> m_sent;
};

} // namespace bilberryfield
