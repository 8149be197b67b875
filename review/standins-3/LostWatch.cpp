// The store turns the two entry machines away by silence for a moment, while it
// serves the operator, who drops a route. Once the machines are in touch again
// no flow may be run with that route.

#include "Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int64_t kConfigMs = 3000;
constexpr int64_t kStableMs = 4000;
constexpr int64_t kSilentMs = 300;
constexpr size_t kEntries = 2;
constexpr size_t kSides = 13;

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
  Store& store = deployment.Platform();
  const char* zones[] = { "laval", "trois-rivieres", "sherbrooke" };
  Address kept{ "198.18.0.1", 443 };
  Address dropped{ "198.18.0.2", 443 };
  nlohmann::json keptRoute = Deployment::Route("lookup", kept, "circulation");
  nlohmann::json droppedRoute =
    Deployment::Route("renewal", dropped, "circulation");
  store.WriteConfig(
    Deployment::Config(7, { keptRoute, droppedRoute }, { "circulation" }));
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (size_t i = 0; i < kSides; ++i) {
    daemons.push_back(deployment.Agent(i, "circulation", zones[i % 3]));
    daemons.back()->Start();
    servers.push_back(
      std::make_unique<Server>(deployment.Place(i, "circulation", zones[i % 3]),
                               "i-" + std::to_string(i),
                               aRecord));
    if (!servers.back()->Start()) {
      return NotRun(aRecord, "a server cannot listen");
    }
  }
  for (size_t i = 0; i < kEntries; ++i) {
    daemons.push_back(deployment.Balancer(i, kEntries, zones[i]));
    daemons.back()->Start();
  }
  Clients clients(
    deployment.ClientListen(), deployment.Entries(kEntries), dropped, aRecord);
  if (!clients.Start() || !clients.WaitForReady(kEntries, 15'000)) {
    return NotRun(aRecord, "the entry machines are not ready");
  }
  clients.SetGap(20);
  SleepMs(kStableMs + 2000);
  droppedRoute["timeout-ms"] = 2500;
  store.WriteConfig(
    Deployment::Config(9, { keptRoute, droppedRoute }, { "circulation" }));
  aRecord.Line("version 9 acknowledged: a time-out changes");
  SleepMs(250);
  if (aHasTrouble) {
    store.SetSilentToReaders(true);
    aRecord.Line("the store is silent to the entry machines");
  }
  SleepMs(100);
  int64_t acknowledged =
    store.WriteConfig(Deployment::Config(12, { keptRoute }, { "circulation" }));
  aRecord.Line("version 12 acknowledged: a route is dropped");
  SleepMs(kSilentMs - 100);
  store.SetSilentToReaders(false);
  int64_t inTouch = NowMs() + (aHasTrouble ? kStableMs : 0);
  aRecord.Line("the store serves all machines");
  SleepMs(8000);
  clients.SetGap(0);
  std::map<std::string, int64_t> opened = clients.OpenedAt();
  size_t before = 0;
  size_t late = 0;
  int64_t latest = 0;
  for (auto& server : servers) {
    for (const Opening& opening : server->Openings()) {
      int64_t sent = opened[opening.m_flow];
      before += sent < acknowledged ? 1 : 0;
      bool isLate = sent > acknowledged + kConfigMs && sent > inTouch;
      late += isLate ? 1 : 0;
      latest = isLate ? std::max(latest, sent) : latest;
    }
  }
  for (auto& daemon : daemons) {
    if (daemon->HasEndedByItself()) {
      return NotRun(aRecord, daemon->Name() + " ended by itself");
    }
  }
  aRecord.Line("flows run before the route was dropped: " +
               std::to_string(before));
  aRecord.Line("flows run with the dropped route, sent by clients later than " +
               std::to_string(kConfigMs) +
               " ms after the acknowledgement, machines in touch: " +
               std::to_string(late) +
               (late > 0
                  ? ", the last one " + std::to_string(latest - acknowledged) +
                      " ms after it"
                  : ""));
  if (before == 0) {
    return NotRun(aRecord, "no flow was run before");
  }
  return late > 0 ? kBroken : kHeld;
}

} // namespace

// PROGRAM FOLDER RECORD TROUBLE
int
main(int aCount, char** aArguments)
{
  Record record;
  if (aCount != 5 || !record.Open(aArguments[3])) {
    std::cerr << "usage: LostWatch PROGRAM FOLDER RECORD TROUBLE\n";
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int end = Play(
    aArguments[1], aArguments[2], record, std::string(aArguments[4]) != "0");
  record.Line(end == kBroken ? "broken"
              : end == kHeld ? "held"
                             : "could not run");
  std::cout << (end == kBroken ? "CONFIG was broken"
                : end == kHeld ? "CONFIG held"
                               : "could not run")
            << std::endl;
  std::_Exit(end);
}
