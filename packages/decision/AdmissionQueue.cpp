#include "AdmissionQueue.h"

#include "Error.h"

#include <algorithm>
#include <cmath>

namespace bilberryfield {

namespace {

// Weight of the newest service time in the moving average of its class.
constexpr double kSmoothingFactor = 0.02;

// Maximum expected wait as a fraction of the time until the deadline. Work
// that starts later often misses its deadline, which wastes the slot.
constexpr double kMaxWaitFraction = 0.5;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

AdmissionQueue::AdmissionQueue(Options aOptions)
  : m_options(aOptions)
{
}

void
AdmissionQueue::Configure(const ServiceConfig& aService)
{
  for (size_t rank = 0; rank < aService.m_classes.size(); ++rank) {
    const TrafficClass& settings = aService.m_classes[rank];
    ClassQueue& queue = m_classes[{ aService.m_name, settings.m_name }];
    queue.m_settings = settings;
    queue.m_rank = rank;
    if (queue.m_serviceTime == Duration{}) {
      queue.m_serviceTime = m_options.m_initialServiceTime;
    }
  }
}

bool
AdmissionQueue::IsLong(const ClassQueue& aQueue) const
{
  return aQueue.m_settings.m_work == WorkLength::Long;
}

uint32_t
AdmissionQueue::LongLimit() const
{
  // The limit protects short work. Without short work, long work may use all
  // slots.
  bool hasShort =
    std::any_of(m_classes.begin(), m_classes.end(), [&](const auto& aItem) {
      return !IsLong(aItem.second);
    });
  if (!hasShort) {
    return m_options.m_slots;
  }
  double limit = std::floor(m_options.m_slots * m_options.m_longShare);
  return std::max<uint32_t>(1, static_cast<uint32_t>(limit));
}

uint32_t
AdmissionQueue::RunningLong() const
{
  uint32_t running = 0;
  for (const auto& [key, queue] : m_classes) {
    running += IsLong(queue) ? queue.m_running : 0;
  }
  return running;
}

bool
AdmissionQueue::MayStart(const ClassQueue& aQueue) const
{
  if (m_running >= m_options.m_slots) {
    return false;
  }
  return !IsLong(aQueue) || RunningLong() < LongLimit();
}

Duration
AdmissionQueue::PredictedWait(const ClassKey& aClass) const
{
  auto found = m_classes.find(aClass);
  if (found == m_classes.end()) {
    return Duration{};
  }
  const ClassQueue& own = found->second;
  bool hasFreeSlot = MayStart(own);
  double aheadUs = 0.0;
  for (const auto& [key, queue] : m_classes) {
    bool isAhead = queue.m_rank <= own.m_rank;
    // Long work only waits for the slots of long work. The slots that long
    // work occupies are subtracted from those of short work below.
    if (!isAhead || IsLong(queue) != IsLong(own)) {
      continue;
    }
    double waiting = static_cast<double>(queue.m_items.size());
    double running = hasFreeSlot ? 0.0 : queue.m_running * 0.5;
    aheadUs +=
      (waiting + running) * static_cast<double>(queue.m_serviceTime.count());
  }
  uint32_t slots =
    IsLong(own) ? LongLimit() : std::max(1U, m_options.m_slots - RunningLong());
  double waitUs = aheadUs / slots;
  if (own.m_settings.m_minShare > 0.0 && !hasFreeSlot) {
    // Classes with a higher priority cannot reduce this class below its share,
    // so the wait is bounded by its own queue at the rate of the share.
    double ownUs = static_cast<double>(own.m_items.size() + 1) *
                   static_cast<double>(own.m_serviceTime.count());
    waitUs = std::min(waitUs, ownUs / (slots * own.m_settings.m_minShare));
  }
  return Duration(static_cast<int64_t>(waitUs));
}

std::optional<AdmissionRefusal>
AdmissionQueue::Offer(TimePoint aNow, const WorkItem& aItem)
{
  auto found = m_classes.find(aItem.m_class);
  BILBERRY_ASSERT(found != m_classes.end(),
                  "class " << aItem.m_class.m_class << " of service "
                           << aItem.m_class.m_service << " is not configured");
  ClassQueue& queue = found->second;
  Duration wait = PredictedWait(aItem.m_class);
  Duration finish = wait + queue.m_serviceTime;
  Duration left = aItem.m_deadline - aNow;
  if (left <= Duration{}) {
    return AdmissionRefusal{ RefusalReason::DeadlinePassed, Duration{} };
  }
  bool mustWait = !MayStart(queue) || !queue.m_items.empty();
  if (mustWait && queue.m_items.size() >= queue.m_settings.m_queueLimit) {
    return AdmissionRefusal{ RefusalReason::QueueFull, finish };
  }
  bool isTooLong = wait > Scaled(left, kMaxWaitFraction) || finish > left;
  if (mustWait && isTooLong) {
    return AdmissionRefusal{ RefusalReason::WaitTooLong, finish };
  }
  queue.m_items.push_back(aItem);
  return std::nullopt;
}

AdmissionQueue::ClassQueue*
AdmissionQueue::PickQueue()
{
  ClassQueue* withCredit = nullptr;
  ClassQueue* highestPriority = nullptr;
  for (auto& [key, queue] : m_classes) {
    if (queue.m_items.empty() || !MayStart(queue)) {
      continue;
    }
    if (queue.m_credit >= 1.0 &&
        (!withCredit || queue.m_credit > withCredit->m_credit)) {
      withCredit = &queue;
    }
    bool isFirst = !highestPriority || queue.m_rank < highestPriority->m_rank ||
                   (queue.m_rank == highestPriority->m_rank &&
                    queue.m_items.front().m_arrival <
                      highestPriority->m_items.front().m_arrival);
    if (isFirst) {
      highestPriority = &queue;
    }
  }
  return withCredit ? withCredit : highestPriority;
}

void
AdmissionQueue::AddShareCredits(const ClassQueue& aStarted)
{
  constexpr double kMaxCredit = 2.0;
  for (auto& [key, queue] : m_classes) {
    // Credit does not accumulate while a class has no queued requests.
    if (queue.m_items.empty() && &queue != &aStarted) {
      queue.m_credit = 0.0;
      continue;
    }
    queue.m_credit =
      std::min(kMaxCredit, queue.m_credit + queue.m_settings.m_minShare);
  }
}

std::optional<WorkItem>
AdmissionQueue::StartNext()
{
  ClassQueue* queue = PickQueue();
  if (!queue) {
    return std::nullopt;
  }
  AddShareCredits(*queue);
  queue->m_credit = std::max(0.0, queue->m_credit - 1.0);
  WorkItem item = std::move(queue->m_items.front());
  queue->m_items.pop_front();
  queue->m_running += 1;
  m_running += 1;
  return item;
}

std::vector<WorkItem>
AdmissionQueue::TakeInfeasible(TimePoint aNow)
{
  std::vector<WorkItem> infeasible;
  for (auto& [key, queue] : m_classes) {
    auto isInfeasible = [&, time = queue.m_serviceTime](const WorkItem& aItem) {
      return aItem.m_deadline <= aNow + time;
    };
    std::copy_if(queue.m_items.begin(),
                 queue.m_items.end(),
                 std::back_inserter(infeasible),
                 isInfeasible);
    std::erase_if(queue.m_items, isInfeasible);
  }
  return infeasible;
}

std::optional<TimePoint>
AdmissionQueue::NextInfeasibleAt() const
{
  std::optional<TimePoint> next;
  for (const auto& [key, queue] : m_classes) {
    for (const WorkItem& item : queue.m_items) {
      TimePoint at = item.m_deadline - queue.m_serviceTime;
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

void
AdmissionQueue::OnAborted(const ClassKey& aClass)
{
  ClassQueue& queue = m_classes.at(aClass);
  BILBERRY_ASSERT(queue.m_running > 0,
                  aClass.m_class << " has no running request");
  queue.m_running -= 1;
  m_running -= 1;
}

void
AdmissionQueue::OnFinished(const ClassKey& aClass, Duration aServiceTime)
{
  OnAborted(aClass);
  ClassQueue& queue = m_classes.at(aClass);
  queue.m_serviceTime = Scaled(queue.m_serviceTime, 1.0 - kSmoothingFactor) +
                        Scaled(aServiceTime, kSmoothingFactor);
}

bool
AdmissionQueue::Remove(uint64_t aId)
{
  for (auto& [key, queue] : m_classes) {
    size_t removed = std::erase_if(
      queue.m_items, [&](const WorkItem& aItem) { return aItem.m_id == aId; });
    if (removed > 0) {
      return true;
    }
  }
  return false;
}

size_t
AdmissionQueue::QueuedCount() const
{
  size_t count = 0;
  for (const auto& [key, queue] : m_classes) {
    count += queue.m_items.size();
  }
  return count;
}

} // namespace bilberryfield
