#pragma once

#include "ServiceConfig.h"

#include <map>
#include <memory>

namespace bilberryfield {

/** A secret that authenticates flow tokens. */
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

/** A service as of the configuration version that last changed it. */
struct ServiceEntry
{
  ServiceConfig m_config;
  uint64_t m_changedAt = 0;
  /** The service was withdrawn at m_changedAt; only its name remains. */
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

/** The services that changed between two configuration versions. */
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

/** One whole configuration; never changed after it was made. */
struct ConfigSnapshot
{
  uint64_t m_version = 0;
  std::string m_publishId;
  std::string m_publisher;
  /** The first key seals; every key opens. */
  std::vector<TokenKey> m_keys;
  /** By service name, withdrawn services included. */
  std::map<std::string, ServiceEntry> m_services;
  /** Service name by the address that callers use. */
  std::map<std::string, std::string> m_byAddress;

  /** Service at an address, or nullptr. */
  const ServiceConfig* FindByAddress(const std::string& aAddress) const;

  /** Service with a name, or nullptr when unknown or withdrawn. */
  const ServiceConfig* FindByName(const std::string& aName) const;

  /** What a node at aVersion lacks. */
  ConfigDelta DeltaSince(uint64_t aVersion) const;
};

using ConfigPointer = std::shared_ptr<const ConfigSnapshot>;

/** What became of a configuration change offered to a node. */
enum class ApplyResult : uint8_t
{
  Applied,
  NotNewer, /**< The node already has this version or a later one. */
  Gap,      /**< The delta starts after the node's version. */
};

/** The configuration in force at one node; its version only grows. */
class ConfigState
{
public:
  ConfigState();

  /** The configuration in force. */
  const ConfigPointer& Current() const { return m_current; }

  /** Takes a delta into force if it leads to a later version. */
  ApplyResult Apply(const ConfigDelta& aDelta);

private:
  ConfigPointer m_current;
};

} // namespace bilberryfield
