#include "FakeFlowNet.h"
#include "FlowBalancer.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kAgentA = 0x0A010001;
constexpr uint32_t kAgentB = 0x0A010002;
/** Time after which a caller sends its SYN packet again. */
constexpr Duration kCopyAfter = Milliseconds(200);

/** A balancer that has just started and has read the entries of two agents of
 * "desk" that it has not heard. */
struct StartedBalancer
{
  StartedBalancer()
  {
    m_balancer.EnableLostFlowResets();
    m_balancer.SetRoutes(DeskRoutes());
    m_balancer.Agents().SetListed(
      m_now, { 1, 1 }, { EntryOf("desk", kAgentA), EntryOf("desk", kAgentB) });
  }

  BalancerStep SendSyn(uint32_t aCopy)
  {
    PacketHeader syn = SynPacket();
    syn.m_ack = aCopy;
    return m_balancer.OnCallerPacket(m_now, syn, {}).front();
  }

  void Report(const std::string& aService, uint32_t aIp)
  {
    m_balancer.Agents().OnReport(m_now, ReportOf(aService, aIp));
  }

  TimePoint m_now{ Seconds(100) };
  FlowBalancer m_balancer{ "a", 1 };
};

uint32_t
OtherAgent(uint32_t aIp)
{
  return aIp == kAgentA ? kAgentB : kAgentA;
}

} // namespace

// Guards against requests that are run by a service which their route never
// had: the copy of a SYN packet followed its agent's address to the agent of
// another service that had got the address meanwhile.
Test(ReusedAddresses, ACopyOfASynPacketDoesNotFollowAnAddressToAnotherService)
{
  StartedBalancer site;
  BalancerStep first = site.SendSyn(0);
  cr_assert(first.m_action == FlowBalancerAction::Forward);
  site.m_now += Milliseconds(100);
  site.Report("archive", first.m_agentIp);
  site.m_now += kCopyAfter - Milliseconds(100);
  BalancerStep copy = site.SendSyn(1);
  cr_assert(copy.m_action == FlowBalancerAction::Forward);
  cr_assert_eq(copy.m_tag, ServiceTag("desk"));
  cr_assert_eq(copy.m_agentIp, OtherAgent(first.m_agentIp));
}

// The same guard for an address that has gone on to a third service, and for
// one whose agents report between the two copies.
Test(ReusedAddresses, NeitherDoesALaterCopyAfterASecondChange)
{
  StartedBalancer site;
  uint32_t first = site.SendSyn(0).m_agentIp;
  site.Report("archive", first);
  site.m_now += kCopyAfter;
  site.Report("desk", OtherAgent(first));
  uint32_t second = site.SendSyn(1).m_agentIp;
  site.Report("images", first);
  site.Report("archive", second);
  site.m_now += Milliseconds(100);
  BalancerStep last = site.SendSyn(2);
  bool isForwarded = last.m_action == FlowBalancerAction::Forward;
  cr_assert(!isForwarded || last.m_tag == ServiceTag("desk"));
}

// Guards against flows of two services that follow their servers' addresses
// when the two change places.
Test(ReusedAddresses, CopiesStayWithTheirServiceWhenTwoAddressesChangePlaces)
{
  StartedBalancer site;
  auto routes = std::make_shared<RouteTable>(*DeskRoutes());
  Endpoint archive{ kDeskAddress.m_ip, 8080 };
  routes->m_version = 2;
  routes->m_routes[archive] = {
    "archive", archive, { { "archive", 1 } }, 1, {}
  };
  site.m_balancer.SetRoutes(routes);
  site.Report("desk", kAgentA);
  site.Report("archive", kAgentB);
  PacketHeader toArchive = SynPacket();
  toArchive.m_destination = archive;
  site.SendSyn(0);
  site.m_balancer.OnCallerPacket(site.m_now, toArchive, {});
  site.m_now += kCopyAfter;
  site.Report("archive", kAgentA);
  site.Report("desk", kAgentB);
  BalancerStep desk = site.SendSyn(1);
  cr_assert_eq(desk.m_tag, ServiceTag("desk"));
  cr_assert_eq(desk.m_agentIp, kAgentB);
  toArchive.m_ack = 1;
  BalancerStep second =
    site.m_balancer.OnCallerPacket(site.m_now, toArchive, {}).front();
  cr_assert_eq(second.m_tag, ServiceTag("archive"));
  cr_assert_eq(second.m_agentIp, kAgentA);
}

