#pragma once

#include "ServiceConfig.h"

#include <algorithm>
#include <functional>
#include <set>

namespace bilberryfield {

/**
 * Reads the fields of one JSON object and collects every mistake in it.
 * Call the readers for all known keys, then RejectUnknownKeys().
 */
class JsonFields
{
public:
  JsonFields(const nlohmann::json& aObject,
             std::string aPath,
             std::vector<UserMistake>& aMistakes);

  /** Non-empty string; a missing required key is a mistake. */
  std::string RequiredString(const std::string& aKey);

  /** String, or the default when the key is missing. */
  std::string OptionalString(const std::string& aKey, std::string aDefault);

  /** Integer within [aLow, aHigh], or the default when the key is missing. */
  int64_t OptionalInteger(const std::string& aKey,
                          int64_t aDefault,
                          int64_t aLow,
                          int64_t aHigh);

  /** Milliseconds from aLow to an hour, or the default when the key is missing.
   */
  Milliseconds OptionalTime(const std::string& aKey,
                            Milliseconds aDefault,
                            Milliseconds aLow);

  /** Number within [aLow, aHigh], or the default when the key is missing. */
  double OptionalNumber(const std::string& aKey,
                        double aDefault,
                        double aLow,
                        double aHigh);

  /** Boolean, or the default when the key is missing. */
  bool OptionalBoolean(const std::string& aKey, bool aDefault);

  /** List of non-empty strings; aRequired makes an empty list a mistake. */
  std::vector<std::string> StringList(const std::string& aKey, bool aRequired);

  /** Calls aReader with each object of a non-empty list and its JSON path. */
  void ObjectList(const std::string& aKey,
                  const std::function<void(const nlohmann::json&,
                                           const std::string&)>& aReader);

  /** Value of an enum class by its table of names. */
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

  /** Records a mistake at a key of this object. */
  void AddMistake(const std::string& aKey,
                  std::string aFound,
                  std::string aAllowed);

  /** Records a mistake for each key that no reader asked for. */
  void RejectUnknownKeys();

private:
  const nlohmann::json* Find(const std::string& aKey);

  const nlohmann::json& m_object;
  std::string m_path;
  std::vector<UserMistake>& m_mistakes;
  std::set<std::string> m_knownKeys;
};

/** True for text of the form "IPv4:port" with a port in 1 to 65535. */
bool
IsIpAndPort(std::string_view aText);

} // namespace bilberryfield
