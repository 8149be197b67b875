#pragma once

#include "NameTable.h"
#include "Packet.h"
#include "Time.h"

#include <algorithm>
#include <variant>
#include <vector>

namespace bilberryfield {

/** What an agent knows of its backend server. */
enum class ServerCondition : uint8_t
{
  Unknown,  /**< The agent has not heard from it since its own start. */
  Ready,    /**< Takes new flows. */
  Draining, /**< Keeps its flows, takes no new ones. */
  Gone,     /**< Said that it leaves for good. */
  Silent,   /**< No longer answers opening packets or sends heartbeats. */
};

inline constexpr NameTable<ServerCondition, 5> kServerConditionNames = { {
  { ServerCondition::Unknown, "unknown" },
  { ServerCondition::Ready, "ready" },
  { ServerCondition::Draining, "draining" },
  { ServerCondition::Gone, "gone" },
  { ServerCondition::Silent, "silent" },
} };

/** The table of names of ServerCondition, found by the type. */
constexpr const auto&
NamesOf(ServerCondition)
{
  return kServerConditionNames;
}

/** The newest version of something, and a balancer that holds it. */
struct VersionHolder
{
  uint64_t m_version = 0;
  /** Where the holder serves its snapshot. */
  Endpoint m_holder;

  bool operator==(const VersionHolder&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("v", aSelf.m_version);
    aVisitor("h", aSelf.m_holder);
  }
};

/** How often a balancer wants to hear from an agent. */
struct ReportIntervals
{
  /** Time between two reports when nothing has changed. */
  Milliseconds m_unchanged{ 100 };
  /** As m_unchanged, when the load has changed but not whether it is full. */
  Milliseconds m_onLoadChange{ 40 };
  /** As m_unchanged, when the server has no free slot any more, or one again.
   */
  Milliseconds m_onFullChange{ 20 };
  /** Time for which the agent goes on without another subscription. */
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

/** From a balancer to an agent: asks for load reports for a while. */
struct Subscribe
{
  ReportIntervals m_intervals;
  /** The balancer's newest configuration and agent list. */
  VersionHolder m_routes;
  VersionHolder m_agents;
  /** The balancer found the agent in the platform's store. */
  bool m_isListed = true;
  /** Tag of the service that the agent reported last; 0 before that. */
  uint32_t m_reportedTag = 0;

  bool operator==(const Subscribe&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("p", aSelf.m_intervals);
    aVisitor("r", aSelf.m_routes);
    aVisitor("a", aSelf.m_agents);
    aVisitor("l", aSelf.m_isListed);
    aVisitor("t", aSelf.m_reportedTag);
  }
};

/** From an agent to a balancer that knows it: its server's load. */
struct ServerLoad
{
  ServerCondition m_condition = ServerCondition::Unknown;
  /** Flows whose request waits or runs. */
  uint32_t m_busy = 0;
  /** Requests that the server runs at a time. */
  uint32_t m_slots = 1;
  /** Mean time from a flow's first packet to its answer, microseconds. */
  uint32_t m_answerUs = 0;

  bool operator==(const ServerLoad&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("c", aSelf.m_condition);
    aVisitor("b", aSelf.m_busy);
    aVisitor("n", aSelf.m_slots);
    aVisitor("u", aSelf.m_answerUs);
  }
};

/** From an agent to a balancer that does not know it, or not the versions. */
struct AgentReport
{
  std::string m_service;
  std::string m_domain;
  /** Where the agent takes packets for its server. */
  Endpoint m_packets;
  ServerLoad m_load;
  /** The newest versions that the agent heard of. */
  VersionHolder m_routes;
  VersionHolder m_agents;

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
  }
};

/** From a balancer to an agent: is this flow at your server? */
struct FlowQuery
{
  FlowKey m_flow;
  /** Acknowledgement number of the caller's packet, which tells apart two
   * servers that both answered the opening packet. */
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
  Possible, /**< The agent started after its server and does not know. */
  Yes,
};

inline constexpr NameTable<FlowOwnership, 3> kFlowOwnershipNames = { {
  { FlowOwnership::No, "no" },
  { FlowOwnership::Possible, "possible" },
  { FlowOwnership::Yes, "yes" },
} };

/** The table of names of FlowOwnership, found by the type. */
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

  bool operator==(const FlowAnswer&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_flow);
    aVisitor("o", aSelf.m_ownership);
  }
};

/** What balancers and agents tell each other in datagrams. */
using FlowMessage =
  std::variant<Subscribe, AgentReport, ServerLoad, FlowQuery, FlowAnswer>;

/** Why an agent hands a packet back to the balancer that sent it. */
enum class ReturnReason : uint8_t
{
  None,
  Full,         /**< Every slot of the server is in use. */
  Starting,     /**< The agent has not heard its server yet. */
  NotAccepting, /**< The server drains or is gone. */
  Silent,       /**< The server did not answer the opening packet in time. */
  WrongService, /**< The server at this address serves something else. */
  NotOwner,     /**< The flow is not at this server. */
  Bounced,      /**< The server sent the packet back. */
  Count,
};

inline constexpr NameTable<ReturnReason, 8> kReturnReasonNames = { {
  { ReturnReason::None, "none" },
  { ReturnReason::Full, "full" },
  { ReturnReason::Starting, "starting" },
  { ReturnReason::NotAccepting, "not-accepting" },
  { ReturnReason::Silent, "silent" },
  { ReturnReason::WrongService, "wrong-service" },
  { ReturnReason::NotOwner, "not-owner" },
  { ReturnReason::Bounced, "bounced" },
} };

/** SynMark::m_busyLimit of a packet that an agent takes whatever its load.
 */
inline constexpr uint32_t kNoBusyLimit = 0xFFFF;

/** What a balancer says of an opening packet, in its mark. */
struct SynMark
{
  /** With as many busy flows and no free slot, the agent hands it back. */
  uint32_t m_busyLimit = kNoBusyLimit;
  /** Priority of the route; 0 is the most urgent. */
  uint8_t m_priority = 0;

  uint32_t Pack() const
  {
    return (static_cast<uint32_t>(m_priority) << 16U) |
           std::min(m_busyLimit, kNoBusyLimit);
  }
  static SynMark Unpack(uint32_t aMark)
  {
    return { aMark & 0xFFFFU, static_cast<uint8_t>(aMark >> 16U) };
  }
};

/** Load in a packet's tag: busy flows and slots. */
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

/** Value of PacketHeader::m_tag that names a service, for the agent's check. */
uint32_t
ServiceTag(const std::string& aService);

} // namespace bilberryfield