// Guards against packets of an open flow that are forwarded to the agent of
// another service at the address, or dropped: the flow is searched for.
Test(ReusedAddresses, AnOpenFlowIsSearchedForWhenItsAddressGoesToAnotherService)
{
  StartedBalancer site;
  uint32_t first = site.SendSyn(0).m_agentIp;
  site.Report("archive", first);
  PacketHeader request = SynPacket();
  request.m_flags = kAck;
  request.m_ack = 5'001;
  request.m_length = 100;
  std::vector<uint8_t> bytes(8);
  const auto& steps =
    site.m_balancer.OnCallerPacket(site.m_now, request, bytes);
  cr_assert(steps.front().m_action == FlowBalancerAction::Query);
}

// Guards against the same in any order of events: addresses go on to other
// services and back or change places, while the store still has the earlier
// entries and balancers restart, one, some or all, or sleep through the change.
Test(ReusedAddresses, NoServiceGetsFlowsOfAnotherInAnyOrderOfEvents)
{
  constexpr Endpoint kArchiveAddress{ kDeskAddress.m_ip, 8080 };
  size_t answered = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    auto draw = [&](int aFrom, int aTo) {
      return std::uniform_int_distribution<int>(aFrom, aTo)(random);
    };
    FakeFlowNet net(seed);
    net.m_resetsLostFlows = true;
    for (int i = 0; i < 3; ++i) {
      net.AddBalancer("a");
    }
    std::vector<uint32_t> desks;
    std::vector<uint32_t> archives;
    for (int i = 0; i < 3; ++i) {
      desks.push_back(net.AddServer("desk", "a"));
      archives.push_back(net.AddServer("archive", "a"));
    }
    net.SetRoutes(
      { { "desk", kDeskAddress, { { "desk", 1 } }, 1, {} },
        { "archive", kArchiveAddress, { { "archive", 1 } }, 1, {} } });
    net.RunFor(Seconds(2));
    Milliseconds until{ draw(500, 1500) };
    for (size_t i = 0; i < 2; ++i) {
      Milliseconds spread{ draw(0, 200) };
      Milliseconds listedAfter{ draw(0, 400) };
      net.GiveAddress(desks[i], "archive", until + spread, listedAfter);
    }
    net.GiveAddress(archives[0], "desk", until, Milliseconds(draw(0, 400)));
    net.RunFor(until - Milliseconds(300));
    for (size_t i = 0; i < 3; ++i) {
      net.OpenFlows(kDeskAddress, 200, Milliseconds(draw(0, 100)));
      if (draw(0, 3) > 0) {
        net.RestartBalancer(i);
      } else {
        net.PauseBalancer(i, Milliseconds(draw(100, 900)));
      }
    }
    for (int i = 0; i < 15; ++i) {
      net.OpenFlows(kDeskAddress, 200, Milliseconds(50));
      net.OpenFlows(kArchiveAddress, 200, Milliseconds(20));
    }
    net.GiveAddress(desks[0], "images", Milliseconds(300), Milliseconds(100));
    net.OpenFlows(kDeskAddress, 200, Milliseconds(600));
    net.RunFor(Seconds(4));
    cr_assert_eq(net.MisplacedSyns(), 0, "seed %d", static_cast<int>(seed));
    answered += static_cast<size_t>(
      std::count_if(net.Flows().begin(), net.Flows().end(), [](auto& aFlow) {
        return aFlow.m_state == FlowState::Answered;
      }));
  }
  cr_assert_gt(answered, 40 * 300);
}
