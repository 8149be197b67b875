#pragma once

#include "StopSignals.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace bilberryfield {

/** Tells the launcher which ports this program listens on. */
inline void
PrintPorts(const std::vector<uint16_t>& aPorts)
{
  std::cout << nlohmann::json({ { "ports", aPorts } }).dump() << std::endl;
}

} // namespace bilberryfield
