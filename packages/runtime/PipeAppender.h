#pragma once

#include <atomic>
#include <cstdint>
#include <log4cxx/appenderskeleton.h>

namespace bilberryfield {

/**
 * Writes log lines to standard output and never waits for its reader: a line
 * that does not fit at once is dropped and counted.
 */
class PipeAppender : public log4cxx::AppenderSkeleton
{
public:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override;
  void close() override {}
  bool requiresLayout() const override { return false; }

  /** Lines dropped since the last call. */
  uint64_t TakeDropped() { return m_dropped.exchange(0); }

private:
  std::atomic<uint64_t> m_dropped{ 0 };
};

} // namespace bilberryfield
