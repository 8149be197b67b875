#pragma once

#include <absl/container/flat_hash_map.h>
#include <utility>

namespace bilberryfield {

/**
 * A map that forgets entries which were not used for one to two periods,
 * without a timer for each entry.
 */
template<typename Key, typename Value>
class GenerationMap
{
public:
  /** aMaxEntries bounds each generation; a full one ends early. */
  explicit GenerationMap(size_t aMaxEntries)
    : m_maxEntries(aMaxEntries)
  {
  }

  /** The value of a key, or nullptr. Valid until the next call. */
  Value* Find(const Key& aKey)
  {
    if (auto found = m_young.find(aKey); found != m_young.end()) {
      return &found->second;
    }
    auto found = m_old.find(aKey);
    if (found == m_old.end()) {
      return nullptr;
    }
    Value value = std::move(found->second);
    m_old.erase(found);
    return &Insert(aKey, std::move(value));
  }

  /** Sets the value of a key. The reference is valid until the next call. */
  Value& Insert(const Key& aKey, Value aValue)
  {
    m_old.erase(aKey);
    if (m_young.size() >= m_maxEntries && !m_young.contains(aKey)) {
      EndPeriod();
    }
    return m_young.insert_or_assign(aKey, std::move(aValue)).first->second;
  }

  void Erase(const Key& aKey)
  {
    m_young.erase(aKey);
    m_old.erase(aKey);
  }

  /** Forgets what was not used since the period before ended. */
  void EndPeriod()
  {
    m_old = std::move(m_young);
    m_young.clear();
  }

  size_t Size() const { return m_young.size() + m_old.size(); }

private:
  size_t m_maxEntries;
  absl::flat_hash_map<Key, Value> m_young;
  absl::flat_hash_map<Key, Value> m_old;
};

} // namespace bilberryfield
