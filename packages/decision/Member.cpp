#include "Member.h"

#include "Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace bilberryfield {

bool
IsPresent(const MemberRecord& aRecord)
{
  return aRecord.m_state == MemberState::Alive ||
         aRecord.m_state == MemberState::Draining;
}

bool
HasLabels(const std::vector<std::string>& aAnnounced,
          const std::vector<std::string>& aWanted)
{
  return std::all_of(
    aWanted.begin(), aWanted.end(), [&](const std::string& aLabel) {
      return std::find(aAnnounced.begin(), aAnnounced.end(), aLabel) !=
             aAnnounced.end();
    });
}

MemberRecord
Merge(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  auto leftVersion = std::tie(aLeft.m_incarnation, aLeft.m_revision);
  auto rightVersion = std::tie(aRight.m_incarnation, aRight.m_revision);
  if (leftVersion != rightVersion) {
    return leftVersion < rightVersion ? aRight : aLeft;
  }
  MemberRecord merged = aLeft;
  merged.m_state = std::max(aLeft.m_state, aRight.m_state);
  merged.m_suspectedBy.clear();
  std::set_union(aLeft.m_suspectedBy.begin(),
                 aLeft.m_suspectedBy.end(),
                 aRight.m_suspectedBy.begin(),
                 aRight.m_suspectedBy.end(),
                 std::back_inserter(merged.m_suspectedBy));
  return merged;
}

uint64_t
Fingerprint(const MemberRecord& aRecord)
{
  uint64_t hash = StableHash(aRecord.m_id, aRecord.m_incarnation);
  hash = StableHash(NameOf(kMemberStateNames, aRecord.m_state),
                    hash + aRecord.m_revision);
  for (const SuspectingMonitor& monitor : aRecord.m_suspectedBy) {
    hash = StableHash(monitor.m_id, hash);
  }
  return hash;
}

} // namespace bilberryfield
