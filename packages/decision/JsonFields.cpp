#include "JsonFields.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace bilberryfield {

namespace {

/** Levels of nesting that an excerpt shows. Writing a value takes a part of the
 * stack for each level. */
constexpr int kMaxExcerptDepth = 32;

bool
IsDeeperThan(const nlohmann::json& aValue, int aLevels)
{
  if (!aValue.is_structured()) {
    return false;
  }
  return aLevels == 0 ||
         std::any_of(aValue.begin(), aValue.end(), [&](const auto& aItem) {
           return IsDeeperThan(aItem, aLevels - 1);
         });
}

std::string
Excerpt(const nlohmann::json& aValue)
{
  constexpr size_t kMaxExcerptBytes = 60;
  if (IsDeeperThan(aValue, kMaxExcerptDepth)) {
    return "a deeply nested " + std::string(aValue.type_name());
  }
  std::string text =
    aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return text.size() <= kMaxExcerptBytes
           ? text
           : text.substr(0, kMaxExcerptBytes) + "...";
}

} // namespace

JsonFields::JsonFields(const nlohmann::json& aObject,
                       std::string aPath,
                       std::vector<ValidationError>& aMistakes)
  : m_object(aObject)
  , m_path(std::move(aPath))
  , m_mistakes(aMistakes)
{
  if (!m_object.is_object()) {
    m_mistakes.push_back({ m_path, Excerpt(m_object), "an object" });
  }
}

const nlohmann::json*
JsonFields::Find(const std::string& aKey)
{
  m_knownKeys.insert(aKey);
  if (!m_object.is_object()) {
    return nullptr;
  }
  auto found = m_object.find(aKey);
  return found == m_object.end() ? nullptr : &*found;
}

void
JsonFields::AddMistake(const std::string& aKey,
                       std::string aFound,
                       std::string aAllowed)
{
  m_mistakes.push_back(
    { m_path + "/" + aKey, std::move(aFound), std::move(aAllowed) });
}

std::string
JsonFields::RequiredString(const std::string& aKey)
{
  const nlohmann::json* value = Find(aKey);
  if (!value) {
    AddMistake(aKey, "nothing", "a non-empty string");
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    AddMistake(aKey, Excerpt(*value), "a non-empty string");
    return {};
  }
  return value->get<std::string>();
}

std::string
JsonFields::OptionalString(const std::string& aKey, std::string aDefault)
{
  return Find(aKey) ? RequiredString(aKey) : std::move(aDefault);
}

int64_t
JsonFields::OptionalInteger(const std::string& aKey,
                            int64_t aDefault,
                            int64_t aLow,
                            int64_t aHigh)
{
  const nlohmann::json* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_number_integer() || *value < aLow || *value > aHigh) {
    AddMistake(aKey,
               Excerpt(*value),
               "an integer from " + std::to_string(aLow) + " to " +
                 std::to_string(aHigh));
    return aDefault;
  }
  return value->get<int64_t>();
}

Milliseconds
JsonFields::OptionalTime(const std::string& aKey,
                         Milliseconds aDefault,
                         Milliseconds aLow)
{
  constexpr Milliseconds kLongest = std::chrono::hours(1);
  return Milliseconds(
    OptionalInteger(aKey, aDefault.count(), aLow.count(), kLongest.count()));
}

double
JsonFields::OptionalNumber(const std::string& aKey,
                           double aDefault,
                           double aLow,
                           double aHigh)
{
  const nlohmann::json* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_number() || *value < aLow || *value > aHigh) {
    AddMistake(aKey,
               Excerpt(*value),
               "a number from " + nlohmann::json(aLow).dump() + " to " +
                 nlohmann::json(aHigh).dump());
    return aDefault;
  }
  return value->get<double>();
}

bool
JsonFields::OptionalBoolean(const std::string& aKey, bool aDefault)
{
  const nlohmann::json* value = Find(aKey);
  if (!value) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    AddMistake(aKey, Excerpt(*value), "true or false");
    return aDefault;
  }
  return value->get<bool>();
}

std::vector<std::string>
JsonFields::StringList(const std::string& aKey, bool aRequired)
{
  std::vector<std::string> strings;
  const nlohmann::json* value = Find(aKey);
  if (!value && !aRequired) {
    return strings;
  }
  bool isList = value && value->is_array() && !(aRequired && value->empty());
  if (!isList) {
    AddMistake(
      aKey, value ? Excerpt(*value) : "nothing", "a list of non-empty strings");
    return strings;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    const nlohmann::json& item = (*value)[i];
    if (item.is_string() && !item.get_ref<const std::string&>().empty()) {
      strings.push_back(item.get<std::string>());
    } else {
      AddMistake(
        aKey + "/" + std::to_string(i), Excerpt(item), "a non-empty string");
    }
  }
  return strings;
}

void
JsonFields::ObjectList(
  const std::string& aKey,
  const std::function<void(const nlohmann::json&, const std::string&)>& aReader)
{
  const nlohmann::json* value = Find(aKey);
  if (!value || !value->is_array() || value->empty()) {
    AddMistake(
      aKey, value ? Excerpt(*value) : "nothing", "a non-empty list of objects");
    return;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    aReader((*value)[i], m_path + "/" + aKey + "/" + std::to_string(i));
  }
}

void
JsonFields::RejectUnknownKeys()
{
  if (!m_object.is_object()) {
    return;
  }
  std::string allowed;
  for (const std::string& key : m_knownKeys) {
    allowed += (allowed.empty() ? "one of " : ", ") + key;
  }
  for (const auto& [key, value] : m_object.items()) {
    if (!m_knownKeys.contains(key)) {
      AddMistake(key, "unknown key", allowed);
    }
  }
}

bool
IsIpAndPort(std::string_view aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  in_addr address{};
  std::string ip(aText.substr(0, colon));
  std::string_view port = aText.substr(colon + 1);
  uint16_t number = 0;
  auto parsed = std::from_chars(port.begin(), port.end(), number);
  bool isPort = parsed.ec == std::errc() && parsed.ptr == port.end();
  return inet_pton(AF_INET, ip.c_str(), &address) == 1 && isPort && number > 0;
}

} // namespace bilberryfield
