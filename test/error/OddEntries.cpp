#include "AgentEntryCodec.h"
#include "Codec.h"
#include "FlowCodec.h"
#include "FlowSettings.h"
#include "HeartbeatCodec.h"
#include "HttpServer.h"
#include "OperatorConfig.h"
#include "PeerSync.h"
#include "StoreClient.h"
#include "WaitForStore.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bilberryfield;

namespace {

constexpr int kDeep = 200'000;

std::string
Nested()
{
  return std::string(kDeep, '[') + std::string(kDeep, ']');
}

/** Values that another writer may have put where a reader expects another one,
 * or where no reader looks. */
std::vector<std::string>
OddValues()
{
  return { Nested(),
           "1e999",
           "-1e999",
           "123456789012345678901234567890",
           "\"\xff\xfe\"",
           std::string("\"\x01\"", 3),
           "\"\\ud800\"",
           "null",
           "{}" };
}

std::string
AgentEntryText(const std::string& aIp, const std::string& aOdd = "")
{
  std::string more = aOdd.empty() ? "" : ",\"more\":" + aOdd;
  return R"({"service":"desk","failure_domain":"a","packets":")" + aIp +
         ":8000\"" + more + "}";
}

std::string
ObjectText(const std::string& aName, const std::string& aContent)
{
  return R"({"meta":{"name":")" + aName +
         R"(","revision":3,"finalizers":[]},"spec":)" + aContent +
         R"(,"status":null})";
}

/** A store that gives the same answer to each call. */
class AnsweringStore
{
public:
  explicit AnsweringStore(std::string aAnswer)
    : m_answer(std::move(aAnswer))
    , m_server({ 1 },
               [this](const HttpIncoming&, const HttpReply& aReply) {
                 aReply({ 200, {}, "application/json", m_answer });
               })
    , m_port(*m_server.Start("127.0.0.1:0"))
    , m_client("127.0.0.1:" + std::to_string(m_port))
  {
  }

  Result<StoreListing> List()
  {
    return WaitForStore<StoreListing>(
      [&](auto aOnEnd) { m_client.List("bilberry-agents", aOnEnd); });
  }

  Result<StoreChanges> Watch()
  {
    return WaitForStore<StoreChanges>([&](auto aOnEnd) {
      m_client.Watch("bilberry-agents", { 0, 1 }, Milliseconds(1), aOnEnd);
    });
  }

private:
  std::string m_answer;
  HttpServer m_server;
  uint16_t m_port;
  StoreClient m_client;
};

std::string
ListingOf(const std::vector<std::string>& aObjects)
{
  std::string items;
  for (const std::string& object : aObjects) {
    items += (items.empty() ? "" : ",") + object;
  }
  return R"({"items":[)" + items + R"(],"more":false,"at":7})";
}

std::string
ChangesOf(const std::vector<std::string>& aObjects)
{
  std::string events;
  for (const std::string& object : aObjects) {
    events += (events.empty() ? "" : ",");
    events += R"({"object":)" + object + R"(,"removed":false})";
  }
  return R"({"events":[)" + events + R"(],"at":7})";
}

/** Addresses of the entries that name an agent. */
std::vector<std::string>
AgentsIn(const std::vector<StoreObject>& aObjects)
{
  std::vector<std::string> agents;
  for (const StoreObject& object : aObjects) {
    if (auto entry = ParseAgentEntry(object.m_name, object.m_content)) {
      agents.push_back(IpToText(entry->m_packets.m_ip));
    }
  }
  return agents;
}

/** Objects with an odd one between two of living agents. */
std::vector<std::string>
WithOddObject(const std::string& aOdd)
{
  return { ObjectText("10.0.0.1", AgentEntryText("10.0.0.1")),
           aOdd,
           ObjectText("10.0.0.3", AgentEntryText("10.0.0.3")) };
}

std::vector<std::string>
OddObjects()
{
  std::vector<std::string> objects;
  for (const std::string& odd : OddValues()) {
    objects.push_back(ObjectText("10.0.0.2", odd));
    objects.push_back(ObjectText("odd", AgentEntryText("10.0.0.2", odd)));
    objects.push_back(R"({"meta":{"name":"odd","revision":)" + odd +
                      R"(},"spec":{}})");
    objects.push_back(R"({"meta":{"name":)" + odd + R"(},"spec":{}})");
    objects.push_back(R"({"meta":)" + odd + "}");
    objects.push_back(odd);
  }
  return objects;
}

} // namespace

// Guards against a balancer that knows no agent, because one entry in the
// store's list cannot be read.
Test(OddEntries, AListKeepsTheOtherEntries)
{
  for (const std::string& odd : OddObjects()) {
    AnsweringStore store(ListingOf(WithOddObject(odd)));
    Result<StoreListing> listing = store.List();
    cr_assert(listing.has_value(), "%.80s", odd.c_str());
    cr_assert_eq(listing->m_position.m_revision, 7);
    cr_assert(AgentsIn(listing->m_objects) ==
                std::vector<std::string>({ "10.0.0.1", "10.0.0.3" }),
              "%.80s",
              odd.c_str());
  }
}

// Guards against a balancer that stops following the store, because one
// change cannot be read.
Test(OddEntries, AWatchKeepsTheOtherChanges)
{
  for (const std::string& odd : OddObjects()) {
    AnsweringStore store(ChangesOf(WithOddObject(odd)));
    Result<StoreChanges> changes = store.Watch();
    cr_assert(changes.has_value(), "%.80s", odd.c_str());
    std::vector<StoreObject> objects;
    for (const StoreChange& change : changes->m_changes) {
      objects.push_back(change.m_object);
    }
    cr_assert(AgentsIn(objects) ==
                std::vector<std::string>({ "10.0.0.1", "10.0.0.3" }),
              "%.80s",
              odd.c_str());
  }
}

