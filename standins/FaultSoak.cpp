// Runs the packet path as separate processes, disturbs it from outside in an
// order that a seed draws, and checks what callers, servers and operators were
// promised. Processes keep to a bound of disturbed ones, so that every flow
// could have been served.

#include "FlowCluster.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, build, "build", "Folder of the built programs.");
ABSL_FLAG(uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, seeds, 1, "Seeds to run, one after the other.");
ABSL_FLAG(int, seconds_each, 8, "Time for which a seed disturbs, seconds.");
ABSL_FLAG(int, balancers, 3, "Balancers.");
ABSL_FLAG(int, servers, 5, "Backend servers, each with an agent.");
ABSL_FLAG(int, gap_ms, 10, "Time between two new flows.");
ABSL_FLAG(bool,
          restorations,
          false,
          "Also restores the store from copies. Without it a seed draws the "
          "same troubles as before there were restorations.");

namespace {

using namespace bilberryfield;

/** Time in which a process that was disturbed counts as recovering. */
constexpr Duration kRecovery = Milliseconds(1500);
/** Time after the last trouble in which the newest configuration is in force
 * everywhere. */
constexpr Duration kSettle = Seconds(4);
constexpr Duration kCalm = Seconds(1);
constexpr Duration kStatusEvery = Milliseconds(200);

enum class Trouble : uint8_t
{
  KillBalancer,
  StopBalancer,
  PauseBalancer,
  KillAgent,
  PauseAgent,
  ReplaceServer,
  Link,
  StoreLosesAnswers,
  StoreDropsHistory,
  NewRoutes,
  Reload,
  CallersLinks,
  RestoreStore,
};

inline constexpr NameTable<Trouble, 13> kTroubleNames = { {
  { Trouble::KillBalancer, "kill-balancer" },
  { Trouble::StopBalancer, "stop-balancer" },
  { Trouble::PauseBalancer, "pause-balancer" },
  { Trouble::KillAgent, "kill-agent" },
  { Trouble::PauseAgent, "pause-agent" },
  { Trouble::ReplaceServer, "replace-server" },
  { Trouble::Link, "link" },
  { Trouble::StoreLosesAnswers, "store-loses-answers" },
  { Trouble::StoreDropsHistory, "store-drops-history" },
  { Trouble::NewRoutes, "new-routes" },
  { Trouble::Reload, "reload" },
  { Trouble::CallersLinks, "callers-links" },
  { Trouble::RestoreStore, "restore-store" },
} };

size_t
TroubleCount()
{
  bool withRestorations = absl::GetFlag(FLAGS_restorations);
  return kTroubleNames.size() - (withRestorations ? 0 : 1);
}

int64_t
WallMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

/** One seed's run. */
class Soak
{
public:
  explicit Soak(uint64_t aSeed)
    : m_seed(aSeed)
    , m_random(aSeed)
    , m_cluster(absl::GetFlag(FLAGS_build),
                absl::GetFlag(FLAGS_balancers),
                absl::GetFlag(FLAGS_servers))
    , m_balancers(static_cast<size_t>(absl::GetFlag(FLAGS_balancers)))
    , m_servers(static_cast<size_t>(absl::GetFlag(FLAGS_servers)))
    , m_newest(m_balancers.size())
  {
  }

  /** The promises that were broken. */
  std::vector<std::string> Run()
  {
    m_cluster.Start();
    m_callers.emplace(m_cluster.CallerListen(),
                      m_cluster.Targets(),
                      std::vector<Endpoint>{ FlowCluster::Service() });
    if (!m_callers->WaitForReady(m_balancers.size())) {
      return { "not all balancers became ready" };
    }
    m_start = EventLoop::Now();
    Say("starts at " + std::to_string(WallMs()) + " of the logs' time_ms");
    m_callers->Start(Milliseconds(absl::GetFlag(FLAGS_gap_ms)));
    Disturb(m_start + Seconds(absl::GetFlag(FLAGS_seconds_each)));
    Calm();
    CheckEnd();
    if (!m_broken.empty()) {
      KeepLogs();
    }
    return m_broken;
  }

private:
  /** What is to be undone, and when. */
  struct Undo
  {
    TimePoint m_at;
    std::function<void()> m_run;
  };

