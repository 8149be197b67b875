#pragma once

#include "FlowAgent.h"
#include "FlowBalancer.h"
#include "SubscriptionSchedule.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace bilberryfield {

/** State of a flow at its caller. */
enum class FlowState : uint8_t
{
  Handshake,
  Open,
  Answered,
  Reset,
  TimedOut,
  Shed, /**< The server was full and answered that it did not run the request.
         */
};

/** One caller's flow, with figures for the tests. */
struct FakeFlow
{
  FlowKey m_key;
  FlowState m_state = FlowState::Handshake;
  uint32_t m_seq = 0;
  /** Sequence number in the SYN-ACK that the caller accepted. */
  uint32_t m_serverSeq = 0;
  TimePoint m_openedAt;
  TimePoint m_answeredAt;
  /** Address of the server that got the first packet after the SYN; 0 before.
   */
  uint32_t m_server = 0;
  /** Packets that reached another server after that. */
  uint32_t m_misroutedPackets = 0;
  uint32_t m_sentPackets = 0;
  TimePoint m_resetAt;
};

/**
 * Simulates balancer and agent cores in virtual time, with fake callers and
 * servers that follow the flow protocol. Packets consist of a header only.
 */
class FakeFlowNet
{
public:
  explicit FakeFlowNet(uint64_t aSeed);

  /** Adds a balancer to the rotation; returns its index. */
  size_t AddBalancer(const std::string& aDomain);
  /** Adds a server and its agent; returns their address. */
  uint32_t AddServer(const std::string& aService,
                     const std::string& aDomain,
                     uint32_t aSlots = 4);
  /** Applies routes with a new version at every balancer. */
  void SetRoutes(const std::vector<Route>& aRoutes);

  /** Sets the balancers that the fabric sends packets to. */
  void SetRotation(std::vector<size_t> aBalancers);

  /** Restarts a process with the loss of its state. */
  void RestartBalancer(size_t aBalancer);
  void RestartAgent(uint32_t aIp);
  void RestartServer(uint32_t aIp);
  /** The server loses its state, runs again and sends its first heartbeat. It
   * is cold for aWarmup. */
  void StartCold(uint32_t aIp, Duration aWarmup);
  /** Stops the agent and its server for aTime. Packets and messages to them are
   * processed afterwards. */
  void PauseServer(uint32_t aIp, Duration aTime);
  /** Stops the server and its agent without notice. */
  void KillServer(uint32_t aIp);
  /** The server's VM is lost now, and aAfter later a VM with a server of
   * another service starts at its address. The store has the earlier agent's
   * entry for aListedAfter longer. */
  void GiveAddress(uint32_t aIp,
                   const std::string& aService,
                   Duration aAfter,
                   Duration aListedAfter);
  /** Stops a balancer for aTime. Packets and messages to it are processed
   * afterwards. */
  void PauseBalancer(size_t aBalancer, Duration aTime);
  /** The server reports that it drains. */
  void Drain(uint32_t aIp);
  /** The server stops answering; its agent keeps running. */
  void HangServer(uint32_t aIp);
  /** Sets whether the server resets each request without an answer, while it
   * still accepts flows and sends heartbeats. */
  void SetResetsRequests(uint32_t aIp, bool aResets);
  /** Sets the probability that a packet or message is lost. */
  void SetLoss(double aLoss) { m_loss = aLoss; }

  /** Opens a flow of a new caller with one request; returns the flow's number.
   */
  size_t OpenFlow(const Endpoint& aService);

  /** Opens flows at a constant rate for aTime. */
  void OpenFlows(const Endpoint& aService, int aPerSecond, Duration aTime);
  /** Sends the request of an open flow again. */
  void RepeatRequest(size_t aFlow);

  /** Runs the events of the next aTime. */
  void RunFor(Duration aTime);

  const FakeFlow& Flow(size_t aNumber) const { return m_flows[aNumber]; }
  const std::vector<FakeFlow>& Flows() const { return m_flows; }
  FlowBalancer& Balancer(size_t aBalancer)
  {
    return *m_balancers[aBalancer].m_core;
  }
  TimePoint Now() const { return m_now; }

  /** Number of flows from number aFirst on that were not answered within 150
   * ms.
   */
  size_t LateFlows(size_t aFirst) const;
  /** Number of SYNs that reached the server at an address. */
  uint32_t SynCountAt(uint32_t aIp) const;
  /** Times at which new flows reached the server at an address. */
  const std::vector<TimePoint>& FlowTimesAt(uint32_t aIp) const;
  FlowAgent& AgentAt(uint32_t aIp) { return *m_servers.at(aIp).m_agent; }
  const std::string& ServiceOf(uint32_t aIp) const;
  /** Number of SYNs that reached a server of a service to which no version of
   * the routes has sent their address. */
  size_t MisplacedSyns() const { return m_misplacedSyns; }
  /** Largest number of requests that waited at one server at the same time. */
  size_t LongestQueue() const { return m_longestQueue; }
  /** Number of packets that agents returned to balancers. */
  uint64_t ReturnCount() const { return m_returnCount; }
  /** Number of flow queries that balancers sent to agents. */
  uint64_t QueryCount() const { return m_queryCount; }

