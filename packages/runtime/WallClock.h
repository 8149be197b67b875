#pragma once

#include <chrono>
#include <cstdint>

namespace bilberryfield {

/** The time of day in milliseconds since 1970. It can jump, so it only names
 * things: log lines and the starts of processes. */
inline uint64_t
WallClockMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace bilberryfield
