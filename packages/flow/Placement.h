#pragma once

#include "AgentId.h"
#include "FlowMessages.h"

#include <random>
#include <span>

namespace bilberryfield {

/** A backend server that can receive a new flow. */
struct PlacementCandidate
{
  AgentId m_agent;
  bool m_isSameDomain = false;
  /** Last known number of flows with a waiting or running request. */
  uint32_t m_busy = 0;
  uint32_t m_slots = 1;
  /** Mean answer time in microseconds; 0 if unknown. */
  uint32_t m_answerUs = 0;
};

/** The selected server for a new flow. */
struct PlacementChoice
{
  /** Index of the candidate. */
  size_t m_index = 0;
  /** Number of busy flows at which the agent returns the SYN packet. */
  uint32_t m_busyLimit = 0;
};

/**
 * Chooses the candidate with the shortest expected answer time. A server in
 * another failure domain must save a minimum of waiting time to be chosen.
 * Returns std::nullopt if there are no candidates.
 */
std::optional<PlacementChoice>
ChoosePlacement(std::span<const PlacementCandidate> aCandidates,
                std::mt19937_64& aRandom);

} // namespace bilberryfield
