#pragma once

#include "Error.h"
#include "Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryfield {

/** How long requests of a class occupy a slot, as set by the operator. */
enum class WorkLength : uint8_t
{
  Short,
  Long,
};

inline constexpr NameTable<WorkLength, 2> kWorkLengthNames = { {
  { WorkLength::Short, "short" },
  { WorkLength::Long, "long" },
} };

/** Traffic class of a service. */
struct TrafficClass
{
  std::string m_name;
  /** If true, each request of the class runs at most once. */
  bool m_nonRepeatable = false;
  WorkLength m_work = WorkLength::Short;
  /** Share of request starts, 0 to 1, reserved for the class on overload. */
  double m_minShare = 0.0;
  /** Time from arrival after which the caller has no use for the answer. */
  Milliseconds m_deadline{ 2000 };
  /** Maximum number of queued requests per backend server. */
  uint32_t m_queueLimit = 64;

  bool operator==(const TrafficClass&) const = default;
};

/** Contents of a service file. */
struct ServiceConfig
{
  std::string m_name;
  /** IP address and port for callers, for example "10.0.0.1:80". */
  std::string m_address;
  /** Labels that a backend server needs for this service. */
  std::vector<std::string> m_labels;
  /** By descending priority; never empty. */
  std::vector<TrafficClass> m_classes;
  /** Class of requests without a class or with one that is not listed. */
  std::string m_defaultClass;
  /** Time without a packet after which a flow ends. */
  Seconds m_flowLifetime{ 600 };

  bool operator==(const ServiceConfig&) const = default;

  /** Index of the class with this name, or of the default class. */
  size_t ClassIndex(std::string_view aName) const;
};

/** An invalid value in a file written by a user. */
struct ValidationError
{
  /** JSON path of the value, for example "/classes/0/min_share". */
  std::string m_path;
  /** The invalid value, or its description. */
  std::string m_found;
  /** Description of the allowed values. */
  std::string m_allowed;

  bool operator==(const ValidationError&) const = default;
};

std::ostream&
operator<<(std::ostream& aStream, const ValidationError& aError);

/** The parsed service, or all validation errors in its file. */
using ServiceParse = tl::expected<ServiceConfig, std::vector<ValidationError>>;

/** Parses a service file. Unknown keys are validation errors. */
ServiceParse
ParseServiceConfig(const nlohmann::json& aJson);

/** Returns JSON that ParseServiceConfig parses to an equal value. */
nlohmann::json
ToJson(const ServiceConfig& aService);

} // namespace bilberryfield
