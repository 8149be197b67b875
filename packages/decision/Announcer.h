#pragma once

#include "Membership.h"

#include <optional>

namespace bilberryfield {

/** Heartbeats that an agent sends on one tick. */
struct HeartbeatBatch
{
  /** Heartbeats to the monitors. */
  std::vector<SendToPeer> m_sends;
  /** A heartbeat to an arbitrary balancer, sent via the fabric. */
  std::optional<Heartbeat> m_viaFabric;
};

/** Intervals of the announcer. */
struct AnnouncerOptions
{
  Duration m_heartbeatEvery = Milliseconds(1000);
  /** Time without any reply after which heartbeats also go via the fabric. */
  Duration m_replyTimeout = Milliseconds(2500);
};

/** Registers an agent with the balancers and sends heartbeats to its monitors.
 */
class Announcer
{
public:
  using Options = AnnouncerOptions;

  Announcer(Options aOptions, MemberRecord aSelf);

  /** Returns the heartbeats that are due; call it several times per interval.
   */
  HeartbeatBatch OnTick(TimePoint aNow, uint64_t aConfigVersion);

  /** Handles a balancer's reply to a heartbeat. */
  void OnReply(TimePoint aNow, const HeartbeatReply& aReply);

  /** Sets the state of the agent; it is sent at the next tick. */
  void SetState(MemberState aState);

  /** The agent's own record. */
  const MemberRecord& Self() const { return m_self; }

private:
  Options m_options;
  MemberRecord m_self;
  std::vector<std::string> m_monitors;
  std::optional<TimePoint> m_lastReply;
  TimePoint m_nextHeartbeat;
};

} // namespace bilberryfield
