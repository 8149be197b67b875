// The nodes beside the servers are restarted in turn, an entry machine is
// added, and one server leaves, all as planned. While the node beside a living
// server is away for its restart, clients ask on flows that are open at that
// server. Their packets have to reach it.

#include "Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int64_t kFlowMs = 2000;
constexpr int64_t kDrainMs = 3000;
/** Time from the end of a process to its next start. */
constexpr int64_t kRestartMs = 600;
constexpr int64_t kRollGapMs = 1000;
/** Time from the end of a server to the SIGTERM of the node beside it. */
constexpr int64_t kNodeStaysMs = 2000;
constexpr size_t kSides = 7;
constexpr size_t kLeaving = 0;
constexpr size_t kRolledLast = kSides - 1;
constexpr size_t kFlows = 56;
constexpr size_t kRequestBytes = 3000;

enum Exit
{
  kHeld = 0,
  kBroken = 1,
  kNotRun = 2,
};

int
NotRun(Record& aRecord, const std::string& aWhy)
{
  aRecord.Line("not run: " + aWhy);
  return kNotRun;
}

// The platform restarts the nodes one at a time, one each second.
void
RollNode(Daemon& aNode, Record& aRecord)
{
  int64_t next = NowMs() + kRollGapMs;
  aNode.Stop();
  SleepMs(kRestartMs);
  aNode.Start();
  aRecord.Line(aNode.Name() + " was restarted");
  SleepMs(next - NowMs());
}

