#pragma once

#include "Error.h"
#include "FlowMessages.h"

#include <string_view>

namespace bilberryfield {

/** Encodes a message between balancers and agents as CBOR. */
std::string
EncodeFlowMessage(const FlowMessage& aMessage);

/**
 * Decodes the message in a datagram received from aPeer. Malformed bytes give
 * an error with Step::DecodeMessage that names aPeer.
 */
Result<FlowMessage>
DecodeFlowMessage(std::string_view aBytes, const std::string& aPeer);

} // namespace bilberryfield
