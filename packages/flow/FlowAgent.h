#pragma once

#include "FlowLimit.h"
#include "GenerationMap.h"
#include "LatencyHistogram.h"
#include "PauseDetector.h"
#include "ReportSchedule.h"
#include "ServerTracker.h"
#include "SynQueue.h"

#include <absl/container/inlined_vector.h>
#include <array>
#include <deque>

namespace bilberryfield {

/** What the agent does with a packet. */
enum class FlowAgentAction : uint8_t
{
  Deliver,  /**< To the server, with the balancer's address as its tag. */
  Queue,    /**< Kept until the server has room. */
  ToCaller, /**< The server's packet, unchanged. */
  Return,   /**< To the balancer, with a reason and the server's load. */
  Reset,    /**< Tell the caller that the flow is lost or refused. */
  Drop,
};

/** An agent's decision on one packet. */
struct AgentDecision
{
  FlowAgentAction m_action = FlowAgentAction::Drop;
  ReturnReason m_reason = ReturnReason::None;
  /** Balancer of a packet that is handed back. */
  uint32_t m_balancerIp = 0;
  /** The packet closed its flow. */
  bool m_isLast = false;
};

/** What becomes of an opening packet that has waited. */
struct DequeuedSyn
{
  AgentDecision m_decision;
  QueuedSyn m_syn;
};

/** Settings of the agent's decisions. */
struct FlowAgentOptions
{
  std::string m_service;
  std::string m_domain;
  /** Where this agent takes packets for its server. */
  Endpoint m_packets;
  Duration m_heartbeatEvery = Seconds(1);
  /** Longest life of a flow. */
  Duration m_maxFlowAge = Seconds(60);
  size_t m_maxFlows = 100'000;
};

/** A caller's opening packet that the server has not answered. */
struct UnansweredSyn
{
  FlowKey m_flow;
  uint32_t m_balancerIp = 0;
  /** The packet as the balancer sent it. */
  absl::InlinedVector<uint8_t, 40> m_bytes;
};

/**
 * The decisions of the agent beside one backend server: which packets reach
 * the server, and what the balancers learn of its load.
 */
class FlowAgent
{
public:
  FlowAgent(FlowAgentOptions aOptions, TimePoint aStart);

  /** A packet that a balancer passed on. */
  AgentDecision OnBalancerPacket(TimePoint aNow,
                                 const PacketHeader& aHeader,
                                 PacketBytes aBytes,
                                 uint32_t aBalancerIp);

  /** A packet that the server sent, or sent back. */
  AgentDecision OnServerPacket(TimePoint aNow, const PacketHeader& aHeader);

  HeartbeatResult OnHeartbeat(TimePoint aNow,
                              const ServerHeartbeat& aHeartbeat);
  void OnLeave(const std::string& aServerId) { m_server.OnLeave(aServerId); }

  /** A balancer asks for reports. */
  void OnSubscribe(TimePoint aNow,
                   uint32_t aBalancerIp,
                   const Subscribe& aMessage);

  FlowAnswer OnQuery(TimePoint aNow, const FlowQuery& aQuery);

  /** Takes no new flows from now on; the process is about to end. */
  void BeginShutdown() { m_isStopping = true; }

  /**
   * Opening packets whose wait ends: the server has room, takes no new flows
   * any more, or the caller's attempt is over. To be called after each packet.
   */
  std::vector<DequeuedSyn> TakeDequeuedSyns(TimePoint aNow);

  /** Reports that are due; to be called every kTick. */
  DueReports OnTick(TimePoint aNow);

  /** Opening packets that the server left unanswered; each is given once. */
  std::vector<UnansweredSyn> TakeUnansweredSyns(TimePoint aNow);

  /** Condition for new flows. */
  ServerCondition Condition(TimePoint aNow) const;

  LoadTag Load() const;

  /** True when a balancer that reads the store misses this agent there, or
   * when no balancer asks for reports. */
  bool TakeStoreCheckDue() { return m_reports.TakeStoreCheckDue(); }

