#include "AgentEntryCodec.h"
#include "FlowCodec.h"
#include "HeartbeatCodec.h"
#include "OperatorConfig.h"
#include "PacketCodec.h"
#include "PeerSync.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

std::vector<uint8_t>
MakePacket()
{
  PacketHeader header;
  header.m_source = { 0x64400007, 40001 };
  header.m_destination = { 0xC6120001, 443 };
  header.m_flags = kAck;
  header.m_seq = 0x11223344;
  header.m_length = 20;
  HeaderBytes head = EncodeHeader(header);
  std::vector<uint8_t> bytes(head.begin(), head.end());
  bytes.resize(bytes.size() + header.m_length);
  return bytes;
}

// Returns a copy with some bytes changed, deleted or duplicated.
std::string
CorruptCopy(std::string aText)
{
  int changes = *rc::gen::inRange(1, 8);
  for (int i = 0; i < changes && !aText.empty(); ++i) {
    size_t place = *rc::gen::inRange<size_t>(0, aText.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        aText[place] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        aText.erase(place, *rc::gen::inRange<size_t>(1, 10));
        break;
      default:
        aText.insert(place, aText.substr(0, place));
        break;
    }
  }
  return aText;
}

} // namespace

Test(WireFormats, PacketHeaderRoundTrips)
{
  cr_assert(rc::check("header round trip", [] {
    PacketHeader header;
    header.m_source = { *rc::gen::arbitrary<uint32_t>(),
                        *rc::gen::arbitrary<uint16_t>() };
    header.m_destination = { *rc::gen::arbitrary<uint32_t>(),
                             *rc::gen::arbitrary<uint16_t>() };
    header.m_flags = *rc::gen::inRange<uint8_t>(0, 32);
    header.m_seq = *rc::gen::arbitrary<uint32_t>();
    header.m_ack = *rc::gen::arbitrary<uint32_t>();
    header.m_tag = *rc::gen::arbitrary<uint32_t>();
    header.m_mark = *rc::gen::inRange<uint32_t>(0, 1U << 24U);
    HeaderBytes bytes = EncodeHeader(header);
    std::optional<PacketHeader> decoded = DecodeHeader(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->m_source == header.m_source);
    RC_ASSERT(decoded->m_destination == header.m_destination);
    RC_ASSERT(decoded->m_flags == header.m_flags);
    RC_ASSERT(decoded->m_seq == header.m_seq);
    RC_ASSERT(decoded->m_ack == header.m_ack);
    RC_ASSERT(decoded->m_tag == header.m_tag);
    RC_ASSERT(decoded->m_mark == header.m_mark);
  }));
}

Test(WireFormats, PacketsOfAWrongLengthAreRejected)
{
  std::vector<uint8_t> encoded = MakePacket();
  cr_assert(DecodeHeader(encoded).has_value());
  for (size_t size = 0; size < encoded.size(); ++size) {
    cr_assert_not(DecodeHeader({ encoded.data(), size }).has_value());
  }
  encoded.push_back(0);
  cr_assert_not(DecodeHeader(encoded).has_value());
}

Test(WireFormats, UnknownFlagsAreRejected)
{
  constexpr size_t kFlagsOffset = 12;
  for (uint8_t flag : { 16, 64, 128 }) {
    std::vector<uint8_t> bytes = MakePacket();
    bytes[kFlagsOffset] = flag;
    cr_assert_not(DecodeHeader(bytes).has_value());
  }
}

Test(WireFormats, WritingSystemFieldsPreservesOtherFields)
{
  cr_assert(rc::check("tag and mark", [] {
    std::vector<uint8_t> bytes = MakePacket();
    PacketHeader before = *DecodeHeader(bytes);
    auto tag = *rc::gen::arbitrary<uint32_t>();
    auto mark = *rc::gen::inRange<uint32_t>(0, 1U << 24U);
    WriteSystemFields(bytes, tag, mark);
    PacketHeader after = *DecodeHeader(bytes);
    RC_ASSERT(after.m_tag == tag);
    RC_ASSERT(after.m_mark == mark);
    RC_ASSERT(after.m_seq == before.m_seq);
    RC_ASSERT(after.m_length == before.m_length);
    RC_ASSERT(after.m_source == before.m_source);
    RC_ASSERT(after.m_destination == before.m_destination);
  }));
}

Test(WireFormats, ArbitraryBytesDecodeConsistentlyOrAreRejected)
{
  cr_assert(rc::check("arbitrary bytes", [] {
    auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
    std::optional<PacketHeader> header = DecodeHeader(bytes);
    RC_ASSERT(!header || bytes.size() == kHeaderBytes + header->m_length);
  }));
}

Test(WireFormats, CorruptHeartbeatsDecodeOrReturnAnError)
{
  ServerHeartbeat heartbeat{ "s1", 1700000000000, 4, "desk", { 1, 2 },
                             4,    false,         {} };
  std::string encoded = EncodeHeartbeat(heartbeat, "a");
  Result<ServerHeartbeat> decoded = DecodeHeartbeat("s1", encoded);
  cr_assert(decoded.has_value());
  cr_assert(decoded->m_startMs == heartbeat.m_startMs);
  cr_assert(decoded->m_sequence == heartbeat.m_sequence);
  cr_assert(rc::check("corrupt heartbeat", [&] {
    Result<ServerHeartbeat> corrupt =
      DecodeHeartbeat("s1", CorruptCopy(encoded));
    RC_ASSERT(!corrupt || corrupt->m_slots >= 1);
  }));
}

