#pragma once

#include "JsonFields.h"
#include "Log.h"
#include "Packet.h"
#include "Time.h"

#include <tl/expected.hpp>

namespace bilberryfield {

/** Which side of the packet path a process is. */
enum class FlowRole : uint8_t
{
  Balancer,
  Agent,
};

inline constexpr NameTable<FlowRole, 2> kFlowRoleNames = { {
  { FlowRole::Balancer, "packet-balancer" },
  { FlowRole::Agent, "packet-agent" },
} };

/** What the settings file of a process on the packet path states. */
struct FlowSettings
{
  FlowRole m_role = FlowRole::Balancer;
  /** Unique name of this process. */
  std::string m_id;
  std::string m_domain;
  /** Balancer: callers' packets. Agent: packets that balancers pass on. */
  Endpoint m_packetListen;
  /** Operators, peers, and the server's heartbeats. */
  Endpoint m_adminListen;
  /** Metrics and status; port 0 serves none. */
  Endpoint m_metricsListen;
  /** The platform's store. */
  std::string m_platform;
  /** Datagrams between balancers and agents; the same port on all VMs. */
  uint16_t m_controlPort = 0;
  /** Packets that agents hand back; the same port on all VMs. */
  uint16_t m_returnPort = 0;
  LogLevel m_logLevel = LogLevel::Info;
  /** Part of a core that this VM gives; fewer log lines on a small one. */
  double m_cpuShare = 1;
  /** Longest time that a shutdown may take. */
  Milliseconds m_shutdownLimit{ 5'000 };
  /** Balancer: where the fabric asks whether this process is ready. */
  Endpoint m_readinessListen;
  /** Balancer: admin addresses of other balancers. */
  std::vector<Endpoint> m_seeds;
  /** Balancer: silence after which an agent's entry leaves the store. */
  Milliseconds m_staleEntryAfter{ 600'000 };
  /** Agent: packets that the server sends. */
  Endpoint m_serverListen;
  /** Agent: where the server takes packets. */
  Endpoint m_server;
  /** Agent: service of the server. */
  std::string m_service;
  /** Agent: time between two heartbeats of the server. */
  Milliseconds m_heartbeatEvery{ 1'000 };
  /** Agent: time between two writes of its journal to the store. */
  Milliseconds m_journalEvery{ 60'000 };
  /** Agent: longest life of a flow. */
  Milliseconds m_maxFlowAge{ 60'000 };
};

/** Log lines of one event that a process with these settings may write in a
 * second. */
double
LogLinesPerSecond(const FlowSettings& aSettings);

/** The settings, or every mistake in them. */
using FlowSettingsParse = tl::expected<FlowSettings, std::vector<UserMistake>>;

/** True when a settings file is for a role on the packet path. */
bool
HasPacketPathRole(const nlohmann::json& aJson);

/** Reads settings; lists every mistake, unknown keys included. */
FlowSettingsParse
ParseFlowSettings(const nlohmann::json& aJson);

} // namespace bilberryfield
