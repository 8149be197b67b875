#pragma once

#include "Membership.h"

#include <optional>

namespace bilberryfield {

/** What an agent sends on a tick of its announcer. */
struct HeartbeatBatch
{
  /** Heartbeats to the monitors. */
  std::vector<SendToPeer> m_sends;
  /** A heartbeat to any balancer, through the fabric. */
  std::optional<Heartbeat> m_viaFabric;
};

/** Times of the announcer. */
struct AnnouncerOptions
{
  Duration m_heartbeatEvery = Milliseconds(1000);
  /** Time without a monitor's reply after which the fabric is asked. */
  Duration m_replyTimeout = Milliseconds(2500);
};

/** Keeps the agent known: announces it and sends heartbeats to its monitors. */
class Announcer
{
public:
  using Options = AnnouncerOptions;

  Announcer(Options aOptions, MemberRecord aSelf);

  /** To be called a few times per heartbeat interval. */
  HeartbeatBatch OnTick(TimePoint aNow, uint64_t aConfigVersion);

  /** Takes a balancer's reply. */
  void OnReply(TimePoint aNow, const HeartbeatReply& aReply);

  /** States a new condition; it is sent at the next tick. */
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
