#pragma once

#include "Error.h"
#include "Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryfield {

/** How long the work of a class keeps a slot, as the operator states it. */
enum class WorkLength : uint8_t
{
  Short,
  Long,
};

inline constexpr NameTable<WorkLength, 2> kWorkLengthNames = { {
  { WorkLength::Short, "short" },
  { WorkLength::Long, "long" },
} };

/** One class of a service's traffic; classes are listed in order of priority.
 */
struct TrafficClass
{
  std::string m_name;
  /** A non-repeatable request runs at most once. */
  bool m_nonRepeatable = false;
  WorkLength m_work = WorkLength::Short;
  /** Part of the starts, 0 to 1, that this class keeps under overload. */
  double m_minShare = 0.0;
  /** Time from arrival after which an answer has no use. */
  Milliseconds m_deadline{ 2000 };
  /** Requests that may wait at one backend server. */
  uint32_t m_queueLimit = 64;

  bool operator==(const TrafficClass&) const = default;
};

/** What one service's file states. */
struct ServiceConfig
{
  std::string m_name;
  /** IP and port that callers use, for example "10.0.0.1:80". */
  std::string m_address;
  /** Labels that a backend server must announce to serve this service. */
  std::vector<std::string> m_labels;
  /** In order of priority, most urgent first; never empty. */
  std::vector<TrafficClass> m_classes;
  /** Class of a request that names none, or one that is not listed. */
  std::string m_defaultClass;
  /** Time without a packet after which a flow ends. */
  Seconds m_flowLifetime{ 600 };

  bool operator==(const ServiceConfig&) const = default;

  /** Position of the class with this name, else of the default class. */
  size_t ClassIndex(std::string_view aName) const;
};

/** A mistake in a file written by a user. */
struct UserMistake
{
  /** Where: a JSON path such as "/classes/0/min_share". */
  std::string m_path;
  std::string m_found;
  std::string m_allowed;

  bool operator==(const UserMistake&) const = default;
};

std::ostream&
operator<<(std::ostream& aStream, const UserMistake& aMistake);

/** The service, or every mistake found in its file. */
using ServiceParse = tl::expected<ServiceConfig, std::vector<UserMistake>>;

/** Reads a service file; lists every mistake, unknown keys included. */
ServiceParse
ParseServiceConfig(const nlohmann::json& aJson);

/** The JSON that ParseServiceConfig reads back to the same value. */
nlohmann::json
ToJson(const ServiceConfig& aService);

} // namespace bilberryfield
