#include "PeerVersions.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const TimePoint kStart{ Seconds(100) };
const Endpoint kHolder{ 0x0A010001, 8166 };
const Endpoint kOtherHolder{ 0x0A010002, 8166 };

} // namespace

Test(VersionsFromPeers, AreFetchedWhenTheStoreDoesNotDeliverThem)
{
  PeerVersions versions;
  versions.OnReport(kStart, { 7, kHolder }, { { 1, 50 }, kHolder });
  LocalVersions own{ 6, { 1, 50 }, true };
  cr_assert_not(versions.SelectPeer(kStart, own).has_value());
  TimePoint later = kStart + PeerVersions::kStoreGracePeriod;
  cr_assert(versions.SelectPeer(later, own) == kHolder);
}

Test(VersionsFromPeers, AreNotRequestedAgainAtOnce)
{
  PeerVersions versions;
  versions.OnReport(kStart, { 7, kHolder }, {});
  TimePoint later = kStart + PeerVersions::kStoreGracePeriod;
  cr_assert(versions.SelectPeer(later, { 6, {}, true }).has_value());
  cr_assert_not(versions.SelectPeer(later, { 6, {}, true }).has_value());
  // The holder that was reported last is selected, since the first one may have
  // stopped.
  versions.OnReport(later, { 7, kOtherHolder }, {});
  cr_assert(versions.SelectPeer(later + PeerVersions::kRetryInterval,
                                { 6, {}, true }) == kOtherHolder);
}

Test(VersionsFromPeers, AreIgnoredWhenOld)
{
  PeerVersions versions;
  versions.OnReport(kStart, { 5, kHolder }, { { 1, 40 }, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(
    versions.SelectPeer(later, { 5, { 1, 41 }, false }).has_value());
}

Test(VersionsFromPeers, IncludeAgentsOnlyWhenTheStoreWatchFails)
{
  PeerVersions versions;
  versions.OnReport(kStart, {}, { { 1, 40 }, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(versions.SelectPeer(later, { 0, { 1, 39 }, true }).has_value());
  cr_assert(versions.SelectPeer(later, { 0, { 1, 39 }, false }) == kHolder);
}

Test(VersionsFromPeers, OfAnEarlierEraAreOlderWhateverTheirRevision)
{
  PeerVersions versions;
  versions.OnReport(kStart, {}, { { 1, 90 }, kHolder });
  TimePoint later = kStart + Seconds(5);
  LocalVersions own{ 0, { 2, 40 }, false };
  cr_assert_not(versions.SelectPeer(later, own).has_value());
  versions.OnReport(kStart, {}, { { 2, 41 }, kOtherHolder });
  cr_assert(versions.SelectPeer(later, own) == kOtherHolder);
}

// A connection can stay open and carry nothing, so that a watch that seems to
// work delivers nothing until its timeout.
Test(VersionsFromPeers, ShowThatTheStoreWatchIsSilent)
{
  constexpr Duration kBatchDelay = Milliseconds(150);
  PeerVersions versions;
  versions.OnReport(kStart, {}, { { 1, 40 }, kHolder });
  StorePosition own{ 1, 39 };
  TimePoint due = kStart + PeerVersions::kStoreGracePeriod + kBatchDelay;
  TimePoint early = due - Milliseconds(1);
  cr_assert(versions.HasNewerAgents(own));
  cr_assert_not(versions.HasNewerAgents({ 1, 40 }));
  cr_assert_not(versions.HasNewerAgents({ 2, 1 }));
  cr_assert_not(versions.IsWatchOverdue(early, own, kBatchDelay));
  cr_assert_not(versions.IsWatchOverdue(due, { 1, 40 }, kBatchDelay));
  cr_assert_not(versions.IsWatchOverdue(due, { 2, 1 }, kBatchDelay));
  cr_assert(versions.IsWatchOverdue(due, own, kBatchDelay));
  cr_assert_not(versions.IsWatchOverdue(due, own, kBatchDelay));
  cr_assert(versions.IsWatchOverdue(
    due + PeerVersions::kRenewInterval, own, kBatchDelay));
}
