#include "FlowTable.h"

namespace bilberryfield {

namespace {

/** Time after which a busy flow no longer counts as load. */
constexpr Duration kBusyTimeout = Seconds(10);
/** Time in which a caller answers the server's SYN-ACK. */
constexpr Duration kConfirmTimeout = Milliseconds(120);

} // namespace

FlowTable::FlowTable(size_t aMaxFlows, ServerStartup& aStartup)
  : m_startup(aStartup)
  , m_flows(aMaxFlows)
{
}

bool
FlowTable::IsBusy(FlowPhase aPhase)
{
  return aPhase == FlowPhase::Handshake || aPhase == FlowPhase::Requested;
}

void
FlowTable::Open(TimePoint aNow, const FlowKey& aKey, uint8_t aPriority)
{
  AgentFlow& flow = m_flows.Insert(aKey, {});
  flow.m_busySince = aNow;
  flow.m_priority = aPriority;
  flow.m_startNumber = m_startup.Number();
  m_startup.CountFlows(flow.m_startNumber, 1, 0);
  m_busy += 1;
  m_busyEntries.push_back({ aNow, aKey });
  m_unconfirmedFlows.push_back({ aNow, aKey });
}

// Only flows with a known priority count, since others are never ordered.
void
FlowTable::CountLaterRequest(AgentFlow& aFlow, FlowPhase aPhase)
{
  bool hasLaterRequest =
    aFlow.m_priority && aPhase == FlowPhase::Requested &&
    (aFlow.m_hasLaterRequest || aFlow.m_phase == FlowPhase::Idle);
  if (hasLaterRequest == aFlow.m_hasLaterRequest) {
    return;
  }
  aFlow.m_hasLaterRequest = hasLaterRequest;
  m_laterRequests[*aFlow.m_priority] += hasLaterRequest ? 1 : -1;
}

uint32_t
FlowTable::LessUrgentRequests(uint8_t aPriority) const
{
  uint32_t requests = 0;
  for (auto entry = m_laterRequests.upper_bound(aPriority);
       entry != m_laterRequests.end();
       ++entry) {
    requests += entry->second;
  }
  return requests;
}

void
FlowTable::SetPhase(TimePoint aNow,
                    const FlowKey& aKey,
                    AgentFlow& aFlow,
                    FlowPhase aPhase)
{
  bool wasBusy = IsBusy(aFlow.m_phase);
  bool isBusy = IsBusy(aPhase);
  bool wasRequested = aFlow.m_phase == FlowPhase::Requested;
  bool isRequested = aPhase == FlowPhase::Requested;
  CountLaterRequest(aFlow, aPhase);
  m_requested -= wasRequested ? 1 : 0;
  m_requested += isRequested ? 1 : 0;
  m_startup.CountFlows(
    aFlow.m_startNumber, wasBusy ? -1 : 0, wasRequested ? -1 : 0);
  if (isBusy && !wasBusy) {
    aFlow.m_startNumber = m_startup.Number();
  }
  m_startup.CountFlows(
    aFlow.m_startNumber, isBusy ? 1 : 0, isRequested ? 1 : 0);
  aFlow.m_phase = aPhase;
  if (isBusy && !wasBusy) {
    aFlow.m_busySince = aNow;
    m_busy += 1;
    m_busyEntries.push_back({ aNow, aKey });
  }
  if (!isBusy && wasBusy) {
    m_busy -= 1;
  }
}

// A flow occupies a slot from its request on, so a flow in the handshake counts
// half. While balancers are slow, many flows wait for the caller's next packet.
// Counted in full they would make idle servers look full, and the returned
// packets would slow the balancers down further.
bool
FlowTable::HasNoFreeSlot(uint32_t aSlots) const
{
  constexpr uint32_t kRequestWeight = 2;
  uint32_t handshakes = m_busy - m_requested;
  return kRequestWeight * m_requested + handshakes >= kRequestWeight * aSlots;
}

// Their callers may be gone, so that nothing else ends them before
// kBusyTimeout. Until then a ramp of one flow would see a full server.
void
FlowTable::ReleaseRequests(TimePoint aNow)
{
  for (const BusyEntry& entry : m_busyEntries) {
    AgentFlow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_phase == FlowPhase::Requested &&
        flow->m_busySince == entry.m_since) {
      SetPhase(aNow, entry.m_flow, *flow, FlowPhase::Idle);
    }
  }
}

void
FlowTable::OnPause(Duration aPause)
{
  for (BusyEntry& entry : m_busyEntries) {
    AgentFlow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_busySince == entry.m_since) {
      flow->m_busySince += aPause;
    }
    entry.m_since += aPause;
  }
  for (BusyEntry& entry : m_unconfirmedFlows) {
    entry.m_since += aPause;
  }
}

// Flows of callers that disappeared would otherwise stay busy.
void
FlowTable::ExpireBusyFlows(TimePoint aNow)
{
  while (!m_busyEntries.empty() &&
         aNow - m_busyEntries.front().m_since > kBusyTimeout) {
    BusyEntry entry = m_busyEntries.front();
    m_busyEntries.pop_front();
    AgentFlow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_busySince == entry.m_since) {
      SetPhase(aNow, entry.m_flow, *flow, FlowPhase::Idle);
    }
  }
  ExpireUnconfirmedFlows(aNow);
}

// A caller that left during the handshake never sends a request, so its flow is
// no load for the server.
void
FlowTable::ExpireUnconfirmedFlows(TimePoint aNow)
{
  while (!m_unconfirmedFlows.empty() &&
         aNow - m_unconfirmedFlows.front().m_since > kConfirmTimeout) {
    BusyEntry entry = m_unconfirmedFlows.front();
    m_unconfirmedFlows.pop_front();
    AgentFlow* flow = m_flows.Find(entry.m_flow);
    if (flow && flow->m_phase == FlowPhase::Handshake &&
        flow->m_busySince == entry.m_since) {
      SetPhase(aNow, entry.m_flow, *flow, FlowPhase::Idle);
    }
  }
}

} // namespace bilberryfield
