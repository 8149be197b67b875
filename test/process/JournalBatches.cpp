#include "BuildFolder.h"
#include "FlowCluster.h"
#include "FlowJournal.h"
#include "StoredJournal.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

TestSuite(JournalBatches, .fini = Process::KillAll);

// The agent of a busy server collects more records between two flushes than one
// object of the store holds. A flush must store all of them, not only the first
// batch.
Test(JournalBatches, FlushStoresAllPendingRecords)
{
  constexpr uint32_t kFlows = 6000;
  FlowCluster cluster(BuildFolder(), 0, 0);
  cluster.Start();
  EventLoop loop;
  StoreClient store(cluster.StoreAddress());
  FlowJournal journal(loop, store, "busy-agent/1", "desk");
  for (uint32_t i = 0; i < kFlows; ++i) {
    FlowKey flow{ { 0x64400001 + i, 1024 }, FlowCluster::Service() };
    journal.OnOpened(EventLoop::Now(), flow);
  }
  journal.Flush([&] { loop.Stop(); });
  loop.Run();
  cr_assert_eq(
    journal.PendingCount(), 0, "%zu pending", journal.PendingCount());
  AuditReport report = AuditStoredJournal(cluster.StoreAddress(), "busy-agent");
  cr_assert_eq(report.m_started, kFlows);
}

// The answer to the first attempt is lost and more records arrive before the
// second one. The batch that the store already has lacks them.
Test(JournalBatches, RecordsAfterALostAnswerAreStored)
{
  FlowCluster cluster(BuildFolder(), 0, 0);
  cluster.Start();
  EventLoop loop;
  StoreClient store(cluster.StoreAddress());
  FlowJournal journal(loop, store, "agent/1", "desk");
  auto openFlow = [&](uint32_t aCaller) {
    journal.OnOpened(EventLoop::Now(),
                     { { aCaller, 1024 }, FlowCluster::Service() });
  };
  openFlow(0x64400001);
  cluster.DisturbStore("lost=1");
  journal.Flush([&] {
    openFlow(0x64400002);
    journal.Flush([&] { loop.Stop(); });
  });
  loop.Run();
  AuditReport report = AuditStoredJournal(cluster.StoreAddress(), "agent");
  cr_assert_eq(report.m_started, 2);
}
