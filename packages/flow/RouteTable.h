#pragma once

#include "Packet.h"
#include "Time.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <vector>

namespace bilberryfield {

/** A service that takes a share of a route's new flows. */
struct RouteTarget
{
  std::string m_service;
  /** Share relative to the route's other targets. */
  uint32_t m_weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/** Where new flows to one address go. */
struct Route
{
  std::string m_name;
  Endpoint m_address;
  std::vector<RouteTarget> m_targets;
  /** 0 is the most urgent. */
  uint32_t m_priority = 0;
  /** Time within which callers want their answer. */
  Milliseconds m_latencyTarget{ 0 };

  bool operator==(const Route&) const = default;
};

/** One version of the routes; never changed after it was made. */
struct RouteTable
{
  uint64_t m_version = 0;
  absl::flat_hash_map<Endpoint, Route> m_routes;
  /** Silence after which a flow may be forgotten. */
  Milliseconds m_flowIdleTimeout{ 60'000 };

  /** The route of an address, or nullptr. */
  const Route* Find(const Endpoint& aAddress) const;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/** The service for a new flow, by the targets' weights; "" without any. */
const std::string&
ChooseTarget(const Route& aRoute, const FlowKey& aFlow);

} // namespace bilberryfield
