#pragma once

#include "AdminServer.h"
#include "PeerDispatch.h"
#include "Settings.h"
#include "Supervisor.h"

#include <future>
#include <optional>
#include <thread>

namespace bilberryfield {

/**
 * The frame of a daemon. All functions that it calls run on its loop's one
 * thread, so that what they use needs no locks.
 */
class NodeRuntime
{
public:
  /** aName names the process's supervisor. */
  NodeRuntime(std::string aName, const Settings& aSettings);
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  PeerHub& Hub() { return m_hub; }
  AdminServer& Admin() { return m_admin; }
  Supervisor& SupervisionTree() { return m_supervisor; }
  const Supervisor& SupervisionTree() const { return m_supervisor; }
  const PeerHub& Hub() const { return m_hub; }

  /** Accepts links; the record of this process, with its real address. */
  Result<MemberRecord> Listen(PeerCallbacks aCallbacks, uint64_t aIncarnation);

  /** Adds a child that answers operators; to be the last one. */
  void AddAdminChild();

  /** Starts the children and the loop, which calls aTick each aEvery. */
  Result<void> Start(Duration aTickInterval, std::function<void()> aTick);

  /**
   * Calls aWake at a time unless an earlier call is waited for; whoever is
   * woken asks for the next time.
   */
  void WakeAt(TimePoint aAt, std::function<void()> aWake);

  /** The message in bytes from a peer; a bad one is logged and dropped. */
  std::optional<PeerMessage> Decode(const std::string& aBytes,
                                    const std::string& aPeer) const;

  /** Ends the process after a time in which the last messages leave. */
  void StopAfter(Duration aTime);

  /** Waits until StopAfter, then stops the children and the loop. */
  void WaitUntilStopped();

private:
  void Tick();

  const Settings& m_settings;
  PeerHub m_hub;
  AdminServer m_admin;
  Supervisor m_supervisor;
  std::optional<StepError> m_startError;
  Duration m_tickInterval{};
  std::function<void()> m_tick;
  TimePoint m_nextWakeTime = TimePoint::max();
  std::promise<void> m_stopped;
  std::thread m_loopThread;
};

} // namespace bilberryfield
