#pragma once

#include "AgentList.h"

#include <deque>

namespace bilberryfield {

/**
 * Decides which agents that do not answer a search count as unreachable. A
 * search may end although these agents have not denied its flow, so every rule
 * errs towards reachable.
 */
class AgentReachability
{
public:
  explicit AgentReachability(const AgentList& aAgents)
    : m_agents(aAgents)
  {
  }

  AgentReachability(const AgentReachability&) = delete;
  AgentReachability& operator=(const AgentReachability&) = delete;

  /** Records a pause of this process, which the agents' times of contact
   * already exclude. */
  void OnPause(Duration aPause);

  /** Records a tick of the process, so that delays between ticks do not count
   * as silence of the agents. */
  void OnTick(TimePoint aNow);

  /** True if the agent counts as unreachable: it is silent, or it reports that
   * it has heard nothing of its server since it started. */
  bool IsUnreachable(TimePoint aNow, const AgentState& aAgent);

  /** Silence after which an agent counts as unreachable. Longer than a paused
   * VM is away and than the deadline of any request. */
  static constexpr Duration kUnreachable = Seconds(6);
  /** The same after a general restart of the agent's service: a server that
   * returns later has lost its flows as well. */
  static constexpr Duration kUnreachableAfterRestart = Seconds(1);
  /** Time after a general restart in which a server sends its first heartbeat
   * to an agent that answers. Three heartbeats at the usual interval. */
  static constexpr Duration kServerAbsentAfterRestart = Seconds(3);
  /** Age up to which a server's start counts as part of a general restart. */
  static constexpr Duration kRestartWindow = Seconds(10);

private:
  /** Reporting agents and the starts of servers that they saw. */
  struct Group
  {
    /** Number of starts after a time. */
    size_t StartsAfter(TimePoint aTime) const;

    size_t m_reportingCount = 0;
    /** In ascending order. */
    std::vector<TimePoint> m_starts;
  };

  /** State of a service's agents, computed at most once per tick. */
  struct ServiceState
  {
    bool m_isHeard = false;
    Group m_all;
    std::map<std::string, Group> m_byDomain;
  };

  /** A delay between two ticks. */
  struct LateTick
  {
    TimePoint m_at;
    /** Sum of the delays up to and including this one. */
    Duration m_totalDelay{ 0 };
  };

  const ServiceState& StateOf(TimePoint aNow, const std::string& aService);
  /** Time since aContact without delays of this process. */
  Duration CountedTime(TimePoint aNow, TimePoint aContact) const;
  /** aKnownAt is the last sign of the agent's server, if any. */
  bool WasRestartGeneral(TimePoint aNow,
                         const AgentState& aAgent,
                         std::optional<TimePoint> aKnownAt);
  bool IsSilent(TimePoint aNow, const AgentState& aAgent);
  bool IsServerAbsent(TimePoint aNow, const AgentState& aAgent);

  const AgentList& m_agents;
  std::map<std::string, ServiceState> m_services;
  std::optional<TimePoint> m_lastTick;
  std::deque<LateTick> m_lateTicks;
  Duration m_totalDelay{ 0 };
  Duration m_pausedSinceTick{ 0 };
};

} // namespace bilberryfield
