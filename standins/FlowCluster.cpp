#include "FlowCluster.h"

#include "AgentEntryCodec.h"
#include "HttpPaths.h"
#include "KeyedStore.h"
#include "OperatorConfig.h"
#include "WaitForStore.h"

#include <deque>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

namespace bilberryfield {

namespace {

// Every VM has an address of its own on loopback; ports are the same on all.
constexpr uint32_t kBalancerNet = 0x7F010001;
constexpr uint32_t kServerNet = 0x7F020001;
constexpr uint32_t kCallerIp = 0x7F030001;

enum PortOffset : uint16_t
{
  kPackets,
  kOutbound,
  kReadiness,
  kAdmin,
  kApp,
  kControl,
  kHandBack,
  kMetrics,
  kPortCount,
};

// The operator's requests; the product has a name of its own for this kind.
constexpr const char* kEvacuationObjects = "evacuations";

// An answer may be lost, so a write is repeated; it has the same effect.
void
RepeatUntilStored(const std::function<bool()>& aWrite)
{
  constexpr int kTries = 20;
  for (int i = 0; i < kTries; ++i) {
    if (aWrite()) {
      return;
    }
    std::this_thread::sleep_for(Milliseconds(100));
  }
  throw std::runtime_error("the store acknowledged no write");
}

// Test programs run beside each other, so each cluster draws its ports.
uint16_t
DrawPort()
{
  constexpr uint16_t kLowest = 20'000;
  constexpr uint16_t kHighest = 30'000;
  std::random_device device;
  std::uniform_int_distribution<uint16_t> any(kLowest, kHighest - kPortCount);
  return any(device);
}

} // namespace

size_t
MostColdArrivals(const std::vector<FlowArrival>& aArrivals)
{
  constexpr Duration kSpan = Seconds(1);
  size_t most = 0;
  std::map<size_t, std::deque<TimePoint>> recent;
  for (const FlowArrival& arrival : aArrivals) {
    if (!arrival.m_isCold) {
      continue;
    }
    std::deque<TimePoint>& times = recent[arrival.m_server];
    times.push_back(arrival.m_at);
    while (times.front() + kSpan <= arrival.m_at) {
      times.pop_front();
    }
    most = std::max(most, times.size());
  }
  return most;
}

FlowCluster::FlowCluster(std::string aBuild, int aBalancers, int aServers)
  : m_build(std::move(aBuild))
  , m_port(DrawPort())
  , m_client(HttpClientOptions{})
  , m_balancers(aBalancers)
  , m_agents(aServers)
  , m_servers(aServers)
{
  std::string name =
    (std::filesystem::temp_directory_path() / "bilberryflow-XXXXXX").string();
  if (!mkdtemp(name.data())) {
    throw std::runtime_error("cannot make a folder for logs");
  }
  m_folder = name;
}

FlowCluster::~FlowCluster()
{
  m_balancers.clear();
  m_servers.clear();
  m_agents.clear();
  m_store.reset();
  std::filesystem::remove_all(m_folder);
}

Endpoint
FlowCluster::Service()
{
  return { 0xC6120001, 443 };
}

Endpoint
FlowCluster::CallerListen() const
{
  return { kCallerIp, static_cast<uint16_t>(m_port + kPackets) };
}

std::vector<FabricTarget>
FlowCluster::Targets() const
{
  std::vector<FabricTarget> targets;
  for (uint32_t i = 0; i < m_balancers.size(); ++i) {
    targets.push_back(
      { { kBalancerNet + i, static_cast<uint16_t>(m_port + kPackets) },
        { kBalancerNet + i, static_cast<uint16_t>(m_port + kReadiness) } });
  }
  return targets;
}

Process
FlowCluster::Run(const std::string& aName,
                 const std::vector<std::string>& aCommand)
{
  Result<Process> process =
    Process::Start(aCommand, (m_folder / (aName + ".log")).string());
  if (!process) {
    throw std::runtime_error(process.error().m_detail);
  }
  return std::move(*process);
}

std::string
FlowCluster::SettingsText(const std::string& aName,
                          FlowRole aRole,
                          uint32_t aIp,
                          size_t aIndex) const
{
  auto at = [&](PortOffset aOffset) {
    return ToText(Endpoint{ aIp, static_cast<uint16_t>(m_port + aOffset) });
  };
  nlohmann::json settings = { { "role", NameOf(kFlowRoleNames, aRole) },
                              { "id", aName },
                              { "failure_domain", DomainOf(aIndex) },
                              { "packet_listen", at(kPackets) },
                              { "admin_listen", at(kAdmin) },
                              { "metrics_listen", at(kMetrics) },
                              { "platform", ToText(m_link->Where()) },
                              { "control_port", m_port + kControl },
                              { "hand_back_port", m_port + kHandBack } };
  if (aRole == FlowRole::Agent) {
    settings["server_listen"] = at(kOutbound);
    settings["server"] = at(kApp);
    settings["service"] = "desk";
    settings["heartbeat_ms"] = 200;
    settings["eject_failing_server"] = true;
    settings["order_requests"] = true;
    if (m_warmup) {
      settings["warmup_overage"] = m_warmup->m_overage;
      settings["warmup_slack"] = m_warmup->m_slack;
    }
  } else {
    settings["readiness_listen"] = at(kReadiness);
    nlohmann::json seeds = nlohmann::json::array();
    for (uint32_t i = 0; i < m_balancers.size(); ++i) {
      seeds.push_back(ToText(
        Endpoint{ kBalancerNet + i, static_cast<uint16_t>(m_port + kAdmin) }));
    }
    settings["seeds"] = seeds;
    settings["stale_entry_ms"] = m_staleEntryAfter.count();
    if (m_hasEvacuations) {
      settings["evacuations"] = true;
    }
    settings["reset_lost_flows"] = true;
  }
  settings["shutdown_limit_ms"] = m_shutdownLimit.count();
  return settings.dump(2);
}

std::string
FlowCluster::WriteSettings(const std::string& aName, const std::string& aText)
{
  std::string path = (m_folder / (aName + ".json")).string();
  std::ofstream(path) << aText;
  return path;
}

void
FlowCluster::Start()
{
  m_store = Run("store", { m_build + "/standins/PlatformStandIn" });
  auto line = m_store->WaitForLine("ports");
  if (!line) {
    throw std::runtime_error("the store stand-in did not start");
  }
  uint16_t port = nlohmann::json::parse(*line).at("ports").at(0);
  m_storeAddress = "127.0.0.1:" + std::to_string(port);
  m_link.emplace(Endpoint{ INADDR_LOOPBACK, port });
  StoreRoutes({ { "desk", Service(), { { "desk", 1 } }, 1, {} } });
  for (size_t i = 0; i < m_agents.size(); ++i) {
    StartAgent(i);
    StartServer(i);
  }
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    StartBalancer(i);
  }
}

