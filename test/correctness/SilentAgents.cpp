#include "FlowBalancer.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kFirst = 0x0A010001;
constexpr uint32_t kSecond = 0x0A010002;
constexpr Milliseconds kPace{ 1000 };
const Endpoint kDesk{ 0xC6120001, 443 };

AgentReport
ReadyReport(uint32_t aIp)
{
  AgentReport report;
  report.m_service = "desk";
  report.m_domain = "a";
  report.m_packets = { aIp, 8000 };
  report.m_load.m_condition = ServerCondition::Ready;
  report.m_load.m_slots = 4;
  return report;
}

PacketHeader
Opening()
{
  PacketHeader header;
  header.m_source = { 0x64400001, 1024 };
  header.m_destination = kDesk;
  header.m_flags = kSyn;
  header.m_seq = 9;
  return header;
}

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
      m_balancer.Agents().OnReport(m_now, ReadyReport(ip));
      Subscribe message;
      message.m_pace = { kPace, kPace, kPace, kPace };
      m_balancer.Agents().OnSubscribed(m_now, ip, message);
    }
  }

  uint32_t SendOpening()
  {
    const auto& steps = m_balancer.OnCallerPacket(m_now, Opening(), {});
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
  two.m_balancer.Agents().OnReport(two.m_now, ReadyReport(first));
  cr_assert_eq(two.SendOpening(), first);
}

Test(SilentAgents, AnEarlyCopyStaysBeforeAReportIsDue)
{
  TwoAgents two;
  uint32_t first = two.SendOpening();
  two.Pass(Milliseconds(300));
  cr_assert_eq(two.SendOpening(), first);
}
