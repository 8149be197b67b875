#pragma once

#include "Time.h"

#include <cstddef>

namespace bilberryfield {

/**
 * Delay between a change of a kind of object in the platform's store and a
 * reader's next watch of that kind. It grows with the number of objects, so
 * that one call returns several changes.
 */
Duration
BatchDelay(size_t aObjects);

/** The delay for kinds with few objects. */
inline constexpr Duration kMinBatchDelay = Milliseconds(150);

/**
 * Timeout of a balancer's watch of the configuration in a deployment with
 * aAgents agents. aRandom, from 0 to 1, staggers the balancers.
 */
Duration
ConfigWatchTimeout(size_t aAgents, double aRandom);

/** Maximum timeout of any watch. Each timeout costs a call to the store. */
inline constexpr Duration kMaxWatchTimeout = Seconds(28);

} // namespace bilberryfield
