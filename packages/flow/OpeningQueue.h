#pragma once

#include "Packet.h"
#include "Time.h"

#include <absl/container/flat_hash_set.h>
#include <functional>
#include <map>
#include <vector>

namespace bilberryfield {

/** A caller's opening packet that waits for a free server. */
struct WaitingOpening
{
  PacketHeader m_header;
  std::vector<uint8_t> m_bytes;
  std::string m_service;
  /** 0 is the most urgent. */
  uint32_t m_priority = 0;
  /** Time at which waiting no longer helps the caller. */
  TimePoint m_until;
};

/** Opening packets by urgency, then by their arrival. */
class OpeningQueue
{
public:
  explicit OpeningQueue(size_t aMaxWaiting)
    : m_maxWaiting(aMaxWaiting)
  {
  }

  /** False when the queue is full. */
  bool Add(WaitingOpening aOpening);

  bool Contains(const FlowKey& aFlow) const { return m_flows.contains(aFlow); }

  /** True when flows of a service wait. */
  bool HasService(const std::string& aService) const
  {
    return m_services.contains(aService);
  }

  /** Calls aIsDone with each opening in order; removes those that are done. */
  void Visit(const std::function<bool(WaitingOpening&)>& aIsDone);

  size_t Size() const { return m_flows.size(); }

private:
  struct Place
  {
    uint32_t m_priority = 0;
    uint64_t m_arrival = 0;

    auto operator<=>(const Place&) const = default;
  };

  size_t m_maxWaiting;
  uint64_t m_arrivals = 0;
  std::map<Place, WaitingOpening> m_waiting;
  absl::flat_hash_set<FlowKey> m_flows;
  std::map<std::string, size_t> m_services;
};

} // namespace bilberryfield
