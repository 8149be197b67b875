#pragma once

#include "NameTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberryfield {

/** Role of a process in the system. */
enum class Role : uint8_t
{
  Balancer,
  Agent,
};

inline constexpr NameTable<Role, 2> kRoleNames = { {
  { Role::Balancer, "balancer" },
  { Role::Agent, "agent" },
} };

/** Name table of Role, for code that selects tables by enum type. */
constexpr const auto&
NamesOf(Role)
{
  return kRoleNames;
}

/**
 * State of a member. If two records have the same incarnation and revision,
 * Merge keeps the state that is declared later here.
 */
enum class MemberState : uint8_t
{
  Alive,
  Draining,
  Dead,
  Left,
};

inline constexpr NameTable<MemberState, 4> kMemberStateNames = { {
  { MemberState::Alive, "alive" },
  { MemberState::Draining, "draining" },
  { MemberState::Dead, "dead" },
  { MemberState::Left, "left" },
} };

/** Name table of MemberState, for code that selects tables by enum type. */
constexpr const auto&
NamesOf(MemberState)
{
  return kMemberStateNames;
}

/** A monitor that has stopped receiving a member's heartbeats. */
struct SuspectingMonitor
{
  std::string m_id;
  std::string m_domain;

  auto operator<=>(const SuspectingMonitor&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("i", aSelf.m_id);
    aVisitor("d", aSelf.m_domain);
  }
};

/** Identity, address and state of one member, as spread by gossip. */
struct MemberRecord
{
  std::string m_id;
  Role m_role = Role::Agent;
  /** IP address and port of its peer link. */
  std::string m_address;
  std::string m_domain;
  /** Labels that services select backend servers by. */
  std::vector<std::string> m_labels;
  /** Requests that its backend server runs concurrently. */
  uint32_t m_slots = 1;
  /** Increases with every start of the process. */
  uint64_t m_incarnation = 0;
  /** Increases with every change that the member makes to its own record. */
  uint32_t m_revision = 0;
  MemberState m_state = MemberState::Alive;
  /** Monitors that suspect the member at this revision, sorted. */
  std::vector<SuspectingMonitor> m_suspectedBy;

  bool operator==(const MemberRecord&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("i", aSelf.m_id);
    aVisitor("r", aSelf.m_role);
    aVisitor("a", aSelf.m_address);
    aVisitor("d", aSelf.m_domain);
    aVisitor("l", aSelf.m_labels);
    aVisitor("w", aSelf.m_slots);
    aVisitor("n", aSelf.m_incarnation);
    aVisitor("v", aSelf.m_revision);
    aVisitor("s", aSelf.m_state);
    aVisitor("x", aSelf.m_suspectedBy);
  }
};

/** True if the member is alive or draining. */
bool
IsPresent(const MemberRecord& aRecord);

/** True if aAnnounced contains every label of aWanted. */
bool
HasLabels(const std::vector<std::string>& aAnnounced,
          const std::vector<std::string>& aWanted);

/**
 * Merges two records of the same member. The merge is commutative, associative
 * and idempotent, so records may arrive in any order and any number of times.
 */
MemberRecord
Merge(const MemberRecord& aLeft, const MemberRecord& aRight);

/** Hash of the fields that Merge compares. */
uint64_t
Fingerprint(const MemberRecord& aRecord);

} // namespace bilberryfield
