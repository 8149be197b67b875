#pragma once

#include "Evacuations.h"
#include "NameTable.h"
#include "Packet.h"
#include "StorePosition.h"
#include "Time.h"

#include <algorithm>
#include <type_traits>
#include <variant>
#include <vector>

namespace bilberryfield {

/** Condition of a backend server, as its agent observes it. */
enum class ServerCondition : uint8_t
{
  Unknown,  /**< No heartbeat received since the agent started. */
  Ready,    /**< Accepts new flows. */
  Draining, /**< Keeps its flows and accepts no new ones. */
  Gone,     /**< Announced its final shutdown. */
  Silent,   /**< Stopped answering SYNs or sending heartbeats. */
  Failing,  /**< Resets requests without an answer. */
};

inline constexpr NameTable<ServerCondition, 6> kServerConditionNames = { {
  { ServerCondition::Unknown, "unknown" },
  { ServerCondition::Ready, "ready" },
  { ServerCondition::Draining, "draining" },
  { ServerCondition::Gone, "gone" },
  { ServerCondition::Silent, "silent" },
  { ServerCondition::Failing, "failing" },
} };

/** Returns the names of ServerCondition; selected by argument type. */
constexpr const auto&
NamesOf(ServerCondition)
{
  return kServerConditionNames;
}

/** Version of the operator's configuration, which the operator numbers. */
using RoutesVersion = uint64_t;

/** The newest known version of something, and a balancer that holds it. */
template<typename Version>
struct VersionHolder
{
  Version m_version{};
  /** Address at which the holder serves a snapshot of that version. */
  Endpoint m_holder;

  bool operator==(const VersionHolder&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    if constexpr (std::is_integral_v<Version>) {
      aVisitor("v", aSelf.m_version);
    } else {
      Version::Fields(aSelf.m_version, aVisitor);
    }
    aVisitor("h", aSelf.m_holder);
  }
};

/** A balancer with a version of the routes. */
using RoutesHolder = VersionHolder<RoutesVersion>;
/** A balancer with the agent list of a position of the store. */
using AgentsHolder = VersionHolder<StorePosition>;

/** The intervals at which a balancer asks an agent for load reports. */
struct ReportIntervals
{
  /** Interval between reports while the load is unchanged. */
  Milliseconds m_unchanged{ 100 };
  /** Interval after a load change that leaves the server as full as before. */
  Milliseconds m_onLoadChange{ 40 };
  /** Interval after the server became full or got a free slot again. */
  Milliseconds m_onFullChange{ 20 };
  /** Time after which the subscription expires unless it is renewed. */
  Milliseconds m_lifetime{ 4000 };

  bool operator==(const ReportIntervals&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("e", aSelf.m_unchanged);
    aVisitor("c", aSelf.m_onLoadChange);
    aVisitor("f", aSelf.m_onFullChange);
    aVisitor("l", aSelf.m_lifetime);
  }
};

/** Sent by a balancer to an agent: requests load reports for a limited time. */
struct Subscribe
{
  ReportIntervals m_intervals;
  /** Newest versions of the routes and the agent list at the balancer. */
  RoutesHolder m_routes;
  AgentsHolder m_agents;
  /** The agent is in the platform's store, as far as the balancer has read. */
  bool m_isListed = true;
  /** Service tag from the last report received from the agent; 0 before the
   * first one. */
  uint32_t m_reportedTag = 0;
  /** Requests a second that a cold server of the agent's service can handle, as
   * declared by m_routes; 0 if none is declared, negative if unknown. */
  double m_coldRate = 0;
  /** The configuration declares a warm-up time for the service. */
  bool m_hasWarmup = false;
  /** Evacuated failure domains, as far as the balancer knows. */
  EvacuationSet m_evacuations;

  bool operator==(const Subscribe&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("p", aSelf.m_intervals);
    aVisitor("r", aSelf.m_routes);
    aVisitor("a", aSelf.m_agents);
    aVisitor("l", aSelf.m_isListed);
    aVisitor("t", aSelf.m_reportedTag);
    aVisitor.Optional("w", aSelf.m_coldRate);
    aVisitor.Optional("y", aSelf.m_hasWarmup);
    aVisitor.Optional("v", aSelf.m_evacuations);
  }
};

/** Sent by an agent to a balancer that has its AgentReport: the server's load.
 */
struct ServerLoad
{
  ServerCondition m_condition = ServerCondition::Unknown;
  /** Flows whose SYN or request is at the server, plus first transmissions of
   * SYNs that are queued at the agent. */
  uint32_t m_busy = 0;
  /** Requests that the server runs concurrently. */
  uint32_t m_slots = 1;
  /** Moving mean of the time from a flow's first packet, or from a later
   * request, to the answer; microseconds. */
  uint32_t m_answerUs = 0;
  /** Service tag of the agent; 0 once the balancer has named it in a
   * subscription. */
  uint32_t m_serviceTag = 0;

  bool operator==(const ServerLoad&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("c", aSelf.m_condition);
    aVisitor("b", aSelf.m_busy);
    aVisitor("n", aSelf.m_slots);
    aVisitor("u", aSelf.m_answerUs);
    aVisitor.Optional("t", aSelf.m_serviceTag);
  }
};

/** Sent by an agent to a balancer that lacks the agent's details or has an
 * older version of the routes or the agent list, or other evacuated failure
 * domains. */
struct AgentReport
{
  std::string m_service;
  std::string m_domain;
  /** Address at which the agent receives packets for its server. */
  Endpoint m_packets;
  ServerLoad m_load;
  /** Newest versions in the subscriptions that the agent received. */
  RoutesHolder m_routes;
  AgentsHolder m_agents;
  /** Time since the agent saw the first heartbeat of its server's incarnation;
   * 0 if the agent did not see the start. */
  Milliseconds m_sinceServerStart{ 0 };
  /** Newest set of evacuated failure domains in these subscriptions. */
  EvacuationSet m_evacuations;

