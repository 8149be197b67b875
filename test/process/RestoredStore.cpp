#include "AgentEntryCodec.h"
#include "BuildFolder.h"
#include "FlowCluster.h"
#include "FlowJournal.h"
#include "HttpPaths.h"
#include "ProcessFixture.h"
#include "StoredJournal.h"
#include "WaitForStore.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

TestSuite(RestoredStore, .fini = Process::KillAll);

namespace {

/** Time in which a change has to be in force everywhere. */
constexpr Duration kConfigBound = Seconds(3);
/** Time in which the system has to write again what the store lost. */
constexpr Duration kRewriteBound = Seconds(2);
/** As kRewriteBound, for an agent that nobody can tell: its own check is due 3
 * s after its start, and a call takes up to a second. */
constexpr Duration kCheckBound = Seconds(4);

template<typename Condition>
bool
WaitUntil(Duration aTimeout, Condition aCondition)
{
  TimePoint deadline = EventLoop::Now() + aTimeout;
  while (EventLoop::Now() < deadline) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

bool
IsInForce(FlowCluster& aCluster, size_t aBalancer, uint64_t aVersion)
{
  auto status = aCluster.StatusOf(aBalancer);
  return status && status->at("routes_version") == aVersion;
}

bool
IsListed(FlowCluster& aCluster, const std::string& aAgent)
{
  auto status = aCluster.StatusOf(0);
  if (!status) {
    return false;
  }
  for (const nlohmann::json& agent : status->at("agents")) {
    if (agent.at("agent") == aAgent) {
      return agent.at("listed").get<bool>();
    }
  }
  return false;
}

std::vector<Route>
DeskRoute()
{
  return { { "desk", FlowCluster::Service(), { { "desk", 1 } }, 1, {} } };
}

void
WriteAgentEntry(FlowCluster& aCluster, const std::string& aIp)
{
  StoreClient store(aCluster.StoreAddress());
  nlohmann::json entry = { { "service", "desk" },
                           { "failure_domain", "a" },
                           { "packets", aIp + ":8000" } };
  auto written = WaitForStore<StoreWrite>(
    [&](auto aOnEnd) { store.Create(kAgentKind, aIp, entry, aOnEnd); });
  cr_assert(written.has_value());
}

/** Raises the store's revision by writes that nobody watches. */
void
WriteUnrelated(FlowCluster& aCluster, int aCount)
{
  KeyedStore store(aCluster.StoreAddress());
  for (int i = 0; i < aCount; ++i) {
    std::string key = "unrelated/" + std::to_string(i);
    cr_assert(store.Put(key, "value", {}).has_value());
  }
}

/** A packet path with one balancer that has listed every agent. */
class ListedCluster : public FlowCluster
{
public:
  explicit ListedCluster(int aServers)
    : FlowCluster(BuildFolder(), 1, aServers)
  {
    Start();
    cr_assert(WaitUntil(Seconds(5), [&] {
      auto status = StatusOf(0);
      return status && status->at("ready").get<bool>() &&
             status->at("agents").size() == static_cast<size_t>(aServers);
    }));
  }
};

uint64_t
HeadVersion(const std::string& aStore)
{
  KeyedStore store(aStore);
  auto head = FetchHead(store);
  return head ? head->first.m_version : 0;
}

void
DisturbStore(const std::string& aStore, const std::string& aFault)
{
  HttpClient client(HttpClientOptions{});
  HttpCall call;
  call.m_host = aStore;
  call.m_path = "/faults?" + aFault;
  client.SendAndWait(call);
}

PublishResult
PublishDeadline(ReadyCluster& aCluster, Milliseconds aDeadline)
{
  ServiceConfig service = MakeService("catalogue");
  service.m_classes[0].m_deadline = aDeadline;
  PublishResult result = aCluster.PublishServices({ service });
  cr_assert(result.m_outcome == PublishOutcome::Accepted);
  return result;
}

/** Has the store lose a publish that is in force everywhere. */
PublishResult
LosePublish(ReadyCluster& aCluster)
{
  DisturbStore(aCluster.PlatformAddress(), "copy=1");
  PublishResult lost = PublishDeadline(aCluster, Seconds(4));
  cr_assert(aCluster.WaitForVersion(lost.m_version));
  DisturbStore(aCluster.PlatformAddress(), "restore=1");
  return lost;
}

/** With the version number of the lost publish, every node would ignore it. */
void
CheckNextPublish(ReadyCluster& aCluster, const PublishResult& aLost)
{
  PublishResult next = PublishDeadline(aCluster, Seconds(3));
  cr_assert_gt(next.m_version, aLost.m_version);
  cr_assert(aCluster.WaitForVersion(next.m_version));
}

} // namespace

// Also an answer that tells of no object shows the store's era.
Test(RestoredStore, StoreEraIsNoticedInAnyAnswer)
{
  FlowCluster cluster(BuildFolder(), 0, 0);
  cluster.Start();
  StoreClient store(cluster.StoreAddress());
  std::vector<uint64_t> noticed;
  store.SetOnRestored([&](uint64_t aEra) { noticed.push_back(aEra); });
  auto readMissing = [&] {
    auto found = WaitForStore<std::optional<StoreObject>>(
      [&](auto aOnEnd) { store.Read(kAgentKind, "none", aOnEnd); });
    cr_assert(found && !*found);
  };
  readMissing();
  cr_assert_eq(store.Era(), 1);
  cr_assert(noticed.empty());
  cluster.CopyStore();
  cluster.RestoreStore();
  readMissing();
  readMissing();
  cr_assert_eq(store.Era(), 2);
  cr_assert(noticed == std::vector<uint64_t>{ 2 });
}

// The store loses two changes. One of them is written again and a new one
// follows, so the newest change has the revision at which the watch stopped.
Test(RestoredStore, ChangeWithAReusedRevisionComesIntoForce)
{
  ListedCluster cluster(1);
  cluster.CopyStore();
  cluster.StoreRoutes(DeskRoute());
  cluster.StoreRoutes(DeskRoute());
  cr_assert(WaitUntil(kConfigBound, [&] { return IsInForce(cluster, 0, 3); }));
  cluster.Link().SetMode(LinkMode::Reset);
  cluster.RestoreStore();
  cluster.StoreRoutes(DeskRoute());
  cluster.Link().SetMode(LinkMode::Pass);
  cr_assert(WaitUntil(kConfigBound, [&] { return IsInForce(cluster, 0, 4); }));
}

// The list of agents that the balancer keeps has a higher revision than the
// lists that the store gives out after its restoration.
Test(RestoredStore, NewAgentIsListedAlthoughRevisionsWentBack)
{
  ListedCluster cluster(1);
  cluster.CopyStore();
  WriteUnrelated(cluster, 20);
  WriteAgentEntry(cluster, "127.2.0.8");
  cr_assert(
    WaitUntil(Seconds(3), [&] { return IsListed(cluster, "127.2.0.8"); }));
  cluster.RestoreStore();
  WriteAgentEntry(cluster, "127.2.0.9");
  cr_assert(WaitUntil(kRewriteBound, [&] {
    return IsListed(cluster, "127.2.0.9") && !IsListed(cluster, "127.2.0.8");
  }));
}

// The agent's entry was acknowledged after the copy was taken.
Test(RestoredStore, LostEntryOfALiveAgentIsWrittenAgain)
{
  ListedCluster cluster(2);
  cluster.Agent(0).Signal(SIGSTOP);
  StoreClient store(cluster.StoreAddress());
  std::string name = "127.2.0.1";
  cr_assert(WaitForStore<StoreWrite>([&](auto aOnEnd) {
              store.Remove(kAgentKind, name, {}, aOnEnd);
            }).has_value());
  cr_assert_eq(cluster.ListedAgents().size(), 1);
  cluster.CopyStore();
  WriteUnrelated(cluster, 20);
  cluster.Agent(0).Signal(SIGCONT);
  auto areBothListed = [&] { return cluster.ListedAgents().size() == 2; };
  cr_assert(WaitUntil(Seconds(5), areBothListed));
  cr_assert(WaitUntil(Seconds(1), [&] { return IsListed(cluster, name); }));
  cluster.RestoreStore();
  cr_assert_eq(cluster.ListedAgents().size(), 1);
  cr_assert(WaitUntil(kRewriteBound, areBothListed));
}

// The balancer that knew the agent is gone as well, so nobody can tell it.
Test(RestoredStore, LostEntryThatNoBalancerKnowsIsWrittenAgain)
{
  ListedCluster cluster(2);
  cluster.Balancer(0).Kill();
  cluster.Agent(1).Kill();
  StoreClient store(cluster.StoreAddress());
  cr_assert(WaitForStore<StoreWrite>([&](auto aOnEnd) {
              store.Remove(kAgentKind, "127.2.0.2", {}, aOnEnd);
            }).has_value());
  cluster.CopyStore();
  cluster.StartAgent(1);
  auto areBothListed = [&] { return cluster.ListedAgents().size() == 2; };
  cr_assert(WaitUntil(Seconds(2), areBothListed));
  cluster.RestoreStore();
  cluster.StartBalancer(0);
  cr_assert_eq(cluster.ListedAgents().size(), 1);
  cr_assert(WaitUntil(kCheckBound, areBothListed));
}

Test(RestoredStore, LostJournalBatchesAreStoredAgain)
{
  constexpr uint32_t kFlows = 200;
  FlowCluster cluster(BuildFolder(), 0, 0);
  cluster.Start();
  EventLoop loop;
  StoreClient store(cluster.StoreAddress());
  FlowJournal journal(loop, store, "agent/1", "desk");
  auto openFlows = [&](uint32_t aFirst) {
    for (uint32_t i = aFirst; i < aFirst + kFlows; ++i) {
      journal.OnOpened(EventLoop::Now(),
                       { { 0x64400001 + i, 1024 }, FlowCluster::Service() });
    }
  };
  cluster.CopyStore();
  openFlows(0);
  journal.Flush([&] {
    cluster.RestoreStore();
    openFlows(kFlows);
    journal.Flush([&] { loop.Stop(); });
  });
  loop.Run();
  AuditReport report = AuditStoredJournal(cluster.StoreAddress(), "agent");
  cr_assert_eq(report.m_started, 2 * kFlows);
}

// The store gives the object of another writer the revision that this writer
// has read before the restoration.
Test(RestoredStore, ConditionWithAReusedRevisionDoesNotHold)
{
  FlowCluster cluster(BuildFolder(), 0, 0);
  cluster.Start();
  KeyedStore own(cluster.StoreAddress());
  KeyedStore other(cluster.StoreAddress());
  std::string key = "members/a";
  cr_assert(own.Put(key, "first", {}) == PutOutcome::Stored);
  cluster.CopyStore();
  auto replace = [&](KeyedStore& aStore, const std::string& aValue) {
    return aStore.Put(key, aValue, aStore.Get(key).value()->m_position);
  };
  cr_assert(replace(own, "lost") == PutOutcome::Stored);
  auto read = own.Get(key);
  cluster.RestoreStore();
  cr_assert(replace(other, "other") == PutOutcome::Stored);
  cr_assert(own.Put(key, "own", read.value()->m_position) !=
            PutOutcome::Stored);
  cr_assert_eq(other.Get(key).value()->m_value, "other");
}

Test(RestoredStore, LostPublishIsWrittenAgainAndTheNextOneIsInForce)
{
  ReadyCluster cluster(1);
  PublishResult lost = LosePublish(cluster);
  cr_assert_lt(HeadVersion(cluster.PlatformAddress()), lost.m_version);
  cr_assert(WaitUntil(2 * kRewriteBound, [&] {
    return HeadVersion(cluster.PlatformAddress()) >= lost.m_version;
  }));
  CheckNextPublish(cluster, lost);
}

Test(RestoredStore, PublishBeforeTheLostOneIsWrittenAgainIsInForce)
{
  ReadyCluster cluster(1);
  CheckNextPublish(cluster, LosePublish(cluster));
}

Test(RestoredStore, LostPeerAddressesAreWrittenAgain)
{
  ReadyCluster cluster(1);
  KeyedStore store(cluster.PlatformAddress());
  auto countAddresses = [&] {
    size_t count = 0;
    auto keys = store.List("members/");
    for (const std::string& key : keys.value()) {
      count += nlohmann::json::parse(store.Get(key).value()->m_value).size();
    }
    return count;
  };
  cr_assert(WaitUntil(Seconds(5), [&] { return countAddresses() >= 3; }));
  DisturbStore(cluster.PlatformAddress(), "copy=1");
  cluster.AddBalancer();
  cr_assert(WaitUntil(Seconds(5), [&] { return countAddresses() == 4; }));
  DisturbStore(cluster.PlatformAddress(), "restore=1");
  cr_assert_eq(countAddresses(), 3);
  cr_assert(
    WaitUntil(2 * kRewriteBound, [&] { return countAddresses() == 4; }));
}
