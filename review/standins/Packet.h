// The packets of the platform: a header of 34 bytes, little-endian, then data.
#pragma once

#include <arpa/inet.h>
#include <compare>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>

namespace review {

struct Endpoint
{
  uint32_t ip = 0; // host byte order
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

inline uint32_t
Ip(uint8_t a, uint8_t b, uint8_t c, uint8_t d)
{
  return uint32_t(a) << 24 | uint32_t(b) << 16 | uint32_t(c) << 8 | d;
}

inline std::string
IpText(uint32_t ip)
{
  in_addr address{ htonl(ip) };
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

inline std::string
Text(const Endpoint& endpoint)
{
  return IpText(endpoint.ip) + ":" + std::to_string(endpoint.port);
}

inline sockaddr_in
Address(const Endpoint& endpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.ip);
  address.sin_port = htons(endpoint.port);
  return address;
}

enum Flag : uint8_t
{
  kReset = 1,
  kSyn = 2,
  kAck = 4,
  kFin = 8,
  kBounced = 32,
};

struct Packet
{
  Endpoint src;
  Endpoint dst;
  uint8_t flags = 0;
  uint32_t pad = 0; // 24 bits
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t sum = 0;
  std::string data;

  bool Has(Flag flag) const { return (flags & flag) != 0; }
};

constexpr size_t kHeadBytes = 34;
constexpr size_t kMaxData = 1200;

// The keyed sum over all fields but echo, pad and BOUNCED. Only the stand-ins
// know the key.
inline uint32_t
Sum(const Packet& packet)
{
  uint64_t hash = 0x9E3779B97F4A7C15ULL;
  auto add = [&](uint64_t value) {
    hash = (hash ^ value) * 0x100000001B3ULL;
    hash ^= hash >> 29;
  };
  add(packet.src.ip);
  add(packet.src.port);
  add(packet.dst.ip);
  add(packet.dst.port);
  add(packet.flags & ~kBounced);
  add(packet.seq);
  add(packet.ack);
  add(packet.data.size());
  for (unsigned char byte : packet.data) {
    add(byte);
  }
  return uint32_t(hash >> 16) | 1U;
}

inline std::string
Encode(const Packet& packet)
{
  std::string bytes(kHeadBytes, '\0');
  auto put = [&](size_t at, uint32_t value, size_t width) {
    for (size_t i = 0; i < width; ++i) {
      bytes[at + i] = char(value >> (8 * i));
    }
  };
  put(0, packet.src.port, 2);
  put(2, packet.dst.ip, 4);
  put(6, packet.dst.port, 2);
  put(8, packet.src.ip, 4);
  put(12, packet.flags, 1);
  put(13, packet.pad, 3);
  put(16, uint32_t(packet.data.size()), 2);
  put(18, packet.sum, 4);
  put(22, packet.seq, 4);
  put(26, packet.ack, 4);
  put(30, packet.echo, 4);
  return bytes + packet.data;
}

inline std::optional<Packet>
Decode(const char* bytes, size_t size)
{
  auto get = [&](size_t at, size_t width) {
    uint32_t value = 0;
    for (size_t i = 0; i < width; ++i) {
      value |= uint32_t(uint8_t(bytes[at + i])) << (8 * i);
    }
    return value;
  };
  if (size < kHeadBytes || size != kHeadBytes + get(16, 2)) {
    return std::nullopt;
  }
  Packet packet;
  packet.src = { get(8, 4), uint16_t(get(0, 2)) };
  packet.dst = { get(2, 4), uint16_t(get(6, 2)) };
  packet.flags = uint8_t(get(12, 1));
  packet.pad = get(13, 3);
  packet.sum = get(18, 4);
  packet.seq = get(22, 4);
  packet.ack = get(26, 4);
  packet.echo = get(30, 4);
  packet.data.assign(bytes + kHeadBytes, size - kHeadBytes);
  return packet;
}

// The two ends of a flow.
struct FlowKey
{
  Endpoint caller;
  Endpoint route;
  auto operator<=>(const FlowKey&) const = default;
};

inline std::string
Text(const FlowKey& key)
{
  return Text(key.caller) + ">" + Text(key.route);
}

} // namespace review
