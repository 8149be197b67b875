#pragma once

#include "ConfigState.h"
#include "Member.h"
#include "Outcome.h"

#include <optional>
#include <variant>

namespace bilberryfield {

/** Backend server, agent incarnation and flow id that a flow is bound to. */
struct Binding
{
  std::string m_server;
  /** IP address and port of the agent's peer link. */
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

/** How an agent must handle a request, depending on its flow's binding. */
enum class ForwardMode : uint8_t
{
  Open,    /**< Bind the flow to this agent unless it already is. */
  IfOwner, /**< Serve only if the flow is bound to this agent. */
  Bind,    /**< Bind the flow to this agent without running a request. */
  Bound,   /**< The request's binding refers to this agent. */
  Adopt,   /**< As Bound, but bind the flow here if another agent moved it. */
};

inline constexpr NameTable<ForwardMode, 5> kForwardModeNames = { {
  { ForwardMode::Open, "open" },
  { ForwardMode::IfOwner, "if-owner" },
  { ForwardMode::Bind, "bind" },
  { ForwardMode::Bound, "bound" },
  { ForwardMode::Adopt, "adopt" },
} };

/** Name table of ForwardMode, for code that selects tables by enum type. */
constexpr const auto&
NamesOf(ForwardMode)
{
  return kForwardModeNames;
}

/** The parts of an HTTP request that are passed to the backend server. */
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

/** A caller's request that a balancer forwards to an agent. */
struct Forward
{
  /** Unique within a balancer incarnation; repeated in the answer. */
  uint64_t m_stream = 0;
  std::string m_service;
  /** IP address and port that the caller connected to. */
  std::string m_serviceAddress;
  /** IP address and port of the caller. */
  std::string m_flowKey;
  ForwardMode m_mode = ForwardMode::Open;
  /** The flow's binding; set for Bound and Adopt. */
  Binding m_binding;
  /** Where a draining agent may move the flow; empty server if nowhere. */
  Binding m_alternative;
  std::string m_class;
  bool m_nonRepeatable = false;
  std::string m_requestId;
  uint32_t m_attempt = 1;
  /** Time from sending to the deadline, in ms. */
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

/** Reports that the balancer no longer waits for the answer on a stream. */
struct Cancel
{
  uint64_t m_stream = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("n", aSelf.m_stream);
  }
};

/** Load of a backend server, as counted by its agent. */
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

/** An agent's final result for one forwarded request. */
struct Answer
{
  uint64_t m_stream = 0;
  Outcome m_outcome = Outcome::Unknown;
  RefusalReason m_reason = RefusalReason::None;
  /** Time after which the caller may retry, in ms; set for refusals. */
  int64_t m_retryAfterMs = 0;
  HttpAnswer m_answer;
  /** The flow's current binding; empty server if there is no flow. */
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

/** Sent regularly by a member to each of its monitors. */
struct Heartbeat
{
  MemberRecord m_record;
  uint64_t m_configVersion = 0;
  /** AddressesHash of the monitors that the member sends heartbeats to. */
  uint64_t m_monitorsHash = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("r", aSelf.m_record);
    aVisitor("v", aSelf.m_configVersion);
    aVisitor("h", aSelf.m_monitorsHash);
  }
};

/** A balancer's reply to a heartbeat; unchanged lists are left empty. */
struct HeartbeatReply
{
  /** Peer addresses of the member's monitors; empty if unchanged. */
  std::vector<std::string> m_monitors;
  /**
   * The balancer's record of the member, if it differs from the heartbeat's;
   * otherwise empty.
   */
  std::vector<MemberRecord> m_storedRecords;
  uint64_t m_configVersion = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("m", aSelf.m_monitors);
    aVisitor("k", aSelf.m_storedRecords);
    aVisitor("v", aSelf.m_configVersion);
  }
};

/** Recently changed records, sent between balancers. */
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

/** Hash of the sender's present members for each bucket of member ids. */
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

/** The sender's records in the buckets whose hashes differ. */
struct SyncRecords
{
  std::string m_from;
  /** Total number of buckets in the compared digests. */
  uint32_t m_bucketCount = 0;
  std::vector<uint32_t> m_buckets;
  std::vector<MemberRecord> m_records;
  /** True if the receiver must send its own records of these buckets. */
  bool m_wantReply = false;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("f", aSelf.m_from);
    aVisitor("c", aSelf.m_bucketCount);
    aVisitor("b", aSelf.m_buckets);
    aVisitor("r", aSelf.m_records);
    aVisitor("w", aSelf.m_wantReply);
  }
};

/** Requests the configuration changes after version m_have from a peer. */
struct ConfigRequest
{
  uint64_t m_have = 0;

  template<typename Self, typename Visitor>
  static void Fields(Self& aSelf, Visitor& aVisitor)
  {
    aVisitor("h", aSelf.m_have);
  }
};

/** Any message between two processes of the system. */
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
