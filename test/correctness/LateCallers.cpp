// A caller whose last copy finds its server full is not forgotten: it gets a
// free slot, or its final answer before it gives up by itself.

#include "FullServer.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kLastCopy = 2;
constexpr uint16_t kLate = 10;
constexpr uint16_t kNew = 11;
const std::vector<uint8_t> kBytes = { 1, 2, 3 };

} // namespace

Test(LateCallers, GetASlotThatBecomesFree)
{
  FullServer server(1);
  cr_assert(server.Open(kLate, kLastCopy, kBytes) == FlowAgentAction::Queue);
  cr_assert(server.Pass(Milliseconds(200)).empty());
  server.End(1);
  std::vector<DequeuedSyn> ends = server.TakeDequeuedSyns();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Deliver);
  const auto& bytes = ends[0].m_syn.m_bytes;
  cr_assert(std::vector<uint8_t>(bytes.begin(), bytes.end()) == kBytes);
}

Test(LateCallers, AreResetBeforeTheirAttemptEnds)
{
  FullServer server(1);
  server.Open(kLate, kLastCopy);
  std::vector<DequeuedSyn> ends = server.Pass(Milliseconds(790));
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends[0].m_decision.m_action == FlowAgentAction::Reset);
  cr_assert(ends[0].m_decision.m_reason == ReturnReason::Full);
}

Test(LateCallers, DoNotHoldUpNewOnes)
{
  FullServer server(1);
  server.Open(kLate, kLastCopy);
  server.Open(kNew, 0);
  server.End(1);
  std::vector<DequeuedSyn> ends = server.TakeDequeuedSyns();
  cr_assert_eq(ends.size(), 1);
  cr_assert_eq(ends[0].m_syn.m_header.m_source.m_port, kNew);
}
