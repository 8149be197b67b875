#include "FlowCodec.h"

#include "FieldCodec.h"

namespace bilberryfield {

std::string
EncodeFlowMessage(const FlowMessage& aMessage)
{
  return EncodeVariant(aMessage);
}

Result<FlowMessage>
DecodeFlowMessage(std::string_view aBytes, const std::string& aPeer)
{
  return DecodeVariant<FlowMessage>(aBytes, aPeer);
}

} // namespace bilberryfield
