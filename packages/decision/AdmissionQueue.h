#pragma once

#include "Outcome.h"
#include "ServiceConfig.h"
#include "Time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bilberryfield {

/** Names a class of one service at an agent. */
struct ClassKey
{
  std::string m_service;
  std::string m_class;

  auto operator<=>(const ClassKey&) const = default;
};

/** A request that waits for a slot. */
struct WorkItem
{
  uint64_t m_id = 0;
  ClassKey m_class;
  TimePoint m_arrival;
  TimePoint m_deadline;
};

/** Why a request may not wait here, and when to come back. */
struct AdmissionRefusal
{
  RefusalReason m_reason = RefusalReason::None;
  Duration m_retryAfter{};
};

/**
 * What decides which request gets a slot next. An implementation keeps the
 * queue; the agent keeps the slots.
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
  /** Part of the slots that long work may hold. */
  double m_longShare = 0.25;
  /** Service time assumed for a class that has not run yet. */
  Duration m_initialServiceTime = Milliseconds(10);
};

/**
 * Class order with a minimum share for each class, a limit on the slots of
 * long work, and early refusal of what cannot finish before its deadline.
 */
class AdmissionQueue
{
public:
  using Options = AdmissionOptions;

  explicit AdmissionQueue(Options aOptions);

  /** Takes over the classes of a service; queued requests stay queued. */
  void Configure(const ServiceConfig& aService);

  /** Queues a request, or says why not. */
  std::optional<AdmissionRefusal> Offer(TimePoint aNow, const WorkItem& aItem);

  /** Takes the request that starts next; nothing while no slot is free. */
  std::optional<WorkItem> StartNext();

  /** Takes the queued requests that can no longer finish in time. */
  std::vector<WorkItem> TakeInfeasible(TimePoint aNow);

  /** Frees the slot of a started request and learns from its time. */
  void OnFinished(const ClassKey& aClass, Duration aServiceTime);

  /** Frees the slot of a started request whose time teaches nothing. */
  void OnAborted(const ClassKey& aClass);

  /** Takes a queued request out; false when it is not queued. */
  bool Remove(uint64_t aId);

  /** Time after which TakeInfeasible has something to take. */
  std::optional<TimePoint> NextInfeasibleAt() const;

  size_t QueuedCount() const;
  size_t RunningCount() const { return m_running; }

  /** Time from now until a request of the class would start. */
  Duration PredictedWait(const ClassKey& aClass) const;

private:
  struct ClassQueue
  {
    TrafficClass m_settings;
    /** Position in its service's file; 0 is the most urgent. */
    size_t m_rank = 0;
    std::deque<WorkItem> m_items;
    Duration m_serviceTime{};
    uint32_t m_running = 0;
    /** Starts owed to the class by its minimum share. */
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
