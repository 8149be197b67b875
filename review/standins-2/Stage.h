// Stand-ins for the cases of the second review: the platform's store, backend
// servers, callers with the fabric before them, and the start of the project's
// daemons. They speak what the users' protocol page says and use nothing but
// the C++ library and sockets.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using std::string;

/** Exit codes of a case. */
enum Verdict
{
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2,
};

inline const Clock::time_point kBegin = Clock::now();

/** Milliseconds since the start of the case. */
inline double
Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - kBegin)
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
Sleep(double aMs)
{
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
}

inline void
SleepUntil(double aAtMs)
{
  if (aAtMs > Now()) {
    Sleep(aAtMs - Now());
  }
}

/** Writes record.txt, one line for each event. */
class Record
{
public:
  static void Open(const string& aPath) { File() = fopen(aPath.c_str(), "w"); }

  static void Line(const char* aFormat, ...)
  {
    std::lock_guard lock(Mutex());
    va_list arguments;
    va_start(arguments, aFormat);
    fprintf(File(), "%10.1f  ", Now());
    vfprintf(File(), aFormat, arguments);
    fprintf(File(), "\n");
    va_end(arguments);
    fflush(File());
  }

private:
  static FILE*& File()
  {
    static FILE* file = stdout;
    return file;
  }
  static std::mutex& Mutex()
  {
    static std::mutex mutex;
    return mutex;
  }
};

struct Endpoint
{
  uint32_t m_ip = 0;
  uint16_t m_port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

inline uint32_t
Ip(int aSecond, int aLast)
{
  return 127U << 24U | static_cast<uint32_t>(aSecond) << 16U |
         static_cast<uint32_t>(aLast);
}

inline string
IpText(uint32_t aIp)
{
  char text[32];
  snprintf(text,
           sizeof(text),
           "%u.%u.%u.%u",
           aIp >> 24U,
           aIp >> 16U & 255U,
           aIp >> 8U & 255U,
           aIp & 255U);
  return text;
}

inline string
Text(const Endpoint& aEndpoint)
{
  return IpText(aEndpoint.m_ip) + ":" + std::to_string(aEndpoint.m_port);
}

inline sockaddr_in
SocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEndpoint.m_ip);
  address.sin_port = htons(aEndpoint.m_port);
  return address;
}

// ---------------------------------------------------------------- packets

enum Flag : uint8_t
{
  kReset = 1,
  kSyn = 2,
  kAck = 4,
  kFin = 8,
  kBounced = 32,
};

inline constexpr size_t kHeadBytes = 34;

struct Packet
{
  Endpoint m_source;
  Endpoint m_destination;
  uint8_t m_flags = 0;
  uint32_t m_pad = 0;
  uint32_t m_sum = 0;
  uint32_t m_seq = 0;
  uint32_t m_ack = 0;
  uint32_t m_echo = 0;
  string m_data;

  bool Has(Flag aFlag) const { return (m_flags & aFlag) != 0; }

  uint32_t Sum() const
  {
    uint32_t hash = 2166136261U;
    auto add = [&](uint64_t aValue) {
      for (int i = 0; i < 8; ++i) {
        hash = (hash ^ (aValue >> (8 * i) & 255U)) * 16777619U;
      }
    };
    add(0x5eed5eedU);
    add(m_source.m_ip);
    add(m_source.m_port);
    add(m_destination.m_ip);
    add(m_destination.m_port);
    add(m_flags & ~kBounced);
    add(m_seq);
    add(m_ack);
    add(m_data.size());
    for (char character : m_data) {
      hash = (hash ^ static_cast<uint8_t>(character)) * 16777619U;
    }
    return hash;
  }

  string Encode() const
  {
    string bytes(kHeadBytes, '\0');
    auto put = [&](size_t aAt, size_t aCount, uint64_t aValue) {
      for (size_t i = 0; i < aCount; ++i) {
        bytes[aAt + i] = static_cast<char>(aValue >> (8 * i));
      }
    };
    put(0, 2, m_source.m_port);
    put(2, 4, m_destination.m_ip);
    put(6, 2, m_destination.m_port);
    put(8, 4, m_source.m_ip);
    put(12, 1, m_flags);
    put(13, 3, m_pad);
    put(16, 2, m_data.size());
    put(18, 4, m_sum);
    put(22, 4, m_seq);
    put(26, 4, m_ack);
    put(30, 4, m_echo);
    return bytes + m_data;
  }

  static std::optional<Packet> Decode(const string& aBytes)
  {
    if (aBytes.size() < kHeadBytes) {
      return std::nullopt;
    }
    auto get = [&](size_t aAt, size_t aCount) {
      uint64_t value = 0;
      for (size_t i = 0; i < aCount; ++i) {
        value |= static_cast<uint64_t>(static_cast<uint8_t>(aBytes[aAt + i]))
                 << (8 * i);
      }
      return value;
    };
    Packet packet;
    packet.m_source = { static_cast<uint32_t>(get(8, 4)),
                        static_cast<uint16_t>(get(0, 2)) };
    packet.m_destination = { static_cast<uint32_t>(get(2, 4)),
                             static_cast<uint16_t>(get(6, 2)) };
    packet.m_flags = static_cast<uint8_t>(get(12, 1));
    packet.m_pad = static_cast<uint32_t>(get(13, 3));
    packet.m_sum = static_cast<uint32_t>(get(18, 4));
    packet.m_seq = static_cast<uint32_t>(get(22, 4));
    packet.m_ack = static_cast<uint32_t>(get(26, 4));
    packet.m_echo = static_cast<uint32_t>(get(30, 4));
    packet.m_data = aBytes.substr(kHeadBytes);
    return packet;
  }
};

