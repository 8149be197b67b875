#include "ConfigRestore.h"
#include "FakeStore.h"
#include "Publisher.h"
#include "ServiceSamples.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

constexpr int kServices = 3;

/** Port of each service by number; later publishes have higher ports. */
using Ports = std::map<int, int>;

PublishResult
PublishService(FakeStore& aStore, const ServiceConfig& aService)
{
  std::string id = aService.m_name + "@" + aService.m_address;
  return Publish(aStore,
                 { id, "operator", { aService }, {}, std::string(32, 'k') });
}

/** The balancers: they share what they know by gossip, so one state will do. */
struct Nodes
{
  const ConfigSnapshot& Config() const { return *m_state.Current(); }

  /** Reads the head once, as ConfigWatcher does. */
  void Read(FakeStore& aStore)
  {
    auto [head, position] = FetchHead(aStore).value();
    if (auto restored = PlanRestore(head, Config(), aStore.Era())) {
      cr_assert(StoreRestored(aStore, *restored, position).has_value());
      return;
    }
    auto delta = FetchDelta(aStore, head, Config().m_version);
    cr_assert(delta.has_value());
    m_state.Apply(*delta);
  }

  void ReadAll(FakeStore& aStore)
  {
    constexpr int kReads = 4;
    for (int i = 0; i < kReads; ++i) {
      Read(aStore);
    }
  }

  Ports PortsInForce() const
  {
    Ports ports;
    for (const auto& [name, entry] : Config().m_services) {
      const std::string& address = entry.m_config.m_address;
      ports[name.back() - '0'] =
        std::stoi(address.substr(address.find(':') + 1));
    }
    return ports;
  }

  ConfigState m_state;
};

Ports
Newest(Ports aPorts, const Ports& aOther)
{
  for (const auto& [service, port] : aOther) {
    aPorts[service] = std::max(aPorts[service], port);
  }
  return aPorts;
}

} // namespace

Test(ConfigRestoration, LostPublishGetsItsVersionBack)
{
  FakeStore store;
  Nodes nodes;
  PublishService(store, NumberedService(1, 80));
  store.TakeCopy();
  PublishResult lost = PublishService(store, NumberedService(1, 81));
  nodes.ReadAll(store);
  store.Restore();
  nodes.ReadAll(store);
  ConfigHead head = FetchHead(store).value().first;
  cr_assert_eq(head.m_version, lost.m_version);
  cr_assert_eq(head.m_services["service-1"].m_address, "10.0.0.1:81");
}

// A new node reads only the store, so all services have to be there.
Test(ConfigRestoration, LostServicesFollowAPublishOfAnotherOne)
{
  FakeStore store;
  Nodes nodes;
  PublishService(store, NumberedService(1, 80));
  store.TakeCopy();
  PublishService(store, NumberedService(1, 81));
  nodes.ReadAll(store);
  store.Restore();
  PublishService(store, NumberedService(2, 82));
  nodes.ReadAll(store);
  Nodes newNode;
  newNode.ReadAll(store);
  cr_assert(newNode.PortsInForce() == (Ports{ { 1, 81 }, { 2, 82 } }));
}

Test(ConfigRestoration, LostServiceGivesWayToANewerOneAtItsAddress)
{
  FakeStore store;
  Nodes nodes;
  PublishService(store, NumberedService(1, 80));
  store.TakeCopy();
  PublishService(store, NumberedService(2, 82));
  nodes.ReadAll(store);
  store.Restore();
  ServiceConfig newer = NumberedService(3, 83);
  newer.m_address = NumberedService(2, 82).m_address;
  cr_assert(PublishService(store, newer).m_outcome == PublishOutcome::Accepted);
  nodes.ReadAll(store);
  ConfigHead head = FetchHead(store).value().first;
  cr_assert_not(head.m_services.contains("service-2"));
  cr_assert(head.m_services.contains("service-3"));
}

Test(ConfigRestoration, PublishPlannedBeforeItIsPlannedAnew)
{
  FakeStore store;
  PublishService(store, NumberedService(1, 80));
  store.TakeCopy();
  PublishService(store, NumberedService(1, 81));
  int calls = 0;
  store.m_onCall = [&] {
    if (++calls == 3) {
      store.Restore();
    }
    return StoreFault::None;
  };
  PublishResult result = PublishService(store, NumberedService(2, 82));
  cr_assert(result.m_outcome == PublishOutcome::Accepted);
  cr_assert_eq(FetchHead(store).value().first.m_version, result.m_version);
}

Test(ConfigRestoration, KeepsEveryPublishThatANodeOrTheCopyHas)
{
  cr_assert(rc::check("publishes survive restorations", [] {
    FakeStore store;
    Nodes nodes;
    Ports expected;
    Ports copied;
    int steps = *rc::gen::inRange(1, 40);
    for (int step = 1; step <= steps; ++step) {
      uint64_t version = nodes.Config().m_version;
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          store.TakeCopy();
          copied = expected;
          break;
        case 1:
          store.Restore();
          expected = Newest(copied, nodes.PortsInForce());
          break;
        case 2:
          nodes.Read(store);
          break;
        default: {
          int service = *rc::gen::inRange(1, kServices + 1);
          auto result = PublishService(store, NumberedService(service, step));
          RC_ASSERT(result.m_outcome == PublishOutcome::Accepted);
          RC_ASSERT(result.m_version > version);
          expected[service] = step;
        }
      }
    }
    nodes.ReadAll(store);
    Nodes newNode;
    newNode.ReadAll(store);
    RC_ASSERT(newNode.PortsInForce() == expected);
    RC_ASSERT(nodes.PortsInForce() == expected);
  }));
}
