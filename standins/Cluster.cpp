#include "Cluster.h"

#include "KeyedStore.h"

#include <csignal>
#include <fstream>
#include <thread>

namespace bilberryfield {

namespace {

constexpr int kDomains = 3;
constexpr int kWaitLooks = 300;
constexpr auto kWaitPause = std::chrono::milliseconds(50);
constexpr size_t kKeyBytes = 32;

std::string
Local(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

template<typename Condition>
bool
WaitUntil(Condition aCondition)
{
  for (int i = 0; i < kWaitLooks; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kWaitPause);
  }
  return false;
}

uint16_t
PortInLog(const Process& aProcess, const std::string& aEvent)
{
  auto line = aProcess.WaitForLine("\"event\":\"" + aEvent + "\"");
  if (!line) {
    throw std::runtime_error("no line with " + aEvent);
  }
  return nlohmann::json::parse(*line).at("port");
}

} // namespace

Cluster::Cluster(ClusterPlan aPlan)
  : m_plan(std::move(aPlan))
  , m_client(HttpClientOptions{})
{
  std::string name =
    (std::filesystem::temp_directory_path() / "bilberryfield-XXXXXX").string();
  if (!mkdtemp(name.data())) {
    throw std::runtime_error("cannot make a folder for logs");
  }
  m_folder = name;
}

Cluster::~Cluster()
{
  m_agents.clear();
  m_balancers.clear();
  m_fabric.reset();
  m_platform.reset();
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string
Cluster::LogPath(const std::string& aName) const
{
  return (m_folder / (aName + ".log")).string();
}

Process
Cluster::Launch(const std::string& aProgram,
                std::vector<std::string> aArguments,
                const std::string& aLogName)
{
  aArguments.insert(aArguments.begin(), m_plan.m_buildFolder + "/" + aProgram);
  std::string log = LogPath(aLogName + "-" + std::to_string(++m_starts));
  Result<Process> process = Process::Start(aArguments, log);
  if (!process) {
    throw std::runtime_error(process.error().m_peer + " does not start");
  }
  return std::move(*process);
}

std::vector<uint16_t>
Cluster::Ports(const Process& aProcess)
{
  auto line = aProcess.WaitForLine("{\"ports\":");
  if (!line) {
    throw std::runtime_error("a stand-in does not tell its ports");
  }
  return nlohmann::json::parse(*line).at("ports");
}

void
Cluster::Start()
{
  m_platform = Launch("standins/PlatformStandIn", {}, "platform");
  m_platformAddress = Local(Ports(*m_platform).front());
  size_t services = m_plan.m_groups.size();
  m_fabric = Launch("standins/FabricStandIn",
                    { "--addresses=" + std::to_string(services),
                      "--seed=" + std::to_string(m_plan.m_seed) },
                    "fabric");
  for (uint16_t port : Ports(*m_fabric)) {
    m_fabricAddresses.push_back(Local(port));
  }
  for (int i = 0; i < m_plan.m_balancers; ++i) {
    AddBalancer();
  }
  for (const ServerGroup& group : m_plan.m_groups) {
    for (int i = 0; i < group.m_count; ++i) {
      StartServerAndAgent(group, i);
    }
  }
}

void
Cluster::StartDaemon(Node& aNode, const std::string& aId)
{
  std::string path = (m_folder / (aId + ".json")).string();
  std::ofstream(path) << aNode.m_settings.dump(2);
  aNode.m_process =
    Launch("packages/control/bilberryd", { "--settings=" + path }, aId);
  aNode.m_admin = Local(PortInLog(*aNode.m_process, "admin-listening"));
}

void
Cluster::AddBalancer()
{
  Node node;
  size_t number = m_balancers.size();
  std::string id = "balancer-" + std::to_string(number);
  node.m_settings = { { "role", "balancer" },
                      { "id", id },
                      { "failure_domain",
                        "domain-" + std::to_string(number % kDomains) },
                      { "peer_listen", "127.0.0.1:0" },
                      { "admin_listen", "127.0.0.1:0" },
                      { "caller_listen", "127.0.0.1:0" },
                      { "platform", m_platformAddress } };
  StartDaemon(node, id);
  node.m_callers = Local(PortInLog(*node.m_process, "callers-listening"));
  Fetch(m_fabricAddresses[0], "/balancers?add=" + node.m_callers);
  m_balancers.push_back(std::move(node));
}

void
Cluster::StartServerAndAgent(const ServerGroup& aGroup, int aNumber)
{
  std::string id = aGroup.m_label + "-" + std::to_string(aNumber);
  Node node;
  node.m_serverProcess =
    Launch("standins/ServerStandIn",
           { "--name=" + id, "--slots=" + std::to_string(aGroup.m_slots) },
           "server-" + id);
  node.m_server = Local(Ports(*node.m_serverProcess).front());
  node.m_settings = { { "role", "agent" },
                      { "id", id },
                      { "failure_domain",
                        "domain-" + std::to_string(aNumber % kDomains) },
                      { "peer_listen", "127.0.0.1:0" },
                      { "admin_listen", "127.0.0.1:0" },
                      { "platform", m_platformAddress },
                      { "fabric", m_fabricAddresses[0] },
                      { "server", node.m_server },
                      { "labels", { aGroup.m_label } },
                      { "slots", aGroup.m_slots },
                      { "journal_every_ms", 500 } };
  StartDaemon(node, id);
  m_agents[id] = std::move(node);
}

nlohmann::json
Cluster::Fetch(const std::string& aHost,
               const std::string& aPath,
               const std::string& aMethod)
{
  HttpCall call;
  call.m_method = aMethod;
  call.m_host = aHost;
  call.m_path = aPath;
  call.m_timeout = Seconds(2);
  HttpResult result = m_client.SendAndWait(call);
  return nlohmann::json::parse(result.m_body, nullptr, false);
}

std::string
Cluster::ServiceAddress(size_t aIndex) const
{
  return m_fabricAddresses.at(aIndex + 1);
}

PublishResult
Cluster::PublishServices(std::vector<ServiceConfig> aServices)
{
  PublishRequest request;
  request.m_publishId = "publish-" + std::to_string(++m_starts);
  request.m_publisher = "launcher";
  request.m_newKeyBytes = std::string(kKeyBytes, 'k');
  for (size_t i = 0; i < aServices.size(); ++i) {
    aServices[i].m_address = ServiceAddress(i);
  }
  request.m_services = std::move(aServices);
  KeyedStore platform(m_platformAddress);
  return Publish(platform, request);
}

bool
Cluster::WaitForVersion(uint64_t aVersion)
{
  auto hasVersion = [&](const nlohmann::json& aStatus) {
    return aStatus.is_object() && aStatus.at("config_version") >= aVersion;
  };
  return WaitUntil([&] {
    for (size_t i = 0; i < m_balancers.size(); ++i) {
      if (m_balancers[i].m_process->IsRunning() &&
          !hasVersion(BalancerStatus(i))) {
        return false;
      }
    }
    for (const auto& [id, node] : m_agents) {
      if (node.m_process->IsRunning() && !hasVersion(AgentStatus(id))) {
        return false;
      }
    }
    return true;
  });
}

bool
Cluster::WaitForMembers()
{
  size_t expected = m_balancers.size() + m_agents.size();
  return WaitUntil([&] {
    for (size_t i = 0; i < m_balancers.size(); ++i) {
      nlohmann::json status = BalancerStatus(i);
      if (!status.is_object() || status.at("members").size() < expected) {
        return false;
      }
    }
    return true;
  });
}

void
Cluster::SignalBalancer(size_t aIndex, int aSignal)
{
  m_balancers.at(aIndex).m_process->Signal(aSignal);
}

void
Cluster::SignalAgent(const std::string& aId, int aSignal)
{
  m_agents.at(aId).m_process->Signal(aSignal);
}

int
Cluster::WaitForBalancer(size_t aIndex)
{
  return m_balancers.at(aIndex).m_process->Wait();
}

int
Cluster::WaitForAgent(const std::string& aId)
{
  return m_agents.at(aId).m_process->Wait();
}

void
Cluster::RestartAgent(const std::string& aId)
{
  Node& node = m_agents.at(aId);
  node.m_process->Kill();
  StartDaemon(node, aId);
}

void
Cluster::SetDraining(const std::string& aId, bool aIsDraining)
{
  Fetch(AgentAdmin(aId), aIsDraining ? "/drain" : "/undrain", "POST");
}

nlohmann::json
Cluster::BalancerStatus(size_t aIndex)
{
  return Fetch(BalancerAdmin(aIndex), "/status");
}

nlohmann::json
Cluster::AgentStatus(const std::string& aId)
{
  return Fetch(AgentAdmin(aId), "/status");
}

void
Cluster::SetPlatformFaults(bool aIsOut, int aLostAnswers)
{
  Fetch(m_platformAddress,
        std::string("/faults?outage=") + (aIsOut ? "1" : "0") +
          "&lost=" + std::to_string(aLostAnswers),
        "POST");
}

std::map<std::string, int>
Cluster::RanCounts()
{
  std::map<std::string, int> counts;
  for (const auto& [id, node] : m_agents) {
    nlohmann::json ran = Fetch(node.m_server, "/-/ran");
    for (const auto& [request, count] : ran.items()) {
      counts[request] += count.get<int>();
    }
  }
  return counts;
}

size_t
Cluster::RanAt(const std::string& aId)
{
  return Fetch(m_agents.at(aId).m_server, "/-/ran").size();
}

std::string
Cluster::BalancerAdmin(size_t aIndex) const
{
  return m_balancers.at(aIndex).m_admin;
}

std::string
Cluster::AgentAdmin(const std::string& aId) const
{
  return m_agents.at(aId).m_admin;
}

std::vector<std::string>
Cluster::AgentIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, node] : m_agents) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace bilberryfield
