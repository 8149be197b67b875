// All balancers are unavailable for a while. When they return, they receive the
// SYNs of new callers and the retransmissions of those that arrived during the
// outage at once. Serving the new callers in time requires the servers'
// capacity; the others are late in any case.

#include "FakeFlowNet.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

const Endpoint kLookups{ 0xC6120001, 443 };
constexpr size_t kServers = 6;
constexpr uint32_t kSlots = 2;
constexpr Milliseconds kRequestTime{ 22 };
/** Latency objective for answers. */
constexpr Milliseconds kLatencyTarget{ 200 };
constexpr Duration kOutageTime = Milliseconds(1500);
/** 12 slots of 22 ms serve 545 flows per second; this is 80% of that rate. */
constexpr Duration kFlowInterval = Duration(2290);

struct Outage
{
  Outage()
  {
    for (int i = 0; i < 4; ++i) {
      m_net.AddBalancer("a");
    }
    for (size_t i = 0; i < kServers; ++i) {
      m_net.AddServer("desk", "a", kSlots);
    }
    m_net.SetRoutes(
      { { "lookups", kLookups, { { "desk", 1 } }, 2, kLatencyTarget } });
    m_net.RunFor(Seconds(2));
    m_net.m_requestTime = kRequestTime;
    m_net.m_serverQueue = 8;
    m_net.m_callerTimeout = Milliseconds(1500);
    Arrive(Seconds(1));
    m_net.SetRotation({});
    Arrive(kOutageTime);
    m_net.SetRotation({ 0, 1, 2, 3 });
  }

  // Adds new callers, and retries the flows that ended without running the
  // request.
  void Arrive(Duration aTime)
  {
    for (Duration elapsed{ 0 }; elapsed < aTime; elapsed += kFlowInterval) {
      m_callers.push_back({ m_net.Now(), 1, m_net.OpenFlow(kLookups) });
      m_net.RunFor(kFlowInterval);
      for (Caller& caller : m_callers) {
        Retry(caller);
      }
    }
  }

  struct Caller
  {
    TimePoint m_startedAt;
    int m_attempts = 0;
    size_t m_flow = 0;
  };

  void Retry(Caller& aCaller)
  {
    constexpr int kMaxAttempts = 3;
    FlowState state = m_net.Flow(aCaller.m_flow).m_state;
    bool isRetryable = state == FlowState::Reset || state == FlowState::Shed;
    bool isLate = m_net.Now() - aCaller.m_startedAt > m_net.m_callerTimeout;
    if (isRetryable && !isLate && aCaller.m_attempts < kMaxAttempts) {
      aCaller.m_attempts += 1;
      aCaller.m_flow = m_net.OpenFlow(kLookups);
    }
  }

  /** Share of the callers that arrive during aArrivalTime and are answered
   * within aTimeLimit. */
  double AnsweredShare(Duration aArrivalTime, Duration aTimeLimit)
  {
    size_t first = m_callers.size();
    Arrive(aArrivalTime);
    size_t end = m_callers.size();
    m_net.RunFor(Seconds(2));
    return AnsweredShare(first, end, aTimeLimit);
  }

  double AnsweredShare(size_t aFirst, size_t aEnd, Duration aTimeLimit) const
  {
    size_t answered = 0;
    for (size_t i = aFirst; i < aEnd; ++i) {
      const FakeFlow& flow = m_net.Flow(m_callers[i].m_flow);
      answered += flow.m_state == FlowState::Answered &&
                  flow.m_answeredAt - m_callers[i].m_startedAt <= aTimeLimit;
    }
    return static_cast<double>(answered) / static_cast<double>(aEnd - aFirst);
  }

  std::vector<Caller> m_callers;
  FakeFlowNet m_net{ 21 };
};

} // namespace

Test(BalancerOutageRecovery, NewCallersAreServedInTimeImmediately)
{
  Outage outage;
  double inTime = outage.AnsweredShare(Seconds(1), kLatencyTarget);
  cr_assert_geq(inTime, 0.9, "%f in time", inTime);
}

// A server answers in order of arrival, so no more than one flow may wait there
// in addition to the running ones.
Test(BalancerOutageRecovery, ServerQueuesStayShort)
{
  Outage outage;
  outage.Arrive(Seconds(1));
  cr_assert_leq(outage.m_net.LongestQueue(), 1);
}

// Callers from the outage get the capacity that new callers leave: a fifth of
// it, for the callers of the last second of the outage.
Test(BalancerOutageRecovery, CallersFromTheOutageAreServedToo)
{
  Outage outage;
  size_t end = outage.m_callers.size();
  size_t first = end - static_cast<size_t>(Seconds(1) / kFlowInterval);
  outage.Arrive(Seconds(2));
  outage.m_net.RunFor(Seconds(2));
  double answered = outage.AnsweredShare(first, end, Seconds(2));
  cr_assert_geq(answered, 0.2, "%f answered", answered);
}
