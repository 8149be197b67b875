#include "FlowBalancer.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kFirst = 0x0A010001;
constexpr uint32_t kSecond = 0x0A010002;
constexpr Milliseconds kPace{ 1000 };

/** A balancer with two agents that were asked for a report each second. */
struct TwoAgents
{
  TwoAgents()
  {
    m_balancer.SetRoutes(DeskRoutes());
    for (uint32_t ip : { kFirst, kSecond }) {
      m_balancer.Agents().OnReport(m_now, ReadyReport({ ip, 8000 }, "a"));
      Subscribe message;
      message.m_intervals = { kPace, kPace, kPace, kPace };
      m_balancer.Agents().OnSubscribed(m_now, ip, message);
    }
  }

  uint32_t SendOpening()
  {
    const auto& steps = m_balancer.OnCallerPacket(m_now, SynPacket(), {});
    return steps.front().m_agentIp;
  }

  void Pass(Duration aTime)
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

// A balancer that starts anew hears agents that its earlier life asked, before
// it has asked them itself.
Test(SilentAgents, AnAgentThatReportsUnaskedGetsFlows)
{
  TwoAgents two;
  constexpr uint32_t kUnasked = 0x0A010003;
  Endpoint images{ kDeskAddress.m_ip, 8080 };
  auto routes = std::make_shared<RouteTable>();
  routes->m_version = 2;
  routes->m_routes[images] = { "images", images, { { "images", 1 } }, 1, {} };
  two.m_balancer.SetRoutes(routes);
  two.m_balancer.Agents().SetListed(
    two.m_now, 1, { { "images", "a", { kUnasked, 8000 } } });
  AgentReport report = ReadyReport({ kUnasked, 8000 }, "a");
  report.m_service = "images";
  two.m_balancer.Agents().OnReport(two.m_now, report);
  two.m_now += Milliseconds(1);
  PacketHeader opening = SynPacket();
  opening.m_destination = images;
  const auto& steps = two.m_balancer.OnCallerPacket(two.m_now, opening, {});
  cr_assert_eq(steps.front().m_agentIp, kUnasked);
}

// The agent may have died just after its last report; a copy of the opening
// packet says that something went wrong.
Test(SilentAgents, ACopyGoesElsewhereWhenAReportIsMissing)
{
  TwoAgents two;
  uint32_t first = two.SendOpening();
  two.Pass(Milliseconds(1200));
  cr_assert_neq(two.SendOpening(), first);
}

Test(SilentAgents, ACopyStaysWhenTheAgentReportedSince)
{
  TwoAgents two;
  uint32_t first = two.SendOpening();
  two.Pass(Milliseconds(1200));
  two.m_balancer.Agents().OnReport(two.m_now,
                                   ReadyReport({ first, 8000 }, "a"));
  cr_assert_eq(two.SendOpening(), first);
}

Test(SilentAgents, AnEarlyCopyStaysBeforeAReportIsDue)
{
  TwoAgents two;
  uint32_t first = two.SendOpening();
  two.Pass(Milliseconds(300));
  cr_assert_eq(two.SendOpening(), first);
}