int
Play(const std::string& aProgram,
     const std::string& aFolder,
     Record& aRecord,
     bool aHasTrouble)
{
  // Never destroyed: watches of the store may still wait when the case ends.
  Deployment& deployment = *new Deployment(aProgram, aFolder, aRecord);
  if (!deployment.Start()) {
    return NotRun(aRecord, "no free port for the store");
  }
  const char* zones[] = { "laval", "trois-rivieres", "sherbrooke" };
  Address service{ "198.18.0.1", 443 };
  deployment.Platform().WriteConfig(
    Deployment::Config(7,
                       { Deployment::Route("lookup", service, "circulation") },
                       { "circulation" }));
  std::vector<std::unique_ptr<Daemon>> nodes;
  std::vector<std::unique_ptr<Server>> servers;
  for (size_t i = 0; i < kSides; ++i) {
    nodes.push_back(deployment.Agent(i, "circulation", zones[i % 3]));
    nodes.back()->Start();
    servers.push_back(
      std::make_unique<Server>(deployment.Place(i, "circulation", zones[i % 3]),
                               "i-" + std::to_string(i),
                               aRecord));
    if (!servers.back()->Start()) {
      return NotRun(aRecord, "a server cannot listen");
    }
  }
  constexpr size_t kEntries = 3;
  std::vector<std::unique_ptr<Daemon>> entries;
  for (size_t i = 0; i < kEntries; ++i) {
    entries.push_back(deployment.Balancer(i, kEntries, zones[i]));
  }
  entries[0]->Start();
  entries[1]->Start();
  Clients clients(
    deployment.ClientListen(), deployment.Entries(kEntries), service, aRecord);
  if (!clients.Start() || !clients.WaitForReady(2, 15'000)) {
    return NotRun(aRecord, "the entry machines are not ready");
  }
  SleepMs(3000);
  for (size_t i = 0; aHasTrouble && i < kRolledLast; ++i) {
    RollNode(*nodes[i], aRecord);
  }
  std::vector<std::string> flows;
  for (size_t i = 0; i < kFlows; ++i) {
    flows.push_back(clients.OpenLong());
    SleepMs(20);
  }
  SleepMs(300);
  if (aHasTrouble) {
    entries[2]->Start();
    aRecord.Line("an entry machine is added");
    if (servers[kLeaving]->Drain(8000) == 0) {
      return NotRun(aRecord, "no acknowledgement");
    }
    SleepMs(kDrainMs + 500);
    if (!clients.WaitForReady(kEntries, 5000)) {
      return NotRun(aRecord, "the added entry machine is not ready");
    }
  } else {
    SleepMs(kDrainMs + 500);
  }
  // By flow: its server, if that lives.
  std::map<std::string, size_t> holders;
  for (const std::string& flow : flows) {
    if (clients.IsIdle(flow) && servers[kRolledLast]->Holds(flow)) {
      holders[flow] = kRolledLast;
    }
  }
  if (aHasTrouble) {
    servers[kLeaving]->Leave();
    std::thread([&nodes] {
      SleepMs(kNodeStaysMs);
      nodes[kLeaving]->Stop();
    }).detach();
    nodes[kRolledLast]->Stop();
    aRecord.Line(nodes[kRolledLast]->Name() + " has ended");
    std::thread([&nodes, &aRecord] {
      SleepMs(kRestartMs);
      nodes[kRolledLast]->Start();
      aRecord.Line(nodes[kRolledLast]->Name() + " was restarted");
    }).detach();
    SleepMs(100);
  }
  std::map<std::string, int64_t> asked;
  for (const auto& [flow, holder] : holders) {
    asked[flow] = NowMs();
    clients.Ask(flow, kRequestBytes);
    SleepMs(10);
  }
  SleepMs(4000);
  size_t broken = 0;
  for (const auto& [flow, holder] : holders) {
    std::set<uint32_t> elsewhere;
    size_t copiesElsewhere = 0;
    size_t own = 0;
    for (size_t i = 0; i < kSides; ++i) {
      for (const Arrival& arrival : servers[i]->Arrivals()) {
        bool isCounted = arrival.m_flow == flow &&
                         arrival.m_atMs >= asked[flow] &&
                         arrival.m_atMs < asked[flow] + kFlowMs;
        own += isCounted && i == holder ? 1 : 0;
        copiesElsewhere += isCounted && i != holder ? 1 : 0;
        if (isCounted && i != holder) {
          elsewhere.insert(arrival.m_seq);
        }
      }
    }
    if (own == 0 && elsewhere.size() >= 3) {
      broken += 1;
      aRecord.Line(
        "flow " + flow + " of server i-" + std::to_string(holder) + ": in " +
        std::to_string(kFlowMs) + " ms " + std::to_string(elsewhere.size()) +
        " of its packets reached other servers (" +
        std::to_string(copiesElsewhere) + " arrivals), none its own");
    }
  }
  for (size_t i = kLeaving + 1; i < kSides; ++i) {
    if (nodes[i]->HasEndedByItself()) {
      return NotRun(aRecord, nodes[i]->Name() + " ended by itself");
    }
  }
  Tally tally = clients.Count();
  aRecord.Line("flows opened " + std::to_string(tally.m_opened) +
               ", asked again " + std::to_string(holders.size()) +
               ", answers " + std::to_string(tally.m_answered) + ", refused " +
               std::to_string(tally.m_refused) + ", given up " +
               std::to_string(tally.m_silent) + ", reset while open " +
               std::to_string(tally.m_broken.size()));
  aRecord.Line("flows whose packets went astray: " + std::to_string(broken));
  if (holders.empty()) {
    return NotRun(aRecord, "no flow was open at the server");
  }
  return broken > 0 ? kBroken : kHeld;
}

} // namespace

// PROGRAM FOLDER RECORD TROUBLE
int
main(int aCount, char** aArguments)
{
  Record record;
  if (aCount != 5 || !record.Open(aArguments[3])) {
    std::cerr << "usage: LeavingCandidate PROGRAM FOLDER RECORD TROUBLE\n";
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int end = Play(
    aArguments[1], aArguments[2], record, std::string(aArguments[4]) != "0");
  record.Line(end == kBroken ? "broken"
              : end == kHeld ? "held"
                             : "could not run");
  std::cout << (end == kBroken ? "FLOW was broken"
                : end == kHeld ? "FLOW held"
                               : "could not run")
            << std::endl;
  std::_Exit(end);
}