  size_t Draw(size_t aLimit)
  {
    return std::uniform_int_distribution<size_t>(0, aLimit - 1)(m_random);
  }

  Duration DrawTime(int aLowestMs, int aHighestMs)
  {
    return Milliseconds(
      std::uniform_int_distribution<int>(aLowestMs, aHighestMs)(m_random));
  }

  void Say(const std::string& aWhat)
  {
    std::cout << "  " << ToMilliseconds(EventLoop::Now() - m_start) << " ms "
              << aWhat << std::endl;
  }

  void Break(const std::string& aPromise)
  {
    Say("BROKEN: " + aPromise);
    m_broken.push_back(aPromise);
  }

  void Later(Duration aAfter, std::function<void()> aRun)
  {
    m_undo.push_back({ EventLoop::Now() + aAfter, std::move(aRun) });
  }

  void Disturb(TimePoint aEnd)
  {
    TimePoint next = EventLoop::Now();
    while (EventLoop::Now() < aEnd) {
      if (EventLoop::Now() >= next) {
        OneTrouble(static_cast<Trouble>(Draw(TroubleCount())));
        next = EventLoop::Now() + DrawTime(50, 600);
      }
      Step();
    }
  }

  void Step()
  {
    std::this_thread::sleep_for(Milliseconds(10));
    TimePoint now = EventLoop::Now();
    std::vector<Undo> due;
    for (Undo& undo : m_undo) {
      if (undo.m_at <= now) {
        due.push_back(undo);
      }
    }
    std::erase_if(m_undo, [&](const Undo& aUndo) { return aUndo.m_at <= now; });
    for (const Undo& undo : due) {
      undo.m_run();
    }
    if (now >= m_nextLook) {
      m_nextLook = now + kStatusEvery;
      LookAtBalancers();
    }
  }

  void Calm()
  {
    while (!m_undo.empty()) {
      Step();
    }
    m_cluster.Link().SetMode(LinkMode::Pass);
    m_callers->SetTroubles({});
    TimePoint end = EventLoop::Now() + kSettle + kCalm;
    while (EventLoop::Now() < end) {
      Step();
    }
  }

  // A process for the next trouble, unless too many are disturbed.
  std::optional<size_t> Choose(std::vector<TimePoint>& aDisturbedUntil,
                               size_t aMost,
                               Duration aFor)
  {
    TimePoint now = EventLoop::Now();
    size_t index = Draw(aDisturbedUntil.size());
    auto disturbed = static_cast<size_t>(std::count_if(
      aDisturbedUntil.begin(), aDisturbedUntil.end(), [&](TimePoint aUntil) {
        return aUntil > now;
      }));
    if (aDisturbedUntil[index] > now || disturbed >= aMost) {
      return std::nullopt;
    }
    aDisturbedUntil[index] = now + aFor + kRecovery;
    return index;
  }

  std::optional<size_t> ChooseBalancer(Duration aFor)
  {
    return Choose(m_balancers, m_balancers.size() - 1, aFor);
  }

  std::optional<size_t> ChooseServer(Duration aFor)
  {
    return Choose(m_servers, m_servers.size() / 2, aFor);
  }

  void OneTrouble(Trouble aTrouble)
  {
    Duration time = DrawTime(0, 1500);
    switch (aTrouble) {
      case Trouble::KillBalancer:
        return RestartBalancer(time, false);
      case Trouble::StopBalancer:
        return RestartBalancer(time + Seconds(3), true);
      case Trouble::PauseBalancer:
        if (auto index = ChooseBalancer(time)) {
          Pause("balancer", *index, m_cluster.Balancer(*index), time);
        }
        return;
      case Trouble::KillAgent:
        return KillAgent(time);
      case Trouble::PauseAgent:
        if (auto index = ChooseServer(time)) {
          Pause("agent", *index, m_cluster.Agent(*index), time);
        }
        return;
      case Trouble::ReplaceServer:
        return ReplaceServer();
      case Trouble::Link:
        return DisturbLink(2 * time);
      case Trouble::StoreLosesAnswers:
        Say("store-loses-answers");
        return m_cluster.DisturbStore("lost=" + std::to_string(1 + Draw(4)));
      case Trouble::StoreDropsHistory:
        Say("store-drops-history");
        return m_cluster.DisturbStore("compact=1");
      case Trouble::NewRoutes:
        return StoreNewRoutes();
      case Trouble::Reload:
        return Reload();
      case Trouble::CallersLinks:
        return DisturbCallers(time);
      case Trouble::RestoreStore:
        return RestoreStore();
    }
  }

