#include "ServiceConfig.h"

#include "JsonFields.h"

namespace bilberryfield {

namespace {

constexpr int64_t kMaxDeadlineMs = 600'000;
constexpr int64_t kMaxQueueLimit = 100'000;
constexpr int64_t kMaxFlowLifetimeS = 86'400;

TrafficClass
ParseClass(const nlohmann::json& aJson,
           const std::string& aPath,
           std::vector<ValidationError>& aErrors)
{
  TrafficClass result;
  JsonFields fields(aJson, aPath, aErrors);
  result.m_name = fields.RequiredString("name");
  result.m_nonRepeatable = fields.OptionalBoolean("non_repeatable", false);
  result.m_work =
    fields.OptionalName("work", kWorkLengthNames, WorkLength::Short);
  result.m_minShare = fields.OptionalNumber("min_share", 0.0, 0.0, 1.0);
  result.m_deadline = Milliseconds(fields.OptionalInteger(
    "deadline_ms", result.m_deadline.count(), 1, kMaxDeadlineMs));
  result.m_queueLimit = static_cast<uint32_t>(fields.OptionalInteger(
    "queue_limit", result.m_queueLimit, 0, kMaxQueueLimit));
  fields.RejectUnknownKeys();
  return result;
}

void
CheckClasses(const ServiceConfig& aService, JsonFields& aFields)
{
  std::set<std::string> names;
  double shares = 0.0;
  for (const TrafficClass& trafficClass : aService.m_classes) {
    shares += trafficClass.m_minShare;
    if (!names.insert(trafficClass.m_name).second) {
      aFields.AddMistake("classes",
                         "duplicate name \"" + trafficClass.m_name + "\"",
                         "unique names");
    }
  }
  if (shares > 1.0) {
    aFields.AddMistake("classes",
                       "min_share values that add up to " +
                         nlohmann::json(shares).dump(),
                       "a sum of at most 1");
  }
  if (!names.contains(aService.m_defaultClass)) {
    aFields.AddMistake("default_class",
                       "\"" + aService.m_defaultClass + "\"",
                       "the name of one of the classes");
  }
}

} // namespace

size_t
ServiceConfig::ClassIndex(std::string_view aName) const
{
  size_t fallback = 0;
  for (size_t i = 0; i < m_classes.size(); ++i) {
    if (m_classes[i].m_name == aName) {
      return i;
    }
    if (m_classes[i].m_name == m_defaultClass) {
      fallback = i;
    }
  }
  return fallback;
}

std::ostream&
operator<<(std::ostream& aStream, const ValidationError& aError)
{
  return aStream << aError.m_path << ": found " << aError.m_found
                 << ", expected " << aError.m_allowed;
}

ServiceParse
ParseServiceConfig(const nlohmann::json& aJson)
{
  std::vector<ValidationError> errors;
  ServiceConfig service;
  JsonFields fields(aJson, "", errors);
  service.m_name = fields.RequiredString("service");
  service.m_address = fields.RequiredString("address");
  service.m_labels = fields.StringList("server_labels", true);
  service.m_defaultClass = fields.RequiredString("default_class");
  service.m_flowLifetime = Seconds(fields.OptionalInteger(
    "flow_lifetime_s", service.m_flowLifetime.count(), 1, kMaxFlowLifetimeS));
  fields.ObjectList(
    "classes", [&](const nlohmann::json& aItem, const std::string& aPath) {
      service.m_classes.push_back(ParseClass(aItem, aPath, errors));
    });
  fields.RejectUnknownKeys();
  if (!service.m_address.empty() && !IsIpAndPort(service.m_address)) {
    fields.AddMistake(
      "address", '"' + service.m_address + '"', "an IPv4 address and a port");
  }
  if (errors.empty()) {
    CheckClasses(service, fields);
  }
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return service;
}

nlohmann::json
ToJson(const ServiceConfig& aService)
{
  nlohmann::json classes = nlohmann::json::array();
  for (const TrafficClass& trafficClass : aService.m_classes) {
    classes.push_back(
      { { "name", trafficClass.m_name },
        { "non_repeatable", trafficClass.m_nonRepeatable },
        { "work", NameOf(kWorkLengthNames, trafficClass.m_work) },
        { "min_share", trafficClass.m_minShare },
        { "deadline_ms", trafficClass.m_deadline.count() },
        { "queue_limit", trafficClass.m_queueLimit } });
  }
  return { { "service", aService.m_name },
           { "address", aService.m_address },
           { "server_labels", aService.m_labels },
           { "classes", std::move(classes) },
           { "default_class", aService.m_defaultClass },
           { "flow_lifetime_s", aService.m_flowLifetime.count() } };
}

} // namespace bilberryfield
