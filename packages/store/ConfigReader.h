#pragma once

#include "ConfigHead.h"

namespace bilberryfield {

/** Fetches the services of a head that changed after aKnownVersion. */
template<ObjectStore Store>
Result<ConfigDelta>
FetchDelta(Store& aStore, const ConfigHead& aHead, uint64_t aKnownVersion)
{
  ConfigDelta delta{ aKnownVersion, aHead.m_version, {}, {}, aHead.m_keys, {} };
  if (!aHead.m_history.empty()) {
    delta.m_publishId = aHead.m_history.front().m_publishId;
    delta.m_publisher = aHead.m_history.front().m_publisher;
  }
  for (const auto& [name, entry] : aHead.m_services) {
    if (entry.m_changedAt <= aKnownVersion) {
      continue;
    }
    std::string key = ContentKey(name, entry.m_contentHash);
    Result<FoundObject> found = aStore.Get(key);
    if (!found) {
      return tl::unexpected(found.error());
    }
    if (!*found) {
      return Failure(
        Step::CallPlatform, key, "the content of the service is missing");
    }
    Result<ServiceConfig> service = DecodeContent(key, (*found)->m_value);
    if (!service) {
      return tl::unexpected(service.error());
    }
    delta.m_entries.push_back(
      { std::move(*service), entry.m_changedAt, entry.m_removed });
  }
  return delta;
}

/** Reads the head and the position of its object; an empty head and an unknown
 * position before the first publish. */
template<ObjectStore Store>
Result<std::pair<ConfigHead, StorePosition>>
FetchHead(Store& aStore)
{
  Result<FoundObject> found = aStore.Get(kConfigHeadKey);
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!*found) {
    return std::pair<ConfigHead, StorePosition>();
  }
  Result<ConfigHead> head = DecodeHead((*found)->m_value);
  if (!head) {
    return tl::unexpected(head.error());
  }
  return std::pair(std::move(*head), (*found)->m_position);
}

} // namespace bilberryfield
