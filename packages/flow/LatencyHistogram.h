#pragma once

#include "Time.h"

#include <memory>
#include <vector>

namespace bilberryfield {

/** A cumulative histogram bucket. */
struct LatencyBucket
{
  Duration m_upperBound{};
  /** Number of samples in this and all smaller buckets. */
  uint64_t m_count = 0;
};

/** Counts latencies in logarithmic buckets. */
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  /** Adds a sample. */
  void Add(Duration aLatency);

  /** Cumulative counts in ascending order. The last bucket has the upper bound
   * Duration::max() and counts every sample. */
  std::vector<LatencyBucket> Buckets() const;

  /** Sum of all samples. */
  Duration Sum() const { return m_sum; }

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
  Duration m_sum{};
};

} // namespace bilberryfield
