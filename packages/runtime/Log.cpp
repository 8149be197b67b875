#include "Log.h"

#include "LogBudget.h"
#include "PipeAppender.h"
#include "SteadyClock.h"
#include "WallClock.h"

#include <chrono>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <memory>

namespace bilberryfield {

namespace {

log4cxx::LevelPtr
LevelOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warning:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      break;
  }
  return log4cxx::Level::getError();
}

std::string&
ProcessName()
{
  static std::string name;
  return name;
}

const std::shared_ptr<PipeAppender>&
Appender()
{
  static auto appender = std::make_shared<PipeAppender>();
  return appender;
}

/** Lines at once after a quiet time, in seconds of the allowed pace. */
constexpr double kBurstSeconds = 3;

std::unique_ptr<LogBudget>&
Budget()
{
  static auto budget = std::make_unique<LogBudget>(
    kLogLinesPerSecond, kBurstSeconds * kLogLinesPerSecond);
  return budget;
}

log4cxx::LoggerPtr&
TheLogger()
{
  static log4cxx::LoggerPtr logger =
    log4cxx::Logger::getLogger("bilberryfield");
  return logger;
}

} // namespace

void
StartLog(LogLevel aLowest, const std::string& aProcess, double aLinesPerSecond)
{
  ProcessName() = aProcess;
  Budget() = std::make_unique<LogBudget>(aLinesPerSecond,
                                         kBurstSeconds * aLinesPerSecond);
  // log4cxx's own JSON layout writes every field as text in a nested map; the
  // line is made here, and the appender passes it on.
  log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(Appender());
  SetLogLevel(aLowest);
}

void
SetLogLevel(LogLevel aLowest)
{
  log4cxx::Logger::getRootLogger()->setLevel(LevelOf(aLowest));
}

void
LogWhatWasLeftOut()
{
  for (const auto& [event, count] : Budget()->TakeLeftOut()) {
    WriteLogLine(LogLevel::Warning,
                 "lines-left-out",
                 { { "of", event }, { "lines", count } });
  }
  if (uint64_t dropped = Appender()->TakeDropped()) {
    WriteLogLine(LogLevel::Warning, "lines-dropped", { { "lines", dropped } });
  }
}

bool
TakeLogLine(LogLevel aLevel, const std::string& aEvent)
{
  return TheLogger()->isEnabledFor(LevelOf(aLevel)) &&
         Budget()->Take(SteadyNow(), aEvent);
}

void
WriteLogLine(LogLevel aLevel,
             const std::string& aEvent,
             const nlohmann::json& aFields)
{
  nlohmann::ordered_json line = { { "time_ms", WallClockMs() },
                                  { "level", NameOf(kLogLevelNames, aLevel) },
                                  { "process", ProcessName() },
                                  { "event", aEvent } };
  for (const auto& [key, value] : aFields.items()) {
    line[key] = value;
  }
  LOG4CXX_LOG(
    TheLogger(),
    LevelOf(aLevel),
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void
Log(LogLevel aLevel, const std::string& aEvent, const nlohmann::json& aFields)
{
  if (TakeLogLine(aLevel, aEvent)) {
    WriteLogLine(aLevel, aEvent, aFields);
  }
}

} // namespace bilberryfield
