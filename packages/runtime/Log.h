#pragma once

#include "NameTable.h"

#include <concepts>
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

/** Lines of one event that a whole core may write in a second. */
inline constexpr double kLogLinesPerSecond = 400;

/**
 * Starts the log: JSON lines on standard output, from a level upwards, and at
 * most aLinesPerSecond of each event.
 */
void
StartLog(LogLevel aLowest,
         const std::string& aProcess,
         double aLinesPerSecond = kLogLinesPerSecond);

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

/**
 * True when a line of the event is to be written now; it then counts as
 * written. False when its level or its budget leaves it out.
 */
bool
TakeLogLine(LogLevel aLevel, const std::string& aEvent);

/** Writes a line for which TakeLogLine was true. */
void
WriteLogLine(LogLevel aLevel,
             const std::string& aEvent,
             const nlohmann::json& aFields);

/**
 * Log for events of single packets: the fields are made only when the line is
 * written.
 */
template<std::invocable MakeFields>
void
Log(LogLevel aLevel, const std::string& aEvent, MakeFields aMakeFields)
{
  if (TakeLogLine(aLevel, aEvent)) {
    WriteLogLine(aLevel, aEvent, aMakeFields());
  }
}

} // namespace bilberryfield
