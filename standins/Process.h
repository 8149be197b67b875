#pragma once

#include "Error.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bilberryfield {

/** A program that this launcher started; it is ended with the object. */
class Process
{
public:
  /** Starts a program; its output goes to files next to aLogPath. */
  static Result<Process> Start(const std::vector<std::string>& aCommand,
                               const std::string& aLogPath);

  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  /** Sends a signal to the program. */
  void Signal(int aSignal) const;

  /** Waits for the program's end; its exit code, or -1 after a signal. */
  int Wait();

  /** Ends the program at once and waits for it. */
  void Kill();

  /** The first line of the log file that contains a text, once there is one. */
  std::optional<std::string> WaitForLine(const std::string& aText) const;

  /** False once this launcher has ended the program. */
  bool IsRunning() const { return m_pid > 0; }

  /** True when the program has ended by itself; Wait tells how. */
  bool HasEnded() const;

  /** Ends every program still running, also where no destructor will run. */
  static void KillAll();

private:
  Process(pid_t aPid, std::string aLogPath);

  pid_t m_pid = -1;
  std::string m_logPath;
};

} // namespace bilberryfield
