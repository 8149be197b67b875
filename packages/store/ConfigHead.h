#pragma once

#include "ConfigState.h"
#include "ObjectStore.h"

namespace bilberryfield {

/** Key of the one object that decides which configuration is accepted. */
inline constexpr const char* kConfigHeadKey = "config/head";

/** One accepted publish. */
struct PublishRecord
{
  uint64_t m_version = 0;
  std::string m_publishId;
  std::string m_publisher;
  /** Names of the services that it changed or withdrew. */
  std::vector<std::string> m_changed;

  bool operator==(const PublishRecord&) const = default;
};

/** Where the content of a service stands. */
struct HeadEntry
{
  std::string m_contentHash;
  /** IP and port that callers use; no two services share one. */
  std::string m_address;
  uint64_t m_changedAt = 0;
  bool m_removed = false;

  bool operator==(const HeadEntry&) const = default;
};

/** The accepted configuration: its version and where its contents stand. */
struct ConfigHead
{
  uint64_t m_version = 0;
  std::vector<TokenKey> m_keys;
  std::map<std::string, HeadEntry> m_services;
  /** The latest publishes, newest first. */
  std::vector<PublishRecord> m_history;

  bool operator==(const ConfigHead&) const = default;
};

/** JSON text of a head, as it is stored. */
std::string
EncodeHead(const ConfigHead& aHead);

/** The head in a stored text. */
Result<ConfigHead>
DecodeHead(const std::string& aText);

/** Key of a service's content. */
std::string
ContentKey(const std::string& aService, const std::string& aHash);

/** JSON text of a service, as it is stored. */
std::string
EncodeContent(const ServiceConfig& aService);

/** The service in a stored text. */
Result<ServiceConfig>
DecodeContent(const std::string& aKey, const std::string& aText);

/** Hash that names a content. */
std::string
ContentHash(const std::string& aText);

} // namespace bilberryfield