  /** Agents tell balancers the evacuated domains in their reports. */
  bool m_relaysEvacuations = true;
  /** Requests that may wait at a server before it sheds further ones. */
  size_t m_serverQueue = 16;
  /** Agents stop new flows to servers that reset requests; to be set before
   * AddServer. */
  bool m_ejectsFailingServers = false;
  /** Time after which a caller gives up silently. */
  Duration m_callerTimeout = Seconds(60);
  /** Whether balancers that start from now on reset lost flows. */
  bool m_resetsLostFlows = false;
  /** Whether the balancers' lists of agents match the store. */
  bool m_areAgentsCurrent = true;
  /** Time that a request takes at a server. */
  Duration m_requestTime = Milliseconds(20);
  /** Time that a request takes at a cold server; zero: m_requestTime. */
  Duration m_coldRequestTime{ 0 };
  /** Time from the server's SYN-ACK at the caller to the caller's request. */
  Duration m_callerDelay{ 0 };
  /** Used by agents from their next restart on. */
  StartupOptions m_startup;
  /** Part of the routes from the next version on. */
  ServiceWarmups m_warmups;

private:
  struct ServerFlow
  {
    uint32_t m_seq = 0;
    bool m_isOpen = false;
    bool m_hasRequest = false;
  };
  struct Server
  {
    uint32_t m_ip = 0;
    std::string m_service;
    /** Service of the entry in the store. */
    std::string m_listedService;
    std::string m_domain;
    uint32_t m_slots = 4;
    uint64_t m_incarnation = 1;
    uint64_t m_sequence = 0;
    bool m_isDraining = false;
    bool m_isHung = false;
    bool m_resetsRequests = false;
    bool m_isGone = false;
    TimePoint m_pausedUntil;
    uint32_t m_running = 0;
    uint32_t m_synCount = 0;
    std::vector<TimePoint> m_flowTimes;
    TimePoint m_coldUntil;
    std::deque<FlowKey> m_queue;
    std::map<FlowKey, ServerFlow> m_flowStates;
    std::unique_ptr<FlowAgent> m_agent;
  };
  struct Node
  {
    uint32_t m_ip = 0;
    std::string m_domain;
    TimePoint m_pausedUntil;
    std::unique_ptr<FlowBalancer> m_core;
  };
  struct Event
  {
    TimePoint m_at;
    uint64_t m_order = 0;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  void Schedule(Duration aDelay, std::function<void()> aRun);
  void SendDelayed(std::function<void()> aRun);
  /** As SendDelayed, to an agent; a killed one receives nothing. */
  void SendToAgent(uint32_t aIp, std::function<void(Server&)> aRun);
  void ReceiveAtAgent(uint32_t aIp, const std::function<void(Server&)>& aRun);
  /** As SendDelayed, to a balancer; a paused one receives it afterwards. */
  void SendToBalancer(size_t aBalancer,
                      std::function<void(FlowBalancer&)> aRun);
  void ReceiveAtBalancer(size_t aBalancer,
                         const std::function<void(FlowBalancer&)>& aRun);
  void ListAgentsEverywhere();
  void Tick();
  void Heartbeat(Server& aServer);
  void SendHeartbeat(Server& aServer);
  void ListAgents(FlowBalancer& aCore);
  void StartBalancer(Node& aBalancer);
  void SendFromCaller(size_t aFlow, uint8_t aFlags, uint16_t aLength);
  void ScheduleRetransmission(size_t aFlow, Duration aDelay);
  void DeliverToCaller(const PacketHeader& aHeader);
  void ExecuteSteps(size_t aBalancer,
                    const std::vector<BalancerStep>& aSteps,
                    const PacketHeader& aHeader);
  void SendQuery(size_t aBalancer, uint32_t aIp, const FlowQuery& aQuery);
  void DeliverToAgent(uint32_t aIp, PacketHeader aHeader, uint32_t aBalancerIp);
  void ApplyDecision(Server& aServer,
                     const AgentDecision& aDecision,
                     PacketHeader aHeader,
                     uint32_t aBalancerIp);
  void ApplyDequeuedPackets(Server& aServer);
  void ReturnToBalancer(Server& aServer,
                        uint32_t aBalancerIp,
                        ReturnReason aReason,
                        PacketHeader aHeader);
  void DeliverToServer(Server& aServer, const PacketHeader& aHeader);
  void SendFromServer(Server& aServer,
                      const FlowKey& aKey,
                      uint8_t aFlags,
                      uint32_t aSeq,
                      uint16_t aLength);
  void RunQueuedRequests(Server& aServer);
  size_t BalancerAt(uint32_t aIp) const;
  void SendSubscriptions(Node& aBalancer);

  std::mt19937_64 m_random;
  TimePoint m_now{ Seconds(1000) };
  uint64_t m_order = 0;
  StorePosition m_position{ 1, 1 };
  uint64_t m_version = 0;
  double m_loss = 0;
  uint64_t m_returnCount = 0;
  uint64_t m_queryCount = 0;
  size_t m_longestQueue = 0;
  std::priority_queue<Event> m_events;
  std::vector<Node> m_balancers;
  std::vector<size_t> m_rotation;
  std::map<uint32_t, Server> m_servers;
  std::vector<FakeFlow> m_flows;
  std::map<FlowKey, size_t> m_flowNumbers;
  RouteTablePointer m_routes;
  /** Services that were targets of an address under any version. */
  std::map<Endpoint, std::set<std::string>> m_everTargets;
  size_t m_misplacedSyns = 0;
};

} // namespace bilberryfield
