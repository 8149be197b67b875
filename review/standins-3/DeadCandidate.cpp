// The nodes beside the servers of a large service are restarted in turn, and an
// entry machine is added, as planned. One server crashes. The other servers
// live on, and the packets of their open flows have to reach them.

#include "Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int64_t kFlowMs = 2000;
/** Time from the end of a process to its next start. */
constexpr int64_t kRestartMs = 600;
constexpr int64_t kRollGapMs = 1000;
constexpr int64_t kStableMs = 4000;
/** Time for which the crashed server is down. */
constexpr int64_t kDownMs = 4500;
constexpr size_t kSides = 24;
/** Nodes that are restarted before the flows are opened. */
constexpr size_t kRolledBefore = 19;
constexpr size_t kFlows = 96;
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
  // The addresses of a zone are neighbours. The clients' zone is the last one.
  const char* zones[] = { "sherbrooke", "trois-rivieres", "laval" };
  Address service{ "198.18.0.1", 443 };
  deployment.Platform().WriteConfig(
    Deployment::Config(7,
                       { Deployment::Route("lookup", service, "circulation") },
                       { "circulation" }));
  std::vector<std::unique_ptr<Daemon>> nodes;
  std::vector<std::unique_ptr<Server>> servers;
  for (size_t i = 0; i < kSides; ++i) {
    nodes.push_back(deployment.Agent(i, "circulation", zones[i * 3 / kSides]));
    nodes.back()->Start();
    servers.push_back(std::make_unique<Server>(
      deployment.Place(i, "circulation", zones[i * 3 / kSides]),
      "i-" + std::to_string(i),
      aRecord));
    if (!servers.back()->Start()) {
      return NotRun(aRecord, "a server cannot listen");
    }
  }
  std::unique_ptr<Daemon> first = deployment.Balancer(0, 2, zones[2]);
  std::unique_ptr<Daemon> added = deployment.Balancer(1, 2, zones[2]);
  first->Start();
  Clients clients(
    deployment.ClientListen(), deployment.Entries(2), service, aRecord);
  if (!clients.Start() || !clients.WaitForReady(1, 15'000)) {
    return NotRun(aRecord, "the entry machine is not ready");
  }
  SleepMs(3000);
  for (size_t i = 0; aHasTrouble && i < kRolledBefore; ++i) {
    RollNode(*nodes[i], aRecord);
  }
  std::vector<std::string> flows;
  for (size_t i = 0; i < kFlows; ++i) {
    flows.push_back(clients.OpenLong());
    SleepMs(10);
  }
  SleepMs(300);
  if (aHasTrouble) {
    added->Start();
    aRecord.Line("an entry machine is added");
    for (size_t i = kRolledBefore; i < kSides; ++i) {
      RollNode(*nodes[i], aRecord);
    }
    if (!clients.WaitForReady(2, 5000)) {
      return NotRun(aRecord, "the added entry machine is not ready");
    }
  }
  SleepMs(kStableMs - 300);
  int64_t crashed = NowMs();
  if (aHasTrouble) {
    servers[0]->Crash();
  }
  SleepMs(500);
  // By flow: its server, if that lives.
  std::map<std::string, size_t> holders;
  for (const std::string& flow : flows) {
    for (size_t i = aHasTrouble ? 1 : 0; i < kSides; ++i) {
      if (clients.IsIdle(flow) && servers[i]->Holds(flow)) {
        holders[flow] = i;
      }
    }
  }
  std::map<std::string, int64_t> asked;
  for (const auto& [flow, holder] : holders) {
    asked[flow] = NowMs();
    clients.Ask(flow, kRequestBytes);
    SleepMs(10);
  }
  if (aHasTrouble) {
    SleepMs(crashed + kDownMs - NowMs());
    servers.push_back(
      std::make_unique<Server>(servers[0]->Place(), servers[0]->Id(), aRecord));
    servers.back()->Start();
  }
  SleepMs(2000);
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
  for (auto& node : nodes) {
    if (node->HasEndedByItself()) {
      return NotRun(aRecord, node->Name() + " ended by itself");
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
  if (holders.size() * 2 < flows.size()) {
    return NotRun(aRecord, "fewer than half of the flows were open");
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
    std::cerr << "usage: DeadCandidate PROGRAM FOLDER RECORD TROUBLE\n";
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
