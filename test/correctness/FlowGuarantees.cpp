#include "FakeFlowNet.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

const Endpoint kImages{ 0xC6120002, 443 };

struct Simulation
{
  FakeFlowNet m_net;
  std::vector<uint32_t> m_servers;
  std::set<uint32_t> m_changed;

  explicit Simulation(uint64_t aSeed)
    : m_net(aSeed)
  {
    // The guarantees do not cover overload, so no server sheds requests.
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

  uint32_t RandomServer() { return *rc::gen::elementOf(m_servers); }
  size_t RandomBalancer() { return *rc::gen::inRange<size_t>(0, 3); }

  // Maintenance and crashes of balancers and agents. Servers keep running.
  void ApplyRandomChange()
  {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        m_net.RestartBalancer(RandomBalancer());
        break;
      case 1:
        m_net.RestartAgent(RandomServer());
        break;
      case 2:
        m_net.SetRotation({ RandomBalancer() });
        break;
      case 3:
        m_net.SetRotation({ 0, 1, 2 });
        break;
      default:
        m_servers.push_back(m_net.AddServer("desk", "b", 3));
        break;
    }
  }

  void RunRandomSteps()
  {
    int steps = *rc::gen::inRange(5, 30);
    for (int i = 0; i < steps; ++i) {
      int flows = *rc::gen::inRange(0, 6);
      for (int j = 0; j < flows; ++j) {
        m_net.OpenFlow(*rc::gen::element(kDeskAddress, kImages));
      }
      m_net.RunFor(Milliseconds(*rc::gen::inRange(1, 60)));
      if (*rc::gen::inRange(0, 3) == 0) {
        ApplyRandomChange();
      }
    }
    m_net.SetRotation({ 0, 1, 2 });
    m_net.RunFor(Seconds(6));
  }
};

} // namespace

Test(FlowGuarantees, AFlowSurvivesChangesOfBalancersAndAgents)
{
  cr_assert(rc::check("every flow ends with its server's answer", [] {
    Simulation simulation(*rc::gen::arbitrary<uint64_t>());
    simulation.RunRandomSteps();
    for (const FakeFlow& flow : simulation.m_net.Flows()) {
      RC_LOG() << ToText(flow.m_key) << " state "
               << static_cast<int>(flow.m_state) << " server " << flow.m_server
               << " sends " << flow.m_sentPackets << "\n";
      RC_ASSERT(flow.m_state == FlowState::Answered);
    }
  }));
}

Test(FlowGuarantees, APacketNeverReachesAnotherService)
{
  cr_assert(rc::check("the server of a flow is one of its service", [] {
    Simulation simulation(*rc::gen::arbitrary<uint64_t>());
    simulation.RunRandomSteps();
    for (const FakeFlow& flow : simulation.m_net.Flows()) {
      const std::string& service = simulation.m_net.ServiceOf(flow.m_server);
      RC_ASSERT(service ==
                (flow.m_key.m_service == kDeskAddress ? "desk" : "images"));
    }
  }));
}

Test(FlowGuarantees, ADrainingServerGetsNoNewFlow)
{
  cr_assert(rc::check("no SYN packet after the drain", [] {
    Simulation simulation(*rc::gen::arbitrary<uint64_t>());
    for (int i = 0; i < 20; ++i) {
      simulation.m_net.OpenFlow(kDeskAddress);
    }
    simulation.m_net.RunFor(Milliseconds(5));
    simulation.m_net.Drain(simulation.m_servers[0]);
    uint32_t before = simulation.m_net.SynCountAt(simulation.m_servers[0]);
    for (int i = 0; i < 50; ++i) {
      simulation.m_net.OpenFlow(kDeskAddress);
      simulation.m_net.RunFor(Milliseconds(*rc::gen::inRange(1, 20)));
      if (i == 20) {
        simulation.m_net.RestartAgent(simulation.m_servers[0]);
      }
    }
    simulation.m_net.RunFor(Seconds(3));
    RC_ASSERT(simulation.m_net.SynCountAt(simulation.m_servers[0]) == before);
    for (const FakeFlow& flow : simulation.m_net.Flows()) {
      RC_LOG() << ToText(flow.m_key) << " state "
               << static_cast<int>(flow.m_state) << " server " << flow.m_server
               << " sends " << flow.m_sentPackets << "\n";
      RC_ASSERT(flow.m_state == FlowState::Answered);
    }
  }));
}

// A crashed server sends no message; its agent detects the crash by the first
// unanswered SYN packet.
Test(FlowGuarantees, SynPacketsAvoidASilentServerAtOnce)
{
  Simulation simulation(5);
  simulation.m_net.HangServer(simulation.m_servers[0]);
  std::vector<size_t> flows;
  for (int i = 0; i < 40; ++i) {
    flows.push_back(simulation.m_net.OpenFlow(kDeskAddress));
    simulation.m_net.RunFor(Milliseconds(5));
  }
  simulation.m_net.RunFor(Seconds(1));
  for (size_t flow : flows) {
    const FakeFlow& seen = simulation.m_net.Flow(flow);
    cr_assert(seen.m_state == FlowState::Answered);
    cr_assert_lt((seen.m_answeredAt - seen.m_openedAt).count(),
                 Duration(Milliseconds(200)).count());
  }
}

Test(FlowGuarantees, LostDatagramsDelayFlowsButDoNotResetThem)
{
  cr_assert(rc::check("flows end with an answer despite packet loss", [] {
    Simulation simulation(*rc::gen::arbitrary<uint64_t>());
    simulation.m_net.SetLoss(0.03);
    simulation.RunRandomSteps();
    for (const FakeFlow& flow : simulation.m_net.Flows()) {
      RC_ASSERT(flow.m_state != FlowState::Reset);
    }
  }));
}

// The route was removed from the configuration, so no server can serve the
// caller.
Test(FlowGuarantees, AnAddressWithoutARouteIsRefusedAtOnce)
{
  Simulation simulation(7);
  size_t flow = simulation.m_net.OpenFlow({ 0xC6120009, 443 });
  simulation.m_net.RunFor(Milliseconds(10));
  cr_assert(simulation.m_net.Flow(flow).m_state == FlowState::Reset);
}
