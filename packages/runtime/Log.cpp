#include "Log.h"

#include <chrono>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
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

} // namespace

void
StartLog(LogLevel aLowest, const std::string& aProcess)
{
  ProcessName() = aProcess;
  // log4cxx's own JSON layout writes every field as text in a nested map; the
  // line is made here, and the layout passes it on.
  auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(LevelOf(aLowest));
}

void
Log(LogLevel aLevel, const std::string& aEvent, const nlohmann::json& aFields)
{
  static log4cxx::LoggerPtr logger =
    log4cxx::Logger::getLogger("bilberryfield");
  log4cxx::LevelPtr level = LevelOf(aLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  nlohmann::ordered_json line = { { "time_ms", now.count() },
                                  { "level", NameOf(kLogLevelNames, aLevel) },
                                  { "process", ProcessName() },
                                  { "event", aEvent } };
  for (const auto& [key, value] : aFields.items()) {
    line[key] = value;
  }
  LOG4CXX_LOG(
    logger,
    level,
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace bilberryfield
