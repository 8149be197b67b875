#include "Audit.h"
#include "Codec.h"
#include "KeyedStore.h"
#include "ProcessFixture.h"

#include <csignal>

using namespace bilberryfield;

TestSuite(AuditTrail, .fini = Process::KillAll);

Test(AuditTrail, OfAStoppedServerIsStoredWholeAndInOrder)
{
  ReadyCluster cluster;
  Callers callers(cluster.Kinds(), 8);
  callers.Start(8, Milliseconds(2));
  SleepFor(Milliseconds(1500));
  cluster.SignalAgent("catalogue-1", SIGTERM);
  cr_assert(cluster.WaitForAgent("catalogue-1") == 0);
  callers.Stop();

  KeyedStore platform(cluster.PlatformAddress());
  auto keys = platform.List("journal/catalogue-1/");
  cr_assert(keys && !keys->empty());
  std::string origin;
  std::vector<JournalRecord> records;
  for (const std::string& key : *keys) {
    auto batch = DecodeJournal(platform.Get(key).value()->m_value, key);
    cr_assert(batch.has_value());
    origin = batch->m_origin;
    records.insert(
      records.end(), batch->m_records.begin(), batch->m_records.end());
  }
  cr_assert(!VerifyJournal(origin, records));
  AuditReport report = AuditOrder(records);
  cr_assert(report.m_started > 0);
  cr_assert(report.m_open == 0);
  cr_assert(report.m_faults.empty());
}
