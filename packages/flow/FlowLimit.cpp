#include "FlowLimit.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Flows admitted beyond the computed demand. */
constexpr uint32_t kSpareFlows = 1;
/** Upper bound of the additional flows per slot. */
constexpr double kMaxExtraFlowsPerSlot = 4;
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

} // namespace bilberryfield
