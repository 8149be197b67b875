#pragma once

#include "CircuitBreaker.h"
#include "FlowLimit.h"
#include "FlowTable.h"
#include "LatencyHistogram.h"
#include "PauseDetector.h"
#include "ReportSchedule.h"
#include "RequestOrder.h"
#include "ServerStartup.h"
#include "ServerTracker.h"
#include "SynQueue.h"

#include <absl/container/inlined_vector.h>
#include <array>
#include <deque>

namespace bilberryfield {

/** What an agent does with a packet. */
enum class FlowAgentAction : uint8_t
{
  Deliver,  /**< Send it to the server, tagged with the balancer's address. */
  Queue,    /**< Keep the packet until the server can accept it. */
  ToCaller, /**< Send the server's packet to the caller, unchanged. */
  Return,   /**< Return it to the balancer with a reason and the load. */
  Reset,    /**< Send a reset to the caller: the flow is lost or refused. */
  Drop,
};

/** An agent's decision on one packet. */
struct AgentDecision
{
  FlowAgentAction m_action = FlowAgentAction::Drop;
  ReturnReason m_reason = ReturnReason::None;
  /** Balancer that a packet is returned to. */
  uint32_t m_balancerIp = 0;
  /** The packet closes its flow. */
  bool m_isLast = false;
  /** The packet begins the wait of a request on an open flow. */
  bool m_isWaitBegin = false;
};

/** A packet that has left a queue, and the decision on it. */
struct DequeuedPacket
{
  AgentDecision m_decision;
  QueuedPacket m_packet;
  /** The wait that ended, in the first packet of a request on an open flow. */
  std::optional<RequestWait> m_wait;
};

/** Settings of a FlowAgent. */
struct FlowAgentOptions
{
  std::string m_service;
  std::string m_domain;
  /** Address at which the agent receives packets for its server. */
  Endpoint m_packets;
  /** Interval of the server's heartbeats. */
  Duration m_heartbeatEvery = Seconds(1);
  /** Start of this process, as Unix time in milliseconds. */
  uint64_t m_processStartMs = 0;
  /** Maximum lifetime of a flow. */
  Duration m_maxFlowAge = Seconds(60);
  /** Maximum number of flows per generation of the flow table. */
  size_t m_maxFlows = 100'000;
  /** Stops new flows to a server that resets requests without an answer. */
  bool m_ejectsFailingServer = false;
  StartupOptions m_startup;
  /** Requests on open flows wait for more urgent SYN packets. */
  bool m_orderRequests = false;
};

/** A SYN that the server has not answered. */
struct UnansweredSyn
{
  FlowKey m_flow;
  uint32_t m_balancerIp = 0;
  /** The packet as the balancer sent it. */
  absl::InlinedVector<uint8_t, 40> m_bytes;
};

/**
 * Decides which packets reach the agent's backend server and which load reports
 * the balancers get. Does no I/O: the agent daemon executes the decisions.
 */
class FlowAgent
{
public:
  FlowAgent(FlowAgentOptions aOptions, TimePoint aStart);

  /** Handles a packet that a balancer forwarded. */
  AgentDecision OnBalancerPacket(TimePoint aNow,
                                 const PacketHeader& aHeader,
                                 PacketBytes aBytes,
                                 uint32_t aBalancerIp);

  /** Handles a packet that the server sent or bounced. */
  AgentDecision OnServerPacket(TimePoint aNow, const PacketHeader& aHeader);

  /** Handles a heartbeat of the server. */
  HeartbeatResult OnHeartbeat(TimePoint aNow,
                              const ServerHeartbeat& aHeartbeat);
  /** Handles the server's announcement that it shuts down. */
  void OnLeave(const std::string& aServerId) { m_server.OnLeave(aServerId); }

  /** Handles a subscription of a balancer to load reports. */
  void OnSubscribe(TimePoint aNow,
                   uint32_t aBalancerIp,
                   const Subscribe& aMessage);

  /** Answers a balancer's query for a flow. */
  FlowAnswer OnQuery(TimePoint aNow, const FlowQuery& aQuery);

  /** The evacuated failure domains that balancers told. */
  Evacuations& EvacuatedDomains() { return m_evacuations; }
  const Evacuations& EvacuatedDomains() const { return m_evacuations; }

  /** Stops accepting new flows, because the process is about to end. */
  void BeginShutdown() { m_isStopping = true; }

  /**
   * Returns the SYNs and the packets of requests that leave their queue because
   * the server can accept them, because it accepts no new flows any more,
   * because its failure domain is evacuated, or because they were evicted or
   * expired. To be called after each packet and each tick, once the decision on
   * the packet has been executed.
   */
  std::vector<DequeuedPacket> TakeDequeuedPackets(TimePoint aNow);

  /** Handles timeouts and returns the reports that are due; to be called every
   * kTick. */
  DueReports OnTick(TimePoint aNow);

  /** Returns SYNs that the server did not answer in time, each of them once. */
  std::vector<UnansweredSyn> TakeUnansweredSyns(TimePoint aNow);

  /** Condition of the server; Draining instead of Ready during a shutdown. */
  ServerCondition Condition(TimePoint aNow) const;

  /** Current load, as sent with returned packets. */
  LoadTag Load(TimePoint aNow) const;

  /** Admission after a start or recovery of the server. */
  ServerStartup& Startup() { return m_startup; }
  const ServerStartup& Startup() const { return m_startup; }

  /** True once after a balancer did not find this agent in the store, or when
   * no balancer has subscribed for a while. */
  bool TakeStoreCheckDue() { return m_reports.TakeStoreCheckDue(); }

