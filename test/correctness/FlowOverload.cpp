#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kLookups{ 0xC6120001, 443 };
const Endpoint kRenewals{ 0xC6120001, 8080 };

struct Crowd
{
  FakeFlowNet m_net{ 11 };
  std::vector<uint32_t> m_servers;

  // Four balancers before servers of four slots; renewals are more urgent.
  explicit Crowd(int aServers)
  {
    for (int i = 0; i < 4; ++i) {
      m_net.AddBalancer("a");
    }
    for (int i = 0; i < aServers; ++i) {
      m_servers.push_back(m_net.AddServer("desk", "a", 4));
    }
    m_net.SetRoutes(
      { { "lookups", kLookups, { { "desk", 1 } }, 2, Milliseconds(150) },
        { "renewals", kRenewals, { { "desk", 1 } }, 1, Milliseconds(200) } });
    m_net.Pass(Seconds(2));
    m_net.m_work = Milliseconds(40);
  }

  // Opens flows evenly over a time; every fifth is a renewal.
  void Arrive(int aCount, Duration aTime)
  {
    for (int i = 0; i < aCount; ++i) {
      m_net.OpenFlow(i % 5 == 0 ? kRenewals : kLookups);
      m_net.Pass(aTime / aCount);
    }
  }

  size_t Count(FlowState aState) const
  {
    size_t count = 0;
    for (const FakeFlow& flow : m_net.Flows()) {
      count += flow.m_state == aState ? 1 : 0;
    }
    return count;
  }

  Duration MeanWait(const Endpoint& aService) const
  {
    Duration sum{};
    int64_t count = 0;
    for (const FakeFlow& flow : m_net.Flows()) {
      if (flow.m_key.m_service == aService &&
          flow.m_state == FlowState::Answered) {
        sum += flow.m_answeredAt - flow.m_openedAt;
        count += 1;
      }
    }
    return sum / count;
  }
};

} // namespace

// After a loss of power the first servers to return meet the callers of all
// the others, who wait with copies of their opening packets.
Test(FlowOverload, TheFirstServersToReturnShedNobody)
{
  Crowd crowd(6);
  for (uint32_t ip : crowd.m_servers) {
    crowd.m_net.SilenceServer(ip);
  }
  crowd.m_net.Pass(Seconds(3));
  crowd.m_net.WakeServer(crowd.m_servers[0]);
  crowd.m_net.WakeServer(crowd.m_servers[1]);
  crowd.m_net.Pass(Seconds(1));
  crowd.Arrive(150, Milliseconds(150));
  crowd.m_net.Pass(Milliseconds(200));
  for (uint32_t ip : crowd.m_servers) {
    crowd.m_net.WakeServer(ip);
  }
  crowd.m_net.Pass(Seconds(4));
  cr_assert_eq(crowd.Count(FlowState::Shed),
               0,
               "%zu requests were shed",
               crowd.Count(FlowState::Shed));
  cr_assert_eq(crowd.Count(FlowState::Answered), 150);
}

// 16 slots of 40 ms carry 400 flows a second; for a second twice as many come.
Test(FlowOverload, UrgentFlowsGoFirstWhenEverySlotIsTaken)
{
  Crowd crowd(4);
  crowd.Arrive(800, Seconds(1));
  crowd.m_net.Pass(Seconds(5));
  Duration urgent = crowd.MeanWait(kRenewals);
  Duration others = crowd.MeanWait(kLookups);
  cr_assert_lt(urgent.count(), Duration(Milliseconds(200)).count());
  cr_assert_lt(2 * urgent.count(), others.count());
  cr_assert_eq(crowd.Count(FlowState::Shed), 0);
}

// What waits longer than its callers can use is refused, and truly not run.
Test(FlowOverload, FlowsThatCannotBeServedInTimeAreRefusedUnopened)
{
  Crowd crowd(1);
  crowd.Arrive(400, Seconds(1));
  crowd.m_net.Pass(Seconds(5));
  size_t refused = 0;
  for (const FakeFlow& flow : crowd.m_net.Flows()) {
    if (flow.m_state == FlowState::Reset) {
      cr_assert_eq(flow.m_server, 0);
      refused += 1;
    }
  }
  cr_assert_gt(refused, 0);
  cr_assert_eq(refused + crowd.Count(FlowState::Answered), 400);
}

// Callers give up while they wait; what they leave behind must not keep the
// servers from those who still want an answer.
Test(FlowOverload, CallersThatGaveUpDoNotBlockTheServers)
{
  Crowd crowd(2);
  crowd.m_net.m_patience = Milliseconds(300);
  crowd.Arrive(600, Seconds(1));
  crowd.m_net.Pass(Milliseconds(1500));
  size_t before = crowd.m_net.Flows().size();
  crowd.Arrive(100, Seconds(1));
  crowd.m_net.Pass(Seconds(3));
  size_t answered = 0;
  for (size_t i = before; i < crowd.m_net.Flows().size(); ++i) {
    bool isAnswered = crowd.m_net.Flow(i).m_state == FlowState::Answered;
    answered += isAnswered ? 1 : 0;
  }
  cr_assert_eq(answered, 100, "%zu of 100 answered", answered);
}
