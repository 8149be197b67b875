#pragma once

#include "ServiceConfig.h"

#include <map>
#include <memory>

namespace bilberryfield {

/** A secret key that authenticates flow tokens. */
struct TokenKey
{
  uint32_t m_id = 0;
  /** Hexadecimal; 32 bytes. */
  std::string m_secret;

  bool operator==(const TokenKey&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("i", aSelf.m_id);
    aVisitor("s", aSelf.m_secret);
  }
};

/** A service and the configuration version that last changed it. */
struct ServiceEntry
{
  ServiceConfig m_config;
  uint64_t m_changedAt = 0;
  /** The service was removed at m_changedAt; only its name is kept. */
  bool m_removed = false;

  bool operator==(const ServiceEntry&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("c", aSelf.m_config);
    aVisitor("v", aSelf.m_changedAt);
    aVisitor("x", aSelf.m_removed);
  }
};

/** The changes between two configuration versions; all keys are included. */
struct ConfigDelta
{
  uint64_t m_fromVersion = 0;
  uint64_t m_toVersion = 0;
  std::string m_publishId;
  std::string m_publisher;
  std::vector<TokenKey> m_keys;
  std::vector<ServiceEntry> m_entries;

  bool operator==(const ConfigDelta&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_fromVersion);
    aVisitor("t", aSelf.m_toVersion);
    aVisitor("p", aSelf.m_publishId);
    aVisitor("w", aSelf.m_publisher);
    aVisitor("k", aSelf.m_keys);
    aVisitor("e", aSelf.m_entries);
  }
};

/** An immutable configuration. */
struct ConfigSnapshot
{
  uint64_t m_version = 0;
  std::string m_publishId;
  std::string m_publisher;
  /** The first key authenticates new tokens; every key is accepted. */
  std::vector<TokenKey> m_keys;
  /** By service name, including removed services. */
  std::map<std::string, ServiceEntry> m_services;
  /** Service names by service address. */
  std::map<std::string, std::string> m_byAddress;

  /** The service at an address, or nullptr. */
  const ServiceConfig* FindByAddress(const std::string& aAddress) const;

  /** The service with a name, or nullptr if unknown or removed. */
  const ServiceConfig* FindByName(const std::string& aName) const;

  /** The changes that a node at aVersion needs. */
  ConfigDelta DeltaSince(uint64_t aVersion) const;
};

using ConfigPointer = std::shared_ptr<const ConfigSnapshot>;

/** Result of applying a configuration change. */
enum class ApplyResult : uint8_t
{
  Applied,
  NotNewer, /**< The current version is the same or later. */
  Gap,      /**< The delta starts after the current version. */
};

/** The current configuration of a node; its version only increases. */
class ConfigState
{
public:
  ConfigState();

  /** The current configuration. */
  const ConfigPointer& Current() const { return m_current; }

  /** Applies a delta if it leads to a later version. */
  ApplyResult Apply(const ConfigDelta& aDelta);

private:
  ConfigPointer m_current;
};

} // namespace bilberryfield