/** A bound UDP socket. */
class Udp
{
public:
  explicit Udp(const Endpoint& aListen)
    : m_fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
  {
    int bytes = 1 << 20;
    setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    sockaddr_in address = SocketAddress(aListen);
    m_isBound =
      bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~Udp() { close(m_fd); }
  Udp(const Udp&) = delete;
  Udp& operator=(const Udp&) = delete;

  bool IsBound() const { return m_isBound; }

  void Send(const Packet& aPacket, const Endpoint& aTo) const
  {
    string bytes = aPacket.Encode();
    sockaddr_in to = SocketAddress(aTo);
    sendto(m_fd,
           bytes.data(),
           bytes.size(),
           MSG_DONTWAIT,
           reinterpret_cast<sockaddr*>(&to),
           sizeof(to));
  }

  /** Waits up to aMs for a packet. */
  std::optional<Packet> Receive(int aMs) const
  {
    pollfd waiting{ m_fd, POLLIN, 0 };
    if (poll(&waiting, 1, aMs) <= 0) {
      return std::nullopt;
    }
    char buffer[4096];
    ssize_t count = recv(m_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count < 0) {
      return std::nullopt;
    }
    return Packet::Decode(string(buffer, static_cast<size_t>(count)));
  }

private:
  int m_fd;
  bool m_isBound = false;
};

// ------------------------------------------------------------------- HTTP

struct HttpMessage
{
  string m_first;
  string m_body;
};

/** Reads one message; false at the end of the connection. */
inline bool
ReadHttp(int aFd, string& aBuffer, HttpMessage& aMessage)
{
  auto more = [&] {
    char bytes[65536];
    ssize_t count = recv(aFd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<size_t>(count));
    return true;
  };
  size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == string::npos) {
    if (!more()) {
      return false;
    }
  }
  string head = aBuffer.substr(0, end + 2);
  size_t length = 0;
  for (size_t at = 0; at < head.size();) {
    size_t next = head.find("\r\n", at);
    if (strncasecmp(head.c_str() + at, "content-length:", 15) == 0) {
      length = strtoul(head.c_str() + at + 15, nullptr, 10);
    }
    at = next + 2;
  }
  while (aBuffer.size() < end + 4 + length) {
    if (!more()) {
      return false;
    }
  }
  aMessage.m_first = head.substr(0, head.find("\r\n"));
  aMessage.m_body = aBuffer.substr(end + 4, length);
  aBuffer.erase(0, end + 4 + length);
  return true;
}

inline void
SendAll(int aFd, const string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t count =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<size_t>(count);
  }
}

/** Makes one call on a new connection. Returns the status, or 0 without an
 * answer in time. */
inline int
CallHttp(const Endpoint& aTo,
         const string& aMethod,
         const string& aPath,
         const string& aBody,
         int aTimeoutMs,
         string* aAnswer = nullptr)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval time{ aTimeoutMs / 1000, aTimeoutMs % 1000 * 1000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  sockaddr_in address = SocketAddress(aTo);
  int status = 0;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    string request = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + Text(aTo) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    SendAll(fd, request);
    string buffer;
    HttpMessage answer;
    if (ReadHttp(fd, buffer, answer)) {
      status = atoi(answer.m_first.c_str() + strlen("HTTP/1.1 "));
      if (aAnswer) {
        *aAnswer = answer.m_body;
      }
    }
  }
  close(fd);
  return status;
}

// ------------------------------------------------------------------ store

/** Returns the text of a field of a JSON object; "" if there is none. */
inline string
JsonField(const string& aObject, const string& aName)
{
  int depth = 0;
  bool isInText = false;
  string key;
  size_t textStart = 0;
  size_t valueStart = 0;
  for (size_t i = 0; i < aObject.size(); ++i) {
    char character = aObject[i];
    if (isInText) {
      if (character == '\\') {
        ++i;
      } else if (character == '"') {
        isInText = false;
        if (depth == 1 && valueStart == 0) {
          key = aObject.substr(textStart, i - textStart);
        }
      }
      continue;
    }
    switch (character) {
      case '"':
        isInText = true;
        textStart = i + 1;
        break;
      case ':':
        if (depth == 1 && valueStart == 0) {
          valueStart = i + 1;
        }
        break;
      case '{':
      case '[':
        ++depth;
        break;
      case '}':
      case ']':
        --depth;
        [[fallthrough]];
      case ',':
        if ((depth == 0 || (depth == 1 && character == ',')) &&
            valueStart != 0) {
          if (key == aName) {
            return aObject.substr(valueStart, i - valueStart);
          }
          valueStart = 0;
        }
        break;
      default:
        break;
    }
  }
  return "";
}

inline string
Unquoted(const string& aText)
{
  size_t first = aText.find('"');
  size_t last = aText.rfind('"');
  return first == string::npos || first == last
           ? ""
           : aText.substr(first + 1, last - first - 1);
}

/** The platform's store: objects by kind, one revision counter, watches. */
class Store
{
public:
  Store()
  {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = SocketAddress({ INADDR_LOOPBACK, 0 });
    bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(m_fd, 128);
    socklen_t length = sizeof(address);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
    m_where = { INADDR_LOOPBACK, ntohs(address.sin_port) };
    std::thread([this] { Accept(); }).detach();
  }

  const Endpoint& Where() const { return m_where; }

  /** The operator's write of config/main; returns when it is acknowledged. */
  void WriteConfig(const string& aSpec)
  {
    std::lock_guard lock(m_mutex);
    Put("config", "main", aSpec);
  }

  /** Names of the objects of a kind. */
  std::vector<string> Names(const string& aKind)
  {
    std::lock_guard lock(m_mutex);
    std::vector<string> names;
    for (const auto& [name, object] : m_objects[aKind]) {
      names.push_back(name);
    }
    return names;
  }

private:
  struct Object
  {
    string m_spec;
    uint64_t m_created = 0;
    uint64_t m_revision = 0;
  };
  struct Event
  {
    uint64_t m_revision = 0;
    string m_kind;
    string m_text;
  };
  struct Answer
  {
    int m_status = 200;
    string m_body;
  };