void
FlowCluster::StoreRoutes(const std::vector<Route>& aRoutes)
{
  RouteTable table;
  table.m_version = ++m_version;
  for (const Route& route : aRoutes) {
    table.m_routes[route.m_address] = route;
  }
  nlohmann::json content = EncodeOperatorConfig(table);
  if (m_warmup) {
    content["services"] = { { { "name", "desk" },
                              { "warmup-s", m_warmup->m_duration.count() },
                              { "warmup-per-s", m_warmup->m_perSecond } } };
  }
  bool isFirst = m_version == 1;
  RepeatUntilStored(
    [&] { return StoreConfiguration(content, std::exchange(isFirst, false)); });
}

bool
FlowCluster::StoreConfiguration(const nlohmann::json& aContent, bool aIsFirst)
{
  StoreClient store(m_storeAddress);
  auto written = WaitForStore<StoreWrite>([&](auto aOnEnd) {
    if (aIsFirst) {
      store.Create(kConfigKind, kConfigName, aContent, aOnEnd);
    } else {
      store.Replace(kConfigKind, kConfigName, aContent, {}, aOnEnd);
    }
  });
  return written && written->m_outcome == StoreWrite::Outcome::Stored;
}

TimePoint
FlowCluster::Evacuate(const std::string& aDomain)
{
  StoreClient store(m_storeAddress);
  RepeatUntilStored([&] {
    return WaitForStore<StoreWrite>([&](auto aOnEnd) {
             store.Create(
               kEvacuationObjects, aDomain, nlohmann::json::object(), aOnEnd);
           })
      .has_value();
  });
  return EventLoop::Now();
}

TimePoint
FlowCluster::ReturnToService(const std::string& aDomain)
{
  TimePoint last = EventLoop::Now();
  StoreClient store(m_storeAddress);
  RepeatUntilStored([&] {
    return WaitForStore<StoreWrite>([&](auto aOnEnd) {
             store.Remove(kEvacuationObjects, aDomain, {}, aOnEnd);
           })
      .has_value();
  });
  return last;
}

std::string
FlowCluster::DomainOf(size_t aIndex) const
{
  return std::string(1, static_cast<char>('a' + aIndex % m_domains));
}

void
FlowCluster::SetStoreOutage(bool aIsOut)
{
  DisturbStore(aIsOut ? "outage=1" : "outage=0");
}

void
FlowCluster::DisturbStore(const std::string& aFault)
{
  HttpCall call;
  call.m_host = m_storeAddress;
  call.m_path = "/faults?" + aFault;
  m_client.SendAndWait(call);
}

std::optional<nlohmann::json>
FlowCluster::StatusOf(size_t aBalancer)
{
  HttpCall call;
  call.m_host =
    ToText(Endpoint{ kBalancerNet + static_cast<uint32_t>(aBalancer),
                     static_cast<uint16_t>(m_port + kAdmin) });
  call.m_path = "/status";
  call.m_timeout = Milliseconds(500);
  HttpResult result = m_client.SendAndWait(call);
  if (result.m_end != HttpEnd::Answered) {
    return std::nullopt;
  }
  nlohmann::json status = nlohmann::json::parse(result.m_body, nullptr, false);
  return status.is_discarded() ? std::nullopt : std::optional(status);
}

