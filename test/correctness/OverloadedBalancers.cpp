// A balancer that is short of CPU time must not spend it on returned packets.

#include "FlowBalancer.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kAgent = 0x0A010001;

/** A balancer with one agent whose server is full. */
struct BalancerWithFullServer
{
  BalancerWithFullServer()
  {
    m_balancer.SetRoutes(DeskRoutes());
    AgentReport report = ReadyReport({ kAgent, 8000 }, "a");
    report.m_load.m_busy = report.m_load.m_slots;
    m_balancer.Agents().OnReport(m_now, report);
  }

  // Number of placements until one allows the flow to wait in a queue of any
  // length; the packet of each earlier one is returned.
  int Placements()
  {
    PacketHeader syn = SynPacket();
    const auto* steps = &m_balancer.OnCallerPacket(m_now, syn, {});
    int count = 1;
    while (SynMark::Unpack(steps->front().m_mark).m_busyLimit != kNoBusyLimit) {
      steps = &m_balancer.OnReturnedPacket(
        m_now, syn, {}, kAgent, ReturnReason::Full);
      count += 1;
    }
    return count;
  }

  void Tick(Duration aElapsed)
  {
    m_now += aElapsed;
    m_balancer.OnTick(m_now);
  }

  TimePoint m_now{ Seconds(100) };
  FlowBalancer m_balancer{ "a", 1 };
};

} // namespace

Test(OverloadedBalancers, LetFlowsWaitAtServersAfterTwoReturns)
{
  BalancerWithFullServer onTime;
  onTime.Tick(FlowBalancer::kTick);
  onTime.Tick(FlowBalancer::kTick);
  cr_assert_eq(onTime.Placements(), 6);
  BalancerWithFullServer overloaded;
  overloaded.Tick(FlowBalancer::kTick);
  overloaded.Tick(Milliseconds(100));
  cr_assert_eq(overloaded.Placements(), 3);
}

Test(OverloadedBalancers, AllowMorePlacementsAgainOnceTheyKeepUp)
{
  BalancerWithFullServer overloaded;
  overloaded.Tick(FlowBalancer::kTick);
  overloaded.Tick(Milliseconds(100));
  for (int i = 0; i < 60; ++i) {
    overloaded.Tick(FlowBalancer::kTick);
  }
  overloaded.m_balancer.Agents().OnReport(overloaded.m_now,
                                          ReadyReport({ kAgent, 8000 }, "a"));
  cr_assert_eq(overloaded.Placements(), 6);
}
