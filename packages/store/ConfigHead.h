#pragma once

#include "ConfigState.h"
#include "ObjectStore.h"

namespace bilberryfield {

/** Key of the object that determines the accepted configuration. */
inline constexpr const char* kConfigHeadKey = "config/head";

/** History entry of an accepted publish. */
struct PublishRecord
{
  uint64_t m_version = 0;
  std::string m_publishId;
  std::string m_publisher;
  /** Names of the services that were changed or withdrawn. */
  std::vector<std::string> m_changed;

  bool operator==(const PublishRecord&) const = default;
};

/** Records that a head keeps; earlier ones are dropped. */
inline constexpr size_t kMaxHistory = 64;

/** A service's entry in the head, which refers to its stored content. */
struct HeadEntry
{
  std::string m_contentHash;
  /** IP and port that callers use; unique among the services in force. */
  std::string m_address;
  /** Version of the head that last changed or withdrew the service. */
  uint64_t m_changedAt = 0;
  bool m_removed = false;

  bool operator==(const HeadEntry&) const = default;
};

/** The accepted configuration: its version and references to the contents of
 * its services. */
struct ConfigHead
{
  uint64_t m_version = 0;
  std::vector<TokenKey> m_keys;
  std::map<std::string, HeadEntry> m_services;
  /** The most recent publishes, newest first. */
  std::vector<PublishRecord> m_history;

  bool operator==(const ConfigHead&) const = default;
};

/** Returns the record of a publish id in the head's history, or nullptr. */
const PublishRecord*
FindPublish(const ConfigHead& aHead, const std::string& aPublishId);

/** Puts a record first in the head's history, which is kept short. */
void
AddRecord(ConfigHead& aHead, PublishRecord aRecord);

/**
 * The version that follows the head's in a store of an era. Each era has a
 * range of its own, so it lies above all versions that a restoration may have
 * lost.
 */
uint64_t
NextVersion(const ConfigHead& aHead, uint64_t aEra);

/** Encodes a head as JSON text. */
std::string
EncodeHead(const ConfigHead& aHead);

/** Decodes a head from JSON text. */
Result<ConfigHead>
DecodeHead(const std::string& aText);

/** Key of the object that holds a service's content. */
std::string
ContentKey(const std::string& aService, const std::string& aHash);

/** Encodes a service as JSON text. */
std::string
EncodeContent(const ServiceConfig& aService);

/** Decodes a service from JSON text; aKey identifies it in the error. */
Result<ServiceConfig>
DecodeContent(const std::string& aKey, const std::string& aText);

/** Hash of an encoded service, in hexadecimal. */
std::string
ContentHash(const std::string& aText);

} // namespace bilberryfield
