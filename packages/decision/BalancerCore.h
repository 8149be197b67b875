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

/** One message of a flow, as the fabric handed it to this balancer. */
struct CallerRequest
{
  /** Names the waiting caller within this process. */
  uint64_t m_id = 0;
  /** Address and port that the caller sent it to. */
  std::string m_serviceAddress;
  /** Address and port that the caller sent it from. */
  std::string m_flowKey;
  /** Flow token from an earlier answer; empty in a new flow. */
  std::string m_token;
  std::string m_class;
  /** Caller's name for a non-repeatable request; the same in its repeats. */
  std::string m_requestId;
  /** Grows when the caller asks anew after the answer "not run". */
  uint32_t m_attempt = 1;
  /** Position of the message in its flow; 0 opens the flow. */
  uint64_t m_sequence = 0;
  /** Caller's own limit in ms; 0 when it states none. */
  int64_t m_timeoutMs = 0;
  HttpRequest m_request;
};

/** The caller closed its connection. */
struct CallerGone
{
  uint64_t m_id = 0;
};

/** An answer that arrived from the agent at this peer address. */
struct AgentAnswer
{
  std::string m_address;
  Answer m_answer;
};

/** A forward that certainly never left this process. */
struct ForwardNotSent
{
  uint64_t m_stream = 0;
};

/** A link to an agent was lost with everything unanswered on it. */
struct AgentLinkLost
{
  std::string m_address;
  /** Long work has a link of its own. */
  WorkLength m_work = WorkLength::Short;
};

/** A new configuration is in force at this balancer. */
struct ConfigChanged
{
  ConfigPointer m_config;
};

/** The records of the members changed. */
struct MembersChanged
{
  std::vector<MemberRecord> m_members;
};

/** Whether what this process knows may be from before a pause of it. */
struct StalenessChanged
{
  bool m_isStale = false;
};

/** The time of a SetTimer action has come. */
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

/** What a caller is told. */
struct CallerAnswer
{
  Outcome m_outcome = Outcome::Unknown;
  RefusalReason m_reason = RefusalReason::None;
  int64_t m_retryAfterMs = 0;
  HttpAnswer m_answer;
  /** Token for the flow's next messages; empty when there is no flow. */
  std::string m_token;
  /** Server that had the last word; empty when none was asked. */
  std::string m_server;
};

/** Send a forward to the agent at an address. */
struct SendForward
{
  std::string m_address;
  WorkLength m_work = WorkLength::Short;
  Forward m_forward;
};

/** Tell an agent that nobody waits for a stream any more. */
struct SendCancel
{
  std::string m_address;
  WorkLength m_work = WorkLength::Short;
  Cancel m_cancel;
};

/** Give a caller its one final answer. */
struct AnswerCaller
{
  uint64_t m_id = 0;
  std::string m_service;
  std::string m_class;
  CallerAnswer m_answer;
};

/** Deliver a TimerExpired event at this time; only the earliest one has to be
 * kept. */
struct SetTimer
{
  TimePoint m_at;
};

using BalancerAction =
  std::variant<SendForward, SendCancel, AnswerCaller, SetTimer>;

/** Limits of a balancer's decisions. */
struct BalancerOptions
{
  /** Retries that put load on servers, per first try. */
  double m_retryRatio = 0.1;
  double m_retryBurst = 10.0;
  /** Time for which a server that could not be reached is tried last. */
  Duration m_avoidDuration = Seconds(2);
  /** Time in which the memory of a server's failures halves. */
  Duration m_failureHalfLife = Seconds(2);
  /** Age at which a load report says nothing any more. */
  Duration m_maxLoadReportAge = Seconds(1);
  /** Come-back time for callers when no server is known, ms. */
  int64_t m_noServerRetryAfterMs = 1000;
  /** Come-back time for callers while this process catches up, ms. */
  int64_t m_staleRetryAfterMs = 100;
  /** Servers that one request may be offered to. */
  size_t m_maxTries = 6;
};

/**
 * Decides where each message of a flow goes and what its caller is told.
 * It keeps no memory of flows: tokens and rendezvous hashing place them.
 */
class BalancerCore
{
public:
  using Options = BalancerOptions;
  using Actions = std::vector<BalancerAction>;

  /** aSeed also makes this start's stream numbers differ from earlier ones. */
  BalancerCore(Options aOptions, uint64_t aSeed);

  /** Takes one event at aNow; the actions are to be carried out in order. */
  Actions OnEvent(TimePoint aNow, const BalancerEvent& aEvent);

  /** Requests whose callers still wait. */
  size_t WaitingCount() const { return m_pending.size(); }

  const RefusalCounters& Refusals() const { return m_refusals; }
  const RetryCounters& Retries() const { return m_retries; }

  /** Servers that a new flow with this key is offered to, in order. */
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
    /** Servers not tried yet, in the order to try them. */
    ServerList m_candidates;
    Try m_try;
    size_t m_tries = 0;
    /** An earlier try was lost without a word; it may have run. */
    bool m_mayHaveRun = false;
    /** The agent proved that this attempt never runs. */
    bool m_isProvenNotRun = false;
    /** Most useful refusal so far, for the final answer. */
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
    /** Broken-off requests, as of m_failuresAt; the count decays. */
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
