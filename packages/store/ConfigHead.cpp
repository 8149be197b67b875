#include "ConfigHead.h"

#include "Rendezvous.h"

#include <algorithm>
#include <iomanip>

namespace bilberryfield {

namespace {

using nlohmann::json;

/** More versions than operators publish between two restorations. */
constexpr uint64_t kVersionsPerEra = 1'000'000'000;

json
ToJson(const PublishRecord& aRecord)
{
  return { { "version", aRecord.m_version },
           { "publish_id", aRecord.m_publishId },
           { "publisher", aRecord.m_publisher },
           { "changed", aRecord.m_changed } };
}

PublishRecord
PublishRecordFromJson(const json& aJson)
{
  return { aJson.at("version"),
           aJson.at("publish_id"),
           aJson.at("publisher"),
           aJson.at("changed").get<std::vector<std::string>>() };
}

} // namespace

const PublishRecord*
FindPublish(const ConfigHead& aHead, const std::string& aPublishId)
{
  for (const PublishRecord& record : aHead.m_history) {
    if (record.m_publishId == aPublishId) {
      return &record;
    }
  }
  return nullptr;
}

void
AddRecord(ConfigHead& aHead, PublishRecord aRecord)
{
  aHead.m_history.insert(aHead.m_history.begin(), std::move(aRecord));
  if (aHead.m_history.size() > kMaxHistory) {
    aHead.m_history.resize(kMaxHistory);
  }
}

// Nodes compare versions as numbers, so a number must not be given out again
// although the head that had it is gone.
uint64_t
NextVersion(const ConfigHead& aHead, uint64_t aEra)
{
  constexpr uint64_t kFirstEra = 1;
  uint64_t restorations = aEra > kFirstEra ? aEra - kFirstEra : 0;
  return std::max(aHead.m_version, restorations * kVersionsPerEra) + 1;
}

std::string
EncodeHead(const ConfigHead& aHead)
{
  json keys = json::array();
  for (const TokenKey& key : aHead.m_keys) {
    keys.push_back({ { "id", key.m_id }, { "secret", key.m_secret } });
  }
  json services = json::object();
  for (const auto& [name, entry] : aHead.m_services) {
    services[name] = { { "hash", entry.m_contentHash },
                       { "address", entry.m_address },
                       { "changed_at", entry.m_changedAt },
                       { "removed", entry.m_removed } };
  }
  json history = json::array();
  for (const PublishRecord& record : aHead.m_history) {
    history.push_back(ToJson(record));
  }
  return json({ { "version", aHead.m_version },
                { "keys", keys },
                { "services", services },
                { "history", history } })
    .dump();
}

Result<ConfigHead>
DecodeHead(const std::string& aText)
{
  try {
    json document = json::parse(aText);
    ConfigHead head;
    head.m_version = document.at("version");
    for (const json& key : document.at("keys")) {
      head.m_keys.push_back({ key.at("id"), key.at("secret") });
    }
    for (const auto& [name, entry] : document.at("services").items()) {
      head.m_services[name] = { entry.at("hash"),
                                entry.at("address"),
                                entry.at("changed_at"),
                                entry.at("removed") };
    }
    for (const json& record : document.at("history")) {
      head.m_history.push_back(PublishRecordFromJson(record));
    }
    return head;
  } catch (const json::exception& error) {
    return Failure(Step::CallPlatform, kConfigHeadKey, error.what());
  }
}

std::string
ContentKey(const std::string& aService, const std::string& aHash)
{
  return "config/service/" + aService + "/" + aHash;
}

std::string
EncodeContent(const ServiceConfig& aService)
{
  return ToJson(aService).dump();
}

Result<ServiceConfig>
DecodeContent(const std::string& aKey, const std::string& aText)
{
  json document = json::parse(aText, nullptr, false);
  ServiceParse parsed = ParseServiceConfig(document);
  if (!parsed) {
    std::ostringstream text;
    text << parsed.error().front();
    return Failure(Step::CallPlatform, aKey, text.str());
  }
  return std::move(*parsed);
}

std::string
ContentHash(const std::string& aText)
{
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << StableHash(aText);
  return text.str();
}

} // namespace bilberryfield