std::vector<std::string>
FlowCluster::EndedByThemselves()
{
  std::vector<std::string> ended;
  auto look = [&](const std::string& aRole,
                  std::vector<std::optional<Process>>& aProcesses) {
    for (size_t i = 0; i < aProcesses.size(); ++i) {
      if (aProcesses[i]->IsRunning() && aProcesses[i]->HasEnded()) {
        ended.push_back(aRole + "-" + std::to_string(i));
      }
    }
  };
  look("balancer", m_balancers);
  look("agent", m_agents);
  return ended;
}

std::vector<std::string>
FlowCluster::ListedAgents() const
{
  StoreClient store(m_storeAddress);
  auto listing = WaitForStore<StoreListing>(
    [&](auto aOnEnd) { store.List(kAgentKind, aOnEnd); });
  std::vector<std::string> names;
  if (listing) {
    for (const StoreObject& object : listing->m_objects) {
      names.push_back(object.m_name);
    }
  }
  return names;
}

void
FlowCluster::ForEachServerLine(
  const std::function<void(size_t, const std::string&)>& aVisit) const
{
  const std::string prefix = "server-";
  for (const auto& entry : std::filesystem::directory_iterator(m_folder)) {
    std::string name = entry.path().filename().string();
    if (!name.starts_with(prefix)) {
      continue;
    }
    size_t server = std::stoul(name.substr(prefix.size()));
    std::ifstream log(entry.path());
    std::string line;
    while (std::getline(log, line)) {
      aVisit(server, line);
    }
  }
}

std::vector<std::string>
FlowCluster::RunTwice() const
{
  std::vector<std::string> twice;
  std::set<std::string> seen;
  ForEachServerLine([&](size_t, const std::string& aLine) {
    if (aLine.starts_with("ran ") && !seen.insert(aLine).second) {
      twice.push_back(aLine);
    }
  });
  return twice;
}

std::vector<FlowArrival>
FlowCluster::Arrivals() const
{
  std::vector<FlowArrival> arrivals;
  ForEachServerLine([&](size_t aServer, const std::string& aLine) {
    std::istringstream fields(aLine);
    std::string event;
    Duration::rep at = 0;
    FlowArrival arrival;
    arrival.m_server = aServer;
    fields >> event >> at >> arrival.m_isCold >> arrival.m_flow;
    if (fields && event == "syn") {
      arrival.m_at = TimePoint(Duration(at));
      arrivals.push_back(arrival);
    }
  });
  std::ranges::sort(arrivals, {}, &FlowArrival::m_at);
  return arrivals;
}

size_t
FlowCluster::CountArrivals(const std::string& aDomain,
                           TimePoint aFrom,
                           TimePoint aTo) const
{
  std::vector<FlowArrival> arrivals = Arrivals();
  return static_cast<size_t>(
    std::ranges::count_if(arrivals, [&](const FlowArrival& aArrival) {
      return DomainOf(aArrival.m_server) == aDomain && aArrival.m_at >= aFrom &&
             aArrival.m_at < aTo;
    }));
}

void
FlowCluster::KeepLogs(const std::filesystem::path& aFolder) const
{
  std::filesystem::remove_all(aFolder);
  std::filesystem::copy(
    m_folder, aFolder, std::filesystem::copy_options::recursive);
}

// Each start has a log of its own, so that no restart overwrites what the
// process did before.
std::string
FlowCluster::LogName(const std::string& aName)
{
  return aName + "-" + std::to_string(m_starts++);
}

Process
FlowCluster::RunDaemon(FlowRole aRole, uint32_t aIp, size_t aIndex)
{
  std::string name = aRole == FlowRole::Agent ? "agent-" : "balancer-";
  name += std::to_string(aIndex);
  std::string path =
    WriteSettings(name, SettingsText(name, aRole, aIp, aIndex));
  return Run(LogName(name),
             { m_build + "/packages/control/bilberryd", "--settings=" + path });
}

void
FlowCluster::StartBalancer(size_t aIndex)
{
  m_balancers[aIndex] = RunDaemon(
    FlowRole::Balancer, kBalancerNet + static_cast<uint32_t>(aIndex), aIndex);
}

void
FlowCluster::StartAgent(size_t aIndex)
{
  m_agents[aIndex] = RunDaemon(
    FlowRole::Agent, kServerNet + static_cast<uint32_t>(aIndex), aIndex);
}

void
FlowCluster::StartServer(size_t aIndex, bool aIsCold)
{
  Milliseconds warmup = aIsCold ? m_warmup.value().m_duration : Seconds(0);
  auto at = [&](PortOffset aOffset) {
    return ToText(Endpoint{ kServerNet + static_cast<uint32_t>(aIndex),
                            static_cast<uint16_t>(m_port + aOffset) });
  };
  std::string name = "server-" + std::to_string(aIndex);
  m_servers[aIndex] = Run(LogName(name),
                          { m_build + "/standins/FlowServerStandIn",
                            "--listen=" + at(kApp),
                            "--outbound=" + at(kOutbound),
                            "--agent=" + at(kAdmin),
                            "--service=desk",
                            "--warmup_ms=" + std::to_string(warmup.count()) });
}

} // namespace bilberryfield
