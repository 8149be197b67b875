#pragma once

#include "ConfigState.h"
#include "Member.h"

#include <memory>
#include <unordered_map>

namespace bilberryfield {

/** A backend server that a flow can be placed on. */
struct ServerRef
{
  std::string m_id;
  /** IP and port of its agent's peer link. */
  std::string m_address;
  uint64_t m_incarnation = 0;
  uint32_t m_slots = 1;

  bool operator==(const ServerRef&) const = default;
};

using ServerList = std::vector<ServerRef>;

/** Which backend servers may take new flows of each service. */
class ServerDirectory
{
public:
  /** Derives the lists from the configuration and the known members. */
  void Update(const ConfigSnapshot& aConfig,
              const std::vector<MemberRecord>& aMembers);

  /** Servers for new flows; empty when there are none. */
  const ServerList& ServersOf(const std::string& aService) const;

  /** The list that the last change replaced; empty when there is none. */
  const ServerList& EarlierServersOf(const std::string& aService) const;

private:
  struct Generations
  {
    ServerList m_current;
    ServerList m_earlier;
  };

  std::unordered_map<std::string, Generations> m_services;
};

/** The servers for a flow, best rendezvous score first, at most aCount. */
ServerList
RendezvousCandidates(const std::string& aFlowKey,
                     const ServerList& aServers,
                     size_t aCount);

} // namespace bilberryfield
