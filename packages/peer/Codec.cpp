#include "Codec.h"

#include "FieldCodec.h"

namespace bilberryfield {

namespace {

using nlohmann::json;

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

std::string
EncodeJournal(const JournalBatch& aBatch)
{
  std::string bytes;
  json::to_cbor(FieldWriter::Encode(aBatch), bytes);
  return bytes;
}

Result<JournalBatch>
DecodeJournal(const std::string& aBytes, const std::string& aKey)
{
  try {
    JournalBatch batch;
    FieldReader::Decode(json::from_cbor(aBytes), batch);
    return batch;
  } catch (const json::exception& error) {
    return Failure(Step::DecodeMessage, aKey, error.what());
  }
}

} // namespace bilberryfield
