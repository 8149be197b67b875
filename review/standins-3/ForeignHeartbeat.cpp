// A heartbeat of another writer, with fields missing, reaches the node beside a
// server. Later that server leaves. No flow may reach it later than drain-ms
// after the acknowledgement.

#include "Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int64_t kDrainMs = 3000;
constexpr int64_t kStableMs = 4000;
/** How long the leaving server goes on after the acknowledgement. */
constexpr int64_t kServesOnMs = 9000;
constexpr size_t kEntries = 2;
constexpr size_t kSides = 3;

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

// What a server says of itself, but without zone and version, and with an
// address that is no text of an address of this machine.
std::string
ForeignBody(const std::string& aService)
{
  return "{\"service\":\"" + aService +
         "\",\"address\":\"127.99.0.1:8080\",\"slots\":4,\"state\":\"ready\","
         "\"warmup-left-ms\":0,\"seq\":1,\"born\":" +
         std::to_string(UnixMs()) + "}";
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
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (size_t i = 0; i < kSides; ++i) {
    daemons.push_back(deployment.Agent(i, "circulation", zones[i]));
    daemons.back()->Start();
    servers.push_back(
      std::make_unique<Server>(deployment.Place(i, "circulation", zones[i]),
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
    deployment.ClientListen(), deployment.Entries(kEntries), service, aRecord);
  if (!clients.Start() || !clients.WaitForReady(kEntries, 15'000)) {
    return NotRun(aRecord, "the entry machines are not ready");
  }
  clients.SetGap(15);
  SleepMs(5000);
  Server& leaving = *servers[0];
  if (leaving.Openings().empty()) {
    return NotRun(aRecord, "no flow reached the server before");
  }
  if (aHasTrouble) {
    HttpAnswer answer = Call(leaving.Place().m_admin,
                             "PUT",
                             "/bilberryfield/instances/i-elsewhere",
                             ForeignBody("circulation"),
                             1000);
    aRecord.Line("the heartbeat of another writer was answered " +
                 std::to_string(answer.m_status));
  }
  SleepMs(kStableMs + 1000);
  int64_t acknowledged = leaving.Drain(10'000);
  if (acknowledged == 0) {
    return NotRun(aRecord, "no acknowledgement");
  }
  SleepMs(acknowledged + kServesOnMs - NowMs());
  std::vector<Opening> openings = leaving.Openings();
  auto late = std::count_if(
    openings.begin(), openings.end(), [&](const Opening& aOpening) {
      return aOpening.m_atMs > acknowledged + kDrainMs;
    });
  for (auto& daemon : daemons) {
    if (daemon->HasEndedByItself()) {
      return NotRun(aRecord, daemon->Name() + " ended by itself");
    }
  }
  Tally tally = clients.Count();
  aRecord.Line("flows opened " + std::to_string(tally.m_opened) +
               ", answered " + std::to_string(tally.m_answered) + ", refused " +
               std::to_string(tally.m_refused) + ", silent " +
               std::to_string(tally.m_silent) + ", reset while open " +
               std::to_string(tally.m_broken.size()));
  aRecord.Line("flows taken by the leaving server later than " +
               std::to_string(kDrainMs) +
               " ms after the acknowledgement: " + std::to_string(late));
  clients.SetGap(0);
  leaving.Leave();
  if (tally.m_answered * 2 < tally.m_opened) {
    return NotRun(aRecord, "fewer than half of the flows were served");
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
    std::cerr << "usage: ForeignHeartbeat PROGRAM FOLDER RECORD TROUBLE\n";
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int end = Play(
    aArguments[1], aArguments[2], record, std::string(aArguments[4]) != "0");
  record.Line(end == kBroken ? "broken"
              : end == kHeld ? "held"
                             : "could not run");
  std::cout << (end == kBroken ? "DRAIN was broken"
                : end == kHeld ? "DRAIN held"
                               : "could not run")
            << std::endl;
  std::_Exit(end);
}