  static string ObjectText(const string& aName, const Object& aObject)
  {
    return "{\"meta\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.m_revision) +
           ",\"created\":" + std::to_string(aObject.m_created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.m_spec +
           ",\"status\":null}";
  }

  string Put(const string& aKind, const string& aName, const string& aSpec)
  {
    Object& object = m_objects[aKind][aName];
    if (object.m_revision != 0 && object.m_spec == aSpec) {
      return ObjectText(aName, object);
    }
    object.m_spec = aSpec;
    object.m_revision = ++m_revision;
    if (object.m_created == 0) {
      object.m_created = m_revision;
    }
    string text = ObjectText(aName, object);
    m_events.push_back(
      { m_revision, aKind, "{\"removed\":false,\"object\":" + text + "}" });
    m_changed.notify_all();
    return text;
  }

  void Accept()
  {
    while (true) {
      int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int aFd)
  {
    string buffer;
    HttpMessage request;
    while (ReadHttp(aFd, buffer, request)) {
      constexpr double kAnswerMs = 4;
      Sleep(kAnswerMs);
      Answer answer = Handle(request);
      SendAll(aFd,
              "HTTP/1.1 " + std::to_string(answer.m_status) +
                " x\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(answer.m_body.size()) + "\r\n\r\n" +
                answer.m_body);
    }
    close(aFd);
  }

  static string Parameter(const string& aQuery, const string& aName)
  {
    size_t at = ("&" + aQuery).find("&" + aName + "=");
    if (at == string::npos) {
      return "";
    }
    string rest = aQuery.substr(at + aName.size() + 1);
    return rest.substr(0, rest.find('&'));
  }

  Answer Handle(const HttpMessage& aRequest)
  {
    size_t space = aRequest.m_first.find(' ');
    string method = aRequest.m_first.substr(0, space);
    string path = aRequest.m_first.substr(space + 1);
    path = path.substr(0, path.find(' '));
    string query;
    if (size_t mark = path.find('?'); mark != string::npos) {
      query = path.substr(mark + 1);
      path = path.substr(0, mark);
    }
    const string root = "/bilberryfield/objects/";
    if (path.rfind(root, 0) != 0) {
      return { 404, "" };
    }
    path = path.substr(root.size());
    string kind = path.substr(0, path.find('/'));
    string name =
      path.find('/') == string::npos ? "" : path.substr(path.find('/') + 1);
    std::unique_lock lock(m_mutex);
    if (method == "GET" && !name.empty()) {
      auto found = m_objects[kind].find(name);
      return found == m_objects[kind].end()
               ? Answer{ 404, "" }
               : Answer{ 200, ObjectText(name, found->second) };
    }
    if (method == "GET" && !Parameter(query, "watch").empty()) {
      return Watch(lock,
                   kind,
                   strtoull(Parameter(query, "watch").c_str(), nullptr, 10),
                   atoi(Parameter(query, "wait-ms").c_str()));
    }
    if (method == "GET") {
      return { 200, List(kind) };
    }
    return Write(method, kind, name, query, aRequest.m_body);
  }

  string List(const string& aKind)
  {
    string items;
    for (const auto& [name, object] : m_objects[aKind]) {
      items += (items.empty() ? "" : ",") + ObjectText(name, object);
    }
    return "{\"items\":[" + items +
           "],\"more\":false,\"at\":" + std::to_string(m_revision) + "}";
  }

  Answer Watch(std::unique_lock<std::mutex>& aLock,
               const string& aKind,
               uint64_t aAfter,
               int aWaitMs)
  {
    string events;
    m_changed.wait_for(aLock, std::chrono::milliseconds(aWaitMs), [&] {
      for (const Event& event : m_events) {
        if (event.m_revision > aAfter && event.m_kind == aKind) {
          events += (events.empty() ? "" : ",") + event.m_text;
        }
      }
      return !events.empty();
    });
    return { 200,
             "{\"events\":[" + events +
               "],\"at\":" + std::to_string(m_revision) + "}" };
  }

  Answer Write(const string& aMethod,
               const string& aKind,
               string aName,
               const string& aQuery,
               const string& aBody)
  {
    string meta = JsonField(aBody, "meta");
    if (aMethod == "POST") {
      aName = Unquoted(JsonField(meta, "name"));
    }
    auto found = m_objects[aKind].find(aName);
    bool isThere = found != m_objects[aKind].end();
    if (aMethod == "POST") {
      return isThere
               ? Answer{ 409, ObjectText(aName, found->second) }
               : Answer{ 201, Put(aKind, aName, JsonField(aBody, "spec")) };
    }
    if (!isThere) {
      return { 404, "" };
    }
    string expected = JsonField(meta, "revision");
    if (expected.empty()) {
      expected = Parameter(aQuery, "revision");
    }
    if (!expected.empty() &&
        strtoull(expected.c_str(), nullptr, 10) != found->second.m_revision) {
      return { 409, ObjectText(aName, found->second) };
    }
    if (aMethod == "PUT") {
      return { 200, Put(aKind, aName, JsonField(aBody, "spec")) };
    }
    string text = ObjectText(aName, found->second);
    m_objects[aKind].erase(found);
    m_events.push_back(
      { ++m_revision, aKind, "{\"removed\":true,\"object\":" + text + "}" });
    m_changed.notify_all();
    return { 200, text };
  }

  int m_fd = -1;
  Endpoint m_where;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<string, std::map<string, Object>> m_objects;
  std::vector<Event> m_events;
  uint64_t m_revision = 100;
};

// ------------------------------------------------------------- deployment

/** The project's daemons as separate processes, one address for each VM. */
class Deployment
{
public:
  Deployment()
  {
    char name[] = "/tmp/review-XXXXXX";
    m_folder = mkdtemp(name);
    std::random_device random;
    m_base = static_cast<uint16_t>(20'000 + random() % 10'000);
  }

  ~Deployment()
  {
    for (auto& [name, pid] : m_pids) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    if (!getenv("KEEP_LOGS")) {
      string command = "rm -rf " + m_folder;
      if (system(command.c_str()) != 0) {
        perror("rm");
      }
    }
  }

  uint16_t DatagramPort() const { return m_base; }
  uint16_t AdminPort() const { return m_base + 1; }
  uint16_t ReadinessPort() const { return m_base + 2; }
  uint16_t OutboundPort() const { return m_base + 3; }
  uint16_t AppPort() const { return m_base + 4; }
  uint16_t MetricsPort() const { return m_base + 5; }

  static uint32_t FrontIp(int aIndex) { return Ip(71, 10 + aIndex); }
  static uint32_t SideIp(int aIndex) { return Ip(72, 10 + aIndex); }
  static uint32_t CallerIp() { return Ip(73, 1); }

  Store& PlatformStore() { return m_store; }
  const string& Folder() const { return m_folder; }

  /** Milliseconds between heartbeats of servers. */
  static constexpr int kHeartbeatMs = 1200;

  void StartFront(int aIndex, int aFronts, const string& aZone)
  {
    uint32_t ip = FrontIp(aIndex);
    string seeds;
    for (int i = 0; i < aFronts; ++i) {
      seeds += (seeds.empty() ? "\"" : ",\"") +
               Text({ FrontIp(i), AdminPort() }) + "\"";
    }
    Run("front-" + std::to_string(aIndex),
        "{\"role\":\"packet-balancer\",\"id\":\"front-" +
          std::to_string(aIndex) + "\",\"failure_domain\":\"" + aZone +
          "\",\"packet_listen\":\"" + Text({ ip, DatagramPort() }) +
          "\",\"readiness_listen\":\"" + Text({ ip, ReadinessPort() }) +
          "\",\"admin_listen\":\"" + Text({ ip, AdminPort() }) +
          "\",\"cpu_share\":0.25,\"metrics_listen\":\"" +
          Text({ ip, MetricsPort() }) + "\",\"platform\":\"" +
          Text(m_store.Where()) +
          "\",\"reset_lost_flows\":true,\"control_port\":" +
          std::to_string(m_base + 6) + ",\"hand_back_port\":" +
          std::to_string(m_base + 7) + ",\"seeds\":[" + seeds + "]}");
  }

  void StartSide(int aIndex, const string& aService, const string& aZone)
  {
    uint32_t ip = SideIp(aIndex);
    Run("side-" + std::to_string(aIndex),
        "{\"role\":\"packet-agent\",\"id\":\"side-" + std::to_string(aIndex) +
          "\",\"failure_domain\":\"" + aZone + "\",\"packet_listen\":\"" +
          Text({ ip, DatagramPort() }) + "\",\"server_listen\":\"" +
          Text({ ip, OutboundPort() }) + "\",\"admin_listen\":\"" +
          Text({ ip, AdminPort() }) + "\",\"server\":\"" +
          Text({ ip, AppPort() }) + "\",\"service\":\"" + aService +
          "\",\"cpu_share\":0.15,\"metrics_listen\":\"" +
          Text({ ip, MetricsPort() }) + "\",\"platform\":\"" +
          Text(m_store.Where()) +
          "\",\"control_port\":" + std::to_string(m_base + 6) +
          ",\"hand_back_port\":" + std::to_string(m_base + 7) +
          ",\"eject_failing_server\":true,\"order_requests\":true,"
          "\"heartbeat_ms\":" +
          std::to_string(kHeartbeatMs) + "}");
  }

  /** Sends a signal to a process that this case started. */
  void Signal(const string& aName, int aSignal)
  {
    Record::Line("signal %d to %s", aSignal, aName.c_str());
    kill(m_pids.at(aName), aSignal);
  }

  void Kill(const string& aName)
  {
    pid_t pid = 0;
    {
      std::lock_guard lock(m_mutex);
      pid = m_pids.at(aName);
      m_pids.erase(aName);
    }
    Record::Line("signal %d to %s", SIGKILL, aName.c_str());
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }

  /** Waits for the end of a process that was told to stop. */
  void WaitForEnd(const string& aName)
  {
    pid_t pid = 0;
    {
      std::lock_guard lock(m_mutex);
      pid = m_pids.at(aName);
      m_pids.erase(aName);
    }
    waitpid(pid, nullptr, 0);
  }

  /** True if a process ended though this case did not end it. */
  bool HasEnded(const string& aName)
  {
    return waitpid(m_pids.at(aName), nullptr, WNOHANG) != 0;
  }

private:
  void Run(const string& aName, const string& aSettings)
  {
    string path = m_folder + "/" + aName + ".json";
    std::ofstream(path) << aSettings;
    string log = m_folder + "/" + aName + ".log";
    string flag = "--settings=" + path;
    Record::Line("start %s", aName.c_str());
    std::lock_guard lock(m_mutex);
    pid_t pid = fork();
    if (pid == 0) {
      int fd = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      execl("target/packages/control/bilberryd",
            "target/packages/control/bilberryd",
            flag.c_str(),
            nullptr);
      _exit(127);
    }
    m_pids[aName] = pid;
  }

  // Its threads run until the program ends.
  Store& m_store = *new Store;
  string m_folder;
  uint16_t m_base = 0;
  std::mutex m_mutex;
  std::map<string, pid_t> m_pids;
};

// ---------------------------------------------------------------- servers

/** A request that a server began to work on. */
struct RunRequest
{
  string m_server;
  string m_service;
  string m_id;
  string m_route;
  /** When the opening packet arrived. */
  double m_openedAt = 0;
};

/** A packet of a flow, after its opening, that reached a server. */
struct Arrival
{
  double m_at = 0;
  string m_server;
  /** The server has the flow. */
  bool m_isHeld = false;
};

/** A backend server on a side VM. */
class Server
{
public:
  struct Options
  {
    string m_name;
    string m_id;
    string m_service;
    string m_zone;
    int m_side = 0;
    int m_slots = 3;
    double m_workMs = 20;
    /** What the VM's clock shows more than the true time. */
    int64_t m_clockAheadMs = 0;
  };

  Server(Deployment& aDeployment, Options aOptions)
    : m_options(std::move(aOptions))
    , m_socket({ Deployment::SideIp(m_options.m_side), aDeployment.AppPort() })
    , m_outbound{ Deployment::SideIp(m_options.m_side),
                  aDeployment.OutboundPort() }
    , m_admin{ Deployment::SideIp(m_options.m_side), aDeployment.AdminPort() }
    , m_address{ Deployment::SideIp(m_options.m_side), aDeployment.AppPort() }
    , m_born(UnixMs() + m_options.m_clockAheadMs)
  {
    Record::Line("server %s starts: id %s, service %s, born %lld",
                 m_options.m_name.c_str(),
                 m_options.m_id.c_str(),
                 m_options.m_service.c_str(),
                 static_cast<long long>(m_born));
    m_packets = std::thread([this] { Serve(); });
    m_beats = std::thread([this] { Beat(); });
  }

  /** Crashes: sends nothing more. */
  ~Server() { Stop(); }

  void Stop()
  {
    m_isStopped = true;
    for (std::thread* thread : { &m_packets, &m_beats }) {
      if (thread->joinable()) {
        thread->join();
      }
    }
  }

  /** Reports that it leaves and returns the time of the acknowledgement, or
   * nothing without one. */
  std::optional<double> Drain()
  {
    m_isDraining = true;
    for (int i = 0; i < 5; ++i) {
      if (SendBeat()) {
        return Now();
      }
    }
    return std::nullopt;
  }

  /** Sends the last call; the owner ends the server then. */
  int SendDelete()
  {
    int status = CallHttp(m_admin,
                          "DELETE",
                          "/bilberryfield/instances/" + m_options.m_id,
                          "",
                          1000);
    Record::Line("server %s DELETE -> %d", m_options.m_name.c_str(), status);
    return status;
  }

  /** All requests that servers of this program began to work on. */
  static std::vector<RunRequest> Runs()
  {
    std::lock_guard lock(RunMutex());
    return RunList();
  }

  bool IsBound() const { return m_socket.IsBound(); }

  using Key = std::pair<Endpoint, Endpoint>;

  /** Packets after the opening that reached servers, by flow. */
  static std::map<Key, std::vector<Arrival>> Arrivals()
  {
    std::lock_guard lock(RunMutex());
    return ArrivalMap();
  }

private:
  struct Flow
  {
    uint32_t m_seq = 0;
    uint32_t m_callerNext = 0;
    double m_openedAt = 0;
    bool m_isOpen = false;
    bool m_hasEnded = false;
    string m_answer;
    uint32_t m_answerSeq = 0;
    /** Sequence number of the next byte to send. */
    uint32_t m_next = 0;
    bool m_isAnswered = false;
    bool m_isClosing = false;
    double m_repeatAt = 0;
    double m_repeatGap = 200;
    int m_repeats = 0;
  };
  struct Work
  {
    double m_endsAt = 0;
    Key m_flow;
  };

  static std::mutex& RunMutex()
  {
    static std::mutex mutex;
    return mutex;
  }
  static std::vector<RunRequest>& RunList()
  {
    static std::vector<RunRequest> list;
    return list;
  }

  static std::map<Key, std::vector<Arrival>>& ArrivalMap()
  {
    static std::map<Key, std::vector<Arrival>> map;
    return map;
  }
  static void AddArrival(const Key& aKey, const Arrival& aArrival)
  {
    std::lock_guard lock(RunMutex());
    ArrivalMap()[aKey].push_back(aArrival);
  }

  bool SendBeat()
  {
    uint64_t sequence = ++m_sequence;
    string state = m_isDraining ? "draining" : "ready";
    int status = CallHttp(
      m_admin,
      "PUT",
      "/bilberryfield/instances/" + m_options.m_id,
      "{\"service\":\"" + m_options.m_service + "\",\"address\":\"" +
        Text(m_address) + "\",\"zone\":\"" + m_options.m_zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.m_slots) +
        ",\"state\":\"" + state + "\",\"warmup-left-ms\":0,\"seq\":" +
        std::to_string(sequence) + ",\"born\":" + std::to_string(m_born) + "}",
      1000);
    Record::Line("server %s heartbeat %llu %s -> %d",
                 m_options.m_name.c_str(),
                 static_cast<unsigned long long>(sequence),
                 state.c_str(),
                 status);
    return status / 100 == 2;
  }

  void Beat()
  {
    while (!m_isStopped) {
      double next = Now() + Deployment::kHeartbeatMs;
      SendBeat();
      while (!m_isStopped && Now() < next) {
        Sleep(5);
      }
    }
  }

  void Serve()
  {
    while (!m_isStopped) {
      if (std::optional<Packet> packet = m_socket.Receive(2)) {
        OnPacket(std::move(*packet));
      }
      OnTimer();
    }
  }

  void Send(const Key& aKey, uint8_t aFlags, uint32_t aSeq, const string& aData)
  {
    Packet packet;
    packet.m_source = aKey.second;
    packet.m_destination = aKey.first;
    packet.m_flags = aFlags;
    packet.m_seq = aSeq;
    packet.m_ack = m_flows[aKey].m_callerNext;
    packet.m_data = aData;
    packet.m_sum = packet.Sum();
    m_socket.Send(packet, m_outbound);
  }

  void SendAnswer(const Key& aKey, const Flow& aFlow)
  {
    uint8_t flags = kAck;
    if (aFlow.m_isClosing) {
      flags |= kFin;
    }
    Send(aKey, flags, aFlow.m_answerSeq, aFlow.m_answer);
  }

  void Bounce(Packet aPacket)
  {
    aPacket.m_flags |= kBounced;
    aPacket.m_pad = 0;
    m_socket.Send(aPacket, m_outbound);
  }

  void OnPacket(Packet aPacket)
  {
    if (aPacket.m_sum != aPacket.Sum() ||
        (aPacket.Has(kSyn) && aPacket.Has(kAck))) {
      Record::Line("server %s: forged packet", m_options.m_name.c_str());
      return;
    }
    Key key{ aPacket.m_source, aPacket.m_destination };
    auto found = m_flows.find(key);
    if (aPacket.Has(kSyn)) {
      if (found == m_flows.end()) {
        Flow& flow = m_flows[key];
        flow.m_seq = m_random();
        flow.m_next = flow.m_seq + 1;
        flow.m_callerNext = aPacket.m_seq + 1;
        flow.m_openedAt = Now();
      }
      return Send(key, kSyn | kAck, m_flows[key].m_seq, "");
    }
    bool isHeld = found != m_flows.end() &&
                  aPacket.m_ack - found->second.m_seq <= 1'000'000;
    AddArrival(key, { Now(), m_options.m_name, isHeld });
    if (!isHeld) {
      return Bounce(std::move(aPacket));
    }
    Flow& flow = found->second;
    if (aPacket.Has(kReset)) {
      flow.m_hasEnded = true;
      return;
    }
    if (flow.m_hasEnded) {
      uint8_t flags = aPacket.Has(kFin) ? kAck : kReset;
      return Send(key, flags, flow.m_next, "");
    }
    flow.m_isOpen = true;
    if (!flow.m_answer.empty() &&
        aPacket.m_ack == flow.m_answerSeq + flow.m_answer.size()) {
      flow.m_isAnswered = true;
    }
    if (aPacket.Has(kFin)) {
      flow.m_hasEnded = true;
      flow.m_callerNext = aPacket.m_seq + 1;
      return Send(key, kAck | kFin, flow.m_next, "");
    }
    if (!aPacket.m_data.empty() && aPacket.m_seq == flow.m_callerNext) {
      flow.m_callerNext += static_cast<uint32_t>(aPacket.m_data.size());
      m_waiting.push_back({ key, aPacket.m_data });
    }
  }

  static string Header(const string& aRequest, const string& aName)
  {
    size_t at = aRequest.find(aName + ": ");
    if (at == string::npos) {
      return "";
    }
    at += aName.size() + 2;
    return aRequest.substr(at, aRequest.find("\r\n", at) - at);
  }

  void Begin(const Key& aKey, const string& aRequest)
  {
    Flow& flow = m_flows[aKey];
    RunRequest run{ m_options.m_name,
                    m_options.m_service,
                    Header(aRequest, "X-Request-Id"),
                    Text(aKey.second),
                    flow.m_openedAt };
    Record::Line("server %s (%s) runs request %s of route %s",
                 run.m_server.c_str(),
                 run.m_service.c_str(),
                 run.m_id.c_str(),
                 run.m_route.c_str());
    string body = "answer of " + m_options.m_service + " to " + run.m_id;
    flow.m_answer = "HTTP/1.1 200 OK\r\nX-Response-Stamp: " + m_options.m_name +
                    "/" + run.m_id +
                    "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body;
    {
      std::lock_guard lock(RunMutex());
      RunList().push_back(run);
    }
    m_work.push_back({ Now() + m_options.m_workMs, aKey });
  }

  void OnTimer()
  {
    while (!m_work.empty() && m_work.front().m_endsAt <= Now()) {
      Key key = m_work.front().m_flow;
      m_work.pop_front();
      Flow& flow = m_flows[key];
      flow.m_answerSeq = flow.m_next;
      flow.m_next += static_cast<uint32_t>(flow.m_answer.size());
      // A server that drains closes each flow after its next answer.
      flow.m_isClosing = m_isDraining;
      flow.m_isAnswered = false;
      flow.m_repeats = 0;
      flow.m_repeatGap = 200;
      flow.m_repeatAt = Now() + flow.m_repeatGap;
      m_unconfirmed.insert(key);
      SendAnswer(key, flow);
    }
    while (m_work.size() < static_cast<size_t>(m_options.m_slots) &&
           !m_waiting.empty()) {
      auto [key, request] = m_waiting.front();
      m_waiting.pop_front();
      Begin(key, request);
    }
    for (auto it = m_unconfirmed.begin(); it != m_unconfirmed.end();) {
      Flow& flow = m_flows[*it];
      constexpr int kMaxRepeats = 8;
      if (flow.m_isAnswered || flow.m_hasEnded ||
          flow.m_repeats > kMaxRepeats) {
        it = m_unconfirmed.erase(it);
        continue;
      }
      if (Now() >= flow.m_repeatAt) {
        flow.m_repeats += 1;
        flow.m_repeatGap = std::min(2 * flow.m_repeatGap, 1600.0);
        flow.m_repeatAt = Now() + flow.m_repeatGap;
        SendAnswer(*it, flow);
      }
      ++it;
    }
  }

  Options m_options;
  Udp m_socket;
  Endpoint m_outbound;
  Endpoint m_admin;
  Endpoint m_address;
  int64_t m_born;
  std::atomic<uint64_t> m_sequence{ 0 };
  std::atomic<bool> m_isDraining{ false };
  std::atomic<bool> m_isStopped{ false };
  std::mt19937 m_random{ std::random_device{}() };
  std::map<Key, Flow> m_flows;
  std::deque<std::pair<Key, string>> m_waiting;
  std::deque<Work> m_work;
  std::set<Key> m_unconfirmed;
  std::thread m_packets;
  std::thread m_beats;
};

// ---------------------------------------------------------------- callers

/** One try of a request: a flow of its own. */
struct Try
{
  string m_id;
  Endpoint m_route;
  double m_sentAt = 0;
  double m_openedAt = -1;
  double m_endedAt = 0;
  /** The caller's end of the flow. */
  Endpoint m_caller;
  /** "answered", "reset", "no answer" or "foreign answer". */
  string m_end;
  uint32_t m_serverSeq = 0;
  /** Checksum of the reset that ended it; 0 in one of the system's own. */
  uint32_t m_resetSum = 0;
};

/** Callers that open a flow for each request, and the fabric that hashes their
 * packets over the fronts in rotation. */
class Callers
{
public:
  Callers(Deployment& aDeployment, int aFronts)
    : m_socket({ Deployment::CallerIp(), aDeployment.DatagramPort() })
    , m_port(aDeployment.DatagramPort())
    , m_misses(static_cast<size_t>(aFronts))
  {
    for (auto& misses : m_misses) {
      misses = 2;
    }
    for (int i = 0; i < aFronts; ++i) {
      Endpoint probe{ Deployment::FrontIp(i), aDeployment.ReadinessPort() };
      m_probes.emplace_back([this, i, probe] { Probe(i, probe); });
    }
    m_thread = std::thread([this] { Run(); });
  }