  /** Time from a flow's first packet, or a request, to its answer. */
  const LatencyHistogram& AnswerTimes() const { return m_answerTimes; }
  /** Packets that were handed back, by reason. */
  uint64_t ReturnCount(ReturnReason aReason) const
  {
    return m_returnCounts[static_cast<size_t>(aReason)];
  }
  uint64_t AdmittedFlows() const { return m_admittedFlows; }

  size_t FlowCount() const { return m_flows.Size(); }
  uint32_t BusyFlows() const { return m_busy; }
  /** Opening packets that wait for the server. */
  size_t QueuedSynCount() const { return m_synQueue.Size(); }

  static constexpr Duration kTick = Milliseconds(20);

private:
  enum class Phase : uint8_t
  {
    Handshake, // The opening packet is at the server.
    Requested, // A request waits or runs.
    Idle,      // No request waits or runs.
    Closed,    // Either end has closed.
  };

  struct Flow
  {
    Phase m_phase = Phase::Handshake;
    bool m_hasServerSeq = false;
    uint32_t m_serverSeq = 0;
    TimePoint m_busySince;
    TimePoint m_requestedAt;
  };

  struct BusyEntry
  {
    TimePoint m_since;
    FlowKey m_flow;
  };

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
  void RecordRequest(TimePoint aNow, Flow& aFlow);
  void RecordAnswer(TimePoint aNow, const Flow& aFlow);
  AgentDecision OnBounced(const PacketHeader& aHeader);
  AgentDecision ReturnPacket(ReturnReason aReason, uint32_t aBalancerIp);
  bool MayHaveUntrackedFlows(TimePoint aNow) const;
  static bool IsBusy(Phase aPhase);
  /** True when new flows would wait for a slot. */
  bool HasNoFreeSlot() const;
  /** True when the server may get one more flow. */
  bool CanAdmit() const;
  /** Flows at the server, and those that a new flow would wait for. */
  uint32_t Demand() const;
  uint32_t Slots() const;
  /** Counts a flow whose opening packet goes to the server. */
  void Admit(TimePoint aNow, const QueuedSyn& aSyn);
  AgentDecision Enqueue(TimePoint aNow, QueuedSyn aSyn);
  /** Ends a wait that did not lead to the server. */
  void RejectQueued(QueuedSyn aSyn);
  static bool BelongsToOtherServer(const Flow& aFlow, uint32_t aAck);
  void SetPhase(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Phase aPhase);
  void ExpireBusyFlows(TimePoint aNow);
  void ExpireUnconfirmedFlows(TimePoint aNow);
  ServerLoad CurrentLoad(TimePoint aNow) const;

  FlowAgentOptions m_options;
  uint32_t m_serviceTag;
  TimePoint m_start;
  ServerTracker m_server;
  PauseDetector m_pause;
  GenerationMap<FlowKey, Flow> m_flows;
  /** Flows that the server sent back; it does not have them. */
  GenerationMap<FlowKey, bool> m_bouncedFlows;
  TimePoint m_nextGeneration;
  /** Flows whose opening packet or request is at the server. */
  uint32_t m_busy = 0;
  /** Those of m_busy whose request is at the server. */
  uint32_t m_requested = 0;
  double m_answerUs = 0;
  LatencyHistogram m_answerTimes;
  std::array<uint64_t, static_cast<size_t>(ReturnReason::Count)>
    m_returnCounts{};
  uint64_t m_admittedFlows = 0;
  std::deque<BusyEntry> m_busyEntries;
  /** Openings, until the caller's next packet is due. */
  std::deque<BusyEntry> m_unconfirmedFlows;
  std::deque<SynEntry> m_unansweredSyns;
  SynQueue m_synQueue;
  FlowLimit m_flowLimit;
  /** Ends of waits that have not been taken yet. */
  std::vector<DequeuedSyn> m_dequeuedSyns;
  ReportSchedule m_reports;
  bool m_sawIncarnationStart = false;
  bool m_isStopping = false;
};

} // namespace bilberryfield
