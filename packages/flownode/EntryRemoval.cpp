#include "EntryRemoval.h"

namespace bilberryfield {

// Entries are named after the agents' addresses, and a store can execute a
// write seconds after the call has failed. Only the revision tells the entry
// that was read from one of the next agent at the address.
void
RemoveEntry(StoreClient& aStore,
            const AgentEntry& aEntry,
            const StoreClient::OnEnd<StoreWrite>& aOnEnd)
{
  std::string name = EntryName(aEntry);
  aStore.Read(kAgentKind,
              name,
              [&aStore, aEntry, aOnEnd, name](
                const Result<std::optional<StoreObject>>& aStored) {
                if (!aStored) {
                  return aOnEnd(tl::unexpected(aStored.error()));
                }
                const std::optional<StoreObject>& object = *aStored;
                if (!object ||
                    ParseAgentEntry(name, object->m_content) != aEntry) {
                  StoreWrite missing;
                  missing.m_outcome = StoreWrite::Outcome::Missing;
                  return aOnEnd(std::move(missing));
                }
                aStore.Remove(kAgentKind, name, object->m_position, aOnEnd);
              });
}

} // namespace bilberryfield
