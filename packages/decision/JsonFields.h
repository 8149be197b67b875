#pragma once

#include "ServiceConfig.h"

#include <algorithm>
#include <functional>
#include <set>

namespace bilberryfield {

/**
 * Reads the fields of one JSON object and collects all mistakes in it.
 * Call a reader for every known key, then RejectUnknownKeys().
 */
class JsonFields
{
public:
  JsonFields(const nlohmann::json& aObject,
             std::string aPath,
             std::vector<ValidationError>& aMistakes);

  /** A non-empty string; a missing key is a mistake. */
  std::string RequiredString(const std::string& aKey);

  /** A non-empty string, or the default if the key is missing. */
  std::string OptionalString(const std::string& aKey, std::string aDefault);

  /** An integer in [aLow, aHigh], or the default if the key is missing. */
  int64_t OptionalInteger(const std::string& aKey,
                          int64_t aDefault,
                          int64_t aLow,
                          int64_t aHigh);

  /** Milliseconds from aLow to one hour, or the default if the key is missing.
   */
  Milliseconds OptionalTime(const std::string& aKey,
                            Milliseconds aDefault,
                            Milliseconds aLow);

  /** A number in [aLow, aHigh], or the default if the key is missing. */
  double OptionalNumber(const std::string& aKey,
                        double aDefault,
                        double aLow,
                        double aHigh);

  /** A boolean, or the default if the key is missing. */
  bool OptionalBoolean(const std::string& aKey, bool aDefault);

  /**
   * A list of non-empty strings; if aRequired, a missing or empty list is a
   * mistake.
   */
  std::vector<std::string> StringList(const std::string& aKey, bool aRequired);

  /** Calls aReader with each element of a non-empty list and its JSON path. */
  void ObjectList(const std::string& aKey,
                  const std::function<void(const nlohmann::json&,
                                           const std::string&)>& aReader);

  /** An enumerator by its name in aTable, or the default. */
  template<typename Enum, size_t Size>
  Enum OptionalName(const std::string& aKey,
                    const NameTable<Enum, Size>& aTable,
                    Enum aDefault)
  {
    std::string name =
      OptionalString(aKey, std::string(NameOf(aTable, aDefault)));
    if (auto value = ValueOf(aTable, name)) {
      return *value;
    }
    std::string allowed;
    for (const auto& row : aTable) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(row.m_name);
    }
    AddMistake(aKey, '"' + name + '"', "one of " + allowed);
    return aDefault;
  }

  /** Adds a mistake at a key of this object. */
  void AddMistake(const std::string& aKey,
                  std::string aFound,
                  std::string aAllowed);

  /** Adds a mistake for each key that no reader was called for. */
  void RejectUnknownKeys();

private:
  const nlohmann::json* Find(const std::string& aKey);

  const nlohmann::json& m_object;
  std::string m_path;
  std::vector<ValidationError>& m_mistakes;
  std::set<std::string> m_knownKeys;
};

/** True for text of the form "IPv4:port" with a port in 1 to 65535. */
bool
IsIpAndPort(std::string_view aText);

} // namespace bilberryfield