  ~Callers()
  {
    m_isStopped = true;
    m_thread.join();
    for (std::thread& probe : m_probes) {
      probe.join();
    }
  }

  /** Waits until so many fronts are in rotation. */
  bool WaitForReady(int aCount, double aMs)
  {
    double end = Now() + aMs;
    while (Now() < end) {
      if (Rotation().size() >= static_cast<size_t>(aCount)) {
        return true;
      }
      Sleep(20);
    }
    return false;
  }

  /** Sets how many requests a second a route gets. */
  void SetRate(const Endpoint& aRoute, double aPerSecond)
  {
    std::lock_guard lock(m_mutex);
    m_rates[aRoute] = { aPerSecond, Now() };
  }

  /** Time after the first SYN at which the caller gives up. */
  double m_deadlineMs = 1500;
  /** Requests on each flow, and the pause before a further one. */
  int m_requestsPerFlow = 1;
  double m_pauseMs = 1000;
  /** If set, every request that is sent is recorded. */
  bool m_recordsAll = true;

  /** Closes each flow after its next answer. */
  void Close() { m_isClosing = true; }

  std::vector<Try> Tries()
  {
    std::lock_guard lock(m_mutex);
    return m_done;
  }

private:
  struct Rate
  {
    double m_perSecond = 0;
    double m_nextAt = 0;
  };
  struct Flow
  {
    Try m_try;
    uint32_t m_seq = 0;
    uint32_t m_copies = 0;
    bool m_isOpen = false;
    /** Requests on this flow so far. */
    int m_requests = 1;
    /** Time of the next request; 0 while one waits for its answer. */
    double m_nextAt = 0;
    double m_repeatAt = 0;
    double m_repeatGap = 200;
  };
  using Key = std::pair<Endpoint, Endpoint>;

