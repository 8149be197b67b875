#pragma once

#include <csignal>
#include <cstdint>

namespace bilberryfield {

/** What a signal asks of a daemon. */
enum class SignalRequest : uint8_t
{
  Stop,   /**< SIGTERM or SIGINT. */
  Reload, /**< SIGHUP: the settings file has changed. */
};

/**
 * Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all that it starts
 * later, so that only WaitForSignal receives them. Call it before any thread
 * starts.
 */
inline sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Waits for one of the blocked signals. */
inline SignalRequest
WaitForSignal(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
  return received == SIGHUP ? SignalRequest::Reload : SignalRequest::Stop;
}

/** Waits for SIGTERM or SIGINT. */
inline void
WaitForStop(const sigset_t& aSignals)
{
  while (WaitForSignal(aSignals) != SignalRequest::Stop) {
  }
}

} // namespace bilberryfield
