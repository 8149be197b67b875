#pragma once

#include "ConfigState.h"
#include "Member.h"

#include <memory>
#include <unordered_map>

namespace bilberryfield {

/** A backend server that flows can be placed on. */
struct ServerRef
{
  std::string m_id;
  /** IP address and port of its agent's peer link. */
  std::string m_address;
  uint64_t m_incarnation = 0;
  uint32_t m_slots = 1;

  bool operator==(const ServerRef&) const = default;
};

using ServerList = std::vector<ServerRef>;

/** The backend servers that are eligible for new flows of each service. */
class ServerDirectory
{
public:
  /** Recomputes the lists from the configuration and the member records. */
  void Update(const ConfigSnapshot& aConfig,
              const std::vector<MemberRecord>& aMembers);

  /** Servers that are eligible for new flows; may be empty. */
  const ServerList& ServersOf(const std::string& aService) const;

  /** The list before its last change; empty if it never changed. */
  const ServerList& PreviousServersOf(const std::string& aService) const;

private:
  struct ServerListHistory
  {
    ServerList m_current;
    ServerList m_previous;
  };

  std::unordered_map<std::string, ServerListHistory> m_services;
};

/** Returns up to aCount servers for a flow, by descending rendezvous score. */
ServerList
RendezvousCandidates(const std::string& aFlowKey,
                     const ServerList& aServers,
                     size_t aCount);

} // namespace bilberryfield
