#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryfield {

/**
 * Returns the weighted rendezvous hashing score of a server for a key. A key is
 * assigned to the server with the highest score. Each server receives keys in
 * proportion to its weight, and adding, removing or reweighting a server
 * reassigns only keys that this server gains or loses.
 */
double
RendezvousScore(std::string_view aKey,
                std::string_view aServer,
                double aWeight);

/** Returns a 64-bit hash that is the same in every process of the system. */
uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0);

} // namespace bilberryfield
