#pragma once

#include <compare>
#include <cstdint>

namespace bilberryfield {

/**
 * A point in the history of the platform's store. When the store is restored
 * from a copy, its era rises, its revision goes back, and the revisions that
 * follow are given out a second time. Positions are therefore ordered by era
 * first: a later era is newer whatever the revisions say.
 */
struct StorePosition
{
  /** 0 when unknown: the store, or a peer of an earlier build, did not tell. */
  uint64_t m_era = 0;
  /** Counts from 1 within one era; 0 before the first answer. */
  uint64_t m_revision = 0;

  auto operator<=>(const StorePosition&) const = default;

  /** False before anything was read from the store. */
  bool IsKnown() const { return m_revision > 0; }

  /** The wire name of the revision is that of a version, because builds that
   * know no eras send and expect only this number. */
  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("v", aSelf.m_revision);
    aVisitor.Optional("e", aSelf.m_era);
  }
};

} // namespace bilberryfield
