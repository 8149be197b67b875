#include "Placement.h"

#include <algorithm>

namespace bilberryfield {

namespace {

// Costs are in units of the mean answer time.

/** Waiting time that a server in another failure domain must save. */
constexpr double kOtherDomainCost = 0.75;
/** A server is slow if its answer time exceeds the mean by this factor. */
constexpr double kSlowServerFactor = 2.0;
/** Weight of the occupancy, which ranks servers with a free slot. */
constexpr double kOccupancyCost = 0.1;
/** Random cost that keeps balancers with the same, slightly outdated load
 * reports from choosing the same server. */
constexpr double kCostJitter = 0.3;

/** Flows that other balancers may place on a full server, beyond its reported
 * load, before the agent returns the SYN packet to be placed again. */
constexpr uint32_t kBusyLimitMargin = 1;

double
MeanAnswerUs(std::span<const PlacementCandidate> aCandidates)
{
  double sum = 0;
  int known = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    if (candidate.m_answerUs > 0) {
      sum += candidate.m_answerUs;
      known += 1;
    }
  }
  return known > 0 ? sum / known : 0;
}

// Small differences in answer time stem from differing request lengths, not
// from the server.
double
SlownessFactor(const PlacementCandidate& aCandidate, double aMeanAnswerUs)
{
  if (aMeanAnswerUs <= 0 ||
      aCandidate.m_answerUs < kSlowServerFactor * aMeanAnswerUs) {
    return 1;
  }
  return aCandidate.m_answerUs / aMeanAnswerUs;
}

double
Cost(const PlacementCandidate& aCandidate, double aMeanAnswerUs)
{
  double slots = std::max<uint32_t>(aCandidate.m_slots, 1);
  double occupancy = aCandidate.m_busy / slots;
  double waiting = std::max(0.0, (aCandidate.m_busy + 1 - slots) / slots);
  double cost = SlownessFactor(aCandidate, aMeanAnswerUs) * (1 + waiting);
  cost += kOccupancyCost * std::min(occupancy, 1.0);
  return aCandidate.m_isSameDomain ? cost : cost + kOtherDomainCost;
}

} // namespace

std::optional<PlacementChoice>
ChoosePlacement(std::span<const PlacementCandidate> aCandidates,
                std::mt19937_64& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  double meanAnswerUs = MeanAnswerUs(aCandidates);
  std::uniform_real_distribution<double> jitter(0, kCostJitter);
  size_t best = 0;
  double bestCost = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    double cost = Cost(aCandidates[i], meanAnswerUs) + jitter(aRandom);
    if (i == 0 || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  const PlacementCandidate& chosen = aCandidates[best];
  bool isFree = chosen.m_busy < chosen.m_slots;
  return PlacementChoice{ best,
                          isFree ? chosen.m_slots
                                 : chosen.m_busy + kBusyLimitMargin };
}

} // namespace bilberryfield
