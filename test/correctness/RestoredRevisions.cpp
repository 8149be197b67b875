#include "FlowCodec.h"
#include "FlowSamples.h"
#include "PeerSync.h"
#include "ReportSchedule.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint32_t kFirstBalancer = 0x0A000001;
constexpr uint32_t kSecondBalancer = 0x0A000002;

AgentEntry
EntryAt(uint32_t aIp)
{
  return { "desk", "a", { aIp, 8000 } };
}

Subscribe
SubscriptionWith(const StorePosition& aAgents)
{
  Subscribe message;
  message.m_agents = { aAgents, { kFirstBalancer, 8166 } };
  message.m_reportedTag = ServiceTag("desk");
  return message;
}

ReportSchedule
DeskSchedule()
{
  return { ReadyReport({ 0x0A010001, 8000 }, "a"), kStart };
}

HttpIncoming
SnapshotRequest(const std::string& aQuery)
{
  HttpIncoming request;
  request.m_query = aQuery;
  return request;
}

} // namespace

Test(RestoredRevisions, ListOfALaterEraReplacesOneWithAHigherRevision)
{
  AgentList agents("a");
  agents.SetListed(kStart, { 1, 60 }, { EntryAt(0x0A010001) });
  agents.SetListed(kStart, { 2, 40 }, { EntryAt(0x0A010002) });
  cr_assert(agents.Position() == (StorePosition{ 2, 40 }));
  cr_assert_not(agents.FindAt(0x0A010001)->m_isListed);
  cr_assert(agents.FindAt(0x0A010002)->m_isListed);
}

Test(RestoredRevisions, LateListOfAnEarlierEraChangesNothing)
{
  AgentList agents("a");
  agents.SetListed(kStart, { 2, 40 }, { EntryAt(0x0A010002) });
  agents.SetListed(kStart, { 1, 60 }, { EntryAt(0x0A010001) });
  cr_assert(agents.Position() == (StorePosition{ 2, 40 }));
  cr_assert_null(agents.FindAt(0x0A010001));
}

// Its VM may be gone: the copy is older than the removal of its entry.
Test(RestoredRevisions, AgentThatOnlyTheCopyNamesGetsNoFlowsBeforeItReports)
{
  AgentList agents("a");
  agents.SetListed(kStart, { 1, 60 }, {});
  agents.SetListed(kStart, { 2, 40 }, { EntryAt(0x0A010001) });
  cr_assert(agents.Candidates(kStart, "desk", {}).empty());
  agents.OnReport(kStart, ReadyReport({ 0x0A010001, 8000 }, "a"));
  cr_assert_eq(agents.Candidates(kStart, "desk", {}).size(), 1);
  agents.SetListed(
    kStart, { 2, 41 }, { EntryAt(0x0A010001), EntryAt(0x0A010002) });
  cr_assert_eq(agents.Candidates(kStart, "desk", {}).size(), 2);
}

// A balancer that was paused during the restoration still announces the list of
// before.
Test(RestoredRevisions, AgentsPassOnTheLaterEra)
{
  ReportSchedule schedule = DeskSchedule();
  schedule.OnSubscribe(kStart, kFirstBalancer, SubscriptionWith({ 2, 40 }));
  schedule.OnSubscribe(kStart, kSecondBalancer, SubscriptionWith({ 1, 60 }));
  DueReports due = schedule.OnTick(kStart + Seconds(1), {});
  cr_assert(due.m_reportRecipients == std::vector<uint32_t>{ kSecondBalancer });
  cr_assert(due.m_report.m_agents.m_version == (StorePosition{ 2, 40 }));
}

// The position of a build that knows no eras counts as older than any of this
// build, so its list is never fetched in place of the own one.
Test(RestoredRevisions, MessagesOfEarlierBuildsAreOfEraZero)
{
  FlowMessage message = SubscriptionWith({ 0, 60 });
  std::string encoded = EncodeFlowMessage(message);
  std::string withEra = EncodeFlowMessage(SubscriptionWith({ 3, 60 }));
  cr_assert_lt(encoded.size(), withEra.size());
  cr_assert(std::get<Subscribe>(*DecodeFlowMessage(encoded, "peer")) ==
            std::get<Subscribe>(message));
  cr_assert(StorePosition({ 0, 60 }) < StorePosition({ 1, 1 }));
}

Test(RestoredRevisions, SnapshotsOfEarlierBuildsAreOfEraZero)
{
  auto snapshot = DecodeSnapshot(R"({"configuration":"","routes_version":7,
    "agents":[],"agents_revision":60})",
                                 "peer");
  cr_assert(snapshot.has_value());
  cr_assert(snapshot->m_agentsPosition == (StorePosition{ 0, 60 }));
  LocalVersions requested =
    RequestedVersions(SnapshotRequest("?routes=7&agents=60"));
  cr_assert(requested.m_agents == (StorePosition{ 0, 60 }));
}

Test(RestoredRevisions, SnapshotRequestsTellTheEra)
{
  std::string path = SnapshotRequestPath({ 7, { 3, 60 } });
  LocalVersions requested =
    RequestedVersions(SnapshotRequest(path.substr(path.find('?'))));
  cr_assert_eq(requested.m_routes, 7);
  cr_assert(requested.m_agents == (StorePosition{ 3, 60 }));
}
