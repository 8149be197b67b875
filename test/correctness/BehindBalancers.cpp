// A balancer without enough processor time must not spend it on hand-backs.

#include "FlowBalancer.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kAgent = 0x0A010001;

/** A balancer with one agent whose server is full. */
struct FullServer
{
  FullServer()
  {
    m_balancer.SetRoutes(DeskRoutes());
    AgentReport report = ReadyReport({ kAgent, 8000 }, "a");
    report.m_load.m_busy = report.m_load.m_slots;
    m_balancer.Agents().OnReport(m_now, report);
  }

  // Placements until the flow may wait however long; each one before comes
  // back.
  int Placements()
  {
    PacketHeader opening = SynPacket();
    const auto* steps = &m_balancer.OnCallerPacket(m_now, opening, {});
    int count = 1;
    while (SynMark::Unpack(steps->front().m_mark).m_busyLimit != kNoBusyLimit) {
      steps = &m_balancer.OnReturnedPacket(
        m_now, opening, {}, kAgent, ReturnReason::Full);
      count += 1;
    }
    return count;
  }

  void Tick(Duration aAfter)
  {
    m_now += aAfter;
    m_balancer.OnTick(m_now);
  }

  TimePoint m_now{ Seconds(100) };
  FlowBalancer m_balancer{ "a", 1 };
};

} // namespace

Test(BehindBalancers, LetFlowsWaitAtServersAfterTwoHandBacks)
{
  FullServer inTime;
  inTime.Tick(FlowBalancer::kTick);
  inTime.Tick(FlowBalancer::kTick);
  cr_assert_eq(inTime.Placements(), 6);
  FullServer behind;
  behind.Tick(FlowBalancer::kTick);
  behind.Tick(Milliseconds(100));
  cr_assert_eq(behind.Placements(), 3);
}

Test(BehindBalancers, TakeTheirTimeAgainOnceTheyKeepUp)
{
  FullServer behind;
  behind.Tick(FlowBalancer::kTick);
  behind.Tick(Milliseconds(100));
  for (int i = 0; i < 60; ++i) {
    behind.Tick(FlowBalancer::kTick);
  }
  behind.m_balancer.Agents().OnReport(behind.m_now,
                                      ReadyReport({ kAgent, 8000 }, "a"));
  cr_assert_eq(behind.Placements(), 6);
}
