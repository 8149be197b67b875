#pragma once

#include "FlowMessages.h"

#include <random>
#include <span>

namespace bilberryfield {

/** A backend server that may get a new flow. */
struct PlacementCandidate
{
  uint32_t m_agentIp = 0;
  bool m_isSameDomain = false;
  /** Flows whose request waits or runs there, as far as known. */
  uint32_t m_busy = 0;
  uint32_t m_slots = 1;
  /** Mean time to an answer, microseconds; 0 when unknown. */
  uint32_t m_answerUs = 0;
};

/** The server for a new flow. */
struct PlacementChoice
{
  size_t m_index = 0;
  /** Busy flows at which its agent hands the opening packet back. */
  uint32_t m_busyLimit = 0;
};

/**
 * Chooses the candidate where an answer is expected soonest. Servers in other
 * failure domains are taken only when that saves enough waiting. Nothing when
 * there are no candidates.
 */
std::optional<PlacementChoice>
ChoosePlacement(std::span<const PlacementCandidate> aCandidates,
                std::mt19937_64& aRandom);

} // namespace bilberryfield
