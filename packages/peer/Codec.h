#pragma once

#include "Messages.h"

namespace bilberryfield {

/** CBOR form of a message. */
std::string
EncodeMessage(const PeerMessage& aMessage);

/** The message in CBOR bytes that came from aPeer. */
Result<PeerMessage>
DecodeMessage(const std::string& aBytes, const std::string& aPeer);

} // namespace bilberryfield
