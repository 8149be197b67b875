// One thread that serves UDP sockets and timers, and the record of a run.
#pragma once

#include "Packet.h"

#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

inline void
Sleep(int ms)
{
  std::this_thread::sleep_for(milliseconds(ms));
}

// What was sent, answered and run, with the time since the start.
class Record
{
public:
  void Add(const std::string& line)
  {
    std::lock_guard lock(m_mutex);
    auto at = std::chrono::duration<double>(Clock::now() - m_start).count();
    char time[32];
    snprintf(time, sizeof(time), "%9.3f ", at);
    m_lines.push_back(time + line);
  }

  void Write(const std::string& path)
  {
    std::lock_guard lock(m_mutex);
    std::ofstream file(path);
    for (const std::string& line : m_lines) {
      file << line << "\n";
    }
  }

private:
  std::mutex m_mutex;
  TimePoint m_start = Clock::now();
  std::vector<std::string> m_lines;
};

class Loop
{
public:
  using OnPacket = std::function<void(const Packet&)>;

  Loop()
    : m_thread([this] { Run(); })
  {
  }

  ~Loop() { Stop(); }

  // Ends the thread; no function runs any more.
  void Stop()
  {
    m_isStopping = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  // Runs a function on the loop's thread.
  void Post(std::function<void()> function)
  {
    std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(function));
  }

  // As Post, and waits for its end.
  template<typename Function>
  auto Call(Function function) -> decltype(function())
  {
    using Value = decltype(function());
    std::atomic<bool> isDone{ false };
    std::optional<Value> value;
    Post([&] {
      value = function();
      isDone = true;
    });
    while (!isDone) {
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return *value;
  }

  // On the loop's thread.
  void After(milliseconds delay, std::function<void()> function)
  {
    m_timers.emplace(Clock::now() + delay, std::move(function));
  }

  // Opens a UDP socket. To be called on the loop's thread or before packets
  // are expected.
  int Open(const Endpoint& endpoint, OnPacket onPacket)
  {
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int bufferBytes = 4 * 1024 * 1024;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    sockaddr_in address = Address(endpoint);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      throw std::runtime_error("cannot bind " + Text(endpoint));
    }
    Post([this, fd, onPacket] {
      m_sockets.push_back({ fd, onPacket, false });
    });
    return fd;
  }

  // On the loop's thread.
  void Close(int fd)
  {
    for (Socket& socket : m_sockets) {
      if (socket.fd == fd) {
        close(fd);
        socket.isClosed = true;
      }
    }
  }

  static void Send(int fd, const Packet& packet, const Endpoint& to)
  {
    std::string bytes = Encode(packet);
    sockaddr_in address = Address(to);
    sendto(fd,
           bytes.data(),
           bytes.size(),
           MSG_DONTWAIT,
           reinterpret_cast<sockaddr*>(&address),
           sizeof(address));
  }

private:
  struct Socket
  {
    int fd;
    OnPacket onPacket;
    bool isClosed;
  };

  void RunPosted()
  {
    std::vector<std::function<void()>> posted;
    {
      std::lock_guard lock(m_mutex);
      posted.swap(m_posted);
    }
    for (auto& function : posted) {
      function();
    }
  }

  void RunTimers()
  {
    while (!m_timers.empty() && m_timers.begin()->first <= Clock::now()) {
      auto function = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      function();
    }
  }

  void Read(size_t index)
  {
    constexpr int kMostPackets = 64;
    char bytes[2048];
    for (int i = 0; i < kMostPackets && !m_sockets[index].isClosed; ++i) {
      ssize_t size = recv(m_sockets[index].fd, bytes, sizeof(bytes), 0);
      if (size < 0) {
        return;
      }
      if (auto packet = Decode(bytes, size_t(size))) {
        auto onPacket = m_sockets[index].onPacket;
        onPacket(*packet);
      }
    }
  }

  void Run()
  {
    while (!m_isStopping) {
      RunPosted();
      RunTimers();
      std::erase_if(m_sockets, [](const Socket& s) { return s.isClosed; });
      std::vector<pollfd> polled;
      for (const Socket& socket : m_sockets) {
        polled.push_back({ socket.fd, POLLIN, 0 });
      }
      poll(polled.data(), polled.size(), 1);
      for (size_t i = 0; i < polled.size(); ++i) {
        if ((polled[i].revents & POLLIN) != 0 && !m_sockets[i].isClosed) {
          Read(i);
        }
      }
    }
  }

  std::atomic<bool> m_isStopping{ false };
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_posted;
  std::multimap<TimePoint, std::function<void()>> m_timers;
  std::vector<Socket> m_sockets;
  std::thread m_thread;
};

} // namespace review
