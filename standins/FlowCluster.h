#pragma once

#include "FlowCallers.h"
#include "FlowSettings.h"
#include "Process.h"
#include "RouteTable.h"

#include <filesystem>

namespace bilberryfield {

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
  void StartServer(size_t aIndex);

  const std::string& StoreAddress() const { return m_storeAddress; }
  std::vector<FabricTarget> Targets() const;
  /** Where callers of this cluster take packets. */
  Endpoint CallerListen() const;
  /** Address of the one service, "desk". */
  static Endpoint Service();

private:
  Process Run(const std::string& aName,
              const std::vector<std::string>& aCommand);
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  std::string SettingsText(const std::string& aName,
                           const char* aRole,
                           uint32_t aIp) const;

  std::string m_build;
  std::filesystem::path m_folder;
  uint16_t m_port = 0;
  std::string m_storeAddress;
  uint64_t m_version = 0;
  HttpClient m_client;
  std::optional<Process> m_store;
  std::vector<std::optional<Process>> m_balancers;
  std::vector<std::optional<Process>> m_agents;
  std::vector<std::optional<Process>> m_servers;
};

} // namespace bilberryfield
