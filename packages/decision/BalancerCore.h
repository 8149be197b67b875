#pragma once

#include "FlowToken.h"
#include "ReasonCounters.h"
#include "RetryBudget.h"
#include "ServerDirectory.h"
#include "Time.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace bilberryfield {

/** One request of a flow, as this balancer received it. */
struct CallerRequest
{
  /** Identifies the pending request within this process. */
  uint64_t m_id = 0;
  /** Address and port that the caller sent it to. */
  std::string m_serviceAddress;
  /** Address and port that the caller sent it from. */
  std::string m_flowKey;
  /** Flow token from an earlier answer; empty if the caller has none. */
  std::string m_token;
  std::string m_class;
  /** Idempotency key of a non-repeatable request; the same in its retries. */
  std::string m_requestId;
  /** Incremented by the caller when it retries after the answer "not run". */
  uint32_t m_attempt = 1;
  /** Position of the request in its flow; 0 opens the flow. */
  uint64_t m_sequence = 0;
  /** Timeout requested by the caller, in ms; 0 for none. */
  int64_t m_timeoutMs = 0;
  HttpRequest m_request;
};

/** The caller closed its connection. */
struct CallerGone
{
  uint64_t m_id = 0;
};

/** An answer received from the agent at this peer address. */
struct AgentAnswer
{
  std::string m_address;
  Answer m_answer;
};

/** A forward that is known not to have left this process. */
struct ForwardNotSent
{
  uint64_t m_stream = 0;
};

/** A link to an agent was lost; its unanswered forwards get no answer. */
struct AgentLinkLost
{
  std::string m_address;
  /** Work length of the link; long work has a separate link. */
  WorkLength m_work = WorkLength::Short;
};

/** A new configuration is in force at this balancer. */
struct ConfigChanged
{
  ConfigPointer m_config;
};

/** The member records changed; holds all current records. */
struct MembersChanged
{
  std::vector<MemberRecord> m_members;
};

/** Whether the state of this process may be outdated after a pause. */
struct StalenessChanged
{
  bool m_isStale = false;
};

/** The timer of a SetTimer action expired. */
struct TimerExpired
{};

using BalancerEvent = std::variant<CallerRequest,
                                   CallerGone,
                                   AgentAnswer,
                                   ForwardNotSent,
                                   AgentLinkLost,
                                   ConfigChanged,
                                   MembersChanged,
                                   StalenessChanged,
                                   TimerExpired>;

/** The result that is returned to a caller. */
struct CallerAnswer
{
  Outcome m_outcome = Outcome::Unknown;
  RefusalReason m_reason = RefusalReason::None;
  int64_t m_retryAfterMs = 0;
  HttpAnswer m_answer;
  /** Token for the flow's next requests; empty if there is no flow. */
  std::string m_token;
  /** Server of the last forward; empty if nothing was forwarded. */
  std::string m_server;
};

/** Send a forward to the agent at an address. */
struct SendForward
{
  std::string m_address;
  WorkLength m_work = WorkLength::Short;
  Forward m_forward;
};

/** Cancel a stream at an agent: its answer is no longer needed. */
struct SendCancel
{
  std::string m_address;
  WorkLength m_work = WorkLength::Short;
  Cancel m_cancel;
};

/** Return the final answer to a caller; sent once per request. */
struct AnswerCaller
{
  uint64_t m_id = 0;
  std::string m_service;
  std::string m_class;
  CallerAnswer m_answer;
};

/** Deliver TimerExpired at this time; only the earliest timer is needed. */
struct SetTimer
{
  TimePoint m_at;
};

using BalancerAction =
  std::variant<SendForward, SendCancel, AnswerCaller, SetTimer>;

/** Limits of a balancer's decisions. */
struct BalancerOptions
{
  /** Retries that put load on servers, per request. */
  double m_retryRatio = 0.1;
  double m_retryBurst = 10.0;
  /** Time for which an unreachable server is tried last. */
  Duration m_avoidDuration = Seconds(2);
  /** Half-life of the failure count of a server. */
  Duration m_failureHalfLife = Seconds(2);
  /** Age at which a load report is no longer used. */
  Duration m_maxLoadReportAge = Seconds(1);
  /** Retry-after for callers when no server is available, ms. */
  int64_t m_noServerRetryAfterMs = 1000;
  /** Retry-after for callers while the state of this process is outdated, ms.
   */
  int64_t m_staleRetryAfterMs = 100;
  /** Maximum number of forwards per request. */
  size_t m_maxTries = 6;
};

/**
 * Selects the backend server for each request and the answer to its caller.
 * Keeps no state per flow: flow tokens and rendezvous hashing place flows.
 */
