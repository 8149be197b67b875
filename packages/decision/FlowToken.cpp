#include "FlowToken.h"

#include <sodium.h>

namespace bilberryfield {

namespace {

constexpr int kBase64 = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr size_t kMaxTokenBytes = 1024;

using Mac = std::array<unsigned char, crypto_auth_BYTES>;
using Secret = std::array<unsigned char, crypto_auth_KEYBYTES>;
using Bytes = std::vector<uint8_t>;

bool
ReadSecret(const TokenKey& aKey, Secret& aSecret)
{
  size_t length = 0;
  int failed = sodium_hex2bin(aSecret.data(),
                              aSecret.size(),
                              aKey.m_secret.data(),
                              aKey.m_secret.size(),
                              nullptr,
                              &length,
                              nullptr);
  return failed == 0 && length == aSecret.size();
}

const TokenKey*
FindKey(const std::vector<TokenKey>& aKeys, uint32_t aId)
{
  for (const TokenKey& key : aKeys) {
    if (key.m_id == aId) {
      return &key;
    }
  }
  return nullptr;
}

tl::unexpected<StepError>
InvalidToken(const std::string& aDetail)
{
  return Failure(Step::OpenToken, "caller", aDetail);
}

Result<FlowToken>
ReadPayload(const nlohmann::json& aPayload)
{
  try {
    return FlowToken{ aPayload.at(1).get<std::string>(),
                      Binding{ aPayload.at(2).get<std::string>(),
                               aPayload.at(3).get<std::string>(),
                               aPayload.at(4).get<uint64_t>(),
                               aPayload.at(5).get<uint64_t>() } };
  } catch (const nlohmann::json::exception& error) {
    return InvalidToken(error.what());
  }
}

} // namespace

TokenKey
MakeTokenKey(uint32_t aId, std::string_view aRandomBytes)
{
  BILBERRY_ASSERT(aRandomBytes.size() == crypto_auth_KEYBYTES,
                  aRandomBytes.size() << " bytes for a token key of 32");
  std::string hex(aRandomBytes.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(),
                 hex.size(),
                 reinterpret_cast<const unsigned char*>(aRandomBytes.data()),
                 aRandomBytes.size());
  hex.pop_back();
  return { aId, std::move(hex) };
}

std::string
SealFlowToken(const std::vector<TokenKey>& aKeys, const FlowToken& aToken)
{
  Secret secret;
  BILBERRY_ASSERT(!aKeys.empty(), "the configuration has no token key");
  BILBERRY_ASSERT(ReadSecret(aKeys.front(), secret),
                  "token key " << aKeys.front().m_id << " is malformed");
  const Binding& binding = aToken.m_binding;
  Bytes sealed =
    nlohmann::json::to_cbor(nlohmann::json::array({ aKeys.front().m_id,
                                                    aToken.m_service,
                                                    binding.m_server,
                                                    binding.m_address,
                                                    binding.m_incarnation,
                                                    binding.m_flow }));
  Mac mac;
  crypto_auth(mac.data(), sealed.data(), sealed.size(), secret.data());
  sealed.insert(sealed.end(), mac.begin(), mac.end());
  std::string text(sodium_base64_ENCODED_LEN(sealed.size(), kBase64), '\0');
  sodium_bin2base64(
    text.data(), text.size(), sealed.data(), sealed.size(), kBase64);
  text.pop_back();
  return text;
}

Result<FlowToken>
OpenFlowToken(const std::vector<TokenKey>& aKeys, const std::string& aText)
{
  Bytes sealed(kMaxTokenBytes);
  size_t length = 0;
  int failed = sodium_base642bin(sealed.data(),
                                 sealed.size(),
                                 aText.data(),
                                 aText.size(),
                                 nullptr,
                                 &length,
                                 nullptr,
                                 kBase64);
  if (failed != 0 || length <= crypto_auth_BYTES) {
    return InvalidToken("not a flow token");
  }
  size_t payloadLength = length - crypto_auth_BYTES;
  Bytes payloadBytes(sealed.begin(),
                     sealed.begin() + static_cast<ptrdiff_t>(payloadLength));
  nlohmann::json payload = nlohmann::json::from_cbor(payloadBytes, true, false);
  if (!payload.is_array() || payload.size() != 6 ||
      !payload[0].is_number_unsigned()) {
    return InvalidToken("not a flow token");
  }
  const TokenKey* key = FindKey(aKeys, payload[0].get<uint32_t>());
  Secret secret;
  if (!key || !ReadSecret(*key, secret)) {
    return InvalidToken("the configuration does not contain the token's key");
  }
  if (crypto_auth_verify(&sealed[payloadLength],
                         payloadBytes.data(),
                         payloadBytes.size(),
                         secret.data()) != 0) {
    return InvalidToken("the token's authentication code is wrong");
  }
  return ReadPayload(payload);
}

} // namespace bilberryfield
