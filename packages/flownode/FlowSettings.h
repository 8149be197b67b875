#pragma once

#include "JsonFields.h"
#include "Log.h"
#include "Packet.h"
#include "ServerStartup.h"
#include "Time.h"

#include <tl/expected.hpp>

namespace bilberryfield {

/** Role of a process on the packet path. */
enum class FlowRole : uint8_t
{
  Balancer,
  Agent,
};

inline constexpr NameTable<FlowRole, 2> kFlowRoleNames = { {
  { FlowRole::Balancer, "packet-balancer" },
  { FlowRole::Agent, "packet-agent" },
} };

/** Settings of a process on the packet path, as read from its settings file. */
struct FlowSettings
{
  FlowRole m_role = FlowRole::Balancer;
  /** Unique name of this process. */
  std::string m_id;
  std::string m_domain;
  /** Balancer: receives callers' packets. Agent: receives the packets that
   * balancers forward. */
  Endpoint m_packetListen;
  /** Balancer: serves operators and peers. Agent: receives the server's
   * heartbeats. */
  Endpoint m_adminListen;
  /** Serves the metrics. */
  Endpoint m_metricsListen;
  /** IP and port of the platform's store. */
  std::string m_platform;
  /** Port for control messages between balancers and agents; the same on all
   * VMs. */
  uint16_t m_controlPort = 0;
  /** Port on which balancers receive the packets that agents return; the same
   * on all VMs. */
  uint16_t m_returnPort = 0;
  LogLevel m_logLevel = LogLevel::Info;
  /** Fraction of a CPU core that the VM provides; scales the limit on log
   * lines. */
  double m_cpuShare = 1;
  /** Maximum duration of a shutdown. */
  Milliseconds m_shutdownLimit{ 5'000 };
  /** Balancer: serves the fabric's readiness probes. */
  Endpoint m_readinessListen;
  /** Balancer: admin addresses of other balancers, used to load routes and
   * agents when the store cannot be reached at startup. */
  std::vector<Endpoint> m_seeds;
  /** Balancer: time without reports from an agent after which its entry is
   * removed from the store. */
  Milliseconds m_staleEntryAfter{ 600'000 };
  /** Balancer: whether flows whose agent is unreachable are reset when no other
   * agent has them. */
  bool m_resetLostFlows = false;
  /** Balancer: watches the store's evacuations of failure domains, and places
   * no flow before it knows them. */
  bool m_evacuations = false;
  /** Agent: receives the packets that the server sends. */
  Endpoint m_serverListen;
  /** Agent: address at which the server receives packets. */
  Endpoint m_server;
  /** Agent: name of the service that the server provides. */
  std::string m_service;
  /** Agent: interval of the server's heartbeats. */
  Milliseconds m_heartbeatEvery{ 1'000 };
  /** Agent: interval at which the journal is written to the store. */
  Milliseconds m_journalEvery{ 60'000 };
  /** Agent: maximum lifetime of a flow. */
  Milliseconds m_maxFlowAge{ 60'000 };
  /** Agent: stop new flows to a server that resets requests without an answer.
   */
  bool m_ejectsFailingServer = false;
  /** Agent: admission after a start or recovery of the server. */
  StartupOptions m_startup;
  /** Agent: requests on open flows wait for more urgent new flows. */
  bool m_orderRequests = false;
};

/** Maximum number of log lines per second and event. */
double
LogLinesPerSecond(const FlowSettings& aSettings);

/** The settings, or all mistakes found in them. */
using FlowSettingsParse =
  tl::expected<FlowSettings, std::vector<ValidationError>>;

/** True when a settings file specifies a role on the packet path. */
bool
HasPacketPathRole(const nlohmann::json& aJson);

/** Parses settings; reports all mistakes at once, including unknown keys. */
FlowSettingsParse
ParseFlowSettings(const nlohmann::json& aJson);

} // namespace bilberryfield
