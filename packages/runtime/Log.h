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

/** Starts the log: JSON lines on standard output, from a level upwards. */
void
StartLog(LogLevel aLowest, const std::string& aProcess);

/** Changes the lowest level that is written. */
void
SetLogLevel(LogLevel aLowest);

/**
 * Writes one line for each event of which lines were left out since the last
 * call, because there were too many or because nobody read them.
 */
void
LogWhatWasLeftOut();

/**
 * Writes one line with the event's name and its fields.
 * Example: Log(LogLevel::Info, "drain-started", { { "running", 3 } }).
 */
void
Log(LogLevel aLevel,
    const std::string& aEvent,
    const nlohmann::json& aFields = nlohmann::json::object());

} // namespace bilberryfield
