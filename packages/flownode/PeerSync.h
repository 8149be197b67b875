#pragma once

#include "AgentEntryCodec.h"
#include "EventLoop.h"
#include "HttpClient.h"
#include "PeerVersions.h"

namespace bilberryfield {

/** State that a balancer serves to peers that cannot load it from the store. */
struct PeerSnapshot
{
  /** JSON text of the operator's configuration; empty when the requester's
   * version is not older. */
  std::string m_configuration;
  RoutesVersion m_routesVersion = 0;
  std::vector<AgentEntry> m_agents;
  /** Position of the list; unknown, with an empty list, when the requester's is
   * not older. */
  StorePosition m_agentsPosition;
  /** Unknown if the sender does not know it. */
  EvacuationSet m_evacuations;
};

/** HTTP path at which a balancer serves its snapshot. */
inline constexpr const char* kSnapshotPath = "/snapshot";

/** Path and query that ask a balancer for what is newer than aOwn. */
std::string
SnapshotRequestPath(const LocalVersions& aOwn);

/** The versions that a request for a snapshot tells. A request of a build that
 * knows no eras tells the position of era 0. */
LocalVersions
RequestedVersions(const HttpIncoming& aRequest);

/** Encodes a snapshot as JSON. */
nlohmann::json
EncodeSnapshot(const PeerSnapshot& aSnapshot);

/** Decodes a snapshot; aPeer identifies its sender in the error. */
Result<PeerSnapshot>
DecodeSnapshot(const std::string& aText, const std::string& aPeer);

/** Fetches snapshots from other balancers, one at a time. */
class PeerSync
{
public:
  /** Called on the loop's thread with each snapshot that was fetched. */
  using OnSnapshot = std::function<void(const PeerSnapshot&)>;

  PeerSync(EventLoop& aLoop,
           std::vector<Endpoint> aSeeds,
           Endpoint aOwnAddress,
           OnSnapshot aOnSnapshot);

  /** Fetches what is newer than aOwn from a balancer; does nothing while a
   * fetch is in progress. */
  void FetchFrom(const Endpoint& aPeer, const LocalVersions& aOwn);

  /** As FetchFrom, from the seeds in turn; used to start without the store. */
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
