#pragma once

#include "AdmissionQueue.h"
#include "Journal.h"
#include "ReasonCounters.h"
#include "RequestLedger.h"

#include <set>
#include <unordered_map>

namespace bilberryfield {

/** A request received on a link; the answer is sent on the same link. */
struct ForwardArrived
{
  uint64_t m_link = 0;
  Forward m_forward;
};

/** A balancer cancelled a stream of its link. */
struct CancelArrived
{
  uint64_t m_link = 0;
  Cancel m_cancel;
};

/** A link from a balancer was lost. */
struct BalancerLinkLost
{
  uint64_t m_link = 0;
};

/** How work at the backend server ended. */
enum class WorkEnd : uint8_t
{
  Answered,
  NotSent, /**< No byte of the request reached the server. */
  Lost,    /**< No answer; the server may have run the request. */
};

/** Work that a StartWork action started has ended. */
struct WorkEnded
{
  uint64_t m_work = 0;
  WorkEnd m_end = WorkEnd::Lost;
  HttpAnswer m_answer;
};

/** An operator or a shutdown started or cancelled the drain of this agent. */
struct DrainChanged
{
  bool m_isDraining = true;
};

/** A new configuration is in force at this agent. */
struct AgentConfigChanged
{
  ConfigPointer m_config;
};

/** The time of an SetAgentTimer action has come. */
struct AgentTimerExpired
{};

using AgentEvent = std::variant<ForwardArrived,
                                CancelArrived,
                                BalancerLinkLost,
                                WorkEnded,
                                DrainChanged,
                                AgentConfigChanged,
                                AgentTimerExpired>;

/** Send the request to the backend server. */
struct StartWork
{
  uint64_t m_work = 0;
  /** Time left until the deadline. */
  Duration m_limit{};
  HttpRequest m_request;
};

/** Cancel work at the backend server; its answer is no longer needed. */
struct CancelWork
{
  uint64_t m_work = 0;
};

/** Send an answer on a link. */
struct SendAnswer
{
  uint64_t m_link = 0;
  Answer m_answer;
};

/** Deliver an AgentTimerExpired at this time; only the earliest has to be kept.
 */
struct SetAgentTimer
{
  TimePoint m_at;
};

using AgentAction =
  std::variant<StartWork, CancelWork, SendAnswer, SetAgentTimer>;

/** Identity and limits of an agent. */
struct AgentOptions
{
  std::string m_server;
  /** IP and port of the agent's peer link. */
  std::string m_address;
  uint64_t m_incarnation = 1;
  std::vector<std::string> m_labels;
  AdmissionOptions m_admission;
  size_t m_maxLedgerEntries = 100'000;
  size_t m_maxKeptAnswerBytes = size_t{ 16 } * 1024;
  size_t m_maxJournalPending = 50'000;
  size_t m_maxFlows = 100'000;
  /** Time after the start of a drain in which existing flows are served. */
  Duration m_drainGrace = Seconds(2);
};

/**
 * Admits, queues and starts the requests of one backend server, and answers
 * each request with its outcome.
 */
class AgentCore
{
public:
  using Options = AgentOptions;
  using Actions = std::vector<AgentAction>;

  explicit AgentCore(Options aOptions);

  /** Handles an event at aNow; the actions must be carried out in order. */
  Actions OnEvent(TimePoint aNow, const AgentEvent& aEvent);

  /** True when nothing is queued or running. */
  bool IsIdle() const { return m_works.empty(); }

  bool IsDraining() const { return m_drainSince.has_value(); }

  LoadReport Load() const;
  const RefusalCounters& Refusals() const { return m_refusals; }
  uint64_t ServedCount() const { return m_served; }
  size_t FlowCount() const { return m_flows.size(); }
  size_t LedgerSize() const { return m_ledger.Size(); }
  /** Journal of the requests of this agent start. */
  Journal& RequestJournal() { return m_journal; }
  const Journal& RequestJournal() const { return m_journal; }

private:
  struct Flow
  {
    std::string m_service;
    std::string m_flowKey;
    TimePoint m_lastSeen;
    /** Requests of this flow that are queued or running. */
    uint32_t m_activeRequests = 0;
    /**
     * A refusal could not be recorded in the full ledger, so new non-repeatable
     * requests of this flow are refused.
     */
    bool m_rejectsNonRepeatable = false;
    /** Another agent moved the flow here. */
    bool m_isAdopted = false;
    /** Binding after a drain moved the flow; empty server until then. */
    Binding m_movedTo;
  };

