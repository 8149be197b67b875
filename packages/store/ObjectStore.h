#pragma once

#include "Error.h"
#include "StorePosition.h"
#include "Time.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace bilberryfield {

/** The value of an object and the position of its last change. */
struct StoredObject
{
  std::string m_value;
  StorePosition m_position;

  bool operator==(const StoredObject&) const = default;
};

/** The object, or nullopt when the key does not exist. */
using FoundObject = std::optional<StoredObject>;

/** Whether a conditional write took effect. */
enum class PutOutcome : uint8_t
{
  Stored,
  Conflict, /**< The object's position differs from the expected one. */
};

/**
 * The platform's object API. A write whose call failed may still have taken
 * effect. Put with an unknown position succeeds only if the object does not
 * exist. Era returns the latest era that an answer has shown, or 0.
 */
template<typename Store>
concept ObjectStore = requires(Store aStore,
                               const std::string& aKey,
                               const std::string& aValue,
                               const StorePosition& aExpected)
{
  {
    aStore.Get(aKey)
    } -> std::same_as<Result<FoundObject>>;
  {
    aStore.Put(aKey, aValue, aExpected)
    } -> std::same_as<Result<PutOutcome>>;
  {
    aStore.Era()
    } -> std::same_as<uint64_t>;
};

} // namespace bilberryfield
