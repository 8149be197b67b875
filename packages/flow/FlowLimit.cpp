#include "FlowLimit.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Flows admitted beyond the computed demand. */
constexpr uint32_t kSpareFlows = 1;
/** Upper bound of the additional flows per slot. */
constexpr double kMaxExtraFlowsPerSlot = 4;
/** Less urgent requests per slot behind which a flow is admitted. With 2 slots
 * and 26 ms of work, 8 such requests take about 100 ms. */
constexpr uint32_t kMaxRequestsAheadPerSlot = 4;
/** Weight of a new sample in the moving averages. */
constexpr double kSmoothingFactor = 0.1;

void
AddSample(double& aMean, Duration aSample)
{
  auto sample = static_cast<double>(aSample.count());
  aMean = aMean == 0 ? sample : aMean + kSmoothingFactor * (sample - aMean);
}

} // namespace

void
FlowLimit::OnRequest(Duration aSinceSyn)
{
  AddSample(m_handshakeUs, aSinceSyn);
}

void
FlowLimit::OnAnswer(Duration aSinceRequest)
{
  AddSample(m_serviceTimeUs, aSinceRequest);
}

// Little's law: if each slot completes a flow every m_serviceTimeUs, then
// aSlots * m_handshakeUs / m_serviceTimeUs flows are in their handshake.
uint32_t
FlowLimit::MaxFlows(uint32_t aSlots) const
{
  double extraFlowsPerSlot =
    m_serviceTimeUs > 0
      ? std::min(m_handshakeUs / m_serviceTimeUs, kMaxExtraFlowsPerSlot)
      : 0;
  return aSlots + static_cast<uint32_t>(extraFlowsPerSlot * aSlots) +
         kSpareFlows;
}

// A server answers in the order of arrival. Flows beyond the limit would delay
// callers that arrive later and could still be answered in time.
//
// Less urgent requests on open flows cannot be refused, and at high load there
// are always some at the server. If all of them counted, urgent flows would get
// only what they leave. The second limit keeps the server's queue so short that
// a flow behind it is still answered in time.
bool
FlowLimit::MayAdmit(uint32_t aSlots, uint32_t aBusy, uint32_t aLessUrgent) const
{
  uint32_t limit = MaxFlows(aSlots);
  uint32_t limitWithRequests =
    limit + std::min(aLessUrgent, kMaxRequestsAheadPerSlot * aSlots);
  return aBusy < limitWithRequests;
}

} // namespace bilberryfield
