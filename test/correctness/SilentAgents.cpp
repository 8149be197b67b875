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
    auto routes = std::make_shared<RouteTable>();
    routes->m_version = 1;
    routes->m_routes[kDesk] = { "desk", kDesk, { { "desk", 1 } }, 1, {} };
    m_balancer.SetRoutes(routes);
    for (uint32_t ip : { kFirst, kSecond }) {
      m_balancer.Agents().OnReport(m_now, ReadyReport({ ip, 8000 }, "a"));
      Subscribe message;
      message.m_pace = { kPace, kPace, kPace, kPace };
      m_balancer.Agents().OnSubscribed(m_now, ip, message);
    }
  }

  uint32_t SendOpening()
  {
    const auto& steps = m_balancer.OnCallerPacket(m_now, OpeningPacket(), {});
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
