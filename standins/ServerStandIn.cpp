// A stand-in of a backend server: runs each request for as long as the
// request says, in a number of slots, and tells what it ran.

#include "HttpServer.h"
#include "StandInMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP and port to listen at.");
ABSL_FLAG(std::string, name, "server", "Name shown in every answer.");
ABSL_FLAG(int, slots, 4, "Requests run at a time.");

namespace {

using namespace bilberryfield;

class Work
{
public:
  explicit Work(int aSlots)
    : m_free(aSlots)
  {
  }

  void Run(const std::string& aId, std::chrono::milliseconds aTime)
  {
    std::unique_lock lock(m_mutex);
    m_ran[aId] += 1;
    m_freed.wait(lock, [this] { return m_free > 0; });
    m_free -= 1;
    lock.unlock();
    std::this_thread::sleep_for(aTime);
    lock.lock();
    m_free += 1;
    m_freed.notify_one();
  }

  nlohmann::json Ran()
  {
    std::lock_guard lock(m_mutex);
    return m_ran;
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_freed;
  int m_free;
  /** Times that each request was run. */
  std::map<std::string, int> m_ran;
};

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  absl::ParseCommandLine(aArgumentCount, aArguments);
  sigset_t signals = BlockStopSignals();
  Work work(absl::GetFlag(FLAGS_slots));
  std::string name = absl::GetFlag(FLAGS_name);
  HttpServer server({}, [&](HttpIncoming aRequest, HttpReply aReply) {
    if (aRequest.m_path == "/-/ran") {
      return aReply({ 200, {}, "application/json", work.Ran().dump() });
    }
    if (aRequest.m_path.starts_with("/-/")) {
      return aReply({ 200, {}, "", "" });
    }
    std::thread([&, request = std::move(aRequest), reply = std::move(aReply)] {
      std::string id = request.Parameter("id");
      work.Run(
        id,
        std::chrono::milliseconds(std::atoi(request.Parameter("ms").c_str())));
      auto bytes =
        static_cast<size_t>(std::atoi(request.Parameter("bytes").c_str()));
      reply({ 200,
              {},
              "text/plain",
              name + " " + request.m_path + " " + id + "\n" +
                std::string(bytes, '.') });
    }).detach();
  });
  Result<uint16_t> port = server.Start(absl::GetFlag(FLAGS_listen));
  if (!port) {
    std::cerr << port.error() << "\n";
    return 1;
  }
  PrintPorts({ *port });
  WaitForStop(signals);
  std::_Exit(0);
}
