#pragma once

#include "HttpClient.h"
#include "Process.h"
#include "Publisher.h"

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>

namespace bilberryfield {

/** A group of backend servers of one service. */
struct ServerGroup
{
  std::string m_label;
  int m_count = 1;
  int m_slots = 4;
};

/** What to start. */
struct ClusterPlan
{
  /** Folder of the built programs. */
  std::string m_buildFolder;
  int m_balancers = 3;
  std::vector<ServerGroup> m_groups;
  uint64_t m_seed = 1;
};

/**
 * The whole system as processes on this machine: a platform, a fabric,
 * balancers, and backend servers with an agent each. Everything ends with
 * the object.
 */
class Cluster
{
public:
  explicit Cluster(ClusterPlan aPlan);
  ~Cluster();

  /** Starts all processes; throws std::runtime_error when one does not. */
  void Start();

  /** Publishes services; the i-th gets the fabric's i-th address. */
  PublishResult PublishServices(std::vector<ServiceConfig> aServices);

  /** Waits until every daemon has a version; false when one does not. */
  bool WaitForVersion(uint64_t aVersion);

  /** Waits until each balancer knows every agent; false when one does not. */
  bool WaitForMembers();

  /** Ends a balancer without warning. */
  void KillBalancer(size_t aIndex) { m_balancers.at(aIndex).m_process->Kill(); }

  /** Starts one more balancer. */
  void AddBalancer();

  /** Sends a signal to a balancer or an agent. */
  void SignalBalancer(size_t aIndex, int aSignal);
  void SignalAgent(const std::string& aId, int aSignal);

  /** Waits for the end of a process that was told to stop; its exit code. */
  int WaitForBalancer(size_t aIndex);
  int WaitForAgent(const std::string& aId);

  /** Ends an agent without warning and starts it again. */
  void RestartAgent(const std::string& aId);

  /** Asks an agent to drain or to stop draining. */
  void SetDraining(const std::string& aId, bool aIsDraining);

  /** Status of a balancer or agent; null when it does not answer. */
  nlohmann::json BalancerStatus(size_t aIndex);
  nlohmann::json AgentStatus(const std::string& aId);

  /** Faults of the platform: an outage, and write answers to lose. */
  void SetPlatformFaults(bool aIsOut, int aLostAnswers);

  /** Times that each request was run, over all backend servers. */
  std::map<std::string, int> RanCounts();

  /** Requests that one backend server ran. */
  size_t RanAt(const std::string& aId);

  /** IP and port of a service at the fabric. */
  std::string ServiceAddress(size_t aIndex) const;

  std::string PlatformAddress() const { return m_platformAddress; }
  std::string BalancerAdmin(size_t aIndex) const;
  std::string AgentAdmin(const std::string& aId) const;
  std::vector<std::string> AgentIds() const;

private:
  struct Node
  {
    std::optional<Process> m_process;
    std::string m_admin;
    std::string m_callers;
    std::string m_server;
    std::optional<Process> m_serverProcess;
    nlohmann::json m_settings;
  };

  Process Launch(const std::string& aProgram,
                 std::vector<std::string> aArguments,
                 const std::string& aLogName);
  std::vector<uint16_t> Ports(const Process& aProcess);
  void StartDaemon(Node& aNode, const std::string& aId);
  void StartServerAndAgent(const ServerGroup& aGroup, int aNumber);
  nlohmann::json Fetch(const std::string& aHost,
                       const std::string& aPath,
                       const std::string& aMethod = "GET");
  std::string LogPath(const std::string& aName) const;

  ClusterPlan m_plan;
  std::filesystem::path m_folder;
  HttpClient m_client;
  std::optional<Process> m_platform;
  std::optional<Process> m_fabric;
  std::string m_platformAddress;
  std::vector<std::string> m_fabricAddresses;
  std::vector<Node> m_balancers;
  std::map<std::string, Node> m_agents;
  int m_starts = 0;
};

} // namespace bilberryfield
