#include "PlatformClient.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace bilberryfield {

namespace {

constexpr Duration kCallTimeout = Seconds(3);
constexpr uint16_t kOk = 200;
constexpr uint16_t kCreated = 201;
constexpr uint16_t kNotModified = 304;
constexpr uint16_t kNotFound = 404;
constexpr uint16_t kPreconditionFailed = 412;

std::string
PathOf(const std::string& aKey)
{
  return "/objects/" + aKey;
}

} // namespace

PlatformClient::PlatformClient(std::string aAddress)
  : m_address(std::move(aAddress))
  , m_client(HttpClientOptions{})
{
}

Result<HttpResult>
PlatformClient::Call(HttpCall aCall)
{
  aCall.m_host = m_address;
  std::string what = aCall.m_method + " " + aCall.m_path;
  HttpResult result = m_client.SendAndWait(aCall);
  if (result.m_end != HttpEnd::Answered) {
    return Failure(Step::CallPlatform, m_address, what + ": " + result.m_body);
  }
  bool isExpected = result.m_status == kOk || result.m_status == kCreated ||
                    result.m_status == kNotModified ||
                    result.m_status == kNotFound ||
                    result.m_status == kPreconditionFailed;
  if (!isExpected) {
    return Failure(Step::CallPlatform,
                   m_address,
                   what + ": status " + std::to_string(result.m_status));
  }
  return result;
}

Result<FoundObject>
PlatformClient::ReadObject(const HttpResult& aResult)
{
  if (aResult.m_status != kOk) {
    return FoundObject{};
  }
  StoredObject object{ aResult.m_body, 0 };
  std::string tag = aResult.Header("etag");
  auto parsed =
    std::from_chars(tag.data(), tag.data() + tag.size(), object.m_version);
  if (parsed.ec != std::errc() || object.m_version == 0) {
    return Failure(
      Step::CallPlatform, m_address, "object without a version: " + tag);
  }
  return FoundObject(std::move(object));
}

Result<FoundObject>
PlatformClient::Get(const std::string& aKey)
{
  HttpCall call;
  call.m_path = PathOf(aKey);
  call.m_timeout = kCallTimeout;
  return Call(std::move(call)).and_then([this](const HttpResult& aResult) {
    return ReadObject(aResult);
  });
}

Result<FoundObject>
PlatformClient::Watch(const std::string& aKey, uint64_t aSeen, Duration aWait)
{
  HttpCall call;
  call.m_path = PathOf(aKey) + "?watch=" + std::to_string(aSeen) +
                "&wait_ms=" + std::to_string(ToMilliseconds(aWait));
  call.m_timeout = aWait + kCallTimeout;
  return Call(std::move(call)).and_then([this](const HttpResult& aResult) {
    return ReadObject(aResult);
  });
}

Result<PutEnd>
PlatformClient::Put(const std::string& aKey,
                    const std::string& aValue,
                    uint64_t aExpectedVersion)
{
  HttpCall call;
  call.m_method = "PUT";
  call.m_path = PathOf(aKey);
  call.m_headers = { { "If-Match", std::to_string(aExpectedVersion) } };
  call.m_body = aValue;
  call.m_timeout = kCallTimeout;
  Result<HttpResult> result = Call(std::move(call));
  if (!result) {
    return tl::unexpected(result.error());
  }
  return result->m_status == kPreconditionFailed ? PutEnd::Conflict
                                                 : PutEnd::Stored;
}

Result<std::vector<std::string>>
PlatformClient::List(const std::string& aPrefix)
{
  HttpCall call;
  call.m_path = "/list?prefix=" + aPrefix;
  call.m_timeout = kCallTimeout;
  Result<HttpResult> result = Call(std::move(call));
  if (!result) {
    return tl::unexpected(result.error());
  }
  nlohmann::json names = nlohmann::json::parse(result->m_body, nullptr, false);
  if (!names.is_array()) {
    return Failure(Step::CallPlatform, m_address, "malformed list");
  }
  return names.get<std::vector<std::string>>();
}

} // namespace bilberryfield
