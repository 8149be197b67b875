#pragma once

#include "ConfigReader.h"

namespace bilberryfield {

/** A head with the services that a restored store had lost. */
struct RestoredHead
{
  ConfigHead m_head;
  /** Contents to store before the head. */
  std::vector<ServiceConfig> m_contents;
  /** Lost services that are left out, because another service was published at
   * their address since. */
  std::vector<std::string> m_clashes;
};

/**
 * Returns the head that the store has to get when it lacks a publish that
 * aOwn, the configuration in force at a node, contains; nullopt when it lacks
 * nothing. A service that was published again since the restoration keeps its
 * newer content. aEra is the era of the store that aHead was read from.
 */
std::optional<RestoredHead>
PlanRestore(const ConfigHead& aHead, const ConfigSnapshot& aOwn, uint64_t aEra);

/** Writes a restored head if the stored one still is at aPosition. */
template<ObjectStore Store>
Result<PutOutcome>
StoreRestored(Store& aStore,
              const RestoredHead& aRestored,
              const StorePosition& aPosition)
{
  for (const ServiceConfig& service : aRestored.m_contents) {
    std::string content = EncodeContent(service);
    Result<PutOutcome> put =
      aStore.Put(ContentKey(service.m_name, ContentHash(content)), content, {});
    if (!put) {
      return put;
    }
  }
  return aStore.Put(kConfigHeadKey, EncodeHead(aRestored.m_head), aPosition);
}

} // namespace bilberryfield
