#include "LogBudget.h"

#include <algorithm>

namespace bilberryfield {

LogBudget::LogBudget(double aLinesPerSecond, double aBurst)
  : m_linesPerSecond(aLinesPerSecond)
  , m_burst(aBurst)
{
}

bool
LogBudget::Take(TimePoint aNow, const std::string& aEvent)
{
  std::lock_guard lock(m_mutex);
  auto [place, isNew] = m_buckets.try_emplace(aEvent);
  Bucket& bucket = place->second;
  if (isNew) {
    bucket.m_tokens = m_burst;
    bucket.m_filledAt = aNow;
  }
  std::chrono::duration<double> since = aNow - bucket.m_filledAt;
  bucket.m_filledAt = aNow;
  bucket.m_tokens =
    std::min(m_burst, bucket.m_tokens + since.count() * m_linesPerSecond);
  if (bucket.m_tokens < 1) {
    bucket.m_leftOut += 1;
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

std::map<std::string, uint64_t>
LogBudget::TakeLeftOut()
{
  std::lock_guard lock(m_mutex);
  std::map<std::string, uint64_t> leftOut;
  for (auto& [event, bucket] : m_buckets) {
    if (bucket.m_leftOut > 0) {
      leftOut[event] = bucket.m_leftOut;
      bucket.m_leftOut = 0;
    }
  }
  return leftOut;
}

} // namespace bilberryfield
