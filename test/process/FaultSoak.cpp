#include "BuildFolder.h"
#include "Process.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

TestSuite(FaultSoak, .fini = Process::KillAll);

namespace {

// Ends with 0 when no promise was broken.
int
EndOfSeed(uint64_t aSeed, const std::vector<std::string>& aFlags = {})
{
  std::string folder = BuildFolder();
  std::string log = folder + "/fault-soak-" + std::to_string(aSeed) + ".log";
  std::vector<std::string> command = { folder + "/standins/FaultSoak",
                                       "--build=" + folder,
                                       "--seed=" + std::to_string(aSeed) };
  command.insert(command.end(), aFlags.begin(), aFlags.end());
  Result<Process> soak = Process::Start(command, log);
  cr_assert(soak.has_value());
  return soak->Wait();
}

} // namespace

// Failed: a balancer that had stood still refused all new flows until its
// first tick.
Test(FaultSoak, Seed1)
{
  cr_assert_eq(EndOfSeed(1), 0);
}

// Failed as seed 1, with one flow in the first milliseconds.
Test(FaultSoak, Seed3)
{
  cr_assert_eq(EndOfSeed(3), 0);
}

// Failed: connections that swallowed what they carried left all watches waiting
// for 25 s, and no balancer heard of the newest configuration.
Test(FaultSoak, Seed70411)
{
  cr_assert_eq(EndOfSeed(70411), 0);
}

// Failed without the watch of evacuations and the bound for cold servers.
Test(FaultSoak, Seed100WithEvacuations)
{
  cr_assert_eq(EndOfSeed(100, { "--restorations", "--evacuations" }), 0);
}

// Restorations of the store overlap with pauses, lost links and restarts.
Test(FaultSoak, Seed25WithRestorations)
{
  cr_assert_eq(EndOfSeed(25, { "--restorations" }), 0);
}

Test(FaultSoak, Seed26WithRestorations)
{
  cr_assert_eq(EndOfSeed(26, { "--restorations" }), 0);
}

// Failed: a balancer whose watch was silent reset two flows at an agent that
// its list lacked.
Test(FaultSoak, Seed2004WithRestorations)
{
  cr_assert_eq(EndOfSeed(2004, { "--restorations" }), 0);
}