  struct Waiter
  {
    uint64_t m_link = 0;
    uint64_t m_stream = 0;
  };

  /** A request that is queued or running. */
  struct Work
  {
    uint64_t m_flow = 0;
    Forward m_forward;
    ClassKey m_class;
    TimePoint m_deadline;
    std::vector<Waiter> m_waiters;
    bool m_isRunning = false;
    TimePoint m_startedAt;
  };

  using ServiceFlowKey = std::pair<std::string, std::string>;

  void Handle(const ForwardArrived& aArrived);
  void Handle(const CancelArrived& aArrived);
  void Handle(const BalancerLinkLost& aLost);
  void Handle(const WorkEnded& aEnded);
  void Handle(const DrainChanged& aChanged);
  void Handle(const AgentConfigChanged& aChanged);
  void Handle(const AgentTimerExpired& aWake);

  const ServiceConfig* ServedService(const std::string& aName) const;
  std::optional<uint64_t> ResolveFlow(const ForwardArrived& aArrived);
  std::optional<uint64_t> ResolveBound(const ForwardArrived& aArrived);
  std::optional<uint64_t> ResolveUnbound(const ForwardArrived& aArrived);
  uint64_t DeriveFlowId(uint64_t aNumber) const;
  void OpenFlow(const Forward& aForward, uint64_t aFlowId);
  bool AnswerIfRepeat(const ForwardArrived& aArrived, uint64_t aFlowId);
  void AddWaiter(const ForwardArrived& aArrived, uint64_t aWorkId);
  bool MoveIfDraining(const ForwardArrived& aArrived, uint64_t aFlowId);
  void Enqueue(const ForwardArrived& aArrived,
               uint64_t aFlowId,
               const TrafficClass& aClass);
  bool RecordRefusal(const Forward& aForward, uint64_t aFlowId);
  void RefuseNew(const ForwardArrived& aArrived,
                 uint64_t aFlowId,
                 AdmissionRefusal aRefusal);
  void RefuseQueued(uint64_t aWorkId, RefusalReason aReason);
  void StartQueued();
  void RemoveWaiter(uint64_t aWorkId, const Waiter& aWaiter);
  void EndWork(uint64_t aWorkId, const Answer& aAnswer);
  void ExpireIdleFlows();
  void SetQueueTimer();
  Binding CurrentBinding(uint64_t aFlowId) const;
  void Reply(const Waiter& aWaiter, Answer aAnswer);
  void ReplyRefusal(const ForwardArrived& aArrived,
                    Outcome aOutcome,
                    RefusalReason aReason,
                    uint64_t aFlowId = 0,
                    Duration aRetryAfter = Duration{});
  void RecordEvent(JournalEvent aEvent,
                   uint64_t aItem,
                   const Work& aWork,
                   Outcome aOutcome = Outcome::NotRun,
                   RefusalReason aReason = RefusalReason::None);

  Options m_options;
  ConfigPointer m_config;
  AdmissionQueue m_queue;
  RequestLedger m_ledger;
  Journal m_journal;
  RefusalCounters m_refusals;
  uint64_t m_served = 0;
  std::unordered_map<uint64_t, Flow> m_flows;
  std::map<ServiceFlowKey, uint64_t> m_flowIdByKey;
  std::unordered_map<uint64_t, Work> m_works;
  std::unordered_map<RequestKey, uint64_t, RequestKeyHash> m_workByRequest;
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> m_workByStream;
  /** Adopted flows that ended; a delayed forward must not reopen them. */
  std::set<uint64_t> m_endedAdoptedFlows;
  std::optional<TimePoint> m_drainSince;
  uint64_t m_nextWork = 1;
  uint64_t m_nextFlow = 1;
  TimePoint m_nextSweep;
  TimePoint m_now;
  Actions m_actions;
};

} // namespace bilberryfield
