#include "PipeAppender.h"

#include <poll.h>
#include <unistd.h>

namespace bilberryfield {

namespace {

/** A pipe that reports room takes this many bytes without waiting. */
constexpr size_t kLongestLine = 4096;

bool
HasRoom()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

void
PipeAppender::append(const log4cxx::spi::LoggingEventPtr& aEvent,
                     log4cxx::helpers::Pool&)
{
  std::string line = aEvent->getRenderedMessage();
  line += '\n';
  bool isWritten = line.size() <= kLongestLine && HasRoom() &&
                   write(STDOUT_FILENO, line.data(), line.size()) ==
                     static_cast<ssize_t>(line.size());
  if (!isWritten) {
    m_dropped += 1;
  }
}

} // namespace bilberryfield
