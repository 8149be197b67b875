#pragma once

#include "Journal.h"
#include "Messages.h"

namespace bilberryfield {

/** CBOR form of a message. */
std::string
EncodeMessage(const PeerMessage& aMessage);

/** The message in CBOR bytes that came from aPeer. */
Result<PeerMessage>
DecodeMessage(const std::string& aBytes, const std::string& aPeer);

/** Stored form of journal records. */
std::string
EncodeJournal(const JournalBatch& aBatch);

/** The journal records in the object under aKey. */
Result<JournalBatch>
DecodeJournal(const std::string& aBytes, const std::string& aKey);

} // namespace bilberryfield
