#pragma once

#include "FlowCallers.h"
#include "FlowSettings.h"
#include "Process.h"
#include "RouteTable.h"
#include "StoreLink.h"

#include <filesystem>

namespace bilberryfield {

/** What a deployment declares of the start of its servers. */
struct WarmupRule
{
  Seconds m_duration{ 3 };
  /** Requests a second that a cold server can handle. */
  int m_perSecond = 10;
  double m_overage = 1.5;
  int m_slack = 5;

  /** Most new flows for a cold server in any second. */
  size_t MaxFlows() const
  {
    return static_cast<size_t>(m_perSecond * m_overage + m_slack);
  }
};

/** A SYN packet of a flow that the server did not have. */
struct FlowArrival
{
  size_t m_server = 0;
  TimePoint m_at;
  bool m_isCold = false;
  std::string m_flow;
};

/** Most new flows that reached one server while it was cold, in any second. */
size_t
MostColdArrivals(const std::vector<FlowArrival>& aArrivals);

/**
 * The packet path as separate processes on loopback addresses: the platform's
 * store, balancers, and agents with their servers.
 */
class FlowCluster
{
public:
  /** aBuild is the build folder. */
  FlowCluster(std::string aBuild, int aBalancers, int aServers);
  ~FlowCluster();

  /** Stores the routes and starts every process. */
  void Start();

  /** Stores the next version of the configuration. */
  void StoreRoutes(const std::vector<Route>& aRoutes);

  /** Turns the store's outage on or off. */
  void SetStoreOutage(bool aIsOut);

  Process& Balancer(size_t aIndex) { return *m_balancers[aIndex]; }
  Process& Agent(size_t aIndex) { return *m_agents[aIndex]; }
  Process& Server(size_t aIndex) { return *m_servers[aIndex]; }
  void StartBalancer(size_t aIndex);
  void StartAgent(size_t aIndex);
  void StartServer(size_t aIndex, bool aIsCold = false);

  /** The link between the store and the daemons. */
  StoreLink& Link() { return *m_link; }
  /** Has the store do something to itself, for example "lost=2". */
  void DisturbStore(const std::string& aFault);

  /** Keeps a copy of the store's objects, to which RestoreStore goes back. */
  void CopyStore() { DisturbStore("copy=1"); }
  /** Has the store come back from its copy in a new era. What the daemons wrote
   * since is gone; the newest configuration is written again. */
  void RestoreStore() { DisturbStore("restore=1"); }

  /** Requests as the operator that nothing more be sent to the servers of a
   * failure domain. Returns the time of the store's acknowledgement. */
  TimePoint Evacuate(const std::string& aDomain);
  /** Withdraws the request. Returns the last time at which it was in force. */
  TimePoint ReturnToService(const std::string& aDomain);
  /** Failure domain of the balancer, agent and server with an index. */
  std::string DomainOf(size_t aIndex) const;
  /** New flows at all servers since their start, in the order of time. */
  std::vector<FlowArrival> Arrivals() const;
  /** Number of new flows at a domain's servers in a span of time. */
  size_t CountArrivals(const std::string& aDomain,
                       TimePoint aFrom,
                       TimePoint aTo) const;

  /** Programs of the product that ended though nobody ended them. */
  std::vector<std::string> EndedByThemselves();
  /** What a balancer tells of itself; nothing when it does not answer. */
  std::optional<nlohmann::json> StatusOf(size_t aBalancer);
  /** Version of the configuration that was stored last. */
  uint64_t RoutesVersion() const { return m_version; }
  /** Names of the agents that the store lists. */
  std::vector<std::string> ListedAgents() const;
  /** Silence after which balancers remove an entry; to be set before Start. */
  Milliseconds m_staleEntryAfter{ 600'000 };
  /** Longest wait of a graceful shutdown; to be set before Start. */
  Milliseconds m_shutdownLimit{ 5000 };
  /** Number of failure domains; to be set before Start. */
  size_t m_domains = 1;
  /** Whether balancers follow evacuations; to be set before Start. */
  bool m_hasEvacuations = false;
  /** Declared for the service if set; to be set before Start. */
  std::optional<WarmupRule> m_warmup;
  /** Requests that servers ran more than once, by their flows. */
  std::vector<std::string> RunTwice() const;

  /** Copies the settings and logs of all processes to a folder, in place of
   * what is there. */
  void KeepLogs(const std::filesystem::path& aFolder) const;

  /** Address of the store itself, past the link. */
  const std::string& StoreAddress() const { return m_storeAddress; }
  std::vector<FabricTarget> Targets() const;
  /** Where callers of this cluster take packets. */
  Endpoint CallerListen() const;
  /** Address of the one service, "desk". */
  static Endpoint Service();

private:
  Process Run(const std::string& aName,
              const std::vector<std::string>& aCommand);
  std::string LogName(const std::string& aName);
  Process RunDaemon(FlowRole aRole, uint32_t aIp, size_t aIndex);
  bool StoreConfiguration(const nlohmann::json& aContent, bool aIsFirst);
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  std::string SettingsText(const std::string& aName,
                           FlowRole aRole,
                           uint32_t aIp,
                           size_t aIndex) const;
  void ForEachServerLine(
    const std::function<void(size_t aServer, const std::string& aLine)>& aVisit)
    const;

  std::string m_build;
  std::filesystem::path m_folder;
  uint16_t m_port = 0;
  std::string m_storeAddress;
  uint64_t m_version = 0;
  int m_starts = 0;
  HttpClient m_client;
  std::optional<Process> m_store;
  std::optional<StoreLink> m_link;
  std::vector<std::optional<Process>> m_balancers;
  std::vector<std::optional<Process>> m_agents;
  std::vector<std::optional<Process>> m_servers;
};

} // namespace bilberryfield
