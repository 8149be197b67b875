#pragma once

#include "Journal.h"
#include "Messages.h"

namespace bilberryfield {

/** Encodes a message as CBOR. */
std::string
EncodeMessage(const PeerMessage& aMessage);

/**
 * Decodes a CBOR message received from aPeer. Malformed bytes give an error
 * with Step::DecodeMessage that names aPeer.
 */
Result<PeerMessage>
DecodeMessage(const std::string& aBytes, const std::string& aPeer);

/** Encodes a batch of journal records as CBOR for the store. */
std::string
EncodeJournal(const JournalBatch& aBatch);

/**
 * Decodes the journal records of the object stored under aKey. Malformed bytes
 * give an error with Step::DecodeMessage that names aKey.
 */
Result<JournalBatch>
DecodeJournal(const std::string& aBytes, const std::string& aKey);

} // namespace bilberryfield
