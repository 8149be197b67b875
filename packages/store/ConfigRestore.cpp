#include "ConfigRestore.h"

#include <algorithm>

namespace bilberryfield {

namespace {

// The latest version that both the node's configuration and the head's history
// contain; the node's own version if the head lacks nothing.
uint64_t
CommonVersion(const ConfigHead& aHead, const ConfigSnapshot& aOwn)
{
  if (aOwn.m_version > aHead.m_version) {
    return aHead.m_version;
  }
  if (aOwn.m_version == 0 || FindPublish(aHead, aOwn.m_publishId)) {
    return aOwn.m_version;
  }
  for (const PublishRecord& record : aHead.m_history) {
    if (record.m_version < aOwn.m_version) {
      return record.m_version;
    }
  }
  // A full history has dropped its earliest records and cannot tell.
  bool isWhole = aHead.m_history.size() < kMaxHistory;
  return isWhole ? 0 : aOwn.m_version;
}

bool
IsAddressInUse(const ConfigHead& aHead, const ServiceConfig& aService)
{
  return std::any_of(
    aHead.m_services.begin(), aHead.m_services.end(), [&](const auto& aItem) {
      const HeadEntry& entry = aItem.second;
      return aItem.first != aService.m_name && !entry.m_removed &&
             entry.m_address == aService.m_address;
    });
}

std::vector<const ServiceEntry*>
LostEntries(const ConfigHead& aHead,
            const ConfigSnapshot& aOwn,
            uint64_t aCommonVersion)
{
  std::vector<const ServiceEntry*> lost;
  for (const auto& [name, entry] : aOwn.m_services) {
    if (entry.m_changedAt <= aCommonVersion) {
      continue;
    }
    auto found = aHead.m_services.find(name);
    bool wasChangedSince = found != aHead.m_services.end() &&
                           found->second.m_changedAt > aCommonVersion;
    if (!wasChangedSince) {
      lost.push_back(&entry);
    }
  }
  return lost;
}

void
AddMissingKeys(ConfigHead& aHead, const ConfigSnapshot& aOwn)
{
  for (const TokenKey& key : aOwn.m_keys) {
    bool isKnown = std::any_of(
      aHead.m_keys.begin(), aHead.m_keys.end(), [&](const TokenKey& aOther) {
        return aOther.m_id == key.m_id;
      });
    if (!isKnown) {
      aHead.m_keys.push_back(key);
    }
  }
}

} // namespace

// A head that is merely older gets the lost publish back under its own version,
// so that nodes that have it need nothing. Otherwise other versions were
// published since, and the lost services follow as a version of their own.
std::optional<RestoredHead>
PlanRestore(const ConfigHead& aHead, const ConfigSnapshot& aOwn, uint64_t aEra)
{
  uint64_t common = CommonVersion(aHead, aOwn);
  std::vector<const ServiceEntry*> lost = LostEntries(aHead, aOwn, common);
  bool isOlder = aOwn.m_version > aHead.m_version;
  RestoredHead restored;
  ConfigHead& next = restored.m_head;
  next = aHead;
  next.m_version = isOlder ? aOwn.m_version : NextVersion(aHead, aEra);
  PublishRecord record{ next.m_version,
                        isOlder ? aOwn.m_publishId
                                : "restored-" + aOwn.m_publishId,
                        aOwn.m_publisher,
                        {} };
  for (const ServiceEntry* entry : lost) {
    const ServiceConfig& service = entry->m_config;
    if (!entry->m_removed && IsAddressInUse(next, service)) {
      restored.m_clashes.push_back(service.m_name);
      continue;
    }
    next.m_services[service.m_name] = { ContentHash(EncodeContent(service)),
                                        service.m_address,
                                        isOlder ? entry->m_changedAt
                                                : next.m_version,
                                        entry->m_removed };
    restored.m_contents.push_back(service);
    record.m_changed.push_back(service.m_name);
  }
  if (record.m_changed.empty() && !isOlder) {
    return std::nullopt;
  }
  AddMissingKeys(next, aOwn);
  AddRecord(next, std::move(record));
  return restored;
}

} // namespace bilberryfield
