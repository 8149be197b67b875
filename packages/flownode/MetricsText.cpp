#include "MetricsText.h"

namespace bilberryfield {

namespace {

std::string
SecondsText(Duration aTime)
{
  return aTime == Duration::max()
           ? "+Inf"
           : std::to_string(std::chrono::duration<double>(aTime).count());
}

} // namespace

void
MetricsText::Add(const std::string& aName,
                 uint64_t aValue,
                 const std::string& aLabel)
{
  m_text += aName;
  if (!aLabel.empty()) {
    m_text += "{" + aLabel + "}";
  }
  m_text += " " + std::to_string(aValue) + "\n";
}

void
MetricsText::Add(const std::string& aName, const LatencyHistogram& aHistogram)
{
  std::vector<LatencyBucket> buckets = aHistogram.Buckets();
  for (const LatencyBucket& bucket : buckets) {
    Add(aName + "_bucket",
        bucket.m_count,
        "le=\"" + SecondsText(bucket.m_upperBound) + '"');
  }
  m_text += aName + "_sum " + SecondsText(aHistogram.Sum()) + "\n";
  Add(aName + "_count", buckets.back().m_count);
}

} // namespace bilberryfield
