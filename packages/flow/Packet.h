#pragma once

#include <absl/hash/hash.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberryfield {

/** An IPv4 address, in host byte order, and a port. */
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

/** Formats an endpoint, for example "10.1.0.10:8172". */
std::string
ToText(const Endpoint& aEndpoint);

/** Formats an IPv4 address, for example "10.1.0.10". */
std::string
IpToText(uint32_t aIp);

/** Parses "10.1.0.10:8172"; std::nullopt if the text is malformed. */
std::optional<Endpoint>
ParseIpAndPort(std::string_view aText);

/** Parses an IPv4 address into host byte order; std::nullopt if the text is
 * malformed. */
std::optional<uint32_t>
ParseIp(std::string_view aText);

/** The two endpoints of a flow. */
struct FlowKey
{
  Endpoint m_caller;
  /** The service address of a route, to which callers send. */
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

/** Formats a flow for logs as "caller>service". */
std::string
ToText(const FlowKey& aFlow);

/** The bytes of a packet as on the wire. The payload is not interpreted. */
using PacketBytes = std::span<const uint8_t>;

/** A bit of PacketHeader::m_flags. */
enum PacketFlag : uint8_t
{
  kSyn = 1,
  kAck = 2,
  kFin = 4,
  kReset = 8,
  /** The server could not process the packet and returned it. */
  kBounced = 16,
};

/** The header fields of a packet that the load balancer reads. */
struct PacketHeader
{
  Endpoint m_source;
  Endpoint m_destination;
  uint8_t m_flags = 0;
  uint32_t m_seq = 0;
  uint32_t m_ack = 0;
  /** Payload length in bytes. */
  uint16_t m_length = 0;
  /** 32 bits for use between balancers and agents. */
  uint32_t m_tag = 0;
  /** 24 bits for use between balancers and agents. A server sets it to 0 in a
   * packet that it returns. */
  uint32_t m_mark = 0;

  bool Has(PacketFlag aFlag) const { return (m_flags & aFlag) != 0; }
  /** True for a SYN without ACK, the first packet of a handshake. */
  bool IsSyn() const { return Has(kSyn) && !Has(kAck); }
  /** Of a SYN: how often the caller has already sent it; 0 for the first
   * transmission. */
  uint32_t RetransmissionCount() const { return m_ack; }

  /** The flow of a packet sent by a caller. */
  FlowKey FlowFromCaller() const { return { m_source, m_destination }; }

  /** The flow of a packet sent by a server. */
  FlowKey FlowFromServer() const { return { m_destination, m_source }; }
};

} // namespace bilberryfield