// Guards against packets and subscriptions to addresses that no agent
// has.
Test(OddEntries, AnEntryWithAnImpossibleAddressNamesNoAgent)
{
  for (const char* packets : { "10.0.0.2:70000",
                               "10.0.0.2:0",
                               "10.0.0.2:-1",
                               "10.0.0.2:",
                               "10.0.0.2",
                               "0.0.0.0:8000",
                               "300.0.0.2:8000" }) {
    std::string text = R"({"service":"desk","failure_domain":"a","packets":")" +
                       std::string(packets) + "\"}";
    cr_assert_not(ParseAgentEntry("10.0.0.2", text).has_value(), "%s", packets);
  }
  // An entry is named after its agent. Under another name it could
  // replace the entry of a living agent.
  std::string text = AgentEntryText("10.0.0.2");
  cr_assert(ParseAgentEntry("10.0.0.2", text).has_value());
  cr_assert_not(ParseAgentEntry("10.0.0.9", text).has_value());
}

// Guards against a configuration that is not in force, because a part of
// it that concerns one route cannot be read.
Test(OddEntries, AConfigurationKeepsTheOtherRoutes)
{
  std::string good =
    R"({"name":"r","host":"198.18.0.1","path-prefix":"/443/","service":"desk"})";
  for (const std::string& odd : OddValues()) {
    for (const std::string& route : std::vector<std::string>{
           odd,
           R"({"name":"odd","host":)" + odd + "}",
           R"({"name":"odd","host":"198.18.0.2","path-prefix":"/70000/",)"
           R"("service":"desk"})" }) {
      std::string text = R"({"version":4,"new":)" + odd + R"(,"routes":[)" +
                         route + "," + good + R"(],"services":[)" + odd +
                         R"(],"limits":)" + odd + "}";
      Result<OperatorConfig> config = DecodeOperatorConfig(text);
      cr_assert(config.has_value(), "%.80s", odd.c_str());
      cr_assert_eq(config->m_table.m_version, 4);
      cr_assert_eq(config->m_table.m_routes.size(), 1);
    }
  }
}

// Guards against overflows in times that are derived from a heartbeat,
// and against a start time that makes all later heartbeats look outdated.
Test(OddEntries, AHeartbeatOutOfRangeIsRejected)
{
  auto decode = [](const std::string& aBorn, const std::string& aWarmup) {
    return DecodeHeartbeat(
      "s",
      R"({"service":"desk","address":"10.0.0.1:80","slots":2,"state":"ready",)"
      R"("seq":1,"born":)" +
        aBorn + R"(,"warmup-left-ms":)" + aWarmup + "}");
  };
  cr_assert(decode("1700000000000", "2500").has_value());
  for (const std::string& odd : OddValues()) {
    cr_assert_not(decode(odd, "0").has_value(), "%.80s", odd.c_str());
    cr_assert_not(
      decode("1700000000000", odd).has_value(), "%.80s", odd.c_str());
  }
  cr_assert_not(decode("18446744073709551615", "0").has_value());
  cr_assert_not(decode("1700000000000", "9223372036854775807").has_value());
  cr_assert_not(decode("1700000000000", "-1").has_value());
}

// Guards against a balancer that takes nothing from a peer, because one
// entry in the peer's answer cannot be read.
Test(OddEntries, ASnapshotKeepsTheOtherAgents)
{
  PeerSnapshot snapshot;
  snapshot.m_agentsPosition = { 1, 3 };
  snapshot.m_agents = { { "desk", "a", { 0x0A000001, 8000 } } };
  std::string text = EncodeSnapshot(snapshot).dump();
  size_t place = text.find("\"agents\":[") + std::string("\"agents\":[").size();
  for (const char* odd : { "{}", "7", "null", "\"x\"" }) {
    std::string mixed = text;
    mixed.insert(place, std::string(odd) + ",");
    Result<PeerSnapshot> decoded = DecodeSnapshot(mixed, "peer");
    cr_assert(decoded.has_value(), "%s", odd);
    cr_assert_eq(decoded->m_agents.size(), 1);
  }
  std::string nested = text;
  nested.insert(place, Nested() + ",");
  cr_assert_eq(DecodeSnapshot(nested, "peer")->m_agents.size(), 1);
}

// Guards against the end of a process by a message that is nested so
// deeply that decoding it exhausts the stack.
Test(OddEntries, ADeeplyNestedMessageIsRejected)
{
  constexpr char kArrayOfOne = '\x81';
  std::string nested(20 * kDeep, kArrayOfOne);
  cr_assert_not(DecodeMessage(nested, "peer").has_value());
  cr_assert_not(DecodeFlowMessage(nested, "peer").has_value());
  cr_assert_not(DecodeJournal(nested, "key").has_value());
}

// Guards against the end of a process whose settings hold an odd value,
// while the error is put into words.
Test(OddEntries, SettingsWithANestedValueGiveAnError)
{
  std::string text = R"({"role":"packet-agent","id":)" + Nested() +
                     R"(,"seeds":)" + Nested() + "}";
  FlowSettingsParse settings = ParseFlowSettings(nlohmann::json::parse(text));
  cr_assert_not(settings.has_value());
}
