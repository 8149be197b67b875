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
ABSL_FLAG(bool,
          evacuations,
          false,
          "Also evacuates failure domains and starts cold servers. Without it "
          "a seed draws the same troubles as before there were evacuations.");

namespace {

using namespace bilberryfield;

/** Time in which a process that was disturbed counts as recovering. */
constexpr Duration kRecovery = Milliseconds(1500);
/** Time after the last trouble in which the newest configuration is in force
 * everywhere. */
constexpr Duration kSettle = Seconds(4);
constexpr Duration kCalm = Seconds(1);
constexpr Duration kStatusEvery = Milliseconds(200);
/** Time after which an acknowledged evacuation is in force, unless the process
 * concerned was disturbed meanwhile. */
constexpr Duration kEvacuateBound = Seconds(5);
/** Time for which an evacuation that a restored store lacks is kept. */
constexpr Duration kLongestKept = Seconds(10);
constexpr size_t kDomains = 3;
constexpr WarmupRule kWarmup;

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
  Evacuate,
  ColdServer,
};

inline constexpr NameTable<Trouble, 15> kTroubleNames = { {
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
  { Trouble::Evacuate, "evacuate" },
  { Trouble::ColdServer, "cold-server" },
} };

bool
IsDrawn(Trouble aTrouble)
{
  switch (aTrouble) {
    case Trouble::RestoreStore:
      return absl::GetFlag(FLAGS_restorations);
    case Trouble::Evacuate:
    case Trouble::ColdServer:
      return absl::GetFlag(FLAGS_evacuations);
    default:
      return true;
  }
}

// What a seed draws depends on the number and order of these.
std::vector<Trouble>
DrawnTroubles()
{
  std::vector<Trouble> drawn;
  for (const auto& [trouble, name] : kTroubleNames) {
    if (IsDrawn(trouble)) {
      drawn.push_back(trouble);
    }
  }
  return drawn;
}

/** A span of time in which something was disturbed. */
struct Disturbance
{
  TimePoint m_from;
  TimePoint m_to = TimePoint::max();

  bool Overlaps(TimePoint aFrom, TimePoint aTo) const
  {
    return m_from <= aTo && m_to >= aFrom;
  }
};

