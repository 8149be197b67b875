#pragma once

#include "NameTable.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace bilberryfield {

enum class LogLevel : uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

inline constexpr NameTable<LogLevel, 4> kLogLevelNames = { {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

/** Starts the log: JSON lines on standard error, from a level upwards. */
void
StartLog(LogLevel aLowest, const std::string& aProcess);

/**
 * Writes one line with the event's name and its fields.
 * Example: Log(LogLevel::Info, "drain-started", { { "running", 3 } }).
 */
void
Log(LogLevel aLevel,
    const std::string& aEvent,
    const nlohmann::json& aFields = nlohmann::json::object());

} // namespace bilberryfield
