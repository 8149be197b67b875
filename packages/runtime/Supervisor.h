#pragma once

#include "Error.h"
#include "Time.h"

#include <functional>
#include <optional>
#include <vector>

namespace bilberryfield {

/** When a child that failed is started again. */
enum class RestartPolicy : uint8_t
{
  Always, /**< With a growing back-off; too many restarts escalate. */
  Never,  /**< A failure escalates at once. */
};

/** Where a child stands. */
enum class ChildCondition : uint8_t
{
  Stopped,
  Running,
  BackingOff,
  Failed,
};

inline constexpr NameTable<ChildCondition, 4> kChildConditionNames = { {
  { ChildCondition::Stopped, "stopped" },
  { ChildCondition::Running, "running" },
  { ChildCondition::BackingOff, "backing-off" },
  { ChildCondition::Failed, "failed" },
} };

/** A part of the process that can be started and stopped. */
struct ChildSpec
{
  std::string m_name;
  RestartPolicy m_policy = RestartPolicy::Always;
  std::function<Result<void>()> m_start;
  std::function<void()> m_stop;
};

/** What status shows of a child. */
struct ChildStatus
{
  std::string m_name;
  ChildCondition m_condition = ChildCondition::Stopped;
  uint32_t m_restarts = 0;
  std::string m_lastError;
};

/** Back-off and escalation of a supervisor. */
struct SupervisorOptions
{
  Duration m_firstBackOff = Milliseconds(100);
  Duration m_maxBackOff = Seconds(10);
  /** Restarts within the window after which the supervisor gives up. */
  uint32_t m_maxRestarts = 20;
  Duration m_window = Seconds(60);
};

/**
 * Starts children in order, starts failed ones again, and stops them in
 * reverse order. A supervisor can be the child of another. Not thread-safe.
 */
class Supervisor
{
public:
  using Options = SupervisorOptions;
  using OnEscalate = std::function<void(const StepError&)>;

  /** aOnEscalate is called when a child cannot be kept running. */
  Supervisor(std::string aName, Options aOptions, OnEscalate aOnEscalate);

  void Add(ChildSpec aSpec);

  /** Starts every child; a failure is handled as the child's policy says. */
  void Start(TimePoint aNow);

  /** Reports that a running child has failed. */
  void OnFailed(TimePoint aNow,
                const std::string& aChild,
                const StepError& aError);

  /** Starts the children whose back-off is over. */
  void OnTick(TimePoint aNow);

  /** Stops every running child, the last one first. */
  void Stop();

  /** Status of the children, in the order of their start. */
  std::vector<ChildStatus> Status() const;

private:
  struct Child
  {
    ChildSpec m_spec;
    ChildStatus m_status;
    Duration m_backOff{};
    TimePoint m_restartAt;
    std::vector<TimePoint> m_failures;
  };

  void TryStart(TimePoint aNow, Child& aChild);
  void HandleFailure(TimePoint aNow, Child& aChild, const StepError& aError);

  std::string m_name;
  Options m_options;
  OnEscalate m_onEscalate;
  std::vector<Child> m_children;
};

} // namespace bilberryfield