  void Pause(const std::string& aRole,
             size_t aIndex,
             Process& aProcess,
             Duration aTime)
  {
    Say("pause " + aRole + " " + std::to_string(aIndex) + " for " +
        std::to_string(ToMilliseconds(aTime)) + " ms");
    aProcess.Signal(SIGSTOP);
    Later(aTime, [&aProcess] { aProcess.Signal(SIGCONT); });
  }

  void RestartBalancer(Duration aAfter, bool aIsPlanned)
  {
    std::optional<size_t> index = ChooseBalancer(aAfter);
    if (!index) {
      return;
    }
    Say(std::string(aIsPlanned ? "stop" : "kill") + " balancer " +
        std::to_string(*index));
    if (aIsPlanned) {
      m_cluster.Balancer(*index).Signal(SIGTERM);
      m_isStopping.insert("balancer-" + std::to_string(*index));
    } else {
      m_cluster.Balancer(*index).Kill();
    }
    Later(aAfter, [this, index = *index] {
      Say("start balancer " + std::to_string(index));
      m_newest[index] = 0;
      m_isStopping.erase("balancer-" + std::to_string(index));
      m_cluster.Balancer(index).Kill();
      m_cluster.StartBalancer(index);
    });
  }

  void KillAgent(Duration aAfter)
  {
    std::optional<size_t> index = ChooseServer(aAfter);
    if (!index) {
      return;
    }
    Say("kill agent " + std::to_string(*index));
    m_cluster.Agent(*index).Kill();
    Later(aAfter, [this, index = *index] {
      Say("start agent " + std::to_string(index));
      m_cluster.StartAgent(index);
    });
  }

  // The server says that it drains and leaves a second later.
  void ReplaceServer()
  {
    constexpr Duration kLeaves = Milliseconds(2500);
    std::optional<size_t> index = ChooseServer(kLeaves);
    if (!index) {
      return;
    }
    Say("drain server " + std::to_string(*index));
    m_cluster.Server(*index).Signal(SIGTERM);
    Later(kLeaves, [this, index = *index] {
      Say("start server " + std::to_string(index));
      m_cluster.Server(index).Wait();
      m_cluster.StartServer(index);
    });
  }

  void DisturbLink(Duration aFor)
  {
    auto mode = static_cast<LinkMode>(1 + Draw(kLinkModeNames.size() - 1));
    Say("link " + std::string(NameOf(kLinkModeNames, mode)) + " for " +
        std::to_string(ToMilliseconds(aFor)) + " ms");
    m_cluster.Link().SetMode(mode);
    Later(aFor, [this] { m_cluster.Link().SetMode(LinkMode::Pass); });
  }

  // What is written between the copy and the restoration is lost. The link is
  // down meanwhile or not, so that watches are cut or find the new era alone.
  void RestoreStore()
  {
    constexpr int kMaxAgeMs = 3000;
    Duration age = DrawTime(0, kMaxAgeMs);
    bool isAway = Draw(2) == 0;
    Say("copy of the store");
    m_cluster.CopyStore();
    Later(age, [this, isAway] {
      Say("restore-store");
      if (isAway) {
        m_cluster.Link().SetMode(LinkMode::Reset);
        Later(DrawTime(0, 1000),
              [this] { m_cluster.Link().SetMode(LinkMode::Pass); });
      }
      m_cluster.RestoreStore();
    });
  }

  void KeepLogs()
  {
    std::filesystem::path folder = absl::GetFlag(FLAGS_build);
    folder /= "soak-logs-" + std::to_string(m_seed);
    m_cluster.KeepLogs(folder);
    Say("logs kept in " + folder.string());
  }

  void StoreNewRoutes()
  {
    Say("new-routes");
    m_cluster.StoreRoutes(
      { { "desk", FlowCluster::Service(), { { "desk", 1 } }, 1, {} } });
  }

