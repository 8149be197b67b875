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
 * Runtime of a daemon: event loop, peer links, admin server and supervisor. All
 * callbacks run on the loop's single thread, so their state needs no locks.
 */
class NodeRuntime
{
public:
  /** aName is the name of the root supervisor. */
  NodeRuntime(std::string aName, const Settings& aSettings);
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  PeerHub& Hub() { return m_hub; }
  AdminServer& Admin() { return m_admin; }
  /** The root supervisor, to which children are added before Start. */
  Supervisor& SupervisionTree() { return m_supervisor; }
  const Supervisor& SupervisionTree() const { return m_supervisor; }
  const PeerHub& Hub() const { return m_hub; }

  /** Starts to accept links. Returns the member record of this process, with
   * the port that was bound. */
  Result<MemberRecord> Listen(PeerCallbacks aCallbacks, uint64_t aIncarnation);

  /** Adds the admin server as a child; must be the last child added. */
  void AddAdminChild();

  /** Starts the children and the loop, which calls aTick at each interval. */
  Result<void> Start(Duration aTickInterval, std::function<void()> aTick);

  /**
   * Schedules a call of aWake, unless a call at the same or an earlier time is
   * already scheduled. Each call is expected to schedule the next one.
   */
  void WakeAt(TimePoint aAt, std::function<void()> aWake);

  /** Decodes a message from a peer; logs an invalid one and returns nullopt. */
  std::optional<PeerMessage> Decode(const std::string& aBytes,
                                    const std::string& aPeer) const;

  /** Ends WaitUntilStopped after a delay for sending the last messages. */
  void StopAfter(Duration aTime);

  /** Blocks until the delay of StopAfter has passed, then stops the children
   * and the loop. */
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
