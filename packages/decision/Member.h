#pragma once

#include "NameTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberryfield {

/** The role of a process of the system. */
enum class Role : uint8_t
{
  Balancer,
  Agent,
};

inline constexpr NameTable<Role, 2> kRoleNames = { {
  { Role::Balancer, "balancer" },
  { Role::Agent, "agent" },
} };

/** The table of names of Role, found by the type. */
constexpr const auto&
NamesOf(Role)
{
  return kRoleNames;
}

/** State of a member; of two states at one revision the later one wins. */
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

/** The table of names of MemberState, found by the type. */
constexpr const auto&
NamesOf(MemberState)
{
  return kMemberStateNames;
}

/** A balancer that misses a member's heartbeats. */
struct Accuser
{
  std::string m_id;
  std::string m_domain;

  auto operator<=>(const Accuser&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("i", aSelf.m_id);
    aVisitor("d", aSelf.m_domain);
  }
};

/** What the system knows of one member. */
struct MemberRecord
{
  std::string m_id;
  Role m_role = Role::Agent;
  /** IP and port of its peer link. */
  std::string m_address;
  std::string m_domain;
  /** Labels that services select backend servers by. */
  std::vector<std::string> m_labels;
  /** Requests that its backend server runs at a time. */
  uint32_t m_slots = 1;
  /** Grows with every start of the process. */
  uint64_t m_incarnation = 0;
  /** Grows with every change that the member itself states. */
  uint32_t m_revision = 0;
  MemberState m_state = MemberState::Alive;
  /** Sorted; balancers that miss heartbeats at this revision. */
  std::vector<Accuser> m_accusers;

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
    aVisitor("x", aSelf.m_accusers);
  }
};

/** True while the member may be spoken to: alive or draining. */
bool
IsPresent(const MemberRecord& aRecord);

/** True when every one of the wanted labels is among the announced ones. */
bool
HasLabels(const std::vector<std::string>& aAnnounced,
          const std::vector<std::string>& aWanted);

/**
 * Joins two records of one member. The join is commutative, associative and
 * idempotent, so records may arrive in any order and any number of times.
 */
MemberRecord
Merge(const MemberRecord& aLeft, const MemberRecord& aRight);

/** A hash over everything that Merge compares. */
uint64_t
Fingerprint(const MemberRecord& aRecord);

} // namespace bilberryfield
