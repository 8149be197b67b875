#pragma once

#include "HttpClient.h"
#include "ObjectStore.h"

namespace bilberryfield {

/** The platform's object API over HTTP; its calls wait for the answer. */
class PlatformClient
{
public:
  /** aAddress is the IP and port of the API. */
  explicit PlatformClient(std::string aAddress);

  /** The object under a key. */
  Result<FoundObject> Get(const std::string& aKey);

  /** Writes the object if it still has the expected version. */
  Result<PutEnd> Put(const std::string& aKey,
                     const std::string& aValue,
                     uint64_t aExpectedVersion);

  /**
   * Waits until the object has another version than aSeen, at most aWait.
   * Returns nothing when it has not changed.
   */
  Result<FoundObject> Watch(const std::string& aKey,
                            uint64_t aSeen,
                            Duration aWait);

  /** Keys that start with a prefix, sorted. */
  Result<std::vector<std::string>> List(const std::string& aPrefix);

private:
  Result<HttpResult> Call(HttpCall aCall);
  Result<FoundObject> ReadObject(const HttpResult& aResult);

  std::string m_address;
  HttpClient m_client;
};

static_assert(ObjectStore<PlatformClient>);

} // namespace bilberryfield
