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
  versions.OnReport(kStart, { 7, kHolder }, { 50, kHolder });
  LocalVersions own{ 6, 50, true };
  cr_assert_not(versions.SelectPeer(kStart, own).has_value());
  TimePoint later = kStart + PeerVersions::kStoreGracePeriod;
  cr_assert(versions.SelectPeer(later, own) == kHolder);
}

Test(VersionsFromPeers, AreNotRequestedAgainAtOnce)
{
  PeerVersions versions;
  versions.OnReport(kStart, { 7, kHolder }, {});
  TimePoint later = kStart + PeerVersions::kStoreGracePeriod;
  cr_assert(versions.SelectPeer(later, { 6, 0, true }).has_value());
  cr_assert_not(versions.SelectPeer(later, { 6, 0, true }).has_value());
  // The holder that was reported last is selected, since the first one may have
  // stopped.
  versions.OnReport(later, { 7, kOtherHolder }, {});
  cr_assert(versions.SelectPeer(later + PeerVersions::kRetryInterval,
                                { 6, 0, true }) == kOtherHolder);
}

Test(VersionsFromPeers, AreIgnoredWhenOld)
{
  PeerVersions versions;
  versions.OnReport(kStart, { 5, kHolder }, { 40, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(versions.SelectPeer(later, { 5, 41, false }).has_value());
}

Test(VersionsFromPeers, IncludeAgentsOnlyWhenTheStoreWatchFails)
{
  PeerVersions versions;
  versions.OnReport(kStart, {}, { 40, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(versions.SelectPeer(later, { 0, 39, true }).has_value());
  cr_assert(versions.SelectPeer(later, { 0, 39, false }) == kHolder);
}
