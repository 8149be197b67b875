#include "ServerRoom.h"

#include <algorithm>

namespace bilberryfield {

namespace {

/** Flows beyond those that the means ask for. */
constexpr uint32_t kSpareFlows = 1;
/** Flows that may be opened ahead for each slot, at the most. */
constexpr double kMaxAheadPerSlot = 4;
/** Weight of a new sample in the means. */
constexpr double kGain = 0.1;

void
AddSample(double& aMean, Duration aSample)
{
  auto sample = static_cast<double>(aSample.count());
  aMean = aMean == 0 ? sample : aMean + kGain * (sample - aMean);
}

} // namespace

void
ServerRoom::OnRequest(Duration aAfterOpening)
{
  AddSample(m_openingUs, aAfterOpening);
}

void
ServerRoom::OnAnswer(Duration aAfterRequest)
{
  AddSample(m_workUs, aAfterRequest);
}

// Little's law: while each slot ends a flow every m_workUs, slots times
// m_openingUs / m_workUs flows are on their way.
uint32_t
ServerRoom::MaxFlows(uint32_t aSlots) const
{
  double aheadPerSlot =
    m_workUs > 0 ? std::min(m_openingUs / m_workUs, kMaxAheadPerSlot) : 0;
  return aSlots + static_cast<uint32_t>(aheadPerSlot * aSlots) + kSpareFlows;
}

} // namespace bilberryfield