  void Probe(int aFront, const Endpoint& aProbe)
  {
    while (!m_isStopped) {
      double next = Now() + 500;
      bool isReady =
        CallHttp(aProbe, "GET", "/bilberryfield/readyz", "", 500) == 200;
      auto& misses = m_misses[static_cast<size_t>(aFront)];
      misses = isReady ? 0 : std::min(2, misses + 1);
      while (!m_isStopped && Now() < next) {
        Sleep(5);
      }
    }
  }

  std::vector<size_t> Rotation()
  {
    std::vector<size_t> fronts;
    for (size_t i = 0; i < m_misses.size(); ++i) {
      if (m_misses[i] < 2) {
        fronts.push_back(i);
      }
    }
    if (2 * fronts.size() < m_misses.size()) {
      fronts.clear();
      for (size_t i = 0; i < m_misses.size(); ++i) {
        fronts.push_back(i);
      }
    }
    return fronts;
  }

  void Send(const Key& aKey,
            const Flow& aFlow,
            uint8_t aFlags,
            const string& aData)
  {
    Packet packet;
    packet.m_source = aKey.first;
    packet.m_destination = aKey.second;
    packet.m_flags = aFlags;
    packet.m_seq = aFlow.m_seq;
    packet.m_ack = aFlow.m_isOpen ? aFlow.m_try.m_serverSeq : aFlow.m_copies;
    packet.m_data = aData;
    packet.m_sum = packet.Sum();
    std::vector<size_t> fronts = Rotation();
    size_t hash = (aKey.first.m_port * 2654435761U >> 7U) % fronts.size();
    m_socket.Send(
      packet, { Deployment::FrontIp(static_cast<int>(fronts[hash])), m_port });
  }

