#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberryfield {

/**
 * Identifies an agent: the address of its VM and the service of its server. The
 * address of a server that is gone is used again by servers of other services,
 * so an address alone names whatever agent has it at the moment.
 */
struct AgentId
{
  uint32_t m_ip = 0;
  /** See ServiceTag. */
  uint32_t m_serviceTag = 0;

  /** False for a default value, which stands for no agent. */
  bool IsKnown() const { return m_ip != 0; }

  auto operator<=>(const AgentId&) const = default;
};

/** Removes the agents that have or had an address; returns their number. */
inline size_t
EraseAddress(std::vector<AgentId>& aAgents, uint32_t aIp)
{
  return std::erase_if(
    aAgents, [aIp](const AgentId& aAgent) { return aAgent.m_ip == aIp; });
}

} // namespace bilberryfield
