#pragma once

#include "Packet.h"
#include "Time.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <vector>

namespace bilberryfield {

/** A service that receives a share of a route's new flows. */
struct RouteTarget
{
  std::string m_service;
  /** Weight relative to the other targets of the route. */
  uint32_t m_weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/** Maps a service address to the services that receive its new flows. */
struct Route
{
  std::string m_name;
  Endpoint m_address;
  std::vector<RouteTarget> m_targets;
  /** 0 is the highest priority. */
  uint32_t m_priority = 0;
  /** Latency objective for answers to callers. */
  Milliseconds m_latencyTarget{ 0 };
  /** Requests may run more than once. */
  bool m_isIdempotent = false;

  bool operator==(const Route&) const = default;
};

/** One immutable version of all routes. */
struct RouteTable
{
  uint64_t m_version = 0;
  absl::flat_hash_map<Endpoint, Route> m_routes;
  /** Time without packets after which a flow may be evicted. */
  Milliseconds m_flowIdleTimeout{ 60'000 };

  /** Returns the route of an address, or nullptr. */
  const Route* Find(const Endpoint& aAddress) const;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/** Selects the service for a new flow in proportion to the targets' weights.
 * The choice depends only on the caller's endpoint and the targets, so that all
 * balancers agree on it. Returns "" if no target has a weight. */
const std::string&
ChooseTarget(const Route& aRoute, const FlowKey& aFlow);

} // namespace bilberryfield
