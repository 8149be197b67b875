// A small deployment: the store, balancers, agents and their servers. The
// project's programs run as separate processes with the command of the deploy
// file and settings as its templates give them.
#pragma once

#include "Callers.h"
#include "Store.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// True unless the script was started with TROUBLE=0.
inline bool
HasTrouble()
{
  const char* trouble = getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

class Daemon
{
public:
  Daemon(std::string name, std::string settings, std::string log)
    : m_name(std::move(name))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
  {
  }

  ~Daemon() { Signal(SIGKILL), Wait(); }

  const std::string& Name() const { return m_name; }
  const std::string& Log() const { return m_log; }

  void Start()
  {
    pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      std::string settings = "--settings=" + m_settings;
      const char* program = "target/packages/control/bilberryd";
      execl(program, program, settings.c_str(), nullptr);
      _exit(127);
    }
  }

  void Signal(int signal) const
  {
    if (m_pid > 0) {
      kill(m_pid, signal);
    }
  }

  void Wait()
  {
    if (m_pid > 0) {
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }

  // True if the process has ended although nobody ended it.
  bool HasEnded() const
  {
    siginfo_t info{};
    return m_pid > 0 &&
           waitid(P_PID, id_t(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) ==
             0 &&
           info.si_pid == m_pid;
  }

  // As the platform stops a process: SIGTERM, then SIGKILL after grace-s.
  void Stop()
  {
    constexpr int kGraceMs = 6000;
    Signal(SIGTERM);
    auto start = Clock::now();
    while (!HasEnded() && Clock::now() - start < milliseconds(kGraceMs)) {
      Sleep(5);
    }
    Signal(SIGKILL);
    Wait();
  }

private:
  std::string m_name;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

struct Group
{
  std::string service;
  int servers;
};

struct DeploymentOptions
{
  int balancers = 3;
  std::vector<Group> groups;
  int slots = 4;
  int workMs = 26;
};

// The bounds and figures are those of sites/bibliobus-reseau.toml.
class Deployment
{
public:
  explicit Deployment(DeploymentOptions options)
    : m_options(std::move(options))
  {
    std::random_device device;
    m_net = uint8_t(10 + device() % 200);
    m_port = uint16_t(20'000 + device() % 9'000);
    std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(folder.data())) {
      throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    m_store = std::make_unique<Store>(StoreAddress());
    for (int i = 0; i < m_options.balancers; ++i) {
      m_balancers.push_back(MakeDaemon("front-laval-" + std::to_string(i + 1),
                                       BalancerSettings(i)));
    }
    for (const Group& group : m_options.groups) {
      for (int i = 0; i < group.servers; ++i) {
        int index = int(m_agents.size());
        m_services.push_back(group.service);
        m_agents.push_back(MakeDaemon("side-laval-" + std::to_string(index + 1),
                                      AgentSettings(index)));
      }
    }
  }

  ~Deployment() { End(); }

  // Ends every process and all packets, and removes the temporary folder.
  void End()
  {
    m_loop.Stop();
    for (auto* daemons : { &m_balancers, &m_agents }) {
      for (auto& daemon : *daemons) {
        daemon->Signal(SIGKILL);
        daemon->Wait();
      }
    }
    std::filesystem::remove_all(m_folder);
  }

  Record& Log() { return m_record; }
  Loop& Events() { return m_loop; }
  Store& Platform() { return *m_store; }
  Router& Fabric() { return *m_router; }
  Daemon& Balancer(int index) { return *m_balancers.at(index); }
  Daemon& Agent(int index) { return *m_agents.at(index); }
  FlowServer& Server(int index) { return *m_servers.at(index); }
  int Servers() const { return int(m_servers.size()); }

  // A client of a route. It lives as long as the deployment.
  Caller& AddCaller(int client, int route)
  {
    CallerOptions options;
    options.listen = Client(client);
    options.route = Route(route);
    options.isOpenAtServer = [this](const FlowKey& key) {
      return HasOpen(key);
    };
    m_callers.push_back(
      std::make_unique<Caller>(m_loop, m_record, *m_router, options));
    return *m_callers.back();
  }

  // The address of a route.
  Endpoint Route(int index) const
  {
    return { Ip(127, m_net, 9, uint8_t(index + 1)), 8443 };
  }
  // Where a client takes packets.
  Endpoint Client(int index) const
  {
    return { Ip(127, m_net, 3, uint8_t(index + 1)), Port(kPackets) };
  }

  // The operator stores a configuration with a route for each service named.
  void Configure(const std::vector<std::string>& services)
  {
    m_version += 7;
    json routes = json::array();
    for (size_t i = 0; i < services.size(); ++i) {
      routes.push_back({ { "name", "r-" + std::to_string(i + 1) },
                         { "host", IpText(Route(int(i)).ip) },
                         { "path-prefix", "/8443/" },
                         { "kind", "safe" },
                         { "timeout-ms", 8000 },
                         { "latency-slo-ms", 500 },
                         { "priority", 2 },
                         { "service", services[i] },
                         { "attempts", 2 } });
    }
    json listed = json::array();
    for (const Group& group : m_options.groups) {
      listed.push_back({ { "name", group.service },
                         { "health-path", "/healthz" },
                         { "max-conns", 2000 },
                         { "protocol", "h1" },
                         { "tls", false } });
    }
    m_store->WriteConfiguration({ { "version", m_version },
                                  { "routes", routes },
                                  { "services", listed },
                                  { "limits",
                                    { { "max-header-bytes", 16384 },
                                      { "max-body-bytes", 262144 },
                                      { "header-timeout-ms", 3000 },
                                      { "idle-timeout-ms", 15000 } } } });
    std::string text =
      "operator: version " + std::to_string(m_version) + " acknowledged:";
    for (size_t i = 0; i < services.size(); ++i) {
      text += " route " + Text(Route(int(i))) + " -> " + services[i];
    }
    m_record.Add(text);
  }

  // Starts everything; false if the balancers do not become ready.
  bool Start()
  {
    constexpr int kReadyMs = 15'000;
    for (size_t i = 0; i < m_agents.size(); ++i) {
      m_agents[i]->Start();
    }
    for (auto& balancer : m_balancers) {
      balancer->Start();
    }
    for (size_t i = 0; i < m_agents.size(); ++i) {
      StartServer(int(i));
    }
    std::vector<Router::Target> targets;
    for (int i = 0; i < m_options.balancers; ++i) {
      uint32_t ip = BalancerIp(i);
      targets.push_back({ { ip, Port(kPackets) }, { ip, Port(kReadiness) } });
    }
    m_router = std::make_unique<Router>(m_record, targets);
    auto start = Clock::now();
    while (m_router->ReadyCount() < m_balancers.size()) {
      if (Clock::now() - start > milliseconds(kReadyMs)) {
        return false;
      }
      Sleep(20);
    }
    Sleep(2000);
    return true;
  }

  void StartServer(int index, int clockAheadMs = 0)
  {
    uint32_t ip = AgentIp(index);
    ServerOptions server;
    server.id = "i-" + std::to_string(1000 + m_starts++);
    server.service = m_services[index];
    server.zone = "laval";
    server.app = { ip, Port(kApp) };
    server.outbound = { ip, Port(kOutbound) };
    server.admin = { ip, Port(kAdmin) };
    server.slots = m_options.slots;
    server.workMs = m_options.workMs;
    server.heartbeatMs = kHeartbeatMs;
    server.clockAheadMs = clockAheadMs;
    m_servers.resize(m_agents.size());
    m_servers[index] = std::make_unique<FlowServer>(m_loop, m_record, server);
  }

  // The server's process ends without a word.
  void CrashServer(int index)
  {
    FlowServer& server = *m_servers[index];
    m_loop.Call([&] {
      server.Crash();
      return true;
    });
    server.StopHeartbeats();
    m_crashed.push_back(std::move(m_servers[index]));
  }

  // Stops a process and starts it again, as in roll_term.
  void Roll(Daemon& daemon, int downMs)
  {
    m_record.Add("platform: SIGTERM to " + daemon.Name());
    daemon.Stop();
    m_record.Add("platform: " + daemon.Name() + " has ended");
    Sleep(downMs);
    daemon.Start();
    m_record.Add("platform: " + daemon.Name() + " started again");
  }

  bool HasOpen(const FlowKey& key) const
  {
    for (const auto& server : m_servers) {
      if (server && server->HasOpen(key)) {
        return true;
      }
    }
    return false;
  }

  bool HasDaemonEnded() const
  {
    for (const auto* daemons : { &m_balancers, &m_agents }) {
      for (const auto& daemon : *daemons) {
        if (daemon->HasEnded()) {
          return true;
        }
      }
    }
    return false;
  }

  // Adds the log lines of all daemons with a text to the record.
  void RecordLogs(const std::string& text, size_t most = 20)
  {
    for (auto* daemons : { &m_balancers, &m_agents }) {
      for (auto& daemon : *daemons) {
        std::ifstream log(daemon->Log());
        std::string line;
        while (most > 0 && std::getline(log, line)) {
          if (line.find(text) != std::string::npos) {
            m_record.Add("log of " + daemon->Name() + ": " + line);
            most -= 1;
          }
        }
      }
    }
  }

private:
  enum PortOffset : uint16_t
  {
    kPackets,
    kOutbound,
    kReadiness,
    kAdmin,
    kApp,
    kStore,
    kMetrics,
    kFirstShared,
    kLastShared = kFirstShared + 15,
  };
  static constexpr int kHeartbeatMs = 770;

  uint16_t Port(PortOffset offset) const { return uint16_t(m_port + offset); }
  uint32_t BalancerIp(int index) const
  {
    return Ip(127, m_net, 1, uint8_t(index + 1));
  }
  uint32_t AgentIp(int index) const
  {
    return Ip(127, m_net, 2, uint8_t(index + 1));
  }
  Endpoint StoreAddress() const
  {
    return { Ip(127, m_net, 4, 1), Port(kStore) };
  }
  std::string At(uint32_t ip, PortOffset offset) const
  {
    return Text(Endpoint{ ip, Port(offset) });
  }

  json CommonSettings(uint32_t ip) const
  {
    return { { "failure_domain", "laval" },
             { "packet_listen", At(ip, kPackets) },
             { "admin_listen", At(ip, kAdmin) },
             { "metrics_listen", At(ip, kMetrics) },
             { "platform", Text(StoreAddress()) },
             { "control_port", Port(kFirstShared) },
             { "hand_back_port", Port(kLastShared) } };
  }

  // As deploy/balancer.json.template.
  json BalancerSettings(int index) const
  {
    uint32_t ip = BalancerIp(index);
    json settings = CommonSettings(ip);
    json seeds = json::array();
    for (int i = 0; i < std::min(m_options.balancers, 3); ++i) {
      seeds.push_back(At(BalancerIp(i), kAdmin));
    }
    settings["role"] = "packet-balancer";
    settings["id"] = "front-laval-" + std::to_string(index + 1);
    settings["readiness_listen"] = At(ip, kReadiness);
    settings["cpu_share"] = 0.25;
    settings["reset_lost_flows"] = true;
    settings["seeds"] = seeds;
    return settings;
  }

  // As deploy/agent.json.template.
  json AgentSettings(int index) const
  {
    uint32_t ip = AgentIp(index);
    json settings = CommonSettings(ip);
    settings["role"] = "packet-agent";
    settings["id"] = "side-laval-" + std::to_string(index + 1);
    settings["server_listen"] = At(ip, kOutbound);
    settings["server"] = At(ip, kApp);
    settings["service"] = m_services[index];
    settings["cpu_share"] = 0.15;
    settings["eject_failing_server"] = true;
    settings["order_requests"] = true;
    settings["heartbeat_ms"] = kHeartbeatMs;
    return settings;
  }

  std::unique_ptr<Daemon> MakeDaemon(const std::string& name,
                                     const json& settings)
  {
    std::string path = (m_folder / (name + ".json")).string();
    std::ofstream(path) << settings.dump(2);
    return std::make_unique<Daemon>(
      name, path, (m_folder / (name + ".log")).string());
  }

  DeploymentOptions m_options;
  uint8_t m_net = 0;
  uint16_t m_port = 0;
  std::filesystem::path m_folder;
  Record m_record;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Daemon>> m_balancers;
  std::vector<std::unique_ptr<Daemon>> m_agents;
  std::vector<std::string> m_services;
  uint64_t m_version = 0;
  int m_starts = 0;
  std::unique_ptr<Router> m_router;
  Loop m_loop;
  std::vector<std::unique_ptr<FlowServer>> m_servers;
  std::vector<std::unique_ptr<FlowServer>> m_crashed;
  std::vector<std::unique_ptr<Caller>> m_callers;
};

// Runs a case, writes its record and returns the exit code of the script.
inline int
RunCase(const DeploymentOptions& options,
        const std::vector<std::string>& routes,
        const std::string& recordPath,
        const std::function<int(Deployment&)>& play)
{
  constexpr int kMostSeconds = 115;
  signal(SIGPIPE, SIG_IGN);
  // Ends this process and, with it, all that it started.
  signal(SIGALRM, [](int) { _exit(kNotRun); });
  alarm(kMostSeconds);
  int code = kNotRun;
  try {
    Deployment deployment(options);
    Record& record = deployment.Log();
    record.Add(HasTrouble() ? "with the disruption"
                            : "without the disruption (TROUBLE=0)");
    deployment.Configure(routes);
    if (deployment.Start()) {
      code = play(deployment);
    } else {
      record.Add("the deployment did not become ready");
    }
    if (deployment.HasDaemonEnded()) {
      record.Add("a program of the project ended by itself");
    }
    const char* ends[] = { "the rule held", "THE RULE WAS BROKEN", "not run" };
    record.Add(ends[code]);
    record.Write(recordPath);
    std::cout << ends[code] << std::endl;
    deployment.End();
    // The store's threads still run, so nothing is destroyed.
    std::_Exit(code);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
  }
  std::_Exit(code);
}

} // namespace review
