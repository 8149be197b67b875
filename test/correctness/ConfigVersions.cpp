#include "ConfigState.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

ServiceConfig
ServiceNamed(int aName, int aPort)
{
  ServiceConfig service;
  service.m_name = "service-" + std::to_string(aName);
  service.m_address =
    "10.0.0." + std::to_string(aName) + ":" + std::to_string(aPort);
  service.m_labels = { "label" };
  service.m_classes = { { .m_name = "only" } };
  service.m_defaultClass = "only";
  return service;
}

// Returns all versions in order. Each changes or removes one service.
std::vector<ConfigPointer>
AcceptedVersions(size_t aCount)
{
  ConfigState state;
  std::vector<ConfigPointer> versions = { state.Current() };
  for (size_t i = 1; i <= aCount; ++i) {
    ConfigDelta delta;
    delta.m_fromVersion = i - 1;
    delta.m_toVersion = i;
    delta.m_entries = { { ServiceNamed(*rc::gen::inRange(1, 4), int(i)),
                          i,
                          *rc::gen::arbitrary<bool>() } };
    RC_ASSERT(state.Apply(delta) == ApplyResult::Applied);
    versions.push_back(state.Current());
  }
  return versions;
}

} // namespace

Test(ConfigVersions, NeverDecreaseAndMatchAcceptedContents)
{
  cr_assert(rc::check("late, old and repeated deltas never revert a node", [] {
    auto versions = AcceptedVersions(12);
    std::vector<ConfigState> nodes(3);
    std::vector<ConfigDelta> inFlight;
    for (int step = 0; step < 60; ++step) {
      // The sender of a delta may have an old version, the request may be for
      // an old version, and the delta may arrive late or more than once.
      size_t known = *rc::gen::inRange<size_t>(0, versions.size());
      size_t have = *rc::gen::inRange<size_t>(0, versions.size());
      inFlight.push_back(versions[known]->DeltaSince(have));
      ConfigDelta arrived = *rc::gen::elementOf(inFlight);
      ConfigState& node = nodes[*rc::gen::inRange<size_t>(0, 3)];
      uint64_t before = node.Current()->m_version;
      node.Apply(arrived);
      uint64_t after = node.Current()->m_version;
      RC_ASSERT(after >= before);
      RC_ASSERT(node.Current()->m_services == versions[after]->m_services);
      RC_ASSERT(node.Current()->m_byAddress == versions[after]->m_byAddress);
    }
  }));
}
