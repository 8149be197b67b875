#pragma once

#include "FlowAgent.h"
#include "FlowSamples.h"

#include <functional>
#include <queue>
#include <random>

namespace bilberryfield {

/** Callers of one class and the outcome of their requests. */
struct CallerClass
{
  uint8_t m_priority = 1;
  /** Time that a request takes at the server. */
  Duration m_work = Milliseconds(26);
  /** The requests use long flows instead of a new flow each. */
  bool m_hasLongFlows = false;
  /** Requests per second. */
  double m_rate = 0;
  /** Draws the arrivals, so that they do not depend on the server. */
  std::mt19937_64 m_arrivals{ 1 };
  size_t m_requests = 0;
  size_t m_inTime = 0;

  double InTimeShare() const
  {
    return static_cast<double>(m_inTime) / static_cast<double>(m_requests);
  }
};

/**
 * Simulates an agent and its server under load in virtual time. The server
 * works on as many requests at a time as it has slots, and on further ones in
 * order of arrival; beyond m_serverQueueLimit waiting requests it refuses more.
 */
class OrderedServer
{
public:
  static constexpr uint32_t kSlots = 2;
  size_t m_serverQueueLimit = 8;
  static constexpr Duration kLatencyTarget = Milliseconds(300);

  OrderedServer(bool aOrderRequests, uint64_t aSeed)
    : m_random(aSeed)
    , m_agent(Options(aOrderRequests), m_now)
  {
    Heartbeat();
  }

  /** Plays the load of the classes, whose requests arrive at random. */
  void Play(std::vector<CallerClass>& aClasses, Duration aTime)
  {
    for (CallerClass& callers : aClasses) {
      OpenLongFlows(callers);
    }
    RunUntil(m_now + Seconds(3));
    TimePoint end = m_now + aTime;
    for (CallerClass& callers : aClasses) {
      Arrive(callers, end);
    }
    RunUntil(end + Seconds(3));
  }

private:
  static constexpr size_t kLongFlows = 200;
  /** One way between a caller and the agent, through a balancer. */
  static constexpr Duration kDelay = Milliseconds(3);

  struct Caller
  {
    CallerClass* m_class = nullptr;
    PacketHeader m_header;
    TimePoint m_startedAt;
    bool m_isOpen = false;
    bool m_isBusy = false;
    bool m_isMeasured = false;
  };
  struct Event
  {
    TimePoint m_at;
    uint64_t m_order = 0;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  static FlowAgentOptions Options(bool aOrderRequests)
  {
    FlowAgentOptions options;
    options.m_service = "desk";
    options.m_orderRequests = aOrderRequests;
    return options;
  }

  void Schedule(Duration aDelay, std::function<void()> aRun)
  {
    m_events.push({ m_now + aDelay, m_order++, std::move(aRun) });
  }

  void RunUntil(TimePoint aEnd)
  {
    while (m_now < aEnd) {
      TimePoint tick = m_nextTick;
      if (!m_events.empty() && m_events.top().m_at <= tick) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.m_at;
        event.m_run();
      } else {
        m_now = tick;
        m_nextTick += FlowAgent::kTick;
        Heartbeat();
        m_agent.OnTick(m_now);
      }
      DeliverDequeued();
    }
  }

  void Heartbeat()
  {
    m_agent.OnHeartbeat(
      m_now, { "s", 1, ++m_sequence, "desk", {}, kSlots, false, {} });
  }

  // Times between random arrivals are exponentially distributed.
  void Arrive(CallerClass& aClass, TimePoint aEnd)
  {
    std::exponential_distribution<double> gap(aClass.m_rate / 1e6);
    Schedule(Duration(static_cast<Duration::rep>(gap(aClass.m_arrivals))),
             [this, &aClass, aEnd] {
               if (m_now < aEnd) {
                 Start(aClass);
                 Arrive(aClass, aEnd);
               }
             });
  }

  void OpenLongFlows(CallerClass& aClass)
  {
    for (size_t i = 0; aClass.m_hasLongFlows && i < kLongFlows; ++i) {
      Schedule(Milliseconds(10 * i),
               [this, &aClass] { Open(AddCaller(aClass), false); });
    }
  }

  size_t AddCaller(CallerClass& aClass)
  {
    Caller caller;
    caller.m_class = &aClass;
    caller.m_header = SynPacket();
    caller.m_header.m_source.m_ip += static_cast<uint32_t>(m_callers.size());
    caller.m_header.m_seq = 1;
    m_callers.push_back(caller);
    return m_callers.size() - 1;
  }

  // A caller of a long flow uses any flow without an open request.
  void Start(CallerClass& aClass)
  {
    aClass.m_requests += 1;
    if (!aClass.m_hasLongFlows) {
      return Open(AddCaller(aClass), true);
    }
    for (size_t i = 0; i < kLongFlows; ++i) {
      m_nextLong = (m_nextLong + 1) % kLongFlows;
      if (m_callers[m_nextLong].m_isOpen && !m_callers[m_nextLong].m_isBusy) {
        m_callers[m_nextLong].m_isMeasured = true;
        m_callers[m_nextLong].m_startedAt = m_now;
        return Request(m_nextLong);
      }
    }
  }