Test(WireFormats, HeartbeatsWithAnUnknownStateAreRejected)
{
  std::string body = EncodeHeartbeat({}, "a");
  size_t place = body.find("ready");
  body.replace(place, 5, "sleepy");
  cr_assert_not(DecodeHeartbeat("s1", body).has_value());
}

Test(WireFormats, CorruptConfigurationsDecodeOrReturnAnError)
{
  RouteTable table;
  table.m_version = 7;
  for (uint16_t port : { 443, 8080, 8443 }) {
    Endpoint address{ 0xC6120001, port };
    table.m_routes[address] = { "r" + std::to_string(port),
                                address,
                                { { "desk", 90 }, { "images", 10 } },
                                1,
                                Milliseconds(150) };
  }
  std::string encoded = EncodeOperatorConfig(table).dump();
  Result<OperatorConfig> decoded = DecodeOperatorConfig(encoded);
  cr_assert(decoded.has_value());
  cr_assert(decoded->m_routeErrors.empty());
  cr_assert(decoded->m_table.m_routes == table.m_routes);
  cr_assert(rc::check("corrupt configuration", [&] {
    Result<OperatorConfig> corrupt = DecodeOperatorConfig(CorruptCopy(encoded));
    RC_ASSERT(corrupt || !corrupt.error().m_detail.empty());
  }));
}

// An invalid route must not invalidate the rest of the configuration.
Test(WireFormats, InvalidRoutesAreReportedAndSkipped)
{
  RouteTable table;
  table.m_version = 7;
  Endpoint address{ 0xC6120001, 443 };
  table.m_routes[address] = { "good", address, { { "desk", 1 } }, 1, {} };
  nlohmann::json config = EncodeOperatorConfig(table);
  config["routes"].push_back({ { "name", "bad" }, { "host", "nowhere" } });
  for (const char* field : { "priority", "latency-slo-ms" }) {
    config["routes"].push_back(config["routes"][0]);
    config["routes"].back()["host"] = "198.18.0.9";
    config["routes"].back()[field] = 1e300;
  }
  config["routes"].push_back(config["routes"][0]);
  config["routes"].back()["host"] = "198.18.0.9";
  config["routes"].back()["priority"] = uint64_t{ 1 } << 32U;
  Result<OperatorConfig> decoded = DecodeOperatorConfig(config.dump());
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->m_routeErrors.size(), 4);
  cr_assert_eq(decoded->m_table.m_routes.size(), 1);
  cr_assert(decoded->m_table.Find(address) != nullptr);
}

Test(WireFormats, CorruptFlowMessagesDecodeOrReturnAnError)
{
  std::vector<std::string> encodedMessages = {
    EncodeFlowMessage(Subscribe{ {},
                                 { 7, { 1, 2 } },
                                 { { 3, 9 }, { 1, 2 } },
                                 true,
                                 5,
                                 35.5,
                                 true,
                                 { { 3, 9 }, { "a" } } }),
    EncodeFlowMessage(AgentReport{}),
    EncodeFlowMessage(ServerLoad{}),
    EncodeFlowMessage(FlowQuery{ { { 1, 2 }, { 3, 4 } }, 5 }),
    EncodeFlowMessage(FlowAnswer{ { { 1, 2 }, { 3, 4 } }, FlowOwnership::Yes })
  };
  for (const std::string& encoded : encodedMessages) {
    Result<FlowMessage> decoded = DecodeFlowMessage(encoded, "peer");
    cr_assert(decoded.has_value());
    cr_assert(EncodeFlowMessage(*decoded) == encoded);
    cr_assert(rc::check("corrupt message", [&] {
      Result<FlowMessage> corrupt =
        DecodeFlowMessage(CorruptCopy(encoded), "peer");
      RC_ASSERT(corrupt || !corrupt.error().m_detail.empty());
    }));
  }
}

Test(WireFormats, CorruptSnapshotsDecodeOrReturnAnError)
{
  PeerSnapshot snapshot;
  snapshot.m_configuration = R"({"version":7})";
  snapshot.m_routesVersion = 7;
  snapshot.m_agentsPosition = { 2, 9 };
  snapshot.m_agents = { { "desk", "a", { 0x0A000001, 8000 } } };
  std::string encoded = EncodeSnapshot(snapshot).dump();
  Result<PeerSnapshot> decoded = DecodeSnapshot(encoded, "peer");
  cr_assert(decoded.has_value());
  cr_assert(decoded->m_agents == snapshot.m_agents);
  cr_assert(decoded->m_agentsPosition == snapshot.m_agentsPosition);
  cr_assert(rc::check("corrupt snapshot", [&] {
    Result<PeerSnapshot> corrupt = DecodeSnapshot(CorruptCopy(encoded), "peer");
    RC_ASSERT(corrupt || !corrupt.error().m_detail.empty());
  }));
}
