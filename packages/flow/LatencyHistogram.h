#pragma once

#include "Time.h"

#include <memory>
#include <vector>

namespace bilberryfield {

/** Number of samples up to a bound. */
struct LatencyBucket
{
  Duration m_upperBound{};
  /** Samples of this and all smaller buckets. */
  uint64_t m_count = 0;
};

/** Counts latencies in buckets that grow by a constant factor. */
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration aLatency);

  /** Cumulative counts; the last bucket holds every sample. */
  std::vector<LatencyBucket> Buckets() const;

  /** Sum of all samples. */
  Duration Sum() const { return m_sum; }

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
  Duration m_sum{};
};

} // namespace bilberryfield
