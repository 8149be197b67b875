#pragma once

#include "FlowMessages.h"

#include <optional>

namespace bilberryfield {

/** What a backend server says of itself at regular intervals. */
struct ServerHeartbeat
{
  std::string m_id;
  /** Start of this incarnation, Unix time in milliseconds. */
  uint64_t m_startMs = 0;
  /** Grows with each heartbeat of an incarnation. */
  uint64_t m_sequence = 0;
  std::string m_service;
  Endpoint m_address;
  uint32_t m_slots = 1;
  bool m_isDraining = false;
  /** Time for which the server stays slow after its start. */
  Milliseconds m_warmupLeft{ 0 };
};

/** What became of a heartbeat. */
enum class HeartbeatResult : uint8_t
{
  Accepted,
  NewIncarnation, /**< Accepted; the server has started anew. */
  Outdated,       /**< From an earlier incarnation, or late. */
};

inline constexpr NameTable<HeartbeatResult, 3> kHeartbeatResultNames = { {
  { HeartbeatResult::Accepted, "accepted" },
  { HeartbeatResult::NewIncarnation, "new-incarnation" },
  { HeartbeatResult::Outdated, "outdated" },
} };

/** Follows the incarnations of the one server beside an agent. */
class ServerTracker
{
public:
  /** aHeartbeatInterval is the server's time between two heartbeats. */
  explicit ServerTracker(Duration aHeartbeatInterval)
    : m_silenceLimit(aHeartbeatInterval * kMissedHeartbeats)
  {
  }

  HeartbeatResult OnHeartbeat(TimePoint aNow,
                              const ServerHeartbeat& aHeartbeat);

  /** The server says that it ends; an id of an earlier one is ignored. */
  void OnLeave(const std::string& aId);

  /** An opening packet was not answered. */
  void OnSynTimeout();

  /** This process stood still; silence in that time tells nothing. */
  void OnPause(Duration aPause);

  /** Any packet of the server arrived. */
  void OnPacket(TimePoint aNow);

  /** Condition at a time. */
  ServerCondition Condition(TimePoint aNow) const;

  /** The newest accepted heartbeat, if any. */
  const std::optional<ServerHeartbeat>& Latest() const { return m_latest; }

private:
  // Heartbeats may be lost or late; a server is not given up for one.
  static constexpr int kMissedHeartbeats = 3;

  Duration m_silenceLimit;
  std::optional<ServerHeartbeat> m_latest;
  TimePoint m_lastContact;
  bool m_isGone = false;
  bool m_isSilent = false;
};

} // namespace bilberryfield
