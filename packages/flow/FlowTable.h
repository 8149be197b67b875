#pragma once

#include "GenerationMap.h"
#include "Packet.h"
#include "ServerSequence.h"
#include "ServerStartup.h"
#include "Time.h"

#include <absl/container/btree_map.h>
#include <deque>
#include <optional>

namespace bilberryfield {

/** State of a flow at an agent's server. */
enum class FlowPhase : uint8_t
{
  Handshake, /**< The server has the SYN. */
  Requested, /**< A request is waiting or running. */
  Idle,      /**< No request is waiting or running. */
  Closed,    /**< The caller or the server has closed. */
};

/** A flow at an agent's server. */
struct AgentFlow
{
  FlowPhase m_phase = FlowPhase::Handshake;
  ServerSequence m_sent;
  TimePoint m_busySince;
  /** Time of the last request; the epoch before the first one. */
  TimePoint m_requestedAt;
  /** The request at the server is not the first one of the flow. */
  bool m_hasLaterRequest = false;
  /** Priority of the flow's SYN, if it was seen. */
  std::optional<uint8_t> m_priority;
  /** ServerStartup::Number() when the flow became busy. */
  uint32_t m_startNumber = 0;
};

/** The flows at an agent's server, with the number of those that are busy. */
class FlowTable
{
public:
  /** aMaxFlows is the maximum number of flows per generation. aStartup counts
   * the busy flows by start of the server. */
  FlowTable(size_t aMaxFlows, ServerStartup& aStartup);

  /** Returns a flow, or nullptr. Valid until the next call. */
  AgentFlow* Find(const FlowKey& aKey) { return m_flows.Find(aKey); }
  /** Sets a flow that is not busy. The reference is valid until the next call.
   */
  AgentFlow& Insert(const FlowKey& aKey, const AgentFlow& aFlow)
  {
    return m_flows.Insert(aKey, aFlow);
  }
  /** Adds a flow whose SYN goes to the server. */
  void Open(TimePoint aNow, const FlowKey& aKey, uint8_t aPriority);
  /** Erases a flow that is not busy. */
  void Erase(const FlowKey& aKey) { m_flows.Erase(aKey); }
  /** True once after flows were evicted because the table was full. */
  bool TakeOverflow() { return m_flows.TakeEndedEarly(); }
  /** Evicts the flows that were not used since the last call. */
  void StartGeneration() { m_flows.StartGeneration(); }

  void SetPhase(TimePoint aNow,
                const FlowKey& aKey,
                AgentFlow& aFlow,
                FlowPhase aPhase);

  /** Makes flows with a request idle, because a restarted server has lost the
   * requests. */
  void ReleaseRequests(TimePoint aNow);

  /** Excludes a pause of this process from the timeouts. */
  void OnPause(Duration aPause);
  /** Makes flows idle whose caller has disappeared; to be called each tick. */
  void ExpireBusyFlows(TimePoint aNow);

  /** Number of flows, closed ones included. */
  size_t Size() const { return m_flows.Size(); }
  /** Number of flows whose SYN or request is at the server. */
  uint32_t Busy() const { return m_busy; }
  /** Number of flows whose request is at the server; part of Busy(). */
  uint32_t Requested() const { return m_requested; }
  /** True if a new flow would wait for one of the server's slots. */
  bool HasNoFreeSlot(uint32_t aSlots) const;
  /** True if the server has a request for each of its slots. */
  bool HasFullServer(uint32_t aSlots) const { return m_requested >= aSlots; }

  /** Number of later requests at the server on flows that are less urgent than
   * the priority. The first request of a flow does not count. */
  uint32_t LessUrgentRequests(uint8_t aPriority) const;

  static bool IsBusy(FlowPhase aPhase);

private:
  struct BusyEntry
  {
    TimePoint m_since;
    FlowKey m_flow;
  };

  void CountLaterRequest(AgentFlow& aFlow, FlowPhase aPhase);
  void ExpireUnconfirmedFlows(TimePoint aNow);

  ServerStartup& m_startup;
  GenerationMap<FlowKey, AgentFlow> m_flows;
  uint32_t m_busy = 0;
  uint32_t m_requested = 0;
  /** Later requests at the server by the priority of their flow. */
  absl::btree_map<uint8_t, uint32_t> m_laterRequests;
  std::deque<BusyEntry> m_busyEntries;
  /** Opened flows, until the caller's next packet is due. */
  std::deque<BusyEntry> m_unconfirmedFlows;
};

} // namespace bilberryfield