  /** Time from a flow's first packet, or from a later request, to the answer.
   */
  const LatencyHistogram& AnswerTimes() const { return m_answerTimes; }
  /** Number of packets that were returned for a reason. */
  uint64_t ReturnCount(ReturnReason aReason) const
  {
    return m_returnCounts[static_cast<size_t>(aReason)];
  }
  /** Number of flows whose SYN was sent to the server. */
  uint64_t AdmittedFlows() const { return m_admittedFlows; }
  /** Number of queued SYN packets that were evicted or expired. */
  uint64_t RejectedSyns() const { return m_rejectedSyns; }

  /** Number of flows in the flow table, closed ones included. */
  size_t FlowCount() const { return m_flows.Size(); }
  /** Number of flows whose SYN or request is at the server. */
  uint32_t BusyFlows() const { return m_flows.Busy(); }
  /** Number of requests that the server reset without an answer. */
  uint64_t ResetRequests() const { return m_resetRequests; }
  /** Number of SYNs in the queue. */
  size_t QueuedSynCount() const { return m_synQueue.Size(); }
  /** Number of requests on open flows that wait. */
  size_t WaitingRequests() const { return m_requestOrder.Waiting(); }
  /** Total number of requests on open flows that have waited. */
  uint64_t HeldRequests() const { return m_requestOrder.HeldCount(); }

  static constexpr Duration kTick = Milliseconds(20);

private:
  using Phase = FlowPhase;
  using Flow = AgentFlow;

  struct SynEntry
  {
    TimePoint m_at;
    UnansweredSyn m_syn;
  };

  void AccountForPause(TimePoint aNow);
  AgentDecision OnSyn(TimePoint aNow,
                      const PacketHeader& aHeader,
                      PacketBytes aBytes,
                      uint32_t aBalancerIp);
  /** True if the order of requests decides on the packet. */
  bool IsOrdered(const PacketHeader& aHeader, const Flow& aFlow) const;
  /** Updates the flow of a packet that is delivered to the server. */
  AgentDecision DeliverOnFlow(TimePoint aNow,
                              const PacketHeader& aHeader,
                              Flow& aFlow);
  void DeliverReleasedRequests(TimePoint aNow);
  void RecordRequest(TimePoint aNow, Flow& aFlow);
  void RecordAnswer(TimePoint aNow, const Flow& aFlow);
  void RecordReset(TimePoint aNow, const Flow& aFlow);
  /** Handles the first heartbeat of an incarnation after another one. */
  void OnIncarnationChange(TimePoint aNow);
  AgentDecision OnBounced(TimePoint aNow, const PacketHeader& aHeader);
  /** Why no new flow may reach the server; None if it may. */
  ReturnReason RefusalOfNewFlows(TimePoint aNow) const;
  AgentDecision ReturnPacket(ReturnReason aReason, uint32_t aBalancerIp);
  /** True if the server may have flows that are missing from the table. */
  bool MayHaveUntrackedFlows(TimePoint aNow);
  /** True if a new flow would wait for a slot. */
  bool HasNoFreeSlot(TimePoint aNow) const;
  /** True if the server may get one more flow of the priority. */
  bool CanAdmit(TimePoint aNow, uint8_t aPriority) const;
  /** Serves the next SYN or request that waits, if the server can take it. */
  bool ServeNext(TimePoint aNow);
  /** Busy flows at the server plus queued first transmissions and requests. */
  uint32_t Demand() const;
  /** Demand and slots as they are reported. */
  ReportedSlots Reported(TimePoint aNow) const;
  uint32_t Slots() const;
  /** Adds a flow whose SYN goes to the server. */
  void Admit(TimePoint aNow, const QueuedSyn& aSyn);
  AgentDecision Enqueue(TimePoint aNow, QueuedSyn aSyn);
  /** Rejects a SYN that was evicted from the queue or has expired. */
  void RejectQueued(QueuedSyn aSyn);
  /** Tells whether a flow of the table is the one that a caller's
   * acknowledgement number belongs to. */
  static FlowOwnership OwnershipOf(const Flow& aFlow, uint32_t aAck);
  ServerLoad CurrentLoad(TimePoint aNow) const;

  FlowAgentOptions m_options;
  uint32_t m_serviceTag;
  /** Time until which flows may be open that were opened before this process
   * started. */
  TimePoint m_earlierFlowsUntil;
  /** Time until which flows may be open that are missing from the table. */
  TimePoint m_untrackedUntil;
  ServerTracker m_server;
  PauseDetector m_pause;
  ServerStartup m_startup;
  FlowTable m_flows;
  /** Flows that the server bounced, so it does not have them. */
  GenerationMap<FlowKey, bool> m_bouncedFlows;
  TimePoint m_nextGeneration;
  double m_answerUs = 0;
  /** Answers in m_answerUs, if it was started anew for an incarnation. */
  std::optional<uint32_t> m_answerCount;
  LatencyHistogram m_answerTimes;
  std::array<uint64_t, static_cast<size_t>(ReturnReason::Count)>
    m_returnCounts{};
  uint64_t m_admittedFlows = 0;
  uint64_t m_rejectedSyns = 0;
  std::deque<SynEntry> m_unansweredSyns;
  SynQueue m_synQueue;
  RequestOrder m_requestOrder;
  FlowLimit m_flowLimit;
  CircuitBreaker m_circuit;
  uint64_t m_resetRequests = 0;
  /** Results for the next TakeDequeuedPackets call. */
  std::vector<DequeuedPacket> m_dequeued;
  ReportSchedule m_reports;
  Evacuations m_evacuations;
  bool m_isStopping = false;
};

} // namespace bilberryfield
