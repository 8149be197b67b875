#pragma once

#include "ConfigState.h"
#include "Member.h"
#include "Outcome.h"

#include <optional>
#include <variant>

namespace bilberryfield {

/** Where a flow lives: a backend server, one start of its agent, a flow id. */
struct Binding
{
  std::string m_server;
  /** IP and port of the agent's peer link. */
  std::string m_address;
  uint64_t m_incarnation = 0;
  uint64_t m_flow = 0;

  bool operator==(const Binding&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("s", aSelf.m_server);
    aVisitor("a", aSelf.m_address);
    aVisitor("n", aSelf.m_incarnation);
    aVisitor("f", aSelf.m_flow);
  }
};

/** How an agent shall treat a request with regard to its flow. */
enum class ForwardMode : uint8_t
{
  Open,    /**< Start the flow here unless it is here already. */
  IfOwner, /**< Serve only if the flow is here. */
  Bind,    /**< Start the flow here, run nothing. */
  Bound,   /**< The binding names this agent. */
  Adopt,   /**< As Bound; start the flow here if another agent moved it. */
};

inline constexpr NameTable<ForwardMode, 5> kForwardModeNames = { {
  { ForwardMode::Open, "open" },
  { ForwardMode::IfOwner, "if-owner" },
  { ForwardMode::Bind, "bind" },
  { ForwardMode::Bound, "bound" },
  { ForwardMode::Adopt, "adopt" },
} };

/** The table of names of ForwardMode, found by the type. */
constexpr const auto&
NamesOf(ForwardMode)
{
  return kForwardModeNames;
}

/** The parts of an HTTP request that reach the backend server. */
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_contentType;
  std::string m_body;

  bool operator==(const HttpRequest&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("m", aSelf.m_method);
    aVisitor("p", aSelf.m_path);
    aVisitor("t", aSelf.m_contentType);
    aVisitor.Bytes("b", aSelf.m_body);
  }
};

/** The backend server's answer. */
struct HttpAnswer
{
  uint16_t m_status = 0;
  std::string m_contentType;
  std::string m_body;

  bool operator==(const HttpAnswer&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("c", aSelf.m_status);
    aVisitor("t", aSelf.m_contentType);
    aVisitor.Bytes("b", aSelf.m_body);
  }
};

/** A caller's request on its way from a balancer to an agent. */
struct Forward
{
  /** Unique per balancer start; the answer carries it back. */
  uint64_t m_stream = 0;
  std::string m_service;
  /** IP and port that the caller used. */
  std::string m_serviceAddress;
  /** Caller's address and port. */
  std::string m_flowKey;
  ForwardMode m_mode = ForwardMode::Open;
  /** The flow's binding, for Bound and Adopt. */
  Binding m_binding;
  /** Where a draining agent may move the flow to; empty server when none. */
  Binding m_alternative;
  std::string m_class;
  bool m_nonRepeatable = false;
  std::string m_requestId;
  uint32_t m_attempt = 1;
  /** Time left until the deadline when the balancer sent this, ms. */
  int64_t m_remainingMs = 0;
  HttpRequest m_request;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("n", aSelf.m_stream);
    aVisitor("s", aSelf.m_service);
    aVisitor("p", aSelf.m_serviceAddress);
    aVisitor("k", aSelf.m_flowKey);
    aVisitor("m", aSelf.m_mode);
    aVisitor("b", aSelf.m_binding);
    aVisitor("l", aSelf.m_alternative);
    aVisitor("c", aSelf.m_class);
    aVisitor("x", aSelf.m_nonRepeatable);
    aVisitor("i", aSelf.m_requestId);
    aVisitor("a", aSelf.m_attempt);
    aVisitor("d", aSelf.m_remainingMs);
    aVisitor("r", aSelf.m_request);
  }
};

/** The balancer no longer waits for the answer on this stream. */
struct Cancel
{
  uint64_t m_stream = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("n", aSelf.m_stream);
  }
};

/** Load of a backend server as its agent counts it. */
struct LoadReport
{
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  uint32_t m_slots = 1;

  bool operator==(const LoadReport&) const = default;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("r", aSelf.m_running);
    aVisitor("q", aSelf.m_queued);
    aVisitor("s", aSelf.m_slots);
  }
};

/** An agent's final word on one forwarded request. */
struct Answer
{
  uint64_t m_stream = 0;
  Outcome m_outcome = Outcome::Unknown;
  RefusalReason m_reason = RefusalReason::None;
  /** When a caller may come back, ms from now; meaningful for refusals. */
  int64_t m_retryAfterMs = 0;
  HttpAnswer m_answer;
  /** Where the flow lives now; empty server when there is no flow. */
  Binding m_binding;
  LoadReport m_load;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("n", aSelf.m_stream);
    aVisitor("o", aSelf.m_outcome);
    aVisitor("w", aSelf.m_reason);
    aVisitor("a", aSelf.m_retryAfterMs);
    aVisitor("h", aSelf.m_answer);
    aVisitor("b", aSelf.m_binding);
    aVisitor("l", aSelf.m_load);
  }
};

/** A member tells one of its monitors that it runs. */
struct Heartbeat
{
  MemberRecord m_record;
  uint64_t m_configVersion = 0;
  /** Hash of the monitors' addresses that the member uses. */
  uint64_t m_monitorsHash = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("r", aSelf.m_record);
    aVisitor("v", aSelf.m_configVersion);
    aVisitor("h", aSelf.m_monitorsHash);
  }
};

/** A balancer's reply to a heartbeat; it holds only what is news. */
struct HeartbeatReply
{
  /** Peer addresses that shall get the heartbeats; empty if unchanged. */
  std::vector<std::string> m_monitors;
  /** The member's record at the balancer; none if it equals the heartbeat's. */
  std::vector<MemberRecord> m_known;
  uint64_t m_configVersion = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("m", aSelf.m_monitors);
    aVisitor("k", aSelf.m_known);
    aVisitor("v", aSelf.m_configVersion);
  }
};

/** Records that changed of late, passed between balancers. */
struct Gossip
{
  /** Peer address of the sender. */
  std::string m_from;
  std::vector<MemberRecord> m_records;
  uint64_t m_configVersion = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_from);
    aVisitor("r", aSelf.m_records);
    aVisitor("v", aSelf.m_configVersion);
  }
};

/** A hash per bucket of the sender's present members. */
struct SyncDigest
{
  std::string m_from;
  std::vector<uint32_t> m_buckets;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_from);
    aVisitor("b", aSelf.m_buckets);
  }
};

/** The sender's records of the buckets that differ. */
struct SyncRecords
{
  std::string m_from;
  /** Number of buckets the digests had. */
  uint32_t m_bucketCount = 0;
  std::vector<uint32_t> m_buckets;
  std::vector<MemberRecord> m_records;
  /** The receiver shall send its own records of these buckets back. */
  bool m_wantBack = false;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_from);
    aVisitor("c", aSelf.m_bucketCount);
    aVisitor("b", aSelf.m_buckets);
    aVisitor("r", aSelf.m_records);
    aVisitor("w", aSelf.m_wantBack);
  }
};

/** Asks a peer for the configuration changes after a version. */
struct ConfigRequest
{
  uint64_t m_have = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("h", aSelf.m_have);
  }
};

/** Every message between two processes of the system. */
using PeerMessage = std::variant<Forward,
                                 Cancel,
                                 Answer,
                                 Heartbeat,
                                 HeartbeatReply,
                                 Gossip,
                                 SyncDigest,
                                 SyncRecords,
                                 ConfigRequest,
                                 ConfigDelta>;

} // namespace bilberryfield
