#include "ConfigState.h"

namespace bilberryfield {

const ServiceConfig*
ConfigSnapshot::FindByAddress(const std::string& aAddress) const
{
  auto found = m_byAddress.find(aAddress);
  return found == m_byAddress.end() ? nullptr : FindByName(found->second);
}

const ServiceConfig*
ConfigSnapshot::FindByName(const std::string& aName) const
{
  auto found = m_services.find(aName);
  if (found == m_services.end() || found->second.m_removed) {
    return nullptr;
  }
  return &found->second.m_config;
}

ConfigDelta
ConfigSnapshot::DeltaSince(uint64_t aVersion) const
{
  ConfigDelta delta{
    aVersion, m_version, m_publishId, m_publisher, m_keys, {}
  };
  for (const auto& [name, entry] : m_services) {
    if (entry.m_changedAt > aVersion) {
      delta.m_entries.push_back(entry);
    }
  }
  return delta;
}

ConfigState::ConfigState()
  : m_current(std::make_shared<ConfigSnapshot>())
{
}

ApplyResult
ConfigState::Apply(const ConfigDelta& aDelta)
{
  if (aDelta.m_toVersion <= m_current->m_version) {
    return ApplyResult::NotNewer;
  }
  if (aDelta.m_fromVersion > m_current->m_version) {
    return ApplyResult::Gap;
  }
  auto next = std::make_shared<ConfigSnapshot>(*m_current);
  next->m_version = aDelta.m_toVersion;
  next->m_publishId = aDelta.m_publishId;
  next->m_publisher = aDelta.m_publisher;
  next->m_keys = aDelta.m_keys;
  for (const ServiceEntry& entry : aDelta.m_entries) {
    next->m_services[entry.m_config.m_name] = entry;
  }
  next->m_byAddress.clear();
  for (const auto& [name, entry] : next->m_services) {
    if (!entry.m_removed) {
      next->m_byAddress[entry.m_config.m_address] = name;
    }
  }
  m_current = std::move(next);
  return ApplyResult::Applied;
}

} // namespace bilberryfield
