#pragma once

#include "Log.h"
#include "Member.h"
#include "ServiceConfig.h"

namespace bilberryfield {

/** What one daemon's settings file states. */
struct Settings
{
  Role m_role = Role::Balancer;
  /** Unique name of this process. */
  std::string m_id;
  std::string m_domain;
  /** IP and port for links from other processes; port 0 takes a free one. */
  std::string m_peerListen;
  /** IP and port for operators. */
  std::string m_adminListen;
  /** IP and port of the platform's object API. */
  std::string m_platform;
  LogLevel m_logLevel = LogLevel::Info;
  /** Longest time that a graceful shutdown waits for requests. */
  Milliseconds m_drainLimit{ 30'000 };

  /** Balancer: IP and port on which the fabric delivers callers' messages. */
  std::string m_callerListen;

  /** Agent: IP and port of the fabric's entry to any balancer. */
  std::string m_fabric;
  /** Agent: IP and port of the backend server. */
  std::string m_server;
  /** Agent: labels that services select this server by. */
  std::vector<std::string> m_labels;
  /** Agent: requests that the backend server runs at a time. */
  uint32_t m_slots = 4;
  /** Agent: part of the slots that long work may hold. */
  double m_longShare = 0.25;
  /** Agent: time for which a drained server still takes known flows. */
  Milliseconds m_drainGrace{ 2'000 };
  /** Agent: time between two writes of its journal to the platform. */
  Milliseconds m_journalEvery{ 60'000 };
  /** Agent: time for which it stays after a drain to redirect its flows. */
  Milliseconds m_drainLinger{ 5'000 };
};

/** The settings, or every mistake in them. */
using SettingsParse = tl::expected<Settings, std::vector<ValidationError>>;

/** Reads settings; lists every mistake, unknown keys included. */
SettingsParse
ParseSettings(const nlohmann::json& aJson);

} // namespace bilberryfield
