#include "Codec.h"

#include <type_traits>

namespace bilberryfield {

namespace {

using nlohmann::json;

// Writes the fields that a message lists into a JSON object.
class FieldWriter
{
public:
  explicit FieldWriter(json& aObject)
    : m_object(aObject)
  {
  }

  template<typename Value>
  void operator()(const char* aKey, const Value& aValue)
  {
    m_object[aKey] = Encode(aValue);
  }

  void Bytes(const char* aKey, const std::string& aBytes)
  {
    m_object[aKey] =
      json::binary(std::vector<uint8_t>(aBytes.begin(), aBytes.end()));
  }

  template<typename Value>
  static json Encode(const Value& aValue)
  {
    if constexpr (std::is_enum_v<Value>) {
      return static_cast<uint64_t>(aValue);
    } else if constexpr (std::is_same_v<Value, ServiceConfig>) {
      return ToJson(aValue);
    } else if constexpr (requires(FieldWriter & aWriter) {
                           Value::Fields(aValue, aWriter);
                         }) {
      json object = json::object();
      FieldWriter writer(object);
      Value::Fields(aValue, writer);
      return object;
    } else {
      return aValue;
    }
  }

  template<typename Value>
  static json Encode(const std::vector<Value>& aValues)
  {
    json list = json::array();
    for (const Value& value : aValues) {
      list.push_back(Encode(value));
    }
    return list;
  }

private:
  json& m_object;
};

// Reads the fields that a message lists out of a JSON object. Its errors are
// JSON exceptions; DecodeMessage turns them into step errors.
class FieldReader
{
public:
  explicit FieldReader(const json& aObject)
    : m_object(aObject)
  {
  }

  template<typename Value>
  void operator()(const char* aKey, Value& aValue)
  {
    Decode(m_object.at(aKey), aValue);
  }

  void Bytes(const char* aKey, std::string& aBytes)
  {
    const json::binary_t& binary = m_object.at(aKey).get_binary();
    aBytes.assign(binary.begin(), binary.end());
  }

  template<typename Value>
  static void Decode(const json& aJson, Value& aValue)
  {
    if constexpr (std::is_enum_v<Value>) {
      aValue = static_cast<Value>(aJson.get<uint8_t>());
    } else if constexpr (std::is_same_v<Value, ServiceConfig>) {
      DecodeService(aJson, aValue);
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
  static void Decode(const json& aJson, std::vector<Value>& aValues)
  {
    for (const json& item : aJson.get_ref<const json::array_t&>()) {
      Decode(item, aValues.emplace_back());
    }
  }

private:
  static void DecodeService(const json& aJson, ServiceConfig& aService)
  {
    ServiceParse parsed = ParseServiceConfig(aJson);
    if (!parsed) {
      std::ostringstream text;
      text << parsed.error().front();
      throw json::other_error::create(0, text.str(), nullptr);
    }
    aService = std::move(*parsed);
  }

  const json& m_object;
};

template<size_t Index = 0>
PeerMessage
DecodeAlternative(size_t aIndex, const json& aFields)
{
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    if (aIndex == Index) {
      std::variant_alternative_t<Index, PeerMessage> message;
      FieldReader::Decode(aFields, message);
      return message;
    }
    return DecodeAlternative<Index + 1>(aIndex, aFields);
  } else {
    throw json::other_error::create(0, "unknown kind of message", nullptr);
  }
}

} // namespace

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  json fields = std::visit(
    [](const auto& aOne) { return FieldWriter::Encode(aOne); }, aMessage);
  json envelope = json::array({ aMessage.index(), std::move(fields) });
  std::string bytes;
  json::to_cbor(envelope, bytes);
  return bytes;
}

Result<PeerMessage>
DecodeMessage(const std::string& aBytes, const std::string& aPeer)
{
  try {
    json envelope = json::from_cbor(aBytes);
    return DecodeAlternative(envelope.at(0).get<size_t>(), envelope.at(1));
  } catch (const json::exception& error) {
    return Failure(Step::DecodeMessage, aPeer, error.what());
  }
}

} // namespace bilberryfield