  string Request(const Flow& aFlow) const
  {
    return "POST /work HTTP/1.1\r\nX-Request-Id: " + aFlow.m_try.m_id +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  void Open(const Endpoint& aRoute)
  {
    Key key{ { Deployment::CallerIp(), m_nextPort++ }, aRoute };
    Flow& flow = m_flows[key];
    flow.m_try.m_id = "r" + std::to_string(++m_count);
    flow.m_try.m_route = aRoute;
    flow.m_try.m_caller = key.first;
    flow.m_try.m_sentAt = Now();
    flow.m_seq = m_random();
    flow.m_repeatAt = Now() + 200;
    if (m_recordsAll) {
      Record::Line("caller sends %s to route %s",
                   flow.m_try.m_id.c_str(),
                   Text(aRoute).c_str());
    }
    Send(key, flow, kSyn, "");
  }

  void Done(const Flow& aFlow)
  {
    if (m_recordsAll) {
      Record::Line(
        "caller's %s: %s", aFlow.m_try.m_id.c_str(), aFlow.m_try.m_end.c_str());
    }
    std::lock_guard lock(m_mutex);
    m_done.push_back(aFlow.m_try);
  }

  void End(std::map<Key, Flow>::iterator aFlow, const string& aEnd)
  {
    Try& done = aFlow->second.m_try;
    done.m_end = aEnd;
    done.m_endedAt = Now();
    Done(aFlow->second);
    m_flows.erase(aFlow);
  }

  void OnPacket(const Packet& aPacket)
  {
    auto found = m_flows.find({ aPacket.m_destination, aPacket.m_source });
    if (found == m_flows.end()) {
      return;
    }
    Flow& flow = found->second;
    if (aPacket.Has(kReset)) {
      flow.m_try.m_resetSum = aPacket.m_sum;
      return End(found, "reset");
    }
    if (aPacket.m_sum != aPacket.Sum()) {
      return End(found, "foreign answer");
    }
    if (aPacket.Has(kSyn) && !flow.m_isOpen) {
      flow.m_isOpen = true;
      flow.m_try.m_openedAt = Now();
      flow.m_try.m_serverSeq = aPacket.m_seq + 1;
      flow.m_seq += 1;
      flow.m_repeatGap = 200;
      flow.m_repeatAt = Now() + flow.m_repeatGap;
      return Send(found->first, flow, kAck, Request(flow));
    }
    if (!aPacket.m_data.empty() && aPacket.m_seq != flow.m_try.m_serverSeq) {
      // An answer that came before.
      return Send(found->first, flow, kAck, "");
    }
    if (!aPacket.m_data.empty()) {
      bool isOwn =
        aPacket.m_data.find(" to " + flow.m_try.m_id) != string::npos;
      flow.m_try.m_serverSeq += static_cast<uint32_t>(aPacket.m_data.size());
      flow.m_seq += static_cast<uint32_t>(Request(flow).size());
      string end = isOwn ? "answered" : "foreign answer";
      bool isLast = flow.m_requests >= m_requestsPerFlow || m_isClosing ||
                    aPacket.Has(kFin);
      if (isLast) {
        Send(found->first, flow, kAck | kFin, "");
        return End(found, end);
      }
      Send(found->first, flow, kAck, "");
      flow.m_try.m_end = end;
      flow.m_try.m_endedAt = Now();
      Done(flow);
      flow.m_requests += 1;
      flow.m_nextAt = Now() + m_pauseMs;
    }
  }

  void NextRequest(const Key& aKey, Flow& aFlow)
  {
    aFlow.m_nextAt = 0;
    aFlow.m_try.m_id = "r" + std::to_string(++m_count);
    aFlow.m_try.m_sentAt = Now();
    aFlow.m_try.m_end = "";
    aFlow.m_repeatGap = 200;
    aFlow.m_repeatAt = Now() + aFlow.m_repeatGap;
    if (m_recordsAll) {
      Record::Line("caller sends %s on its open flow %s",
                   aFlow.m_try.m_id.c_str(),
                   Text(aKey.first).c_str());
    }
    Send(aKey, aFlow, kAck, Request(aFlow));
  }

  void OnTimer()
  {
    {
      std::unique_lock lock(m_mutex);
      for (auto& [route, rate] : m_rates) {
        while (rate.m_perSecond > 0 && Now() >= rate.m_nextAt) {
          rate.m_nextAt += 1000 / rate.m_perSecond;
          Endpoint target = route;
          lock.unlock();
          Open(target);
          lock.lock();
        }
      }
    }
    for (auto it = m_flows.begin(); it != m_flows.end();) {
      auto next = std::next(it);
      Flow& flow = it->second;
      double age = Now() - flow.m_try.m_sentAt;
      constexpr double kOpenTimeout = 1400;
      if (flow.m_nextAt > 0) {
        if (Now() >= flow.m_nextAt) {
          NextRequest(it->first, flow);
        }
      } else if (age > m_deadlineMs || (!flow.m_isOpen && age > kOpenTimeout)) {
        End(it, "no answer");
      } else if (Now() >= flow.m_repeatAt && !flow.m_isOpen) {
        constexpr uint32_t kMaxCopies = 2;
        flow.m_repeatAt = flow.m_copies == 0 ? flow.m_try.m_sentAt + 600 : 1e18;
        if (flow.m_copies < kMaxCopies) {
          flow.m_copies += 1;
          Send(it->first, flow, kSyn, "");
        }
      } else if (Now() >= flow.m_repeatAt) {
        flow.m_repeatGap = std::min(2 * flow.m_repeatGap, 1600.0);
        flow.m_repeatAt = Now() + flow.m_repeatGap;
        Send(it->first, flow, kAck, Request(flow));
      }
      it = next;
    }
  }

  void Run()
  {
    while (!m_isStopped) {
      if (std::optional<Packet> packet = m_socket.Receive(1)) {
        OnPacket(*packet);
      }
      OnTimer();
    }
  }

  Udp m_socket;
  uint16_t m_port;
  std::vector<std::atomic<int>> m_misses;
  std::atomic<bool> m_isStopped{ false };
  std::atomic<bool> m_isClosing{ false };
  std::mutex m_mutex;
  std::map<Endpoint, Rate> m_rates;
  std::vector<Try> m_done;
  std::map<Key, Flow> m_flows;
  std::mt19937 m_random{ std::random_device{}() };
  uint16_t m_nextPort = 10'000;
  int m_count = 0;
  std::vector<std::thread> m_probes;
  std::thread m_thread;
};

/** A route of the operator's configuration. */
inline string
RouteText(const string& aName, const Endpoint& aAddress, const string& aService)
{
  return "{\"name\":\"" + aName + "\",\"host\":\"" + IpText(aAddress.m_ip) +
         "\",\"path-prefix\":\"/" + std::to_string(aAddress.m_port) +
         "/\",\"kind\":\"unsafe\",\"timeout-ms\":1500,\"latency-slo-ms\":150,"
         "\"priority\":1,\"service\":\"" +
         aService + "\",\"attempts\":2}";
}

inline string
ConfigText(int aVersion, const std::vector<string>& aRoutes)
{
  string routes;
  for (const string& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + route;
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[],\"limits\":{\"idle-timeout-ms\":60000}}";
}

/** False if the environment asks for a run without the disruption. */
inline bool
HasTrouble()
{
  const char* trouble = getenv("TROUBLE");
  return !trouble || string(trouble) != "0";
}

} // namespace stage
