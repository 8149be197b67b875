#pragma once

#include "Outcome.h"
#include "ServiceConfig.h"
#include "Time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bilberryfield {

/** Key of a traffic class of a service. */
struct ClassKey
{
  std::string m_service;
  std::string m_class;

  auto operator<=>(const ClassKey&) const = default;
};

/** A queued request that waits for a slot. */
struct WorkItem
{
  uint64_t m_id = 0;
  ClassKey m_class;
  TimePoint m_arrival;
  TimePoint m_deadline;
};

/** Why a request is not queued, and when the caller should retry. */
struct AdmissionRefusal
{
  RefusalReason m_reason = RefusalReason::None;
  Duration m_retryAfter{};
};

/**
 * Queues requests and selects the next one to start. The agent reports the
 * end of each started request.
 */
template<typename Policy>
concept AdmissionPolicy = requires(Policy aPolicy,
                                   TimePoint aNow,
                                   const WorkItem& aItem,
                                   const ClassKey& aClass,
                                   Duration aServiceTime,
                                   uint64_t aId)
{
  {
    aPolicy.Offer(aNow, aItem)
    } -> std::same_as<std::optional<AdmissionRefusal>>;
  {
    aPolicy.StartNext()
    } -> std::same_as<std::optional<WorkItem>>;
  {
    aPolicy.TakeInfeasible(aNow)
    } -> std::same_as<std::vector<WorkItem>>;
  { aPolicy.OnFinished(aClass, aServiceTime) };
  { aPolicy.OnAborted(aClass) };
  {
    aPolicy.Remove(aId)
    } -> std::same_as<bool>;
  {
    aPolicy.QueuedCount()
    } -> std::convertible_to<size_t>;
};

/** Limits of the admission queue. */
struct AdmissionOptions
{
  /** Requests that the backend server runs at a time. */
  uint32_t m_slots = 1;
  /** Fraction of the slots that long work may occupy. */
  double m_longShare = 0.25;
  /** Initial estimate of the service time of a class. */
  Duration m_initialServiceTime = Milliseconds(10);
};

/**
 * Starts requests in class order, with a minimum share of the starts for each
 * class and a limit on the slots of long work. Refuses requests that are not
 * expected to finish before their deadline.
 */
class AdmissionQueue
{
public:
  using Options = AdmissionOptions;

  explicit AdmissionQueue(Options aOptions);

  /** Sets the classes of a service; queued requests stay queued. */
  void Configure(const ServiceConfig& aService);

  /** Queues a request, or returns why it is refused. */
  std::optional<AdmissionRefusal> Offer(TimePoint aNow, const WorkItem& aItem);

  /** Removes and returns the next request to start; none if no slot is free. */
  std::optional<WorkItem> StartNext();

  /** Removes and returns the requests that can no longer finish in time. */
  std::vector<WorkItem> TakeInfeasible(TimePoint aNow);

  /** Frees the slot of a request and updates the service time of its class. */
  void OnFinished(const ClassKey& aClass, Duration aServiceTime);

  /** Frees the slot of a request without updating the service time. */
  void OnAborted(const ClassKey& aClass);

  /** Removes a queued request; false if it is not queued. */
  bool Remove(uint64_t aId);

  /** Earliest time at which TakeInfeasible returns a request. */
  std::optional<TimePoint> NextInfeasibleAt() const;

  size_t QueuedCount() const;
  size_t RunningCount() const { return m_running; }

  /** Expected time until a new request of the class would start. */
  Duration PredictedWait(const ClassKey& aClass) const;

private:
  struct ClassQueue
  {
    TrafficClass m_settings;
    /** Position in the service's class list; 0 has the highest priority. */
    size_t m_rank = 0;
    std::deque<WorkItem> m_items;
    Duration m_serviceTime{};
    uint32_t m_running = 0;
    /** Starts that the minimum share guarantees to the class. */
    double m_credit = 0.0;
  };

  bool MayStart(const ClassQueue& aQueue) const;
  bool IsLong(const ClassQueue& aQueue) const;
  uint32_t LongLimit() const;
  uint32_t RunningLong() const;
  ClassQueue* PickQueue();
  void AddShareCredits(const ClassQueue& aStarted);

  Options m_options;
  std::map<ClassKey, ClassQueue> m_classes;
  uint32_t m_running = 0;
};

static_assert(AdmissionPolicy<AdmissionQueue>);

} // namespace bilberryfield
