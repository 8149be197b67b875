#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryfield {

/**
 * Weighted rendezvous score of a server for a key. The server with the highest
 * score wins; a server is chosen in proportion to its weight, and a change to
 * one server moves only the keys that server gains or loses.
 */
double
RendezvousScore(std::string_view aKey,
                std::string_view aServer,
                double aWeight);

/** A 64-bit hash that is the same in every process of the system. */
uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0);

} // namespace bilberryfield
