#pragma once

#include "AgentEntryCodec.h"
#include "EventLoop.h"
#include "HttpClient.h"
#include "PeerVersions.h"

namespace bilberryfield {

/** What one balancer gives another that cannot reach the store. */
struct PeerSnapshot
{
  /** JSON text of the operator's configuration; empty when not newer. */
  std::string m_configuration;
  uint64_t m_routesVersion = 0;
  std::vector<AgentEntry> m_agents;
  /** 0 when the list is not newer. */
  uint64_t m_agentsRevision = 0;
};

/** Path at which a balancer serves its snapshot. */
inline constexpr const char* kSnapshotPath = "/snapshot";

/** JSON form of a snapshot. */
nlohmann::json
EncodeSnapshot(const PeerSnapshot& aSnapshot);

/** The snapshot that aPeer sent. */
Result<PeerSnapshot>
DecodeSnapshot(const std::string& aText, const std::string& aPeer);

/** Fetches snapshots from other balancers, one at a time. */
class PeerSync
{
public:
  /** Called on the loop's thread. */
  using OnSnapshot = std::function<void(const PeerSnapshot&)>;

  PeerSync(EventLoop& aLoop,
           std::vector<Endpoint> aSeeds,
           Endpoint aSelf,
           OnSnapshot aOnSnapshot);

  /** Asks a balancer for what is newer than aOwn. */
  void FetchFrom(const Endpoint& aPeer, const LocalVersions& aOwn);

  /** Asks the next of the seeds; for a start without the store. */
  void FetchFromNextSeed(const LocalVersions& aOwn);

private:
  EventLoop& m_loop;
  std::vector<Endpoint> m_seeds;
  size_t m_nextSeed = 0;
  bool m_isFetching = false;
  OnSnapshot m_onSnapshot;
  HttpClient m_client;
};

} // namespace bilberryfield