  void Open(size_t aCaller, bool aIsMeasured)
  {
    m_callers[aCaller].m_isMeasured = aIsMeasured;
    m_callers[aCaller].m_startedAt = m_now;
    constexpr std::array kTransmissions = { 0, 200, 600 };
    for (uint32_t i = 0; i < kTransmissions.size(); ++i) {
      Schedule(Milliseconds(kTransmissions[i]), [this, aCaller, i] {
        PacketHeader syn = m_callers[aCaller].m_header;
        syn.m_flags = kSyn;
        syn.m_ack = i;
        syn.m_mark =
          SynMark{ kNoBusyLimit, m_callers[aCaller].m_class->m_priority }
            .Pack();
        if (!m_callers[aCaller].m_isOpen) {
          Send(syn);
        }
      });
    }
  }

  void Request(size_t aCaller)
  {
    Caller& caller = m_callers[aCaller];
    caller.m_isBusy = true;
    caller.m_header.m_seq += 100;
    PacketHeader request = caller.m_header;
    request.m_ack = 1;
    request.m_flags = kAck;
    request.m_length = 100;
    Send(request);
    Schedule(Milliseconds(200), [this, aCaller, request] {
      const Caller& later = m_callers[aCaller];
      if (later.m_isBusy && later.m_header.m_seq == request.m_seq) {
        Send(request);
      }
    });
  }

  void Send(const PacketHeader& aHeader)
  {
    Schedule(kDelay, [this, aHeader] {
      if (m_agent.OnBalancerPacket(m_now, aHeader, {}, 7).m_action ==
          FlowAgentAction::Deliver) {
        OnServer(aHeader);
      }
    });
  }

  void DeliverDequeued()
  {
    for (const DequeuedPacket& dequeued : m_agent.TakeDequeuedPackets(m_now)) {
      if (dequeued.m_decision.m_action == FlowAgentAction::Deliver) {
        OnServer(dequeued.m_packet.m_header);
      }
    }
  }

  size_t CallerOf(const PacketHeader& aHeader) const
  {
    return aHeader.m_source.m_ip - SynPacket().m_source.m_ip;
  }

  void OnServer(const PacketHeader& aHeader)
  {
    size_t number = CallerOf(aHeader);
    if (aHeader.IsSyn()) {
      return Answer(number, kSyn | kAck, 0);
    }
    uint32_t& seen = m_seenSeqs[number];
    if (aHeader.m_length == 0 || aHeader.m_seq == seen) {
      return;
    }
    seen = aHeader.m_seq;
    if (m_serverQueue.size() >= m_serverQueueLimit) {
      m_callers[number].m_isMeasured = false;
      return Answer(number, kAck, 1);
    }
    m_serverQueue.push_back(number);
    RunQueued();
  }

  void RunQueued()
  {
    while (m_running < kSlots && !m_serverQueue.empty()) {
      size_t number = m_serverQueue.front();
      m_serverQueue.pop_front();
      m_running += 1;
      std::uniform_real_distribution<double> spread(0.7, 1.3);
      auto work =
        static_cast<double>(m_callers[number].m_class->m_work.count());
      Schedule(Duration(static_cast<Duration::rep>(work * spread(m_random))),
               [this, number] {
                 m_running -= 1;
                 Answer(number, kAck, 100);
                 RunQueued();
               });
    }
  }

  void Answer(size_t aCaller, uint8_t aFlags, uint16_t aLength)
  {
    PacketHeader answer;
    answer.m_source = kDeskAddress;
    answer.m_destination = m_callers[aCaller].m_header.m_source;
    answer.m_flags = aFlags;
    bool isLast = aLength > 0 && !m_callers[aCaller].m_class->m_hasLongFlows;
    answer.m_flags |= isLast ? kFin : 0;
    answer.m_length = aLength;
    m_agent.OnServerPacket(m_now, answer);
    Schedule(kDelay, [this, aCaller, aLength] { OnAnswer(aCaller, aLength); });
  }

  void OnAnswer(size_t aCaller, uint16_t aLength)
  {
    Caller& caller = m_callers[aCaller];
    if (aLength == 0 && !caller.m_isOpen) {
      caller.m_isOpen = true;
      return Request(aCaller);
    }
    if (aLength > 0 && caller.m_isBusy) {
      caller.m_isBusy = false;
      bool isInTime = m_now - caller.m_startedAt <= kLatencyTarget;
      caller.m_class->m_inTime += caller.m_isMeasured && isInTime ? 1 : 0;
    }
  }

  std::mt19937_64 m_random;
  TimePoint m_now{ Seconds(100) };
  TimePoint m_nextTick{ Seconds(100) };
  FlowAgent m_agent;
  uint64_t m_sequence = 0;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<Caller> m_callers;
  std::map<size_t, uint32_t> m_seenSeqs;
  size_t m_nextLong = 0;
  std::deque<size_t> m_serverQueue;
  uint32_t m_running = 0;
};

} // namespace bilberryfield
