#pragma once

#include "ObjectStore.h"

#include <functional>
#include <map>

namespace bilberryfield {

/** Fault injected into one call of a FakeStore. */
enum class StoreFault : uint8_t
{
  None,
  Outage,       /**< The call fails and has no effect. */
  LostResponse, /**< The call fails after it took effect. */
  StaleRead,    /**< A read returns the previous version. */
};

/** In-memory ObjectStore with fault injection. */
class FakeStore
{
public:
  /** Runs before each call and returns its fault; may call the store. */
  std::function<StoreFault()> m_onCall = [] { return StoreFault::None; };

  Result<FoundObject> Get(const std::string& aKey)
  {
    StoreFault fault = m_onCall();
    if (fault == StoreFault::Outage || fault == StoreFault::LostResponse) {
      return Failure(Step::CallPlatform, "fake", "outage");
    }
    auto& versions = m_objects[aKey];
    size_t versionsBack = fault == StoreFault::StaleRead ? 2 : 1;
    if (versions.size() < versionsBack) {
      return FoundObject{};
    }
    return FoundObject(versions[versions.size() - versionsBack]);
  }

  Result<PutOutcome> Put(const std::string& aKey,
                         const std::string& aValue,
                         const StorePosition& aExpected)
  {
    StoreFault fault = m_onCall();
    if (fault == StoreFault::Outage) {
      return Failure(Step::CallPlatform, "fake", "outage");
    }
    auto& versions = m_objects[aKey];
    StorePosition current =
      versions.empty() ? StorePosition{} : versions.back().m_position;
    bool isStored = current == aExpected;
    if (isStored) {
      versions.push_back({ aValue, { m_era, current.m_revision + 1 } });
    }
    if (fault == StoreFault::LostResponse) {
      return Failure(Step::CallPlatform, "fake", "response lost");
    }
    return isStored ? PutOutcome::Stored : PutOutcome::Conflict;
  }

  uint64_t Era() const { return m_era; }

  /** Keeps a copy of all objects, to which Restore goes back. */
  void TakeCopy() { m_copy = m_objects; }

  /** Goes back to the copy in a new era; revisions are given out again. */
  void Restore()
  {
    m_objects = m_copy;
    m_era += 1;
    for (auto& [key, versions] : m_objects) {
      for (StoredObject& object : versions) {
        object.m_position.m_era = m_era;
      }
    }
  }

private:
  uint64_t m_era = 1;
  std::map<std::string, std::vector<StoredObject>> m_copy;
  std::map<std::string, std::vector<StoredObject>> m_objects;
};

static_assert(ObjectStore<FakeStore>);

} // namespace bilberryfield
