#include "PeerNews.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const TimePoint kStart{ Seconds(100) };
const Endpoint kHolder{ 0x0A010001, 8166 };
const Endpoint kOther{ 0x0A010002, 8166 };

} // namespace

Test(NewsFromPeers, AreFetchedWhenTheStoreDoesNotBringThem)
{
  PeerNews news;
  news.OnReport(kStart, { 7, kHolder }, { 50, kHolder });
  OwnVersions own{ 6, 50, true };
  cr_assert_not(news.WhomToAsk(kStart, own).has_value());
  TimePoint later = kStart + PeerNews::kStoreGoesFirst;
  cr_assert(news.WhomToAsk(later, own) == kHolder);
}

Test(NewsFromPeers, AreNotAskedForAgainAtOnce)
{
  PeerNews news;
  news.OnReport(kStart, { 7, kHolder }, {});
  TimePoint later = kStart + PeerNews::kStoreGoesFirst;
  cr_assert(news.WhomToAsk(later, { 6, 0, true }).has_value());
  cr_assert_not(news.WhomToAsk(later, { 6, 0, true }).has_value());
  // The first holder may be gone by then.
  news.OnReport(later, { 7, kOther }, {});
  cr_assert(news.WhomToAsk(later + PeerNews::kAskAgain, { 6, 0, true }) ==
            kOther);
}

Test(NewsFromPeers, AreIgnoredWhenOld)
{
  PeerNews news;
  news.OnReport(kStart, { 5, kHolder }, { 40, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(news.WhomToAsk(later, { 5, 41, false }).has_value());
}

Test(NewsFromPeers, TellOfAgentsOnlyWhereTheStoreIsNotFollowed)
{
  PeerNews news;
  news.OnReport(kStart, {}, { 40, kHolder });
  TimePoint later = kStart + Seconds(5);
  cr_assert_not(news.WhomToAsk(later, { 0, 39, true }).has_value());
  cr_assert(news.WhomToAsk(later, { 0, 39, false }) == kHolder);
}