  bool operator==(const AgentReport&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("s", aSelf.m_service);
    aVisitor("d", aSelf.m_domain);
    aVisitor("p", aSelf.m_packets);
    aVisitor("l", aSelf.m_load);
    aVisitor("r", aSelf.m_routes);
    aVisitor("a", aSelf.m_agents);
    aVisitor.Optional("u", aSelf.m_sinceServerStart);
    aVisitor.Optional("v", aSelf.m_evacuations);
  }
};

/** Sent by a balancer to an agent: asks whether a flow is at its server. */
struct FlowQuery
{
  FlowKey m_flow;
  /** Acknowledgement number of the caller's packet. It distinguishes two
   * servers that both answered the flow's SYN. */
  uint32_t m_ack = 0;

  bool operator==(const FlowQuery&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_flow);
    aVisitor("k", aSelf.m_ack);
  }
};

/** Whether a flow is at an agent's server. */
enum class FlowOwnership : uint8_t
{
  No,
  Possible, /**< Undecided, because the agent started after its server. */
  Yes,
};

inline constexpr NameTable<FlowOwnership, 3> kFlowOwnershipNames = { {
  { FlowOwnership::No, "no" },
  { FlowOwnership::Possible, "possible" },
  { FlowOwnership::Yes, "yes" },
} };

/** Returns the names of FlowOwnership; selected by argument type. */
constexpr const auto&
NamesOf(FlowOwnership)
{
  return kFlowOwnershipNames;
}

/** The answer to a FlowQuery. */
struct FlowAnswer
{
  FlowKey m_flow;
  FlowOwnership m_ownership = FlowOwnership::No;
  /** Service tag of the agent that answers; 0 from builds that do not send it.
   */
  uint32_t m_serviceTag = 0;

  bool operator==(const FlowAnswer&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_flow);
    aVisitor("o", aSelf.m_ownership);
    aVisitor.Optional("t", aSelf.m_serviceTag);
  }
};

/** The control messages between balancers and agents, one per datagram. */
using FlowMessage =
  std::variant<Subscribe, AgentReport, ServerLoad, FlowQuery, FlowAnswer>;

/** Why an agent returns a packet to the balancer that sent it. */
enum class ReturnReason : uint8_t
{
  None,
  Full,         /**< Every slot of the server is in use. */
  Starting,     /**< The agent has received no heartbeat yet. */
  NotAccepting, /**< The server is draining or gone. */
  Silent,       /**< The server stopped answering SYNs or sending heartbeats. */
  WrongService, /**< The server at this address has another service. */
  NotOwner,     /**< The flow is not at this server. */
  Bounced,      /**< The server bounced the packet. */
  Failing,      /**< The server resets requests without an answer. */
  Evacuated,    /**< The agent's failure domain is evacuated. */
  Count,
};

inline constexpr NameTable<ReturnReason, 10> kReturnReasonNames = { {
  { ReturnReason::None, "none" },
  { ReturnReason::Full, "full" },
  { ReturnReason::Starting, "starting" },
  { ReturnReason::NotAccepting, "not-accepting" },
  { ReturnReason::Silent, "silent" },
  { ReturnReason::WrongService, "wrong-service" },
  { ReturnReason::NotOwner, "not-owner" },
  { ReturnReason::Bounced, "bounced" },
  { ReturnReason::Failing, "failing" },
  { ReturnReason::Evacuated, "evacuated" },
} };

/** SynMark::m_busyLimit without a limit: the agent admits or queues the SYN at
 * any load. */
inline constexpr uint32_t kNoBusyLimit = 0xFFFF;

/** Parameters of a SYN that a balancer passes in PacketHeader::m_mark. */
struct SynMark
{
  /** The agent returns the SYN if no slot is free and this many flows are busy.
   */
  uint32_t m_busyLimit = kNoBusyLimit;
  /** Priority of the route; 0 is the most urgent. */
  uint8_t m_priority = 0;
  /** The route's requests may run more than once. */
  bool m_isIdempotent = false;

  uint32_t Pack() const
  {
    return (m_isIdempotent ? kIdempotentBit : 0) |
           (static_cast<uint32_t>(m_priority) << 16U) |
           std::min(m_busyLimit, kNoBusyLimit);
  }
  static SynMark Unpack(uint32_t aMark)
  {
    return { aMark & 0xFFFFU,
             static_cast<uint8_t>(aMark >> 16U),
             (aMark & kIdempotentBit) != 0 };
  }

  static constexpr uint32_t kIdempotentBit = 1U << 24U;
};

/** Server load that an agent puts into PacketHeader::m_tag of a returned
 * packet: busy flows as in ServerLoad, and slots. */
struct LoadTag
{
  uint16_t m_busy = 0;
  uint16_t m_slots = 1;

  uint32_t Pack() const
  {
    return (static_cast<uint32_t>(m_busy) << 16U) | m_slots;
  }
  static LoadTag Unpack(uint32_t aTag)
  {
    return { static_cast<uint16_t>(aTag >> 16U),
             static_cast<uint16_t>(aTag & 0xFFFFU) };
  }
};

/** Hash of a service name. A balancer sends it in PacketHeader::m_tag, and the
 * agent returns packets whose tag is not that of its own service. */
uint32_t
ServiceTag(const std::string& aService);

} // namespace bilberryfield
