#pragma once

#include "Messages.h"

namespace bilberryfield {

/** What a flow token states; any balancer can act on it alone. */
struct FlowToken
{
  std::string m_service;
  Binding m_binding;

  bool operator==(const FlowToken&) const = default;
};

/** Text form of a token, authenticated with the first key. Needs a key. */
std::string
SealFlowToken(const std::vector<TokenKey>& aKeys, const FlowToken& aToken);

/** The token in a text, or why it cannot be trusted. */
Result<FlowToken>
OpenFlowToken(const std::vector<TokenKey>& aKeys, const std::string& aText);

/** A key made from 32 bytes that the caller draws at random. */
TokenKey
MakeTokenKey(uint32_t aId, std::string_view aRandomBytes);

} // namespace bilberryfield
