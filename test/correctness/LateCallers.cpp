// A caller whose last copy finds its server full is not forgotten: it gets a
// free slot, or its final answer before it gives up by itself.

#include "FlowAgent.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kBalancer = 7;
constexpr uint32_t kLastCopy = 2;
const std::vector<uint8_t> kBytes = { 1, 2, 3 };

/** An agent whose server of one slot is full until its flows end. */
struct OneServer
{
  OneServer()
  {
    Heartbeat();
    cr_assert(Send(1, 0) == FlowAgentAction::Deliver);
    cr_assert(Send(2, 0) == FlowAgentAction::Deliver);
  }

  void Heartbeat()
  {
    m_agent.OnHeartbeat(m_now,
                        { "s", 1, ++m_sequence, "desk", {}, 1, false, {} });
  }

  static PacketHeader PacketOf(uint16_t aCaller)
  {
    PacketHeader header;
    header.m_source = { 0x64400001, aCaller };
    header.m_destination = kDesk;
    header.m_tag = ServiceTag("desk");
    return header;
  }

  FlowAgentAction Send(uint16_t aCaller, uint32_t aCopy)
  {
    PacketHeader opening = PacketOf(aCaller);
    opening.m_flags = kSyn;
    opening.m_ack = aCopy;
    opening.m_mark = OpeningTerms{}.Pack();
    return m_agent.OnBalancerPacket(m_now, opening, kBytes, kBalancer).m_action;
  }

  void Request(uint16_t aCaller)
  {
    PacketHeader request = PacketOf(aCaller);
    request.m_flags = kAck;
    request.m_length = 100;
    m_agent.OnBalancerPacket(m_now, request, {}, kBalancer);
  }

  void End(uint16_t aCaller)
  {
    PacketHeader end = PacketOf(aCaller);
    std::swap(end.m_source, end.m_destination);
    end.m_flags = kFin;
    m_agent.OnServerPacket(m_now, end);
  }

  // Ticks until a wait ends; the flows at the server go on.
  std::optional<WaitEnd> Pass(Duration aTime)
  {
    for (TimePoint end = m_now + aTime; m_now < end;) {
      m_now += FlowAgent::kTick;
      Heartbeat();
      Request(1);
      Request(2);
      m_agent.OnTick(m_now);
      std::vector<WaitEnd> ends = m_agent.TakeWaitEnds(m_now);
      if (!ends.empty()) {
        return ends.front();
      }
    }
    return std::nullopt;
  }

  static FlowAgentOptions Options()
  {
    FlowAgentOptions options;
    options.m_service = "desk";
    return options;
  }

  TimePoint m_now{ Seconds(100) };
  uint64_t m_sequence = 0;
  FlowAgent m_agent{ Options(), m_now };
};

} // namespace

Test(LateCallers, GetASlotThatBecomesFree)
{
  OneServer one;
  cr_assert(one.Send(3, kLastCopy) == FlowAgentAction::Wait);
  cr_assert_not(one.Pass(Milliseconds(200)).has_value());
  one.End(1);
  std::vector<WaitEnd> ends = one.m_agent.TakeWaitEnds(one.m_now);
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_verdict.m_action == FlowAgentAction::Deliver);
  const auto& bytes = ends[0].m_opening.m_bytes;
  cr_assert(std::vector<uint8_t>(bytes.begin(), bytes.end()) == kBytes);
}

Test(LateCallers, AreResetBeforeTheirAttemptEnds)
{
  OneServer one;
  one.Send(3, kLastCopy);
  std::optional<WaitEnd> end = one.Pass(Milliseconds(790));
  cr_assert(end.has_value());
  cr_assert(end->m_verdict.m_action == FlowAgentAction::Reset);
  cr_assert(end->m_verdict.m_reason == HandBack::Full);
}

Test(LateCallers, DoNotHoldUpNewOnes)
{
  OneServer one;
  one.Send(3, kLastCopy);
  one.Send(4, 0);
  one.End(1);
  std::vector<WaitEnd> ends = one.m_agent.TakeWaitEnds(one.m_now);
  cr_assert_eq(ends.size(), 1);
  cr_assert_eq(ends[0].m_opening.m_header.m_source.m_port, 4);
}
