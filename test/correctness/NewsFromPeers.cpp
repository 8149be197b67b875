#include "PeerVersions.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const TimePoint kStart{ Seconds(100) };
const Endpoint kHolder{ 0x0A010001, 8166 };
const Endpoint kOther{ 0x0A010002, 8166 };

} // namespace

Test(NewsFromPeers, AreFetchedWhenTheStoreDoesNotBringThem)
{
  PeerVersions news;
  news.OnReport(kStart, { 7, kHolder }, { 50, kHolder });
  LocalVersions own{ 6, 50, true };
  cr_assert_not(news.SelectPeer(kStart, own).has_value());
  TimePoint later = kStart + PeerVersions::kStoreGracePeriod;
  cr_assert(news.SelectPeer(later, own) == kHolder);
}

Test(NewsFromPeers, AreNotAskedForAgainAtOnce)
{
  PeerVersions news;
  news.OnReport(kStart, { 7, kHolder }, {});
  TimePoint later = kStart + PeerVersions::kStoreGracePeriod;
  cr_assert(news.SelectPeer(later, { 6, 0, true }).has_value());
  cr_assert_not(news.SelectPeer(later, { 6, 0, true }).has_value());
  // The first holder may be gone by then.
  news.OnReport(later, { 7, kOther }, {});
  cr_assert(news.SelectPeer(later + PeerVersions::kRetryInterval,
                            { 6, 0, true }) == kOther);
}

Test(NewsFromPeers, AreIgnoredWhenOld)
{
  PeerVersions news;
  news.OnReport(kStart, { 5, kHolder }, { 40, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(news.SelectPeer(later, { 5, 41, false }).has_value());
}

Test(NewsFromPeers, TellOfAgentsOnlyWhereTheStoreIsNotFollowed)
{
  PeerVersions news;
  news.OnReport(kStart, {}, { 40, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(news.SelectPeer(later, { 0, 39, true }).has_value());
  cr_assert(news.SelectPeer(later, { 0, 39, false }) == kHolder);
}
