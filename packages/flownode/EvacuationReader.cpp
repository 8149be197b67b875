#include "EvacuationReader.h"

#include <utility>

namespace bilberryfield {

namespace {

bool
IsReadable(const StoreObject& aObject)
{
  auto content = nlohmann::json::parse(aObject.m_content, nullptr, false);
  return !aObject.m_name.empty() && (content.is_object() || content.is_null());
}

} // namespace

EvacuationReading
EvacuationReader::Read(const StoreWatcher::Objects& aObjects,
                       const StorePosition& aPosition)
{
  EvacuationReading reading;
  reading.m_set.m_position = aPosition;
  std::set<std::string> domains;
  std::map<std::string, StorePosition> unreadable;
  for (const auto& [name, object] : aObjects) {
    bool isReadable = IsReadable(object);
    if (isReadable || m_domains.contains(name)) {
      domains.insert(name);
    }
    if (isReadable) {
      continue;
    }
    unreadable[name] = object.m_position;
    auto known = m_unreadable.find(name);
    if (known == m_unreadable.end() || known->second != object.m_position) {
      reading.m_rejected.push_back(name);
    }
  }
  reading.m_set.m_domains.assign(domains.begin(), domains.end());
  m_domains = std::move(domains);
  m_unreadable = std::move(unreadable);
  return reading;
}

} // namespace bilberryfield
