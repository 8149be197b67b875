#include "Supervisor.h"

#include <algorithm>

namespace bilberryfield {

Supervisor::Supervisor(std::string aName,
                       Options aOptions,
                       OnEscalate aOnEscalate)
  : m_name(std::move(aName))
  , m_options(aOptions)
  , m_onEscalate(std::move(aOnEscalate))
{
}

void
Supervisor::Add(ChildSpec aSpec)
{
  Child child;
  child.m_status.m_name = aSpec.m_name;
  child.m_spec = std::move(aSpec);
  m_children.push_back(std::move(child));
}

void
Supervisor::Start(TimePoint aNow)
{
  for (Child& child : m_children) {
    TryStart(aNow, child);
  }
}

void
Supervisor::TryStart(TimePoint aNow, Child& aChild)
{
  Result<void> started = aChild.m_spec.m_start();
  if (!started) {
    return HandleFailure(aNow, aChild, started.error());
  }
  aChild.m_status.m_condition = ChildCondition::Running;
}

void
Supervisor::OnFailed(TimePoint aNow,
                     const std::string& aChild,
                     const StepError& aError)
{
  for (Child& child : m_children) {
    bool isRunning = child.m_status.m_condition == ChildCondition::Running;
    if (child.m_spec.m_name == aChild && isRunning) {
      child.m_spec.m_stop();
      HandleFailure(aNow, child, aError);
    }
  }
}

void
Supervisor::HandleFailure(TimePoint aNow,
                          Child& aChild,
                          const StepError& aError)
{
  std::ostringstream text;
  text << aError;
  aChild.m_status.m_lastError = text.str();
  std::erase_if(aChild.m_failures,
                [&](TimePoint aAt) { return aNow - aAt > m_options.m_window; });
  aChild.m_failures.push_back(aNow);
  bool isHopeless = aChild.m_spec.m_policy == RestartPolicy::Never ||
                    aChild.m_failures.size() > m_options.m_maxRestarts;
  if (isHopeless) {
    aChild.m_status.m_condition = ChildCondition::Failed;
    m_onEscalate(
      { aError.m_step,
        m_name + "/" + aChild.m_spec.m_name + " (" + aError.m_peer + ")",
        aError.m_detail });
    return;
  }
  bool isFirst = aChild.m_failures.size() == 1;
  aChild.m_backOff = isFirst
                       ? m_options.m_firstBackOff
                       : std::min(m_options.m_maxBackOff, aChild.m_backOff * 2);
  aChild.m_restartAt = aNow + aChild.m_backOff;
  aChild.m_status.m_condition = ChildCondition::BackingOff;
}

void
Supervisor::OnTick(TimePoint aNow)
{
  for (Child& child : m_children) {
    bool isDue = child.m_status.m_condition == ChildCondition::BackingOff &&
                 child.m_restartAt <= aNow;
    if (isDue) {
      child.m_status.m_restarts += 1;
      TryStart(aNow, child);
    }
  }
}

void
Supervisor::Stop()
{
  for (auto child = m_children.rbegin(); child != m_children.rend(); ++child) {
    if (child->m_status.m_condition == ChildCondition::Running) {
      child->m_spec.m_stop();
    }
    child->m_status.m_condition = ChildCondition::Stopped;
  }
}

std::vector<ChildStatus>
Supervisor::Status() const
{
  std::vector<ChildStatus> status;
  for (const Child& child : m_children) {
    status.push_back(child.m_status);
  }
  return status;
}

} // namespace bilberryfield