  void Reload()
  {
    size_t index = Draw(m_balancers.size());
    Say("reload balancer " + std::to_string(index));
    if (m_balancers[index] < EventLoop::Now()) {
      m_cluster.Balancer(index).Signal(SIGHUP);
    }
  }

  void DisturbCallers(Duration aFor)
  {
    LinkTroubles troubles;
    troubles.m_loss = static_cast<double>(Draw(5)) / 100;
    troubles.m_delay = Milliseconds(Draw(40));
    Say("callers-links");
    m_callers->SetTroubles(troubles);
    Later(aFor, [this] { m_callers->SetTroubles({}); });
  }

  // The configuration in force is never older again.
  void LookAtBalancers()
  {
    for (const std::string& name : m_cluster.EndedByThemselves()) {
      if (!m_isStopping.contains(name) && m_ended.insert(name).second) {
        Break(name + " ended by itself");
      }
    }
    for (size_t i = 0; i < m_balancers.size(); ++i) {
      if (m_balancers[i] > EventLoop::Now()) {
        continue;
      }
      std::optional<nlohmann::json> status = m_cluster.StatusOf(i);
      if (!status) {
        continue;
      }
      auto version = status->at("routes_version").get<uint64_t>();
      if (version < m_newest[i]) {
        Break("balancer " + std::to_string(i) + " went back to version " +
              std::to_string(version));
      }
      m_newest[i] = version;
    }
  }

  void CheckEnd()
  {
    for (size_t i = 0; i < m_balancers.size(); ++i) {
      std::optional<nlohmann::json> status = m_cluster.StatusOf(i);
      std::string who = "balancer " + std::to_string(i);
      if (!status || !status->at("ready").get<bool>()) {
        Break(who + " is not ready at the end");
      } else if (status->at("routes_version") != m_cluster.RoutesVersion()) {
        Break(who + " does not have the newest configuration");
      }
    }
    size_t listed = m_cluster.ListedAgents().size();
    if (listed != m_servers.size()) {
      Break(std::to_string(listed) + " of " + std::to_string(m_servers.size()) +
            " agents are listed at the end");
    }
    FlowTally tally = m_callers->Stop();
    for (const FailedFlow& flow : m_callers->Failed()) {
      Break("flow " + flow.m_flow + " " + flow.m_end + ", opened at " +
            std::to_string(ToMilliseconds(flow.m_startedAt - m_start)) +
            " ms, ended at " +
            std::to_string(ToMilliseconds(flow.m_endedAt - m_start)) + " ms");
    }
    for (const std::string& line : m_cluster.RunTwice()) {
      Break("a request ran twice: " + line);
    }
    std::cout << "  " << tally.m_opened << " flows, " << tally.m_answered
              << " answered, slowest " << tally.m_slowestMs << " ms"
              << std::endl;
  }

  uint64_t m_seed;
  std::mt19937_64 m_random;
  FlowCluster m_cluster;
  std::optional<FlowCallers> m_callers;
  TimePoint m_start;
  /** Until when each process counts as disturbed. */
  std::vector<TimePoint> m_balancers;
  std::vector<TimePoint> m_servers;
  /** Newest version seen at each balancer since its start. */
  std::vector<uint64_t> m_newest;
  std::set<std::string> m_isStopping;
  std::set<std::string> m_ended;
  std::vector<Undo> m_undo;
  TimePoint m_nextLook;
  std::vector<std::string> m_broken;
};

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  size_t broken = 0;
  int seeds = absl::GetFlag(FLAGS_seeds);
  try {
    for (int i = 0; i < seeds; ++i) {
      uint64_t seed = absl::GetFlag(FLAGS_seed) + static_cast<uint64_t>(i);
      std::cout << "seed " << seed << std::endl;
      broken += Soak(seed).Run().size();
    }
  } catch (const std::exception& error) {
    // Caught here, so that the cluster's destructor ends its processes.
    std::cerr << "the soak cannot go on: " << error.what() << "\n";
    return 2;
  }
  std::cout << seeds << " seeds, " << broken << " broken promises" << std::endl;
  return broken == 0 ? 0 : 1;
}
