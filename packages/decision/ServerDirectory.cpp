#include "ServerDirectory.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberryfield {

namespace {

using LabelIndex =
  std::unordered_map<std::string_view, std::vector<const MemberRecord*>>;

// Without the index, every service would have to iterate over all agents.
LabelIndex
IndexByLabel(const std::vector<MemberRecord>& aMembers)
{
  LabelIndex index;
  for (const MemberRecord& member : aMembers) {
    if (member.m_role != Role::Agent || member.m_state != MemberState::Alive) {
      continue;
    }
    for (const std::string& label : member.m_labels) {
      index[label].push_back(&member);
    }
  }
  return index;
}

ServerList
EligibleServers(const ServiceConfig& aService, const LabelIndex& aIndex)
{
  ServerList unsuspected;
  ServerList suspected;
  auto labelled = aIndex.find(aService.m_labels.front());
  if (labelled == aIndex.end()) {
    return unsuspected;
  }
  for (const MemberRecord* member : labelled->second) {
    if (HasLabels(member->m_labels, aService.m_labels)) {
      ServerList& list =
        member->m_suspectedBy.empty() ? unsuspected : suspected;
      list.push_back({ member->m_id,
                       member->m_address,
                       member->m_incarnation,
                       member->m_slots });
    }
  }
  // A suspected server may merely be unreachable from the monitor that suspects
  // it, so it is still used when no other server is eligible.
  ServerList& eligible = unsuspected.empty() ? suspected : unsuspected;
  std::sort(eligible.begin(),
            eligible.end(),
            [](const ServerRef& aLeft, const ServerRef& aRight) {
              return aLeft.m_id < aRight.m_id;
            });
  return eligible;
}

const ServerList kNoServers;

} // namespace

void
ServerDirectory::Update(const ConfigSnapshot& aConfig,
                        const std::vector<MemberRecord>& aMembers)
{
  LabelIndex index = IndexByLabel(aMembers);
  for (const auto& [name, entry] : aConfig.m_services) {
    if (entry.m_removed) {
      m_services.erase(name);
      continue;
    }
    ServerList eligible = EligibleServers(entry.m_config, index);
    ServerListHistory& history = m_services[name];
    if (eligible != history.m_current) {
      history.m_previous = std::move(history.m_current);
      history.m_current = std::move(eligible);
    }
  }
}

const ServerList&
ServerDirectory::ServersOf(const std::string& aService) const
{
  auto found = m_services.find(aService);
  return found == m_services.end() ? kNoServers : found->second.m_current;
}

const ServerList&
ServerDirectory::PreviousServersOf(const std::string& aService) const
{
  auto found = m_services.find(aService);
  return found == m_services.end() ? kNoServers : found->second.m_previous;
}

ServerList
RendezvousCandidates(const std::string& aFlowKey,
                     const ServerList& aServers,
                     size_t aCount)
{
  std::vector<std::pair<double, const ServerRef*>> scored;
  scored.reserve(aServers.size());
  for (const ServerRef& server : aServers) {
    double score = RendezvousScore(aFlowKey, server.m_id, server.m_slots);
    scored.emplace_back(score, &server);
  }
  size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<ptrdiff_t>(count),
                    scored.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  ServerList candidates;
  for (size_t i = 0; i < count; ++i) {
    candidates.push_back(*scored[i].second);
  }
  return candidates;
}

} // namespace bilberryfield