class BalancerCore
{
public:
  using Options = BalancerOptions;
  using Actions = std::vector<BalancerAction>;

  /** aSeed also selects the first stream id; it must differ per start. */
  BalancerCore(Options aOptions, uint64_t aSeed);

  /** Handles an event at aNow; the actions must be carried out in order. */
  Actions OnEvent(TimePoint aNow, const BalancerEvent& aEvent);

  /** Number of requests that are not answered yet. */
  size_t WaitingCount() const { return m_pending.size(); }

  const RefusalCounters& Refusals() const { return m_refusals; }
  const RetryCounters& Retries() const { return m_retries; }

  /** Candidate servers for a new flow with this key, in order of preference. */
  ServerList Explain(const std::string& aService,
                     const std::string& aFlowKey) const;

private:
  struct Try
  {
    uint64_t m_stream = 0;
    ServerRef m_server;
    Binding m_binding;
    ForwardMode m_mode = ForwardMode::Open;
  };

  struct Pending
  {
    CallerRequest m_request;
    std::string m_service;
    TrafficClass m_class;
    TimePoint m_deadline;
    /** Servers not tried yet, in order of preference. */
    ServerList m_candidates;
    Try m_try;
    size_t m_tries = 0;
    /** An earlier try ended without a definite result; it may have run. */
    bool m_mayHaveRun = false;
    /** The agent guarantees that this attempt never runs. */
    bool m_isProvenNotRun = false;
    /** Reason of the latest refusal, for the final answer. */
    RefusalReason m_lastReason = RefusalReason::None;
    int64_t m_retryAfterMs = 0;
  };

  using LinkKey = std::pair<std::string, WorkLength>;

  struct ServerStats
  {
    LoadReport m_load;
    TimePoint m_loadReceivedAt;
    uint32_t m_waiting = 0;
    TimePoint m_avoidUntil;
    /** Failed requests as of m_failuresAt; decays with m_failureHalfLife. */
    double m_failures = 0.0;
    TimePoint m_failuresAt;
  };

  void Handle(const CallerRequest& aRequest);
  void Handle(const CallerGone& aGone);
  void Handle(const AgentAnswer& aAnswer);
  void Handle(const ForwardNotSent& aNotSent);
  void Handle(const AgentLinkLost& aLost);
  void Handle(const ConfigChanged& aChanged);
  void Handle(const MembersChanged& aChanged);
  void Handle(const StalenessChanged& aChanged);
  void Handle(const TimerExpired& aWake);

  void StartBound(Pending& aPending);
  void StartUnbound(Pending& aPending);
  void TryNext(Pending& aPending, ForwardMode aMode);
  void SendTry(Pending& aPending, Try aTry);
  void RetryElsewhere(Pending& aPending, RetryReason aReason);
  void OnRefused(Pending& aPending, const Answer& aAnswer);
  void OnFlowMoved(Pending& aPending, const Answer& aAnswer);
  void OnForwardLost(Pending& aPending, RetryReason aReason);
  void GiveUp(Pending& aPending);
  bool MayRepeatEarlierRun(const Pending& aPending) const;
  void Refuse(Pending& aPending, Outcome aOutcome, RefusalReason aReason);
  void Finish(Pending& aPending, CallerAnswer aAnswer);
  void EndTry(Pending& aPending);
  Pending* FindByStream(uint64_t aStream);
  ServerList OrderedCandidates(const std::string& aService,
                               const std::string& aFlowKey) const;
  double LoadPerSlot(const ServerRef& aServer) const;
  double DecayedFailures(const ServerStats& aView) const;
  void OnServerFailed(Pending& aPending);
  std::string TokenFor(const Pending& aPending, const Binding& aBinding) const;
  int64_t AddJitter(int64_t aRetryAfterMs);

  Options m_options;
  std::mt19937_64 m_random;
  uint64_t m_nextStream;
  ConfigPointer m_config;
  bool m_isStale = false;
  std::vector<MemberRecord> m_members;
  ServerDirectory m_directory;
  RetryBudget m_budget;
  RefusalCounters m_refusals;
  RetryCounters m_retries;
  std::unordered_map<uint64_t, Pending> m_pending;
  std::unordered_map<uint64_t, uint64_t> m_callerByStream;
  std::map<LinkKey, std::set<uint64_t>> m_streamsByLink;
  std::unordered_map<std::string, ServerStats> m_serverStats;
  std::set<std::pair<TimePoint, uint64_t>> m_deadlines;
  TimePoint m_now;
  Actions m_actions;
};

} // namespace bilberryfield
