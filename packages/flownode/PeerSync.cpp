#include "PeerSync.h"

#include "HttpStatus.h"
#include "Log.h"

namespace bilberryfield {

namespace {

using nlohmann::json;

constexpr Duration kFetchTimeout = Milliseconds(1000);

EvacuationSet
DecodeEvacuations(const json& aSnapshot)
{
  auto found = aSnapshot.find("evacuations");
  if (found == aSnapshot.end()) {
    return {};
  }
  return { { found->at("era").get<uint64_t>(),
             found->at("revision").get<uint64_t>() },
           found->at("domains").get<std::vector<std::string>>() };
}

} // namespace

std::string
SnapshotRequestPath(const LocalVersions& aOwn)
{
  return std::string(kSnapshotPath) +
         "?routes=" + std::to_string(aOwn.m_routes) +
         "&agents=" + std::to_string(aOwn.m_agents.m_revision) +
         "&agents_era=" + std::to_string(aOwn.m_agents.m_era);
}

LocalVersions
RequestedVersions(const HttpIncoming& aRequest)
{
  auto number = [&](const char* aName) {
    return std::strtoull(aRequest.Parameter(aName).c_str(), nullptr, 10);
  };
  return { number("routes"), { number("agents_era"), number("agents") } };
}

json
EncodeSnapshot(const PeerSnapshot& aSnapshot)
{
  json agents = json::array();
  for (const AgentEntry& entry : aSnapshot.m_agents) {
    agents.push_back(ToJson(entry));
  }
  json snapshot = { { "configuration", aSnapshot.m_configuration },
                    { "routes_version", aSnapshot.m_routesVersion },
                    { "agents", std::move(agents) },
                    { "agents_revision",
                      aSnapshot.m_agentsPosition.m_revision },
                    { "agents_era", aSnapshot.m_agentsPosition.m_era } };
  if (const EvacuationSet& set = aSnapshot.m_evacuations; set.IsKnown()) {
    snapshot["evacuations"] = { { "era", set.m_position.m_era },
                                { "revision", set.m_position.m_revision },
                                { "domains", set.m_domains } };
  }
  return snapshot;
}

Result<PeerSnapshot>
DecodeSnapshot(const std::string& aText, const std::string& aPeer)
{
  PeerSnapshot snapshot;
  try {
    json fields = json::parse(aText);
    snapshot.m_configuration = fields.at("configuration").get<std::string>();
    snapshot.m_routesVersion = fields.at("routes_version").get<uint64_t>();
    snapshot.m_agentsPosition = { fields.value("agents_era", uint64_t{ 0 }),
                                  fields.at("agents_revision") };
    snapshot.m_evacuations = DecodeEvacuations(fields);
    for (const json& item : fields.at("agents")) {
      Result<AgentEntry> entry = AgentEntryFromJson(aPeer, item);
      if (entry) {
        snapshot.m_agents.push_back(std::move(*entry));
        continue;
      }
      Log(LogLevel::Warning,
          "agent-entry-rejected",
          { { "peer", aPeer }, { "detail", entry.error().m_detail } });
    }
  } catch (const json::exception& error) {
    return Failure(Step::DecodeMessage, aPeer, error.what());
  }
  return snapshot;
}

PeerSync::PeerSync(EventLoop& aLoop,
                   std::vector<Endpoint> aSeeds,
                   Endpoint aOwnAddress,
                   OnSnapshot aOnSnapshot)
  : m_loop(aLoop)
  , m_seeds(std::move(aSeeds))
  , m_onSnapshot(std::move(aOnSnapshot))
  , m_client(HttpClientOptions{})
{
  std::erase(m_seeds, aOwnAddress);
}

void
PeerSync::FetchFromNextSeed(const LocalVersions& aOwn)
{
  if (m_seeds.empty() || m_isFetching) {
    return;
  }
  m_nextSeed = (m_nextSeed + 1) % m_seeds.size();
  FetchFrom(m_seeds[m_nextSeed], aOwn);
}

void
PeerSync::FetchFrom(const Endpoint& aPeer, const LocalVersions& aOwn)
{
  if (m_isFetching) {
    return;
  }
  m_isFetching = true;
  HttpCall call;
  call.m_host = ToText(aPeer);
  call.m_path = SnapshotRequestPath(aOwn);
  call.m_timeout = kFetchTimeout;
  m_client.Send(call, [this, peer = call.m_host](HttpResult aResult) {
    m_loop.Post([this, peer, result = std::move(aResult)] {
      m_isFetching = false;
      bool isAnswered =
        result.m_end == HttpEnd::Answered && result.m_status == kHttpOk;
      Result<PeerSnapshot> snapshot =
        isAnswered ? DecodeSnapshot(result.m_body, peer)
                   : Failure(Step::CallDaemon, peer, "no snapshot");
      if (!snapshot) {
        Log(LogLevel::Warning,
            "snapshot-failed",
            { { "peer", peer }, { "detail", snapshot.error().m_detail } });
        return;
      }
      Log(LogLevel::Info,
          "snapshot-received",
          { { "peer", peer },
            { "routes", snapshot->m_routesVersion },
            { "agents", snapshot->m_agents.size() },
            { "agents_era", snapshot->m_agentsPosition.m_era },
            { "agents_revision", snapshot->m_agentsPosition.m_revision } });
      m_onSnapshot(*snapshot);
    });
  });
}

} // namespace bilberryfield
