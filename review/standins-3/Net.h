#pragma once

// Helpers of the review's stand-ins: time, loopback sockets, HTTP/1.1 and the
// packet format of the users' platform.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

struct Address
{
  std::string m_ip;
  uint16_t m_port = 0;

  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
  sockaddr_in Socket() const
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
    return address;
  }
};

/** The header's order of an IPv4 address: a number whose highest byte is the
 * first one of the text. */
inline uint32_t
IpNumber(const std::string& aIp)
{
  in_addr address{};
  inet_pton(AF_INET, aIp.c_str(), &address);
  return ntohl(address.s_addr);
}

inline std::string
IpText(uint32_t aIp)
{
  in_addr address{ htonl(aIp) };
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address, text, sizeof text);
  return text;
}

inline int
OpenUdp(const Address& aAddress)
{
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = aAddress.Socket();
  int size = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void
SendUdp(int aFd, const std::vector<uint8_t>& aBytes, const Address& aTo)
{
  sockaddr_in to = aTo.Socket();
  sendto(aFd,
         aBytes.data(),
         aBytes.size(),
         0,
         reinterpret_cast<sockaddr*>(&to),
         sizeof to);
}

enum : uint8_t
{
  kRst = 1,
  kSyn = 2,
  kAck = 4,
  kFin = 8,
  kBounced = 32,
};

constexpr size_t kHead = 34;

struct Packet
{
  uint16_t m_sport = 0;
  uint32_t m_dst = 0;
  uint16_t m_dport = 0;
  uint32_t m_src = 0;
  uint8_t m_flags = 0;
  uint32_t m_sum = 0;
  uint32_t m_seq = 0;
  uint32_t m_ack = 0;
  std::string m_data;

  bool Is(uint8_t aFlag) const { return (m_flags & aFlag) != 0; }
  /** The flow, by its client's end and its service's end. */
  std::string FlowFromClient() const
  {
    return IpText(m_src) + ":" + std::to_string(m_sport) + ">" + IpText(m_dst) +
           ":" + std::to_string(m_dport);
  }
  std::string FlowFromServer() const
  {
    return IpText(m_dst) + ":" + std::to_string(m_dport) + ">" + IpText(m_src) +
           ":" + std::to_string(m_sport);
  }
};

template<typename Number>
void
Put(std::vector<uint8_t>& aBytes, size_t aAt, Number aValue)
{
  for (size_t i = 0; i < sizeof(Number); ++i) {
    aBytes[aAt + i] = static_cast<uint8_t>(aValue >> (8 * i));
  }
}

template<typename Number>
Number
Get(const uint8_t* aBytes)
{
  Number value = 0;
  for (size_t i = 0; i < sizeof(Number); ++i) {
    value =
      static_cast<Number>(value | static_cast<Number>(aBytes[i]) << (8 * i));
  }
  return value;
}

// The key of the real sum is not disclosed; any value that depends on what the
// sender wrote shows changes as well.
inline uint32_t
SumOf(const Packet& aPacket)
{
  uint32_t sum = 2166136261U;
  auto add = [&](uint32_t aValue) { sum = (sum ^ aValue) * 16777619U; };
  add(aPacket.m_sport);
  add(aPacket.m_dst);
  add(aPacket.m_dport);
  add(aPacket.m_src);
  add(aPacket.m_flags & static_cast<uint8_t>(~kBounced));
  add(aPacket.m_seq);
  add(aPacket.m_ack);
  for (char character : aPacket.m_data) {
    add(static_cast<uint8_t>(character));
  }
  return sum | 1U;
}

inline std::vector<uint8_t>
Encode(const Packet& aPacket)
{
  std::vector<uint8_t> bytes(kHead + aPacket.m_data.size());
  Put<uint16_t>(bytes, 0, aPacket.m_sport);
  Put<uint32_t>(bytes, 2, aPacket.m_dst);
  Put<uint16_t>(bytes, 6, aPacket.m_dport);
  Put<uint32_t>(bytes, 8, aPacket.m_src);
  bytes[12] = aPacket.m_flags;
  Put<uint16_t>(bytes, 16, static_cast<uint16_t>(aPacket.m_data.size()));
  Put<uint32_t>(bytes, 18, SumOf(aPacket));
  Put<uint32_t>(bytes, 22, aPacket.m_seq);
  Put<uint32_t>(bytes, 26, aPacket.m_ack);
  std::copy(
    aPacket.m_data.begin(), aPacket.m_data.end(), bytes.begin() + kHead);
  return bytes;
}

inline std::optional<Packet>
Decode(const uint8_t* aBytes, size_t aSize)
{
  if (aSize < kHead || aSize != kHead + Get<uint16_t>(aBytes + 16)) {
    return std::nullopt;
  }
  Packet packet;
  packet.m_sport = Get<uint16_t>(aBytes);
  packet.m_dst = Get<uint32_t>(aBytes + 2);
  packet.m_dport = Get<uint16_t>(aBytes + 6);
  packet.m_src = Get<uint32_t>(aBytes + 8);
  packet.m_flags = aBytes[12];
  packet.m_sum = Get<uint32_t>(aBytes + 18);
  packet.m_seq = Get<uint32_t>(aBytes + 22);
  packet.m_ack = Get<uint32_t>(aBytes + 26);
  packet.m_data.assign(aBytes + kHead, aBytes + aSize);
  return packet;
}

struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
};

