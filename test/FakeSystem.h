#pragma once

#include "AgentCore.h"
#include "BalancerCore.h"

#include <map>
#include <set>

namespace bilberryfield {

/** Kinds of steps of a run. */
enum class FakeActionKind : uint8_t
{
  Submit,
  Resubmit,
  Deliver,
  End,
  Advance,
  Idle,
  LoseLink,
  KillBalancer,
  KillAgent,
  Drain,
  Stale,
  MisuseToken,
  UpdateMembers,
};

inline constexpr NameTable<FakeActionKind, 13> kFakeActionKindNames = { {
  { FakeActionKind::Submit, "ask" },
  { FakeActionKind::Resubmit, "ask-again" },
  { FakeActionKind::Deliver, "deliver" },
  { FakeActionKind::End, "end" },
  { FakeActionKind::Advance, "advance" },
  { FakeActionKind::Idle, "idle" },
  { FakeActionKind::LoseLink, "lose-link" },
  { FakeActionKind::KillBalancer, "kill-balancer" },
  { FakeActionKind::KillAgent, "kill-agent" },
  { FakeActionKind::Drain, "drain" },
  { FakeActionKind::Stale, "stale" },
  { FakeActionKind::MisuseToken, "misuse-token" },
  { FakeActionKind::UpdateMembers, "tell-members" },
} };

/** One step of a recorded run; the numbers select what it applies to. */
struct FakeAction
{
  FakeActionKind m_kind = FakeActionKind::Submit;
  uint32_t m_first = 0;
  uint32_t m_second = 0;
};

/** One step of a generated run; indices are taken modulo what exists. */
struct FakeStep
{
  uint32_t m_kind = 0;
  uint32_t m_first = 0;
  uint32_t m_second = 0;
};

/** The kinds of faults that a run may contain. */
struct FakeFaults
{
  bool m_kills = true;
  bool m_drains = true;
};

/**
 * Simulates balancer and agent cores in virtual time, a network that delays,
 * reorders and loses messages, and callers that retry. Checks the guarantees
 * to callers in every step and throws std::runtime_error if one is violated.
 */
class FakeSystem
{
public:
  static constexpr size_t kBalancers = 3;
  static constexpr size_t kAgents = 4;
  static constexpr size_t kCallers = 4;

  FakeSystem();

  /** Executes one step of a generated run. */
  void Run(const FakeStep& aStep, const FakeFaults& aFaults);

  /** Executes one step of a recorded run. */
  void Perform(const FakeAction& aAction, const FakeFaults& aFaults);

  /**
   * Delivers all messages, ends all work, and checks that every request was
   * answered and that the journals are complete.
   */
  void RunUntilIdle();

  uint64_t ServedCount() const { return m_served; }
  uint64_t RunCount() const { return m_runs; }

private:
  /** A request as sent once by a caller to a balancer. */
  struct Submission
  {
    size_t m_caller = 0;
    bool m_isNonRepeatable = false;
    /** Request id; unique per submission if the request is repeatable. */
    std::string m_id;
    uint32_t m_attempt = 1;
    std::string m_service;
    size_t m_balancer = 0;
    bool m_isAnswered = false;
    bool m_isDisconnected = false;
  };

  struct Caller
  {
    std::string m_service;
    std::string m_token;
    uint64_t m_flow = 0;
    uint64_t m_sequence = 0;
    uint64_t m_request = 0;
    bool m_isNonRepeatable = false;
    uint32_t m_attempt = 1;
    /** Submission that the caller waits for, or 0. */
    uint64_t m_awaitedSubmission = 0;
  };

  struct Packet
  {
    size_t m_balancer = 0;
    uint64_t m_link = 0;
    size_t m_agent = 0;
    uint64_t m_agentGeneration = 0;
    std::variant<Forward, Cancel, Answer> m_message;
  };

  struct RunningWork
  {
    size_t m_agent = 0;
    uint64_t m_agentGeneration = 0;
    uint64_t m_work = 0;
    std::string m_body;
  };

  void StartBalancer(size_t aIndex);
  void StartAgent(size_t aIndex);
  void SendMembers();
  MemberRecord RecordOf(size_t aAgent) const;
  void SendRequest(const Caller& aFrom, size_t aCaller, size_t aBalancer);
  void SendMisusedToken(size_t aCaller, size_t aBalancer);
  void SubmitRequest(size_t aCaller, size_t aBalancer, bool aIsRepeat);
  void DisconnectCaller(size_t aCaller);
  void DeliverPacket(size_t aIndex);
  void EndRunning(size_t aIndex, WorkEnd aEnd);
  void LoseLinkBetween(size_t aBalancer, size_t aAgent);
  void RestartBalancer(size_t aIndex);
  void RestartAgent(size_t aIndex);
  void ToggleDrain(size_t aIndex);
  void AdvanceTime(Duration aTime);
  void DispatchToBalancer(size_t aBalancer, const BalancerEvent& aEvent);
  void DispatchToAgent(size_t aAgent, const AgentEvent& aEvent);
  void OnAnswer(uint64_t aSubmission, const CallerAnswer& aAnswer);
  void OnStart(size_t aAgent, const StartWork& aStart);
  void CheckJournal(const AgentCore& aAgent) const;
  uint64_t LinkOf(size_t aBalancer, size_t aAgent) const;
  size_t AgentAt(const std::string& aAddress) const;

  TimePoint m_now{ Seconds(1) };
  ConfigPointer m_config;
  std::vector<std::optional<BalancerCore>> m_balancers;
  std::vector<std::optional<AgentCore>> m_agents;
  std::vector<uint64_t> m_balancerGeneration;
  std::vector<uint64_t> m_agentGeneration;
  std::vector<std::optional<TimePoint>> m_drainSince;
  /** Number of losses of the link between a balancer and an agent. */
  std::map<std::pair<size_t, size_t>, uint64_t> m_linkGeneration;
  std::vector<Caller> m_callers;
  std::map<uint64_t, Submission> m_submissions;
  std::vector<Packet> m_packets;
  std::vector<RunningWork> m_running;
  /** The attempts of each request that a server started. */
  std::map<std::string, std::vector<uint32_t>> m_started;
  /** The highest attempt of each request that was answered with "not run". */
  std::map<std::string, uint32_t> m_notRunAttempt;
  /**
   * Agent generation and body of each request that arrived before the end of
   * the grace time of a drain. The agent must not start any other request.
   */
  std::set<std::pair<uint64_t, std::string>> m_arrivedWithinGrace;
  uint64_t m_nextSubmission = 1;
  uint64_t m_nextGeneration = 1;
  uint64_t m_served = 0;
  uint64_t m_runs = 0;
};

} // namespace bilberryfield