/** A span of time for which the operator evacuates a domain. */
struct EvacuationSpan
{
  std::string m_domain;
  TimePoint m_acknowledgedAt;
  TimePoint m_removedAt = TimePoint::max();
};

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
    , m_disturbedBalancers(m_balancers.size())
    , m_disturbedAgents(m_servers.size())
  {
    if (absl::GetFlag(FLAGS_evacuations)) {
      m_cluster.m_domains = kDomains;
      m_cluster.m_hasEvacuations = true;
      m_cluster.m_warmup = kWarmup;
    }
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
        OneTrouble(m_troubles[Draw(m_troubles.size())]);
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
    auto index = Choose(m_balancers, m_balancers.size() - 1, aFor);
    if (index) {
      TimePoint now = EventLoop::Now();
      m_disturbedBalancers[*index].push_back({ now, now + aFor });
    }
    return index;
  }

  std::optional<size_t> ChooseServer(Duration aFor)
  {
    auto index = Choose(m_servers, m_servers.size() / 2, aFor);
    TimePoint now = EventLoop::Now();
    if (index && !IsAServerLeft()) {
      m_servers[*index] = now;
      return std::nullopt;
    }
    if (index) {
      m_disturbedAgents[*index].push_back({ now, now + aFor });
    }
    return index;
  }

  // True if a server is neither evacuated nor disturbed.
  bool IsAServerLeft()
  {
    TimePoint now = EventLoop::Now();
    for (size_t i = 0; i < m_servers.size(); ++i) {
      std::string domain = m_cluster.DomainOf(i);
      if (m_servers[i] <= now && !m_evacuated.contains(domain) &&
          m_keptUntil[domain] <= now) {
        return true;
      }
    }
    return false;
  }

  // A restored store may name a domain that has returned to service, and
  // balancers keep evacuations that it lacks for a while.
  void KeepEvacuations()
  {
    for (const EvacuationSpan& span : m_evacuations) {
      m_keptUntil[span.m_domain] = EventLoop::Now() + kLongestKept;
    }
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
        return ReplaceServer(false);
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
      case Trouble::Evacuate:
        return Evacuate();
      case Trouble::ColdServer:
        return ReplaceServer(true);
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
    RestartAgent(*index, aAfter);
  }

  void RestartAgent(size_t aIndex, Duration aAfter)
  {
    Say("kill agent " + std::to_string(aIndex));
    m_cluster.Agent(aIndex).Kill();
    Later(aAfter, [this, aIndex] {
      Say("start agent " + std::to_string(aIndex));
      m_cluster.StartAgent(aIndex);
    });
  }

  // The server says that it drains and leaves a second later. The next one is
  // disturbed until it is warm.
  void ReplaceServer(bool aIsNextCold)
  {
    constexpr Duration kLeaves = Milliseconds(2500);
    Duration warmup = aIsNextCold ? Duration(kWarmup.m_duration) : Duration(0);
    std::optional<size_t> index = ChooseServer(kLeaves + warmup);
    if (!index) {
      return;
    }
    Say("drain server " + std::to_string(*index));
    m_cluster.Server(*index).Signal(SIGTERM);
    Later(kLeaves, [this, index = *index, aIsNextCold] {
      Say((aIsNextCold ? "start cold server " : "start server ") +
          std::to_string(index));
      m_cluster.Server(index).Wait();
      m_cluster.StartServer(index, aIsNextCold);
      if (aIsNextCold) {
        DisturbAgentOfColdServer(index);
      }
    });
  }

  void DisturbAgentOfColdServer(size_t aIndex)
  {
    size_t kind = Draw(3);
    Duration time = DrawTime(0, 1000);
    Later(DrawTime(0, 1500), [this, aIndex, kind, time] {
      if (kind == 0) {
        RestartAgent(aIndex, time);
      } else if (kind == 1) {
        Pause("agent", aIndex, m_cluster.Agent(aIndex), time);
      }
    });
  }

  void Evacuate()
  {
    std::string domain = m_cluster.DomainOf(Draw(kDomains));
    Duration time = DrawTime(4000, 12'000);
    if (!m_evacuated.insert(domain).second) {
      return;
    }
    if (!IsAServerLeft()) {
      m_evacuated.erase(domain);
      return;
    }
    Say("evacuate " + domain);
    size_t span = m_evacuations.size();
    m_evacuations.push_back({ domain, m_cluster.Evacuate(domain) });
    Later(time, [this, domain, span] {
      Say("return " + domain);
      m_evacuations[span].m_removedAt = m_cluster.ReturnToService(domain);
      m_evacuated.erase(domain);
    });
  }

  // A restored store has the evacuations of its copy, so the operator's tool
  // writes those that are intended.
  void RewriteEvacuations()
  {
    Say("rewrite evacuations");
    for (size_t i = 0; i < kDomains; ++i) {
      std::string domain = m_cluster.DomainOf(i);
      if (m_evacuated.contains(domain)) {
        m_cluster.Evacuate(domain);
      } else {
        m_cluster.ReturnToService(domain);
      }
    }
  }

  void DisturbLink(Duration aFor)
  {
    auto mode = static_cast<LinkMode>(1 + Draw(kLinkModeNames.size() - 1));
    Say("link " + std::string(NameOf(kLinkModeNames, mode)) + " for " +
        std::to_string(ToMilliseconds(aFor)) + " ms");
    m_cluster.Link().SetMode(mode);
    TimePoint now = EventLoop::Now();
    m_disturbedStore.push_back({ now, now + aFor });
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
      KeepEvacuations();
      if (!IsAServerLeft()) {
        return;
      }
      Say("restore-store");
      if (isAway) {
        m_cluster.Link().SetMode(LinkMode::Reset);
        Later(DrawTime(0, 1000),
              [this] { m_cluster.Link().SetMode(LinkMode::Pass); });
      }
      m_cluster.RestoreStore();
      if (absl::GetFlag(FLAGS_evacuations)) {
        size_t trouble = m_disturbedStore.size();
        m_disturbedStore.push_back({ EventLoop::Now() });
        Later(DrawTime(1000, 3000), [this, trouble] {
          RewriteEvacuations();
          m_disturbedStore[trouble].m_to = EventLoop::Now();
        });
      }
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
    TimePoint end = EventLoop::Now();
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
    if (absl::GetFlag(FLAGS_evacuations)) {
      CheckEvacuations(end);
      CheckColdServers();
    }
    for (const std::string& line : m_cluster.RunTwice()) {
      Break("a request ran twice: " + line);
    }
    std::cout << "  " << tally.m_opened << " flows, " << tally.m_answered
              << " answered, slowest " << tally.m_slowestMs << " ms"
              << std::endl;
  }

  // The bound counts from the end of the last trouble between the store and
  // all balancers, if that began before the evacuation was in force.
  TimePoint InForceFrom(const EvacuationSpan& aSpan) const
  {
    TimePoint from = aSpan.m_acknowledgedAt;
    for (const Disturbance& trouble : m_disturbedStore) {
      if (trouble.Overlaps(from, from + kEvacuateBound)) {
        from = std::max(from, trouble.m_to);
      }
    }
    return from + kEvacuateBound;
  }

  static bool WasDisturbed(const std::vector<Disturbance>& aTroubles,
                           TimePoint aAt)
  {
    return std::ranges::any_of(aTroubles, [&](const Disturbance& aTrouble) {
      return aTrouble.Overlaps(aAt - kEvacuateBound, aAt);
    });
  }

  bool WasPathDisturbed(const FlowArrival& aArrival) const
  {
    const std::set<size_t>& sentTo = m_callers->SentTo().at(aArrival.m_flow);
    return WasDisturbed(m_disturbedAgents[aArrival.m_server], aArrival.m_at) ||
           std::ranges::any_of(sentTo, [&](size_t aBalancer) {
             return WasDisturbed(m_disturbedBalancers[aBalancer],
                                 aArrival.m_at);
           });
  }

  void CheckEvacuations(TimePoint aEnd)
  {
    std::vector<FlowArrival> arrivals = m_cluster.Arrivals();
    for (const EvacuationSpan& span : m_evacuations) {
      TimePoint from = InForceFrom(span);
      size_t late = 0;
      for (const FlowArrival& arrival : arrivals) {
        late += m_cluster.DomainOf(arrival.m_server) == span.m_domain &&
                arrival.m_at >= from && arrival.m_at < span.m_removedAt &&
                !WasPathDisturbed(arrival);
      }
      if (late > 0) {
        Break(std::to_string(late) + " new flows in domain " + span.m_domain +
              ", evacuated at " +
              std::to_string(ToMilliseconds(span.m_acknowledgedAt - m_start)) +
              " ms");
      }
    }
    for (size_t i = 0; i < std::min(kDomains, m_servers.size()); ++i) {
      std::string domain = m_cluster.DomainOf(i);
      if (m_keptUntil[domain] <= aEnd - kSettle &&
          m_cluster.CountArrivals(domain, aEnd - kSettle, aEnd) == 0) {
        Break("no new flow in domain " + domain + " after its return");
      }
    }
  }

  void CheckColdServers()
  {
    size_t most = MostColdArrivals(m_cluster.Arrivals());
    if (most > kWarmup.MaxFlows()) {
      Break(std::to_string(most) +
            " new flows reached a cold server in a second, " +
            std::to_string(kWarmup.MaxFlows()) + " are permitted");
    }
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
  const std::vector<Trouble> m_troubles = DrawnTroubles();
  std::vector<std::vector<Disturbance>> m_disturbedBalancers;
  std::vector<std::vector<Disturbance>> m_disturbedAgents;
  /** Troubles of the link to the store and restorations, in order. */
  std::vector<Disturbance> m_disturbedStore;
  /** Until when a domain may be evacuated because of a restoration. */
  std::map<std::string, TimePoint> m_keptUntil;
  std::vector<EvacuationSpan> m_evacuations;
  /** Domains that are evacuated now. */
  std::set<std::string> m_evacuated;
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
