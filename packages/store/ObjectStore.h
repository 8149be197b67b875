#pragma once

#include "Error.h"
#include "Time.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace bilberryfield {

/** The value of an object and the version at which it was read. */
struct StoredObject
{
  std::string m_value;
  uint64_t m_version = 0;

  bool operator==(const StoredObject&) const = default;
};

/** The object, or nullopt when the key does not exist. */
using FoundObject = std::optional<StoredObject>;

/** Whether a conditional write took effect. */
enum class PutOutcome : uint8_t
{
  Stored,
  Conflict, /**< The object's version differs from the expected one. */
};

/**
 * The platform's object API. A write whose call failed may still have taken
 * effect. Put with an expected version of 0 succeeds only if the object does
 * not exist.
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
