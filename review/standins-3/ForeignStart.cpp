// A node beside a server is restarted as planned. Seconds later a heartbeat of
// another writer, with fields missing, reaches it. The server lives on; its
// open flows may get no reset that it did not send.

#include "Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int64_t kStableMs = 4000;
/** Time from the end of a process to its next start. */
constexpr int64_t kRestartMs = 600;
constexpr size_t kEntries = 2;
constexpr size_t kSides = 3;
constexpr size_t kLongFlows = 30;

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

// What a server says of itself, but without zone and version.
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
     const std::string& aTrouble)
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
  SleepMs(kStableMs + 1000);
  std::vector<std::string> flows;
  for (size_t i = 0; i < kLongFlows; ++i) {
    flows.push_back(clients.OpenLong());
    SleepMs(30);
  }
  SleepMs(500);
  for (const std::string& flow : flows) {
    if (!clients.IsIdle(flow)) {
      return NotRun(aRecord, "a flow is not open");
    }
  }
  if (servers[0]->Openings().empty()) {
    return NotRun(aRecord, "no flow reached the server");
  }
  if (aTrouble != "0") {
    aRecord.Line(daemons[0]->Name() + " is stopped");
    daemons[0]->Stop();
    SleepMs(kRestartMs);
    daemons[0]->Start();
    aRecord.Line(daemons[0]->Name() + " is started");
  }
  SleepMs(kStableMs + 1000);
  if (aTrouble == "1") {
    HttpAnswer answer = Call(servers[0]->Place().m_admin,
                             "PUT",
                             "/bilberryfield/instances/i-elsewhere",
                             ForeignBody("circulation"),
                             1000);
    aRecord.Line("the heartbeat of another writer was answered " +
                 std::to_string(answer.m_status));
  }
  SleepMs(300);
  for (const std::string& flow : flows) {
    clients.Ask(flow);
    SleepMs(20);
  }
  SleepMs(4000);
  for (auto& daemon : daemons) {
    if (daemon->HasEndedByItself()) {
      return NotRun(aRecord, daemon->Name() + " ended by itself");
    }
  }
  Tally tally = clients.Count();
  aRecord.Line("flows opened " + std::to_string(tally.m_opened) + ", answers " +
               std::to_string(tally.m_answered) + ", refused " +
               std::to_string(tally.m_refused) + ", silent " +
               std::to_string(tally.m_silent) + ", reset while open " +
               std::to_string(tally.m_broken.size()));
  return tally.m_broken.empty() ? kHeld : kBroken;
}

} // namespace

// PROGRAM FOLDER RECORD TROUBLE
int
main(int aCount, char** aArguments)
{
  Record record;
  if (aCount != 5 || !record.Open(aArguments[3])) {
    std::cerr << "usage: ForeignStart PROGRAM FOLDER RECORD TROUBLE\n";
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int end = Play(aArguments[1], aArguments[2], record, aArguments[4]);
  record.Line(end == kBroken ? "broken"
              : end == kHeld ? "held"
                             : "could not run");
  std::cout << (end == kBroken ? "FLOW was broken"
                : end == kHeld ? "FLOW held"
                               : "could not run")
            << std::endl;
  std::_Exit(end);
}
