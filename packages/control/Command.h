#pragma once

#include "Error.h"
#include "HttpClient.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace bilberryfield {

/** Exit codes of bilberryctl; scripts may rely on them. */
enum class ExitCode : int
{
  Success = 0,
  CallFailed = 1,      /**< A daemon or the platform did not answer. */
  ValidationError = 2, /**< Wrong arguments, or mistakes in a file. */
  LostRace = 3,        /**< Another publish came first. */
  Clash = 4,           /**< The services contradict what is accepted. */
  Uncertain = 5,       /**< Nobody can say whether the publish took effect. */
  AuditFailed = 6,     /**< A journal has a gap or an altered record. */
};

/** What every command gets: arguments, addresses, and where to write. */
struct CommandContext
{
  std::vector<std::string> m_arguments;
  /** IP and port of the platform's object API. */
  std::string m_platform;
  /** IP and port of each daemon to ask. */
  std::vector<std::string> m_daemons;
  bool m_isJson = false;
  std::ostream* m_output = nullptr;
  std::ostream* m_errors = nullptr;
};

/** A table for people; columns are as wide as their longest cell. */
class Table
{
public:
  explicit Table(std::vector<std::string> aHeadings);

  /** Adds a row with as many cells as there are headings. */
  void AddRow(std::vector<std::string> aCells);

  void Print(std::ostream& aStream) const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

/** JSON answer of a daemon's operators' interface. */
Result<nlohmann::json>
CallDaemon(const std::string& aAddress,
           const std::string& aMethod,
           const std::string& aPath);

/** Writes an error and returns the exit code for it. */
ExitCode
Fail(const CommandContext& aContext, const StepError& aError);

/** Writes what is wrong with the arguments and returns the exit code. */
ExitCode
FailUsage(const CommandContext& aContext, const std::string& aDetail);

} // namespace bilberryfield
