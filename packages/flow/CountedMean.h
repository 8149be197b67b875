#pragma once

#include <algorithm>
#include <cstdint>

namespace bilberryfield {

/**
 * Adds sample number aCount to a moving mean. The first samples have equal
 * weights, so that the very first one does not dominate; later ones have the
 * weight aMinWeight.
 */
inline void
AddToMean(double& aMean, uint32_t aCount, double aSample, double aMinWeight)
{
  double weight = std::max(1.0 / std::max<uint32_t>(aCount, 1), aMinWeight);
  aMean += weight * (aSample - aMean);
}

} // namespace bilberryfield
