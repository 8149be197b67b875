#pragma once

#include "Messages.h"

namespace bilberryfield {

/** Contents of a flow token, sufficient for any balancer to route the flow. */
struct FlowToken
{
  std::string m_service;
  Binding m_binding;

  bool operator==(const FlowToken&) const = default;
};

/** Encodes a token, authenticated with the first key; aKeys is not empty. */
std::string
SealFlowToken(const std::vector<TokenKey>& aKeys, const FlowToken& aToken);

/** Verifies and decodes a token; an error if it is malformed or forged. */
Result<FlowToken>
OpenFlowToken(const std::vector<TokenKey>& aKeys, const std::string& aText);

/** A key from 32 random bytes. */
TokenKey
MakeTokenKey(uint32_t aId, std::string_view aRandomBytes);

} // namespace bilberryfield
