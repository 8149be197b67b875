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

  /** True if the service receives a share of the new flows. */
  bool HasTarget(const std::string& aService) const;

  bool operator==(const Route&) const = default;
};

/** What the configuration declares on a service's servers after a start. */
struct ServiceWarmup
{
  /** Rate of an entry that could not be read. */
  static constexpr double kUnknownRate = -1;

  /** Requests a second that a cold server can handle; 0 if none is declared. */
  double m_perSecond = 0;
  /** Time for which a server is cold after its start. */
  Milliseconds m_duration{ 0 };

  bool IsKnown() const { return m_perSecond >= 0; }
  bool operator==(const ServiceWarmup&) const = default;
};

/** Maps a service to its warm-up. */
using ServiceWarmups = absl::flat_hash_map<std::string, ServiceWarmup>;

/** One immutable version of all routes. */
struct RouteTable
{
  uint64_t m_version = 0;
  absl::flat_hash_map<Endpoint, Route> m_routes;
  ServiceWarmups m_services;
  /** Time without packets after which a flow may be evicted. */
  Milliseconds m_flowIdleTimeout{ 60'000 };

  /** Returns the route of an address, or nullptr. */
  const Route* Find(const Endpoint& aAddress) const;
};

/** Replaces the warm-ups that could not be read by those of aEarlier, if they
 * are known there. */
void
KeepEarlierWarmups(ServiceWarmups& aServices, const ServiceWarmups& aEarlier);

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/** Selects the service for a new flow in proportion to the targets' weights.
 * The choice depends only on the caller's endpoint and the targets, so that all
 * balancers agree on it. Returns "" if no target has a weight. */
const std::string&
ChooseTarget(const Route& aRoute, const FlowKey& aFlow);

} // namespace bilberryfield
