#pragma once

#include "AgentEntryCodec.h"
#include "StoreClient.h"

namespace bilberryfield {

/**
 * Removes an agent's entry from the store. An entry that another agent has
 * stored for the address since stays, also if the removal takes effect late;
 * the result is Missing or Conflict then. The callback runs on the client's
 * thread.
 */
void
RemoveEntry(StoreClient& aStore,
            const AgentEntry& aEntry,
            const StoreClient::OnEnd<StoreWrite>& aOnEnd);

} // namespace bilberryfield
