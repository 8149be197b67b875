// SYN packets arrive at twice the rate at which a VM can place them. Callers
// retransmit after 200 ms and 600 ms and time out after 1.4 s.

#include "SynBacklog.h"

#include <criterion/criterion.h>
#include <deque>
#include <queue>

using namespace bilberryfield;

namespace {

constexpr Duration kPlacementCost = Milliseconds(2);
constexpr Duration kCallerInterval = Milliseconds(1);
constexpr Duration kSimulatedTime = Seconds(10);
constexpr Duration kTimeLimit = Milliseconds(100);
constexpr int kCallers = static_cast<int>(kSimulatedTime / kCallerInterval);

struct Arrival
{
  TimePoint m_at;
  uint32_t m_caller = 0;
  uint32_t m_retransmission = 0;

  bool operator<(const Arrival& aOther) const { return m_at > aOther.m_at; }
};

PacketHeader
SynFrom(uint32_t aCaller, uint32_t aRetransmission)
{
  PacketHeader header;
  header.m_flags = kSyn;
  header.m_seq = aCaller;
  header.m_ack = aRetransmission;
  return header;
}

/** Simulates the overloaded VM in virtual time. */
struct OverloadedVm
{
  OverloadedVm()
  {
    for (uint32_t i = 0; i < kCallers; ++i) {
      TimePoint start = i * kCallerInterval + TimePoint();
      m_arrivals.push({ start, i, 0 });
      m_arrivals.push({ start + Milliseconds(200), i, 1 });
      m_arrivals.push({ start + Milliseconds(600), i, 2 });
    }
  }

  // Callers that have been placed do not retransmit.
  std::optional<Arrival> TakeArrival()
  {
    while (!m_arrivals.empty() && m_arrivals.top().m_at <= m_now) {
      Arrival arrival = m_arrivals.top();
      m_arrivals.pop();
      if (!m_placedAt.contains(arrival.m_caller)) {
        return arrival;
      }
    }
    return std::nullopt;
  }

  void Place(uint32_t aCaller)
  {
    m_now += kPlacementCost;
    m_placedAt.emplace(aCaller, m_now);
  }

  double ShareInTime() const
  {
    size_t inTime = 0;
    for (const auto& [caller, at] : m_placedAt) {
      inTime += at - (caller * kCallerInterval + TimePoint()) <= kTimeLimit;
    }
    return static_cast<double>(inTime) / kCallers;
  }

  TimePoint m_now;
  std::priority_queue<Arrival> m_arrivals;
  std::map<uint32_t, TimePoint> m_placedAt;
};

} // namespace

// The VM can place half of the callers, so no order can exceed one half.
Test(SynBacklogOverload, PlacesNearlyHalfOfTheCallersInTime)
{
  OverloadedVm vm;
  SynBacklog backlog;
  while (vm.m_now.time_since_epoch() < kSimulatedTime) {
    while (std::optional<Arrival> arrival = vm.TakeArrival()) {
      backlog.Add(SynFrom(arrival->m_caller, arrival->m_retransmission), {});
    }
    backlog.PlaceAll(
      [&] { return vm.m_now; },
      [&](const PacketHeader& aHeader, auto) { vm.Place(aHeader.m_seq); });
    vm.m_now += Milliseconds(1);
  }
  cr_assert_geq(vm.ShareInTime(), 0.4, "%f", vm.ShareInTime());
  cr_assert_gt(backlog.DiscardedCount(), 0);
}

// The reason for SynBacklog: if SYNs were placed in order of arrival, nearly
// all callers would be placed too late.
Test(SynBacklogOverload, OrderOfArrivalMakesNearlyAllLate)
{
  OverloadedVm vm;
  std::deque<uint32_t> waiting;
  while (vm.m_now.time_since_epoch() < kSimulatedTime) {
    while (std::optional<Arrival> arrival = vm.TakeArrival()) {
      waiting.push_back(arrival->m_caller);
    }
    if (!waiting.empty()) {
      vm.Place(waiting.front());
      waiting.pop_front();
    }
  }
  cr_assert_lt(vm.ShareInTime(), 0.1, "%f", vm.ShareInTime());
}

Test(SynBacklogOverload, PlacesAllWithinTheTimeBudget)
{
  SynBacklog backlog;
  std::vector<uint8_t> bytes = { 1, 2, 3 };
  for (uint32_t i = 0; i < 3; ++i) {
    backlog.Add(SynFrom(i, i % 2), bytes);
  }
  std::vector<uint32_t> placed;
  backlog.PlaceAll([] { return TimePoint(); },
                   [&](const PacketHeader& aHeader, std::span<uint8_t> aBytes) {
                     placed.push_back(aHeader.m_seq);
                     cr_assert_eq(aBytes.size(), 3);
                   });
  cr_assert(placed == std::vector<uint32_t>({ 2, 0, 1 }));
  cr_assert_eq(backlog.Size(), 0);
  cr_assert_eq(backlog.DiscardedCount(), 0);
}
