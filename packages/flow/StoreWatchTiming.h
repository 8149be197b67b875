#pragma once

#include "Time.h"

#include <cstddef>

namespace bilberryfield {

/**
 * Pause of a reader of the platform's store between a change of a kind and its
 * next watch, by the number of objects of the kind.
 */
Duration
BatchDelay(size_t aObjects);

/** The pause of kinds with few objects. */
inline constexpr Duration kMinBatchDelay = Milliseconds(150);

/**
 * Time that a balancer's watch of the configuration waits for a change, in a
 * deployment with a number of agents. aRandom from 0 to 1 spreads the
 * balancers.
 */
Duration
ConfigWatchTimeout(size_t aAgents, double aRandom);

/** Longest wait of any watch; each costs a call when it ends. */
inline constexpr Duration kMaxWatchTimeout = Seconds(28);

} // namespace bilberryfield
