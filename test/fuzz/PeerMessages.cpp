#include "Codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

MemberRecord
SampleRecord()
{
  MemberRecord record;
  record.m_id = "agent-1";
  record.m_address = "10.0.0.1:1";
  record.m_labels = { "catalogue" };
  record.m_suspectedBy = { { "balancer-1", "domain-1" } };
  return record;
}

std::vector<PeerMessage>
OneMessageOfEachKind()
{
  Forward forward;
  forward.m_service = "catalogue";
  forward.m_request = { "GET", "/", "", std::string("\0\xff", 2) };
  Answer answer;
  answer.m_answer = { 200, "text/plain", "body" };
  return { forward,
           Cancel{ 7 },
           answer,
           Heartbeat{ SampleRecord(), 3, 5 },
           HeartbeatReply{ { "10.0.0.2:1" }, { SampleRecord() }, 4 },
           Gossip{ "10.0.0.2:1", { SampleRecord() }, 4 },
           SyncDigest{ "10.0.0.2:1", { 1, 2, 3 } },
           SyncRecords{ "10.0.0.2:1", 2, { 1 }, { SampleRecord() }, true },
           ConfigRequest{ 9 },
           ConfigDelta{ 1, 2, "id", "who", { { 1, "ab" } }, {} } };
}

} // namespace

Test(PeerMessages, RoundTripThroughCodec)
{
  for (const PeerMessage& message : OneMessageOfEachKind()) {
    std::string bytes = EncodeMessage(message);
    Result<PeerMessage> decoded = DecodeMessage(bytes, "peer");
    cr_assert(decoded.has_value());
    cr_assert(decoded->index() == message.index());
    cr_assert(EncodeMessage(*decoded) == bytes);
  }
}

Test(PeerMessages, DamagedBytesDecodeToErrorOrValidMessage)
{
  cr_assert(rc::check("damaged bytes give an error or a whole message", [] {
    auto messages = OneMessageOfEachKind();
    std::string bytes =
      EncodeMessage(messages[*rc::gen::inRange<size_t>(0, messages.size())]);
    int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      size_t place = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[place] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    Result<PeerMessage> decoded = DecodeMessage(bytes, "peer");
    if (decoded) {
      RC_ASSERT(DecodeMessage(EncodeMessage(*decoded), "peer").has_value());
    } else {
      RC_ASSERT(decoded.error().m_peer == "peer");
    }
  }));
}

Test(PeerMessages, UnknownEnumeratorsAreRejected)
{
  Answer answer;
  answer.m_reason = static_cast<RefusalReason>(200);
  cr_assert(!DecodeMessage(EncodeMessage(answer), "peer").has_value());
  MemberRecord record = SampleRecord();
  record.m_state = static_cast<MemberState>(9);
  cr_assert(!DecodeMessage(EncodeMessage(Heartbeat{ record, 1, 1 }), "peer")
               .has_value());
}
