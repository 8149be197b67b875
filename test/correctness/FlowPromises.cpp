#include "FakeFlowNet.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

const Endpoint kImages{ 0xC6120002, 443 };

struct World
{
  FakeFlowNet m_net;
  std::vector<uint32_t> m_servers;
  std::set<uint32_t> m_changed;

  explicit World(uint64_t aSeed)
    : m_net(aSeed)
  {
    // Overload is no part of these promises.
    m_net.m_serverQueue = 1000;
    for (const char* domain : { "a", "b", "a" }) {
      m_net.AddBalancer(domain);
    }
    for (int i = 0; i < 6; ++i) {
      m_servers.push_back(m_net.AddServer(
        i % 3 == 2 ? "images" : "desk", i % 2 == 0 ? "a" : "b", 3));
    }
    m_net.SetRoutes({ { "desk", kDeskAddress, { { "desk", 1 } }, 1, {} },
                      { "images", kImages, { { "images", 1 } }, 2, {} } });
    m_net.RunFor(Seconds(2));
  }

  uint32_t AnyServer() { return *rc::gen::elementOf(m_servers); }
  size_t AnyBalancer() { return *rc::gen::inRange<size_t>(0, 3); }

  // Planned work and deaths of the system's own processes; servers live on.
  void OneChange()
  {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        m_net.RestartBalancer(AnyBalancer());
        break;
      case 1:
        m_net.RestartAgent(AnyServer());
        break;
      case 2:
        m_net.SetRotation({ AnyBalancer() });
        break;
      case 3:
        m_net.SetRotation({ 0, 1, 2 });
        break;
      default:
        m_servers.push_back(m_net.AddServer("desk", "b", 3));
        break;
    }
  }

  void Play()
  {
    int steps = *rc::gen::inRange(5, 30);
    for (int i = 0; i < steps; ++i) {
      int flows = *rc::gen::inRange(0, 6);
      for (int j = 0; j < flows; ++j) {
        m_net.OpenFlow(*rc::gen::element(kDeskAddress, kImages));
      }
      m_net.RunFor(Milliseconds(*rc::gen::inRange(1, 60)));
      if (*rc::gen::inRange(0, 3) == 0) {
        OneChange();
      }
    }
    m_net.SetRotation({ 0, 1, 2 });
    m_net.RunFor(Seconds(6));
  }
};

} // namespace

Test(FlowPromises, AFlowSurvivesChangesOfBalancersAndAgents)
{
  cr_assert(rc::check("every flow ends with its server's answer", [] {
    World world(*rc::gen::arbitrary<uint64_t>());
    world.Play();
    for (const FakeFlow& flow : world.m_net.Flows()) {
      RC_LOG() << ToText(flow.m_key) << " state "
               << static_cast<int>(flow.m_state) << " server " << flow.m_server
               << " sends " << flow.m_sentPackets << "\n";
      RC_ASSERT(flow.m_state == FlowState::Answered);
    }
  }));
}

Test(FlowPromises, APacketNeverReachesAnotherService)
{
  cr_assert(rc::check("the server of a flow is one of its service", [] {
    World world(*rc::gen::arbitrary<uint64_t>());
    world.Play();
    for (const FakeFlow& flow : world.m_net.Flows()) {
      const std::string& service = world.m_net.ServiceOf(flow.m_server);
      RC_ASSERT(service ==
                (flow.m_key.m_service == kDeskAddress ? "desk" : "images"));
    }
  }));
}

Test(FlowPromises, ADrainingServerGetsNoNewFlow)
{
  cr_assert(rc::check("no opening packet after the drain", [] {
    World world(*rc::gen::arbitrary<uint64_t>());
    for (int i = 0; i < 20; ++i) {
      world.m_net.OpenFlow(kDeskAddress);
    }
    world.m_net.RunFor(Milliseconds(5));
    world.m_net.Drain(world.m_servers[0]);
    uint32_t before = world.m_net.SynCountAt(world.m_servers[0]);
    for (int i = 0; i < 50; ++i) {
      world.m_net.OpenFlow(kDeskAddress);
      world.m_net.RunFor(Milliseconds(*rc::gen::inRange(1, 20)));
      if (i == 20) {
        world.m_net.RestartAgent(world.m_servers[0]);
      }
    }
    world.m_net.RunFor(Seconds(3));
    RC_ASSERT(world.m_net.SynCountAt(world.m_servers[0]) == before);
    for (const FakeFlow& flow : world.m_net.Flows()) {
      RC_LOG() << ToText(flow.m_key) << " state "
               << static_cast<int>(flow.m_state) << " server " << flow.m_server
               << " sends " << flow.m_sentPackets << "\n";
      RC_ASSERT(flow.m_state == FlowState::Answered);
    }
  }));
}

// A server that crashed says nothing; its agent notices by the first opening
// packet that it leaves unanswered.
Test(FlowPromises, OpeningPacketsLeaveASilentServerAtOnce)
{
  World world(5);
  world.m_net.HangServer(world.m_servers[0]);
  std::vector<size_t> flows;
  for (int i = 0; i < 40; ++i) {
    flows.push_back(world.m_net.OpenFlow(kDeskAddress));
    world.m_net.RunFor(Milliseconds(5));
  }
  world.m_net.RunFor(Seconds(1));
  for (size_t flow : flows) {
    const FakeFlow& seen = world.m_net.Flow(flow);
    cr_assert(seen.m_state == FlowState::Answered);
    cr_assert_lt((seen.m_answeredAt - seen.m_openedAt).count(),
                 Duration(Milliseconds(200)).count());
  }
}

Test(FlowPromises, LostDatagramsCostTimeButNoFlow)
{
  cr_assert(rc::check("flows end with an answer on links that lose", [] {
    World world(*rc::gen::arbitrary<uint64_t>());
    world.m_net.SetLoss(0.03);
    world.Play();
    for (const FakeFlow& flow : world.m_net.Flows()) {
      RC_ASSERT(flow.m_state != FlowState::Reset);
    }
  }));
}

// The route is gone from the configuration: nothing can serve the caller.
Test(FlowPromises, AnAddressWithoutARouteIsRefusedAtOnce)
{
  World world(7);
  size_t flow = world.m_net.OpenFlow({ 0xC6120009, 443 });
  world.m_net.RunFor(Milliseconds(10));
  cr_assert(world.m_net.Flow(flow).m_state == FlowState::Reset);
}
