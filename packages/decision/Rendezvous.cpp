#include "Rendezvous.h"

#include <cmath>
#include <xxhash.h>

namespace bilberryfield {

uint64_t
StableHash(std::string_view aText, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

double
RendezvousScore(std::string_view aKey, std::string_view aServer, double aWeight)
{
  // The hash is mapped to a uniform number in (0, 1). With the score
  // -weight / ln(uniform), each server has the highest score for a share of the
  // keys that is proportional to its weight.
  constexpr double kTwoTo53 = 9007199254740992.0;
  uint64_t bits = StableHash(aKey, StableHash(aServer)) >> 11;
  double uniform = (static_cast<double>(bits) + 0.5) / kTwoTo53;
  return -aWeight / std::log(uniform);
}

} // namespace bilberryfield
