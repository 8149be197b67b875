#include "Process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char** environ;

namespace bilberryfield {

namespace {

// A failed assertion leaves a test without running destructors, so the
// programs that it started are also kept here.
std::set<pid_t>&
RunningIds()
{
  static std::set<pid_t> ids;
  return ids;
}

} // namespace

void
Process::KillAll()
{
  for (pid_t id : RunningIds()) {
    kill(id, SIGKILL);
    waitpid(id, nullptr, 0);
  }
  RunningIds().clear();
}

Process::Process(pid_t aPid, std::string aLogPath)
  : m_pid(aPid)
  , m_logPath(std::move(aLogPath))
{
}

Process::Process(Process&& aOther) noexcept
  : m_pid(std::exchange(aOther.m_pid, -1))
  , m_logPath(std::move(aOther.m_logPath))
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  Kill();
  m_pid = std::exchange(aOther.m_pid, -1);
  m_logPath = std::move(aOther.m_logPath);
  return *this;
}

Process::~Process()
{
  Kill();
}

Result<Process>
Process::Start(const std::vector<std::string>& aCommand,
               const std::string& aLogPath)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = -1;
  int failed = posix_spawn(
    &pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    return Failure(Step::StartProgram, aCommand.front(), "cannot be started");
  }
  RunningIds().insert(pid);
  return Process(pid, aLogPath);
}

void
Process::Signal(int aSignal) const
{
  if (m_pid > 0) {
    kill(m_pid, aSignal);
  }
}

int
Process::Wait()
{
  if (m_pid <= 0) {
    return -1;
  }
  int status = 0;
  waitpid(m_pid, &status, 0);
  RunningIds().erase(m_pid);
  m_pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool
Process::HasEnded() const
{
  siginfo_t info{};
  int failed =
    waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT);
  return failed == 0 && info.si_pid == m_pid;
}

void
Process::Kill()
{
  Signal(SIGKILL);
  Wait();
}

std::optional<std::string>
Process::WaitForLine(const std::string& aText) const
{
  constexpr int kLooks = 400;
  constexpr auto kPause = std::chrono::milliseconds(25);
  for (int i = 0; i < kLooks; ++i) {
    std::ifstream log(m_logPath);
    std::string line;
    while (std::getline(log, line)) {
      // A line without its end may still be written to.
      if (!log.eof() && line.find(aText) != std::string::npos) {
        return line;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return std::nullopt;
}

} // namespace bilberryfield
