#pragma once

#include "FlowMessages.h"

#include <optional>

namespace bilberryfield {

/** The status that a backend server reports at regular intervals. */
struct ServerHeartbeat
{
  std::string m_id;
  /** Start of this incarnation, as Unix time in milliseconds. */
  uint64_t m_startMs = 0;
  /** Increases with each heartbeat of an incarnation. */
  uint64_t m_sequence = 0;
  std::string m_service;
  Endpoint m_address;
  uint32_t m_slots = 1;
  bool m_isDraining = false;
  /** Remaining time for which the server is slow after its start. */
  Milliseconds m_warmupLeft{ 0 };
};

/** The result of processing a heartbeat. */
enum class HeartbeatResult : uint8_t
{
  Accepted,
  /** Accepted; the server has started since this process did. */
  NewIncarnation,
  /** Accepted; another incarnation than before, which may have started before
   * this process. */
  OtherIncarnation,
  Outdated, /**< From an earlier incarnation, or out of order. */
};

inline constexpr NameTable<HeartbeatResult, 4> kHeartbeatResultNames = { {
  { HeartbeatResult::Accepted, "accepted" },
  { HeartbeatResult::NewIncarnation, "new-incarnation" },
  { HeartbeatResult::OtherIncarnation, "other-incarnation" },
  { HeartbeatResult::Outdated, "outdated" },
} };

/** Tracks the incarnations and the condition of an agent's backend server. */
class ServerTracker
{
public:
  /** aHeartbeatInterval is the time between two heartbeats of the server,
   * aProcessStartMs the start of this process as Unix time in milliseconds. */
  explicit ServerTracker(Duration aHeartbeatInterval,
                         uint64_t aProcessStartMs = 0)
    : m_contactTimeout(aHeartbeatInterval * kMissedHeartbeats)
    , m_processStartMs(aProcessStartMs)
  {
  }

  /** Processes a heartbeat; an outdated one has no effect. */
  HeartbeatResult OnHeartbeat(TimePoint aNow,
                              const ServerHeartbeat& aHeartbeat);

  /** The server reports its shutdown. Ignored unless aId is the id of the
   * current incarnation. */
  void OnLeave(const std::string& aId);

  /** The server did not answer a SYN packet in time. */
  void OnSynTimeout();

  /** This process was paused for aPause. The pause does not count towards the
   * contact timeout, because packets were not received during it. */
  void OnPause(Duration aPause);

  /** A packet from the server arrived. */
  void OnPacket(TimePoint aNow);

  /** The server's condition at aNow. */
  ServerCondition Condition(TimePoint aNow) const;

  /** The newest accepted heartbeat, if any. */
  const std::optional<ServerHeartbeat>& Latest() const { return m_latest; }

private:
  // Heartbeats can be lost or delayed, so a single missing one does not make
  // the server silent.
  static constexpr int kMissedHeartbeats = 3;

  /** True for the first heartbeat of a server that started after this process.
   */
  bool IsFirstOfNewServer(const ServerHeartbeat& aHeartbeat) const;

  Duration m_contactTimeout;
  uint64_t m_processStartMs;
  std::optional<ServerHeartbeat> m_latest;
  TimePoint m_lastContact;
  bool m_isGone = false;
  bool m_isSilent = false;
};

} // namespace bilberryfield
