// Servers that accept flows and reset their requests without an answer, while
// their heartbeats say that they are well.

#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kLookups{ 0xC6120001, 443 };
const Endpoint kBookings{ 0xC6120001, 8080 };
const TimePoint kStart{ Seconds(100) };

/** Four balancers and eight servers with two slots, 30 ms a request. Every
 * fourth caller makes a booking, which must not be repeated. */
struct Cluster
{
  FakeFlowNet m_net{ 5 };
  std::vector<uint32_t> m_servers;

  explicit Cluster(bool aEjects)
  {
    m_net.m_ejectsFailingServers = aEjects;
    for (int i = 0; i < 4; ++i) {
      m_net.AddBalancer("a");
    }
    for (int i = 0; i < 8; ++i) {
      m_servers.push_back(m_net.AddServer("desk", "a", 2));
    }
    m_net.m_requestTime = Milliseconds(30);
    Route lookups{ "lookups", kLookups, { { "desk", 1 } }, 2, {} };
    lookups.m_isIdempotent = true;
    Route bookings{ "bookings", kBookings, { { "desk", 1 } }, 1, {} };
    m_net.SetRoutes({ lookups, bookings });
    m_net.RunFor(Seconds(2));
  }

  /** Opens 200 flows a second, about 40% load. */
  void Arrive(Duration aTime)
  {
    for (TimePoint end = m_net.Now() + aTime; m_net.Now() < end;) {
      bool isBooking = m_net.Flows().size() % 4 == 0;
      m_net.OpenFlow(isBooking ? kBookings : kLookups);
      m_net.RunFor(Milliseconds(5));
    }
  }

  size_t ResetFlows(const Endpoint& aService, size_t aFrom = 0) const
  {
    const std::vector<FakeFlow>& flows = m_net.Flows();
    return static_cast<size_t>(
      std::count_if(flows.begin() + static_cast<ptrdiff_t>(aFrom),
                    flows.end(),
                    [&](const FakeFlow& aFlow) {
                      return aFlow.m_key.m_service == aService &&
                             aFlow.m_state == FlowState::Reset;
                    }));
  }
};

} // namespace

// A server that resets requests is free again at once. Without ejection it
// looks idle and attracts more flows than all healthy servers together.
Test(FailingServers, DoNotAttractFlows)
{
  Cluster cluster(true);
  cluster.m_net.SetResetsRequests(cluster.m_servers[0], true);
  cluster.Arrive(Seconds(4));
  cluster.m_net.RunFor(Seconds(1));
  size_t lookups = cluster.ResetFlows(kLookups);
  size_t bookings = cluster.ResetFlows(kBookings);
  // Each probe costs one attempt; the backoff allows five probes in 4 s. The
  // flows that are on their way when the circuit opens are lost as well.
  cr_assert_leq(lookups + bookings, 12, "%zu, %zu", lookups, bookings);
  cr_assert_leq(bookings, 3, "%zu", bookings);
}

// Guards the test above: the load must be one that the failing server attracts.
Test(FailingServers, AttractFlowsWithoutEjection)
{
  Cluster cluster(false);
  cluster.m_net.SetResetsRequests(cluster.m_servers[0], true);
  cluster.Arrive(Seconds(4));
  cr_assert_geq(cluster.ResetFlows(kLookups), 100);
}

// A server that works again must not be left idle.
Test(FailingServers, GetFlowsAgainOnceTheyAnswer)
{
  Cluster cluster(true);
  uint32_t server = cluster.m_servers[0];
  cluster.m_net.SetResetsRequests(server, true);
  cluster.Arrive(Milliseconds(1400));
  cluster.m_net.SetResetsRequests(server, false);
  cluster.Arrive(Milliseconds(1400));
  uint32_t before = cluster.m_net.SynCountAt(server);
  cluster.Arrive(Seconds(2));
  // An eighth of 400 flows is 50.
  cr_assert_geq(cluster.m_net.SynCountAt(server) - before, 25);
}

// Every server fails: callers must learn it at once, not wait until they time
// out, and be served again soon after the servers are back.
Test(FailingServers, AllOfAService)
{
  Cluster cluster(true);
  for (uint32_t server : cluster.m_servers) {
    cluster.m_net.SetResetsRequests(server, true);
  }
  cluster.Arrive(Milliseconds(1400));
  for (uint32_t server : cluster.m_servers) {
    cluster.m_net.SetResetsRequests(server, false);
  }
  cluster.m_net.RunFor(Seconds(2));
  size_t from = cluster.m_net.Flows().size();
  cluster.Arrive(Seconds(1));
  size_t firstSecond = cluster.m_net.Flows().size();
  cluster.Arrive(Seconds(2));
  cluster.m_net.RunFor(Seconds(1));
  for (size_t i = 0; i < from; ++i) {
    cr_assert_eq(cluster.m_net.Flow(i).m_state, FlowState::Reset);
  }
  cr_assert_eq(cluster.ResetFlows(kLookups, firstSecond), 0);
  cr_assert_eq(cluster.ResetFlows(kBookings, firstSecond), 0);
}

Test(FailingServers, SingleResetKeepsTheCircuitClosed)
{
  CircuitBreaker circuit;
  circuit.OnReset(kStart);
  circuit.OnAnswer(kStart);
  circuit.OnReset(kStart);
  cr_assert_eq(circuit.State(kStart), CircuitState::Closed);
}

// A server that fails part of its requests rarely fails two in a row.
Test(FailingServers, RepeatedSingleResetsOpenTheCircuit)
{
  CircuitBreaker circuit;
  for (int i = 0; i < 3; ++i) {
    circuit.OnAnswer(kStart);
    circuit.OnReset(kStart);
  }
  cr_assert_eq(circuit.State(kStart), CircuitState::Open);
}

Test(FailingServers, ProbesAreIdempotentAndSingle)
{
  CircuitBreaker circuit;
  circuit.OnReset(kStart);
  circuit.OnReset(kStart);
  cr_assert_not(circuit.MayAdmit(kStart + Milliseconds(200), true));
  TimePoint later = kStart + Milliseconds(300);
  cr_assert_not(circuit.MayAdmit(later, false));
  cr_assert(circuit.MayAdmit(later, true));
  circuit.OnAdmitted(later);
  cr_assert_not(circuit.MayAdmit(later, true));
  // A service without idempotent requests is probed as well.
  cr_assert(circuit.MayAdmit(kStart + Milliseconds(1500), false));
}

// A server that comes and goes must not get full load each time it is up.
Test(FailingServers, BackoffGrowsWhileTheServerKeepsFailing)
{
  CircuitBreaker circuit;
  TimePoint now = kStart;
  circuit.OnReset(now);
  circuit.OnReset(now);
  for (int i = 0; i < 5; ++i) {
    now += Seconds(2);
    circuit.OnAdmitted(now);
    circuit.OnReset(now);
  }
  cr_assert_eq(circuit.State(now + Milliseconds(1900)), CircuitState::Open);
  cr_assert_eq(circuit.State(now + Milliseconds(2000)), CircuitState::HalfOpen);
}
