#pragma once

#include "AgentList.h"
#include "FlowMessages.h"
#include "RouteTable.h"

namespace bilberryfield {

/** Address of the service "desk". */
inline constexpr Endpoint kDeskAddress{ 0xC6120001, 443 };

/** Version 1 of the routes, with the service "desk" only. */
inline RouteTablePointer
DeskRoutes()
{
  auto routes = std::make_shared<RouteTable>();
  routes->m_version = 1;
  routes->m_routes[kDeskAddress] = {
    "desk", kDeskAddress, { { "desk", 1 } }, 1, {}
  };
  return routes;
}

/** Report of an agent of "desk" whose server accepts new flows. */
inline AgentReport
ReadyReport(const Endpoint& aPackets, const std::string& aDomain)
{
  AgentReport report;
  report.m_service = "desk";
  report.m_domain = aDomain;
  report.m_packets = aPackets;
  report.m_load.m_condition = ServerCondition::Ready;
  report.m_load.m_slots = 4;
  return report;
}

/** The same of an agent of another service in failure domain "a". */
inline AgentReport
ReportOf(const std::string& aService, uint32_t aIp)
{
  AgentReport report = ReadyReport({ aIp, 8000 }, "a");
  report.m_service = aService;
  return report;
}

/** The store's entry of the agent with that report. */
inline AgentEntry
EntryOf(const std::string& aService, uint32_t aIp)
{
  return { aService, "a", { aIp, 8000 } };
}

/** A SYN to "desk" as an agent receives it. */
inline PacketHeader
SynPacket()
{
  PacketHeader header;
  header.m_source = { 0x64400001, 1024 };
  header.m_destination = kDeskAddress;
  header.m_flags = kSyn;
  header.m_seq = 9;
  header.m_tag = ServiceTag("desk");
  return header;
}

} // namespace bilberryfield
