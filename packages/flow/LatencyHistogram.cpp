#include "LatencyHistogram.h"

#include <boost/histogram.hpp>
#include <cmath>

namespace bilberryfield {

namespace {

namespace hist = boost::histogram;
using Axis = hist::axis::regular<double, hist::axis::transform::log>;

constexpr int kBuckets = 16;
constexpr double kLowestUs = 250;
constexpr double kHighestUs = 16'384'000;

} // namespace

class LatencyHistogram::Impl
{
public:
  using Histogram = decltype(hist::make_histogram(Axis()));

  Histogram m_histogram =
    hist::make_histogram(Axis(kBuckets, kLowestUs, kHighestUs));
};

LatencyHistogram::LatencyHistogram()
  : m_impl(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Add(Duration aLatency)
{
  m_impl->m_histogram(static_cast<double>(aLatency.count()));
  m_sum += aLatency;
}

std::vector<LatencyBucket>
LatencyHistogram::Buckets() const
{
  std::vector<LatencyBucket> buckets;
  uint64_t total = 0;
  for (int i = -1; i < kBuckets; ++i) {
    total += static_cast<uint64_t>(m_impl->m_histogram.at(i));
    double upTo = m_impl->m_histogram.axis().value(i + 1);
    buckets.push_back({ Duration(std::llround(upTo)), total });
  }
  total += static_cast<uint64_t>(m_impl->m_histogram.at(kBuckets));
  buckets.push_back({ Duration::max(), total });
  return buckets;
}

} // namespace bilberryfield
