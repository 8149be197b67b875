#pragma once

#include "Error.h"
#include "FlowMessages.h"

#include <string_view>

namespace bilberryfield {

/** CBOR form of a message between balancers and agents. */
std::string
EncodeFlowMessage(const FlowMessage& aMessage);

/** The message in a datagram that came from aPeer. */
Result<FlowMessage>
DecodeFlowMessage(std::string_view aBytes, const std::string& aPeer);

} // namespace bilberryfield
