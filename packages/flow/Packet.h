#pragma once

#include <absl/hash/hash.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberryfield {

/** An IPv4 address in host byte order and a port. */
struct Endpoint
{
  uint32_t m_ip = 0;
  uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aState, const Endpoint& aEndpoint)
  {
    return Hash::combine(std::move(aState), aEndpoint.m_ip, aEndpoint.m_port);
  }

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("i", aSelf.m_ip);
    aVisitor("p", aSelf.m_port);
  }
};

/** Text of the form "10.1.0.10:8172". */
std::string
ToText(const Endpoint& aEndpoint);

/** Text of an IPv4 address, for example "10.1.0.10". */
std::string
IpToText(uint32_t aIp);

/** The endpoint in a text of the form "10.1.0.10:8172". */
std::optional<Endpoint>
ParseIpAndPort(std::string_view aText);

/** The IPv4 address in a text, in host byte order. */
std::optional<uint32_t>
ParseIp(std::string_view aText);

/** The two ends of a flow. */
struct FlowKey
{
  Endpoint m_caller;
  /** The address of a route, which callers send to. */
  Endpoint m_service;

  auto operator<=>(const FlowKey&) const = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aState, const FlowKey& aKey)
  {
    return Hash::combine(std::move(aState), aKey.m_caller, aKey.m_service);
  }

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("c", aSelf.m_caller);
    aVisitor("s", aSelf.m_service);
  }
};

/** Text that names a flow in logs: caller, then service. */
std::string
ToText(const FlowKey& aFlow);

/** A packet as it stands on the wire; the system does not look inside. */
using PacketBytes = std::span<const uint8_t>;

/** A bit of PacketHeader::m_flags. */
enum PacketFlag : uint8_t
{
  kSyn = 1,
  kAck = 2,
  kFin = 4,
  kReset = 8,
  /** The server could not take the packet and sent it back. */
  kBounced = 16,
};

/** What the system reads of a packet. */
struct PacketHeader
{
  Endpoint m_source;
  Endpoint m_destination;
  uint8_t m_flags = 0;
  uint32_t m_seq = 0;
  uint32_t m_ack = 0;
  /** Bytes of data behind the header. */
  uint16_t m_length = 0;
  /** Free for the system's use between its processes; 32 bits. */
  uint32_t m_tag = 0;
  /** As m_tag; 24 bits. A server sets it to 0 in a packet it sends back. */
  uint32_t m_mark = 0;

  bool Has(PacketFlag aFlag) const { return (m_flags & aFlag) != 0; }
  bool IsSyn() const { return Has(kSyn) && !Has(kAck); }
  /** Opening packets that the caller sent before this one in its flow. */
  uint32_t RetransmissionCount() const { return m_ack; }

  /** The flow of a packet that a caller sent. */
  FlowKey FlowFromCaller() const { return { m_source, m_destination }; }

  /** The flow of a packet that a server sent. */
  FlowKey FlowFromServer() const { return { m_destination, m_source }; }
};

} // namespace bilberryfield
