#include "Publisher.h"

#include "FlowToken.h"

namespace bilberryfield {

namespace {

PublishResult
MakeRejection(const ConfigHead& aHead, std::string aDetail)
{
  return {
    PublishOutcome::Rejected, aHead.m_version, {}, {}, std::move(aDetail)
  };
}

void
MergeServices(ConfigHead& aNext,
              PublishRecord& aRecord,
              const PublishRequest& aRequest)
{
  for (const ServiceConfig& service : aRequest.m_services) {
    HeadEntry& entry = aNext.m_services[service.m_name];
    std::string hash = ContentHash(EncodeContent(service));
    if (entry.m_contentHash != hash || entry.m_removed) {
      entry = { hash, service.m_address, aRecord.m_version, false };
      aRecord.m_changed.push_back(service.m_name);
    }
  }
}

// Describes the first two services in force that share an address; empty when
// there are none.
std::string
FindSharedAddress(const ConfigHead& aHead)
{
  std::map<std::string, std::string> nameByAddress;
  for (const auto& [name, entry] : aHead.m_services) {
    if (entry.m_removed) {
      continue;
    }
    auto [it, isNew] = nameByAddress.emplace(entry.m_address, name);
    if (!isNew) {
      return it->second + " and " + name + " share the address " +
             entry.m_address;
    }
  }
  return {};
}

} // namespace

tl::expected<ConfigHead, PublishResult>
PlanPublish(const ConfigHead& aHead,
            const PublishRequest& aRequest,
            uint64_t aEra)
{
  ConfigHead next = aHead;
  next.m_version = NextVersion(aHead, aEra);
  PublishRecord record{
    next.m_version, aRequest.m_publishId, aRequest.m_publisher, {}
  };
  MergeServices(next, record, aRequest);
  for (const std::string& name : aRequest.m_withdrawn) {
    auto found = next.m_services.find(name);
    if (found == next.m_services.end() || found->second.m_removed) {
      return tl::unexpected(MakeRejection(aHead, "no service named " + name));
    }
    found->second.m_changedAt = next.m_version;
    found->second.m_removed = true;
    record.m_changed.push_back(name);
  }
  std::string shared = FindSharedAddress(next);
  if (!shared.empty()) {
    return tl::unexpected(MakeRejection(aHead, shared));
  }
  if (next.m_keys.empty()) {
    next.m_keys.push_back(MakeTokenKey(1, aRequest.m_newKeyBytes));
  }
  if (record.m_changed.empty()) {
    return tl::unexpected(
      PublishResult{ PublishOutcome::Unchanged, aHead.m_version, {}, {}, {} });
  }
  AddRecord(next, std::move(record));
  return next;
}

} // namespace bilberryfield
