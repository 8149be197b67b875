#pragma once

#include "StorePosition.h"
#include "Time.h"

#include <map>
#include <string>
#include <vector>

namespace bilberryfield {

/** The evacuated failure domains at a position of the platform's store. */
struct EvacuationSet
{
  /** Position up to which the store is known to name exactly these domains;
   * unknown where nothing was read and no other process told. */
  StorePosition m_position;
  /** Sorted, each domain once. */
  std::vector<std::string> m_domains;

  bool operator==(const EvacuationSet&) const = default;

  bool IsKnown() const { return m_position.IsKnown(); }

  /** True if a process that has aOlder must be told this set: it is newer and
   * has other domains. A change of the era counts as well, because domains
   * that were evacuated in an earlier era are judged separately. */
  bool IsNewsFor(const EvacuationSet& aOlder) const;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    StorePosition::Fields(aSelf.m_position, aVisitor);
    aVisitor("d", aSelf.m_domains);
  }
};

/** What changed between two calls of Evacuations::TakeChanges. */
struct EvacuationChanges
{
  /** The first set became known. */
  bool m_isFirst = false;
  /** Domains to which no new flows are sent any more. */
  std::vector<std::string> m_added;
  /** Domains that returned to service, m_lapsed included. */
  std::vector<std::string> m_removed;
  /** Domains that stay evacuated although a restored store does not name them.
   */
  std::vector<std::string> m_kept;
  /** Kept domains that the operator did not write again in time. */
  std::vector<std::string> m_lapsed;

  bool IsEmpty() const
  {
    return !m_isFirst && m_added.empty() && m_removed.empty() &&
           m_kept.empty() && m_lapsed.empty();
  }
};

/**
 * The failure domains to which no new flows are sent, as far as this process
 * knows. Sets come from the store and from other processes in any order; the
 * newest one counts.
 */
class Evacuations
{
public:
  /** Adopts a set. Returns false and ignores it if its position is not newer.
   */
  bool Update(TimePoint aNow, const EvacuationSet& aSet);

  /** True if no new flow may be sent to the servers of a domain. */
  bool Contains(TimePoint aNow, const std::string& aDomain) const;

  /** Records a pause of this process. During a long one the set may have become
   * outdated, while packets that arrived since wait to be read. */
  void OnPause(TimePoint aNow, Duration aPause);

  /** True after a long pause, until the messages that arrived during it have
   * been read. Never true where no set was known before. */
  bool IsOutdated(TimePoint aNow) const;

  /** True once a set is known, which may be empty. */
  bool IsKnown() const { return m_set.IsKnown(); }

  /** The newest set, as passed on to other processes. */
  const EvacuationSet& Latest() const { return m_set; }

  /** Increases with each adopted set that other processes must be told. */
  uint64_t NewsCount() const { return m_newsCount; }

  /** All evacuated domains, sorted, including those that are kept after a
   * restoration of the store. */
  std::vector<std::string> InForce(TimePoint aNow) const;

  /** Returns the changes since the last call. */
  EvacuationChanges TakeChanges(TimePoint aNow);

  /** Time for which a domain stays evacuated after a restoration of the store
   * if the restored store does not name it. The operator's tools write lost
   * objects again within this time. */
  static constexpr Duration kRestoredGracePeriod = Seconds(10);

  /** Pause after which the set counts as outdated. An evacuation must be in
   * force 5 s after it was written, and is learned within 2 s. */
  static constexpr Duration kMaxPause = Seconds(2);
  /** Time in which the messages that arrived during a pause are read. */
  static constexpr Duration kRefreshTime = Milliseconds(100);

private:
  void KeepMissingDomains(TimePoint aNow, const EvacuationSet& aRestored);

  EvacuationSet m_set;
  uint64_t m_newsCount = 0;
  TimePoint m_outdatedUntil;
  /** Domains of an earlier era that the restored store does not name, and the
   * time at which they return to service. */
  std::map<std::string, TimePoint> m_keptUntil;
  /** State at the last call of TakeChanges. */
  bool m_wasKnown = false;
  std::vector<std::string> m_wereInForce;
  /** Domains kept since the last call of TakeChanges. */
  std::vector<std::string> m_newlyKept;
};

} // namespace bilberryfield
