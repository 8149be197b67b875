#pragma once

#include <chrono>
#include <cstdint>

namespace bilberryfield {

/** The time of day in milliseconds since 1970. It can jump, so it names things,
 * such as log lines and the starts of processes, and is never the only sign of
 * their order. */
inline uint64_t
WallClockMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace bilberryfield
