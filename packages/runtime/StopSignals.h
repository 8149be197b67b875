#pragma once

#include <csignal>

namespace bilberryfield {

/**
 * Blocks SIGTERM and SIGINT in this thread and in all that it starts later,
 * so that only WaitForStop receives them. Call it before any thread starts.
 */
inline sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Waits for SIGTERM or SIGINT. */
inline void
WaitForStop(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
}

} // namespace bilberryfield
