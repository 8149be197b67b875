#pragma once

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

namespace bilberryfield {

/** Blocks the stop signals in this thread and in all it starts later. */
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

/** Tells the launcher which ports this program listens on. */
inline void
PrintPorts(const std::vector<uint16_t>& aPorts)
{
  std::cout << nlohmann::json({ { "ports", aPorts } }).dump() << std::endl;
}

/** Waits for SIGTERM or SIGINT. */
inline void
WaitForStop(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
}

} // namespace bilberryfield
