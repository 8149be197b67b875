#pragma once

#include <absl/container/flat_hash_map.h>
#include <utility>

namespace bilberryfield {

/**
 * A map that evicts entries which were not accessed for one to two generations,
 * without a timer for each entry. Entries move from the previous generation to
 * the current one when they are accessed.
 */
template<typename Key, typename Value>
class GenerationMap
{
public:
  /** aMaxEntries bounds each generation; a full one is ended early. */
  explicit GenerationMap(size_t aMaxEntries)
    : m_maxEntries(aMaxEntries)
  {
  }

  /** Returns the value of a key, or nullptr. Valid until the next call. */
  Value* Find(const Key& aKey)
  {
    if (auto found = m_current.find(aKey); found != m_current.end()) {
      return &found->second;
    }
    auto found = m_previous.find(aKey);
    if (found == m_previous.end()) {
      return nullptr;
    }
    Value value = std::move(found->second);
    m_previous.erase(found);
    return &Insert(aKey, std::move(value));
  }

  /** Sets the value of a key. The reference is valid until the next call. */
  Value& Insert(const Key& aKey, Value aValue)
  {
    m_previous.erase(aKey);
    if (m_current.size() >= m_maxEntries && !m_current.contains(aKey)) {
      m_hasEndedEarly = true;
      StartGeneration();
    }
    return m_current.insert_or_assign(aKey, std::move(aValue)).first->second;
  }

  void Erase(const Key& aKey)
  {
    m_current.erase(aKey);
    m_previous.erase(aKey);
  }

  /** Evicts the entries that were not accessed since the last call. */
  void StartGeneration()
  {
    m_previous = std::move(m_current);
    m_current.clear();
  }

  /** True once after a generation was ended early, so that entries may be
   * missing which were accessed in this generation or the last one. */
  bool TakeEndedEarly() { return std::exchange(m_hasEndedEarly, false); }

  size_t Size() const { return m_current.size() + m_previous.size(); }

private:
  size_t m_maxEntries;
  bool m_hasEndedEarly = false;
  absl::flat_hash_map<Key, Value> m_current;
  absl::flat_hash_map<Key, Value> m_previous;
};

} // namespace bilberryfield
