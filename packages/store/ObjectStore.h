#pragma once

#include "Error.h"
#include "Time.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace bilberryfield {

/** An object of the platform with the version that it was read at. */
struct StoredObject
{
  std::string m_value;
  uint64_t m_version = 0;

  bool operator==(const StoredObject&) const = default;
};

/** An object, or nothing when there is none under the key. */
using FoundObject = std::optional<StoredObject>;

/** Whether a conditional write took effect. */
enum class PutOutcome : uint8_t
{
  Stored,
  Conflict, /**< The object has another version than the write expected. */
};

/**
 * The platform's object API. A failed call says nothing about a write: it may
 * have taken effect. An expected version of 0 means that there is no object.
 */
template<typename Store>
concept ObjectStore = requires(Store aStore,
                               const std::string& aKey,
                               const std::string& aValue,
                               uint64_t aExpectedVersion)
{
  {
    aStore.Get(aKey)
    } -> std::same_as<Result<FoundObject>>;
  {
    aStore.Put(aKey, aValue, aExpectedVersion)
    } -> std::same_as<Result<PutOutcome>>;
};

} // namespace bilberryfield
