#include "RouteTable.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberryfield {

bool
Route::HasTarget(const std::string& aService) const
{
  return std::any_of(
    m_targets.begin(), m_targets.end(), [&](const RouteTarget& aTarget) {
      return aTarget.m_service == aService && aTarget.m_weight > 0;
    });
}

const Route*
RouteTable::Find(const Endpoint& aAddress) const
{
  auto found = m_routes.find(aAddress);
  return found == m_routes.end() ? nullptr : &found->second;
}

void
KeepEarlierWarmups(ServiceWarmups& aServices, const ServiceWarmups& aEarlier)
{
  for (auto& [service, warmup] : aServices) {
    auto earlier = aEarlier.find(service);
    if (!warmup.IsKnown() && earlier != aEarlier.end()) {
      warmup = earlier->second;
    }
  }
}

const std::string&
ChooseTarget(const Route& aRoute, const FlowKey& aFlow)
{
  static const std::string none;
  uint64_t total = 0;
  for (const RouteTarget& target : aRoute.m_targets) {
    total += target.m_weight;
  }
  if (total == 0) {
    return none;
  }
  // A retransmitted SYN can arrive at another balancer; hashing the caller
  // makes both choose the same service.
  std::string_view caller(reinterpret_cast<const char*>(&aFlow.m_caller.m_ip),
                          sizeof(aFlow.m_caller.m_ip));
  uint64_t point = StableHash(caller, aFlow.m_caller.m_port) % total;
  for (const RouteTarget& target : aRoute.m_targets) {
    if (point < target.m_weight) {
      return target.m_service;
    }
    point -= target.m_weight;
  }
  return none;
}

} // namespace bilberryfield
