#include "FlowToken.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

std::vector<TokenKey>
Keys(char aByte)
{
  return { MakeTokenKey(static_cast<uint32_t>(aByte), std::string(32, aByte)) };
}

FlowToken
AnyToken()
{
  return { *rc::gen::arbitrary<std::string>(),
           { *rc::gen::nonEmpty<std::string>(),
             "127.0.0.1:1",
             *rc::gen::arbitrary<uint64_t>(),
             *rc::gen::arbitrary<uint64_t>() } };
}

} // namespace

Test(FlowToken, OpensToTheSealedValue)
{
  cr_assert(rc::check("a sealed token opens to the same token", [] {
    FlowToken token = AnyToken();
    // CBOR text must be UTF-8. Service names always are, because they are read
    // from JSON.
    token.m_service =
      *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    token.m_binding.m_server = "server";
    Result<FlowToken> opened =
      OpenFlowToken(Keys('a'), SealFlowToken(Keys('a'), token));
    RC_ASSERT(opened.has_value());
    RC_ASSERT(*opened == token);
  }));
}

Test(FlowToken, RejectsAnyAlteredByte)
{
  cr_assert(rc::check("a token with one changed character is rejected", [] {
    FlowToken token{ "catalogue", { "server", "127.0.0.1:1", 7, 9 } };
    std::string sealed = SealFlowToken(Keys('a'), token);
    size_t place = *rc::gen::inRange<size_t>(0, sealed.size());
    sealed[place] = sealed[place] == 'A' ? 'B' : 'A';
    Result<FlowToken> opened = OpenFlowToken(Keys('a'), sealed);
    // The last base64 character has unused bits, so that a changed one may
    // decode to the same bytes.
    RC_ASSERT(!opened || *opened == token);
    if (place + 1 < sealed.size()) {
      RC_ASSERT(!opened);
    }
  }));
}

Test(FlowToken, OpensWithAnEarlierKeyOnly)
{
  FlowToken token{ "catalogue", { "server", "127.0.0.1:1", 7, 9 } };
  std::string sealed = SealFlowToken(Keys('a'), token);
  std::vector<TokenKey> rotated = { Keys('b')[0], Keys('a')[0] };
  cr_assert(OpenFlowToken(rotated, sealed).has_value());
  cr_assert(!OpenFlowToken(Keys('b'), sealed).has_value());
}
