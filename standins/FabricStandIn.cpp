// A stand-in of the fabric: listens at the services' addresses and hands each
// HTTP message to any healthy balancer.

#include "HttpClient.h"
#include "HttpServer.h"
#include "StandInMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>

ABSL_FLAG(int, addresses, 2, "Number of service addresses to listen at.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the choice of balancers.");

namespace {

using namespace bilberryfield;

class Balancers
{
public:
  explicit Balancers(uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  void Add(const std::string& aAddress)
  {
    std::lock_guard lock(m_mutex);
    m_all.push_back({ aAddress, false });
  }

  std::vector<std::string> All()
  {
    std::lock_guard lock(m_mutex);
    std::vector<std::string> all;
    for (const Target& target : m_all) {
      all.push_back(target.m_address);
    }
    return all;
  }

  void SetHealthy(const std::string& aAddress, bool aIsHealthy)
  {
    std::lock_guard lock(m_mutex);
    for (Target& target : m_all) {
      if (target.m_address == aAddress) {
        target.m_isHealthy = aIsHealthy;
      }
    }
  }

  std::string Pick()
  {
    std::lock_guard lock(m_mutex);
    std::vector<std::string> healthy;
    for (const Target& target : m_all) {
      if (target.m_isHealthy) {
        healthy.push_back(target.m_address);
      }
    }
    if (healthy.empty()) {
      return {};
    }
    std::uniform_int_distribution<size_t> pick(0, healthy.size() - 1);
    return healthy[pick(m_random)];
  }

private:
  struct Target
  {
    std::string m_address;
    /** Set by the first health check that succeeds. */
    bool m_isHealthy = false;
  };

  std::mutex m_mutex;
  std::mt19937_64 m_random;
  std::vector<Target> m_all;
};

constexpr int kMaxPicks = 6;

void
PassOn(HttpClient& aClient,
       Balancers& aBalancers,
       HttpCall aCall,
       const HttpReply& aReply,
       int aPicksLeft)
{
  aCall.m_host = aBalancers.Pick();
  if (aCall.m_host.empty() || aPicksLeft == 0) {
    return aReply({ 502, { { "Fabric-Lost", "no-balancer" } }, "", "" });
  }
  aClient.Send(aCall, [=, &aClient, &aBalancers](HttpResult aResult) {
    if (aResult.m_end == HttpEnd::Refused) {
      aBalancers.SetHealthy(aCall.m_host, false);
      return PassOn(aClient, aBalancers, aCall, aReply, aPicksLeft - 1);
    }
    if (aResult.m_end == HttpEnd::Lost) {
      return aReply({ 502, { { "Fabric-Lost", "connection" } }, "", "" });
    }
    HttpOutgoing answer{ aResult.m_status, {}, aResult.m_contentType, "" };
    for (HttpHeader& header : aResult.m_headers) {
      bool isOwn = header.m_name.starts_with("Bilberry-") ||
                   header.m_name == "Retry-After";
      if (isOwn) {
        answer.m_headers.push_back(std::move(header));
      }
    }
    answer.m_body = std::move(aResult.m_body);
    aReply(std::move(answer));
  });
}

HttpCall
MakeCall(const HttpIncoming& aRequest, const std::string& aServiceAddress)
{
  HttpCall call;
  call.m_method = aRequest.m_method;
  call.m_path = aRequest.m_path + aRequest.m_query;
  call.m_contentType = aRequest.m_contentType;
  call.m_body = aRequest.m_body;
  call.m_timeout = Seconds(120);
  for (const HttpHeader& header : aRequest.m_headers) {
    if (header.m_name.starts_with("Bilberry-")) {
      call.m_headers.push_back(header);
    }
  }
  call.m_headers.push_back({ "Bilberry-Service-Address", aServiceAddress });
  if (aRequest.Header("bilberry-flow").empty()) {
    call.m_headers.push_back({ "Bilberry-Flow", aRequest.m_peer });
  }
  return call;
}

void
CheckHealth(HttpClient& aClient, Balancers& aBalancers)
{
  for (const std::string& address : aBalancers.All()) {
    HttpCall call;
    call.m_host = address;
    call.m_path = "/-/health";
    call.m_timeout = Milliseconds(400);
    aClient.Send(call, [&aBalancers, address](const HttpResult& aResult) {
      aBalancers.SetHealthy(
        address, aResult.m_end == HttpEnd::Answered && aResult.m_status == 200);
    });
  }
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  sigset_t signals = BlockStopSignals();
  Balancers balancers(absl::GetFlag(FLAGS_seed));
  HttpClient client(HttpClientOptions{});
  HttpClient prober(HttpClientOptions{});

  // The first port takes announcements of agents and the launcher's orders.
  HttpServer entry(
    {}, [&](const HttpIncoming& aRequest, const HttpReply& aReply) {
      if (aRequest.m_path == "/balancers") {
        balancers.Add(aRequest.Parameter("add"));
        return aReply({ 200, {}, "", "" });
      }
      PassOn(client, balancers, MakeCall(aRequest, ""), aReply, kMaxPicks);
    });
  std::vector<uint16_t> ports;
  Result<uint16_t> entryPort = entry.Start("127.0.0.1:0");
  ports.push_back(entryPort.value());
  std::vector<std::unique_ptr<HttpServer>> services;
  std::vector<std::shared_ptr<std::string>> addresses;
  for (int i = 0; i < absl::GetFlag(FLAGS_addresses); ++i) {
    auto address = std::make_shared<std::string>();
    services.push_back(std::make_unique<HttpServer>(
      HttpServerOptions{},
      [&, address](const HttpIncoming& aRequest, const HttpReply& aReply) {
        PassOn(
          client, balancers, MakeCall(aRequest, *address), aReply, kMaxPicks);
      }));
    uint16_t port = services.back()->Start("127.0.0.1:0").value();
    *address = "127.0.0.1:" + std::to_string(port);
    ports.push_back(port);
  }
  std::thread([&] {
    while (true) {
      CheckHealth(prober, balancers);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }).detach();
  PrintPorts(ports);
  WaitForStop(signals);
  std::_Exit(0);
}
