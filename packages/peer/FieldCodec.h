#pragma once

#include "Cbor.h"
#include "Error.h"
#include "ServiceConfig.h"
#include "Time.h"

#include <type_traits>
#include <variant>

namespace bilberryfield {

/** Visitor for a type's Fields() that writes each field to a JSON object. */
class FieldWriter
{
public:
  explicit FieldWriter(nlohmann::json& aObject)
    : m_object(aObject)
  {
  }

  template<typename Value>
  void operator()(const char* aKey, const Value& aValue)
  {
    m_object[aKey] = Encode(aValue);
  }

  /** Leaves out a field that has its default value. */
  template<typename Value>
  void Optional(const char* aKey, const Value& aValue)
  {
    if (aValue != Value{}) {
      m_object[aKey] = Encode(aValue);
    }
  }

  void Bytes(const char* aKey, const std::string& aBytes)
  {
    m_object[aKey] = nlohmann::json::binary(
      std::vector<uint8_t>(aBytes.begin(), aBytes.end()));
  }

  template<typename Value>
  static nlohmann::json Encode(const Value& aValue)
  {
    if constexpr (std::is_enum_v<Value>) {
      return static_cast<uint64_t>(aValue);
    } else if constexpr (std::is_same_v<Value, Milliseconds>) {
      return aValue.count();
    } else if constexpr (std::is_same_v<Value, ServiceConfig>) {
      return ToJson(aValue);
    } else if constexpr (requires(FieldWriter & aWriter) {
                           Value::Fields(aValue, aWriter);
                         }) {
      nlohmann::json object = nlohmann::json::object();
      FieldWriter writer(object);
      Value::Fields(aValue, writer);
      return object;
    } else {
      return aValue;
    }
  }

  template<typename Value>
  static nlohmann::json Encode(const std::vector<Value>& aValues)
  {
    nlohmann::json list = nlohmann::json::array();
    for (const Value& value : aValues) {
      list.push_back(Encode(value));
    }
    return list;
  }

private:
  nlohmann::json& m_object;
};

/**
 * Visitor for a type's Fields() that reads each field from a JSON object.
 * Throws a JSON exception when a field is missing or has the wrong type.
 */
class FieldReader
{
public:
  explicit FieldReader(const nlohmann::json& aObject)
    : m_object(aObject)
  {
  }

  template<typename Value>
  void operator()(const char* aKey, Value& aValue)
  {
    Decode(m_object.at(aKey), aValue);
  }

  /** Leaves aValue as it is when the field is missing, as it is in messages of
   * builds that do not know it. */
  template<typename Value>
  void Optional(const char* aKey, Value& aValue)
  {
    if (m_object.contains(aKey)) {
      Decode(m_object.at(aKey), aValue);
    }
  }

  void Bytes(const char* aKey, std::string& aBytes)
  {
    const nlohmann::json::binary_t& binary = m_object.at(aKey).get_binary();
    aBytes.assign(binary.begin(), binary.end());
  }

  template<typename Value>
  static void Decode(const nlohmann::json& aJson, Value& aValue)
  {
    if constexpr (std::is_enum_v<Value>) {
      DecodeEnum(aJson, aValue);
    } else if constexpr (std::is_same_v<Value, Milliseconds>) {
      DecodeMilliseconds(aJson, aValue);
    } else if constexpr (std::is_same_v<Value, ServiceConfig>) {
      DecodeServiceConfig(aJson, aValue);
    } else if constexpr (requires(FieldReader & aReader) {
                           Value::Fields(aValue, aReader);
                         }) {
      FieldReader reader(aJson);
      Value::Fields(aValue, reader);
    } else {
      aJson.get_to(aValue);
    }
  }

  template<typename Value>
  static void Decode(const nlohmann::json& aJson, std::vector<Value>& aValues)
  {
    for (const nlohmann::json& item :
         aJson.get_ref<const nlohmann::json::array_t&>()) {
      Decode(item, aValues.emplace_back());
    }
  }

private:
  // Rejects numbers outside the enumeration, because enumerators are later
  // used as array indexes.
  template<typename Enum>
  static void DecodeEnum(const nlohmann::json& aJson, Enum& aValue)
  {
    uint64_t number = aJson.get<uint64_t>();
    if (number >= NamesOf(Enum{}).size()) {
      throw nlohmann::json::other_error::create(
        0, "unknown enumerator " + std::to_string(number), nullptr);
    }
    aValue = static_cast<Enum>(number);
  }

  static void DecodeMilliseconds(const nlohmann::json& aJson,
                                 Milliseconds& aValue)
  {
    auto count = aJson.get<int64_t>();
    if (count < 0 || count > kMaxDuration.count()) {
      throw nlohmann::json::other_error::create(
        0, "time out of range: " + std::to_string(count) + " ms", nullptr);
    }
    aValue = Milliseconds(count);
  }

  static void DecodeServiceConfig(const nlohmann::json& aJson,
                                  ServiceConfig& aService)
  {
    ServiceParse parsed = ParseServiceConfig(aJson);
    if (!parsed) {
      std::ostringstream text;
      text << parsed.error().front();
      throw nlohmann::json::other_error::create(0, text.str(), nullptr);
    }
    aService = std::move(*parsed);
  }

  /**
   * Largest time accepted in a message. No process waits longer than this for
   * another process.
   */
  static constexpr Milliseconds kMaxDuration = std::chrono::hours(1);

  const nlohmann::json& m_object;
};

/** Encodes a variant as a CBOR array of its index and its fields. */
template<typename Variant>
std::string
EncodeVariant(const Variant& aMessage)
{
  nlohmann::json fields = std::visit(
    [](const auto& aAlternative) { return FieldWriter::Encode(aAlternative); },
    aMessage);
  std::string bytes;
  nlohmann::json::to_cbor(
    nlohmann::json::array({ aMessage.index(), std::move(fields) }), bytes);
  return bytes;
}

/**
 * Decodes the variant's alternative with index aIndex. Throws a JSON exception
 * when there is no such alternative or its fields are malformed.
 */
template<typename Variant, size_t Index = 0>
Variant
DecodeAlternative(size_t aIndex, const nlohmann::json& aFields)
{
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (aIndex == Index) {
      std::variant_alternative_t<Index, Variant> message;
      FieldReader::Decode(aFields, message);
      return message;
    }
    return DecodeAlternative<Variant, Index + 1>(aIndex, aFields);
  } else {
    throw nlohmann::json::other_error::create(
      0, "unknown kind of message", nullptr);
  }
}

/**
 * Decodes a variant from CBOR received from aPeer. Malformed bytes give an
 * error with Step::DecodeMessage that names aPeer.
 */
template<typename Variant>
Result<Variant>
DecodeVariant(std::string_view aBytes, const std::string& aPeer)
{
  try {
    nlohmann::json envelope = ParseCbor(aBytes);
    return DecodeAlternative<Variant>(envelope.at(0).get<size_t>(),
                                      envelope.at(1));
  } catch (const nlohmann::json::exception& error) {
    return Failure(Step::DecodeMessage, aPeer, error.what());
  }
}

} // namespace bilberryfield
