#include "Codec.h"

#include "FieldCodec.h"

namespace bilberryfield {

using nlohmann::json;

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  return EncodeVariant(aMessage);
}

Result<PeerMessage>
DecodeMessage(const std::string& aBytes, const std::string& aPeer)
{
  return DecodeVariant<PeerMessage>(aBytes, aPeer);
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
    FieldReader::Decode(ParseCbor(aBytes), batch);
    return batch;
  } catch (const json::exception& error) {
    return Failure(Step::DecodeMessage, aKey, error.what());
  }
}

} // namespace bilberryfield
