#pragma once

// A small deployment on loopback addresses: the daemons of the deploy file as
// separate processes, with the settings that its templates give.

#include "Clients.h"
#include "Server.h"
#include "Store.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sys/wait.h>

namespace review {

/** A daemon; killed when the object ends. */
class Daemon
{
public:
  Daemon(std::string aName,
         std::string aProgram,
         std::string aSettings,
         std::string aLog)
    : m_name(std::move(aName))
    , m_program(std::move(aProgram))
    , m_settings(std::move(aSettings))
    , m_log(std::move(aLog))
  {
  }
  ~Daemon() { Signal(SIGKILL, true); }

  void Start()
  {
    m_pid = fork();
    if (m_pid == 0) {
      int out = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      std::string flag = "--settings=" + m_settings;
      execl(m_program.c_str(), m_program.c_str(), flag.c_str(), nullptr);
      _exit(127);
    }
  }

  void Signal(int aSignal, bool aWaits)
  {
    if (m_pid <= 0) {
      return;
    }
    kill(m_pid, aSignal);
    if (aWaits) {
      waitpid(m_pid, nullptr, 0);
      m_pid = 0;
    }
  }

  /** SIGTERM, and SIGKILL after the grace period. */
  void Stop(int64_t aGraceMs = 6000)
  {
    kill(m_pid, SIGTERM);
    for (int64_t end = NowMs() + aGraceMs; NowMs() < end; SleepMs(5)) {
      if (waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
        return;
      }
    }
    Signal(SIGKILL, true);
  }

  bool HasEndedByItself()
  {
    return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid;
  }

  const std::string& Name() const { return m_name; }

private:
  std::string m_name;
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = 0;
};

class Deployment
{
public:
  Deployment(std::string aProgram, std::string aFolder, Record& aRecord)
    : m_program(std::move(aProgram))
    , m_folder(std::move(aFolder))
    , m_record(aRecord)
  {
  }

  /** Finds free ports and starts the store. */
  bool Start()
  {
    std::mt19937 random(std::random_device{}());
    for (int i = 0; i < 50; ++i) {
      // A deployment uses nine port numbers in a row.
      m_port = static_cast<uint16_t>(20'000 + 16 * (random() % 600));
      if (m_store.Start(At("127.19.0.1", 8))) {
        return true;
      }
    }
    return false;
  }

  Store& Platform() { return m_store; }

  Address At(const std::string& aIp, int aOffset) const
  {
    return { aIp, static_cast<uint16_t>(m_port + aOffset) };
  }
  static std::string EntryIp(size_t aIndex)
  {
    return "127.16.0." + std::to_string(aIndex + 1);
  }
  static std::string SideIp(size_t aIndex)
  {
    return "127.17.0." + std::to_string(aIndex + 1);
  }

  std::unique_ptr<Daemon> Balancer(size_t aIndex,
                                   size_t aCount,
                                   const std::string& aZone)
  {
    std::string ip = EntryIp(aIndex);
    nlohmann::json settings =
      Common("packet-balancer", "front-" + std::to_string(aIndex), ip, aZone);
    settings["readiness_listen"] = At(ip, 2).Text();
    settings["reset_lost_flows"] = true;
    settings["cpu_share"] = 0.25;
    nlohmann::json seeds = nlohmann::json::array();
    for (size_t i = 0; i < std::min<size_t>(aCount, 3); ++i) {
      seeds.push_back(At(EntryIp(i), 3).Text());
    }
    settings["seeds"] = seeds;
    return Make(settings);
  }

  std::unique_ptr<Daemon> Agent(size_t aIndex,
                                const std::string& aService,
                                const std::string& aZone)
  {
    std::string ip = SideIp(aIndex);
    nlohmann::json settings =
      Common("packet-agent", "side-" + std::to_string(aIndex), ip, aZone);
    settings["server_listen"] = At(ip, 1).Text();
    settings["server"] = At(ip, 4).Text();
    settings["service"] = aService;
    settings["cpu_share"] = 0.15;
    settings["eject_failing_server"] = true;
    settings["order_requests"] = true;
    settings["heartbeat_ms"] = 770;
    return Make(settings);
  }

  ServerPlace Place(size_t aIndex,
                    const std::string& aService,
                    const std::string& aZone) const
  {
    std::string ip = SideIp(aIndex);
    return { At(ip, 4), At(ip, 1), At(ip, 3), aService, aZone };
  }

  std::vector<Entry> Entries(size_t aCount) const
  {
    std::vector<Entry> entries;
    for (size_t i = 0; i < aCount; ++i) {
      entries.push_back({ At(EntryIp(i), 0), At(EntryIp(i), 2) });
    }
    return entries;
  }

  /** Clients take packets at the port number of the entry machines. */
  Address ClientListen() const { return At("127.18.0.1", 0); }

  static nlohmann::json Route(const std::string& aName,
                              const Address& aAddress,
                              const std::string& aService)
  {
    return { { "name", aName },
             { "host", aAddress.m_ip },
             { "path-prefix", "/" + std::to_string(aAddress.m_port) + "/" },
             { "service", aService },
             { "kind", "safe" },
             { "timeout-ms", 3000 },
             { "latency-slo-ms", 150 },
             { "priority", 1 } };
  }
  static nlohmann::json Config(uint64_t aVersion,
                               const std::vector<nlohmann::json>& aRoutes,
                               const std::vector<std::string>& aServices)
  {
    nlohmann::json services = nlohmann::json::array();
    for (const std::string& service : aServices) {
      services.push_back({ { "name", service } });
    }
    return { { "version", aVersion },
             { "routes", aRoutes },
             { "services", services },
             { "limits", { { "idle-timeout-ms", 12'000 } } } };
  }

private:
  nlohmann::json Common(const std::string& aRole,
                        const std::string& aId,
                        const std::string& aIp,
                        const std::string& aZone) const
  {
    return { { "role", aRole },
             { "id", aId },
             { "failure_domain", aZone },
             { "packet_listen", At(aIp, 0).Text() },
             { "admin_listen", At(aIp, 3).Text() },
             { "metrics_listen", At(aIp, 7).Text() },
             { "platform", At("127.19.0.1", 8).Text() },
             { "control_port", m_port + 5 },
             { "hand_back_port", m_port + 6 } };
  }

  std::unique_ptr<Daemon> Make(const nlohmann::json& aSettings)
  {
    std::string name = aSettings["id"];
    std::string path = m_folder + "/" + name + ".json";
    std::ofstream(path) << aSettings.dump(2);
    return std::make_unique<Daemon>(
      name, m_program, path, m_folder + "/" + name + ".log");
  }

  std::string m_program;
  std::string m_folder;
  Record& m_record;
  uint16_t m_port = 0;
  Store m_store;
};

} // namespace review
