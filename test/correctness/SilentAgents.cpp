#include "FlowBalancer.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kFirstAgent = 0x0A010001;
constexpr uint32_t kSecondAgent = 0x0A010002;
constexpr Milliseconds kReportInterval{ 1000 };

/** A balancer that has subscribed to one report per second from two agents. */
struct BalancerWithTwoAgents
{
  BalancerWithTwoAgents()
  {
    m_balancer.SetRoutes(DeskRoutes());
    for (uint32_t ip : { kFirstAgent, kSecondAgent }) {
      m_balancer.Agents().OnReport(m_now, ReadyReport({ ip, 8000 }, "a"));
      Subscribe message;
      message.m_intervals = {
        kReportInterval, kReportInterval, kReportInterval, kReportInterval
      };
      m_balancer.Agents().OnSubscribed(m_now, ip, message);
    }
  }

  uint32_t SendSyn()
  {
    const auto& steps = m_balancer.OnCallerPacket(m_now, SynPacket(), {});
    return steps.front().m_agentIp;
  }

  void RunFor(Duration aTime)
  {
    for (TimePoint end = m_now + aTime; m_now < end;
         m_now += FlowBalancer::kTick) {
      m_balancer.OnTick(m_now);
    }
  }

  TimePoint m_now = kStart;
  FlowBalancer m_balancer{ "a", 1 };
};

} // namespace

// After a restart, a balancer receives reports from agents to which its earlier
// incarnation subscribed, before it has subscribed itself.
Test(SilentAgents, AnAgentThatReportsWithoutASubscriptionGetsFlows)
{
  BalancerWithTwoAgents balancer;
  constexpr uint32_t kUnsubscribed = 0x0A010003;
  Endpoint images{ kDeskAddress.m_ip, 8080 };
  auto routes = std::make_shared<RouteTable>();
  routes->m_version = 2;
  routes->m_routes[images] = { "images", images, { { "images", 1 } }, 1, {} };
  balancer.m_balancer.SetRoutes(routes);
  balancer.m_balancer.Agents().SetListed(
    balancer.m_now, { 1, 1 }, { { "images", "a", { kUnsubscribed, 8000 } } });
  balancer.m_balancer.Agents().OnReport(balancer.m_now,
                                        ReportOf("images", kUnsubscribed));
  balancer.m_now += Milliseconds(1);
  PacketHeader syn = SynPacket();
  syn.m_destination = images;
  const auto& steps =
    balancer.m_balancer.OnCallerPacket(balancer.m_now, syn, {});
  cr_assert_eq(steps.front().m_agentIp, kUnsubscribed);
}

// The agent may have crashed just after its last report; a retransmitted SYN
// indicates that the first transmission was lost.
Test(SilentAgents, ARetransmissionIsPlacedElsewhereWhenAReportIsMissing)
{
  BalancerWithTwoAgents balancer;
  uint32_t first = balancer.SendSyn();
  balancer.RunFor(Milliseconds(1200));
  cr_assert_neq(balancer.SendSyn(), first);
}

Test(SilentAgents, ARetransmissionStaysWhenTheAgentHasReportedSince)
{
  BalancerWithTwoAgents balancer;
  uint32_t first = balancer.SendSyn();
  balancer.RunFor(Milliseconds(1200));
  balancer.m_balancer.Agents().OnReport(balancer.m_now,
                                        ReadyReport({ first, 8000 }, "a"));
  cr_assert_eq(balancer.SendSyn(), first);
}

Test(SilentAgents, AnEarlyRetransmissionStaysBeforeAReportIsDue)
{
  BalancerWithTwoAgents balancer;
  uint32_t first = balancer.SendSyn();
  balancer.RunFor(Milliseconds(300));
  cr_assert_eq(balancer.SendSyn(), first);
}
