// A caller whose last copy finds every server full is not forgotten: it gets a
// free slot, or its final answer before it gives up by itself.

#include "FlowBalancer.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kAgent = 0x0A010001;
constexpr uint32_t kLastCopy = 2;
const std::vector<uint8_t> kBytes = { 1, 2, 3 };

/** A balancer with one agent, whose server is full at first. */
struct OneServer
{
  OneServer()
  {
    m_balancer.SetRoutes(DeskRoutes());
    Report(ReadyReport({ kAgent, 8000 }, "a").m_load.m_slots);
  }

  void Report(uint32_t aBusy)
  {
    AgentReport report = ReadyReport({ kAgent, 8000 }, "a");
    report.m_load.m_busy = aBusy;
    m_balancer.Agents().OnReport(m_now, report);
  }

  FlowBalancerAction Send(uint32_t aCopy)
  {
    PacketHeader opening = OpeningPacket();
    opening.m_ack = aCopy;
    return m_balancer.OnCallerPacket(m_now, opening, kBytes).front().m_action;
  }

  // Steps of the ticks until one does something with the flow.
  std::optional<BalancerStep> Pass(Duration aTime)
  {
    for (TimePoint end = m_now + aTime; m_now < end;) {
      m_now += FlowBalancer::kTick;
      Report(m_busy);
      for (const BalancerStep& step : m_balancer.OnTick(m_now)) {
        if (step.m_action != FlowBalancerAction::Drop) {
          return step;
        }
      }
    }
    return std::nullopt;
  }

  TimePoint m_now{ Seconds(100) };
  uint32_t m_busy = 4;
  FlowBalancer m_balancer{ "a", 1 };
};

} // namespace

Test(LateCallers, GetASlotThatBecomesFree)
{
  OneServer one;
  cr_assert(one.Send(kLastCopy) == FlowBalancerAction::Drop);
  cr_assert_not(one.Pass(Milliseconds(200)).has_value());
  one.m_busy = 1;
  std::optional<BalancerStep> step = one.Pass(Milliseconds(100));
  cr_assert(step.has_value());
  cr_assert(step->m_action == FlowBalancerAction::Forward);
  cr_assert(step->m_held == kBytes);
}

Test(LateCallers, AreResetBeforeTheirAttemptEnds)
{
  OneServer one;
  one.Send(kLastCopy);
  std::optional<BalancerStep> step = one.Pass(Milliseconds(790));
  cr_assert(step.has_value());
  cr_assert(step->m_action == FlowBalancerAction::Reset);
  cr_assert(step->m_reason == FlowReason::Full);
}

// First packets are placed as always: the server has a queue of its own.
Test(LateCallers, DoNotHoldUpNewOnes)
{
  OneServer one;
  one.Send(kLastCopy);
  PacketHeader other = OpeningPacket();
  other.m_source.m_port += 1;
  const auto& steps = one.m_balancer.OnCallerPacket(one.m_now, other, kBytes);
  cr_assert(steps.front().m_action == FlowBalancerAction::Forward);
}