struct HttpAnswer
{
  int m_status = 0;
  std::string m_body;
};

/** Reads one message; false when the connection ends. aFirst gets the first
 * line. */
inline bool
ReadMessage(int aFd,
            std::string& aBuffer,
            std::string& aFirst,
            std::string& aBody,
            int aTimeoutMs)
{
  auto more = [&] {
    pollfd wait{ aFd, POLLIN, 0 };
    if (poll(&wait, 1, aTimeoutMs) <= 0) {
      return false;
    }
    char part[65536];
    ssize_t size = recv(aFd, part, sizeof part, 0);
    if (size <= 0) {
      return false;
    }
    aBuffer.append(part, static_cast<size_t>(size));
    return true;
  };
  size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::string head = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 4);
  aFirst = head.substr(0, head.find("\r\n"));
  size_t length = 0;
  std::string lower = head;
  for (char& character : lower) {
    character = static_cast<char>(tolower(character));
  }
  if (size_t at = lower.find("content-length:"); at != std::string::npos) {
    length = std::strtoull(lower.c_str() + at + 15, nullptr, 10);
  }
  while (aBuffer.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

/** An HTTP/1.1 server with a thread for each connection. */
class HttpService
{
public:
  using Handler = std::function<HttpAnswer(const HttpRequest&)>;

  bool Start(const Address& aAddress, Handler aHandler)
  {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = aAddress.Socket();
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
        listen(m_fd, 256) != 0) {
      return false;
    }
    std::thread([fd = m_fd, aHandler] {
      for (;;) {
        int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          return;
        }
        std::thread([connection, aHandler] {
          Serve(connection, aHandler);
        }).detach();
      }
    }).detach();
    return true;
  }

private:
  static void Serve(int aFd, const Handler& aHandler)
  {
    int on = 1;
    setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    std::string first;
    HttpRequest request;
    while (ReadMessage(aFd, buffer, first, request.m_body, -1)) {
      size_t space = first.find(' ');
      std::string target =
        first.substr(space + 1, first.rfind(' ') - space - 1);
      request.m_method = first.substr(0, space);
      size_t mark = target.find('?');
      request.m_path = target.substr(0, mark);
      request.m_query.clear();
      std::string query =
        mark == std::string::npos ? "" : target.substr(mark + 1);
      while (!query.empty()) {
        std::string item = query.substr(0, query.find('&'));
        query.erase(0, item.size() + (item.size() < query.size() ? 1 : 0));
        size_t equal = item.find('=');
        if (equal != std::string::npos) {
          request.m_query[item.substr(0, equal)] = item.substr(equal + 1);
        }
      }
      HttpAnswer answer = aHandler(request);
      std::string text = "HTTP/1.1 " + std::to_string(answer.m_status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(answer.m_body.size()) + "\r\n\r\n" +
                         answer.m_body;
      if (send(aFd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
    }
    close(aFd);
  }

  int m_fd = -1;
};

/** One call on a connection of its own; status 0 if there is no answer. */
inline HttpAnswer
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     int aTimeoutMs)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = aTo.Socket();
  HttpAnswer answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string text = aMethod + " " + aPath +
                       " HTTP/1.1\r\nHost: " + aTo.Text() +
                       "\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    std::string buffer;
    std::string first;
    if (ReadMessage(fd, buffer, first, answer.m_body, aTimeoutMs)) {
      answer.m_status = std::atoi(first.c_str() + first.find(' '));
    }
  }
  close(fd);
  return answer;
}

} // namespace review
