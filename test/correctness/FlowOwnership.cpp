#include "FlowAgent.h"
#include "FlowSamples.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

constexpr uint32_t kBalancer = 7;
constexpr uint32_t kServerSeq = 1'000'000;
constexpr uint16_t kPacketBytes = 1200;

/** An agent of "desk" whose server answered the SYN packet of one flow. */
struct AnsweredSyn
{
  explicit AnsweredSyn(uint64_t aFirstHeartbeat = 1,
                       const FlowAgentOptions& aOptions = Options())
    : AnsweredSyn(aOptions)
  {
    Heartbeat(aFirstHeartbeat);
    PacketHeader syn = SynPacket();
    syn.m_mark = SynMark{}.Pack();
    m_agent.OnBalancerPacket(m_now, syn, {}, kBalancer);
    AnswerSyn(kServerSeq);
  }

  /** No SYN packet yet, and no heartbeat. */
  explicit AnsweredSyn(const FlowAgentOptions& aOptions)
    : m_agent(aOptions, m_now)
  {
  }

  static FlowAgentOptions Options()
  {
    FlowAgentOptions options;
    options.m_service = "desk";
    return options;
  }

  void Heartbeat(uint64_t aSequence, uint64_t aStartMs = 1)
  {
    m_agent.OnHeartbeat(m_now,
                        { "s", aStartMs, aSequence, "desk", {}, 4, false, {} });
  }

  void AnswerSyn(uint32_t aSeq)
  {
    PacketHeader answer = FromServer();
    answer.m_flags = kSyn | kAck;
    answer.m_seq = aSeq;
    m_agent.OnServerPacket(m_now, answer);
  }

  /** The server sends payload from a sequence number on. */
  void Answer(uint32_t aSeq, uint8_t aFlags = kAck)
  {
    PacketHeader answer = FromServer();
    answer.m_flags = aFlags;
    answer.m_seq = aSeq;
    answer.m_length = kPacketBytes;
    m_agent.OnServerPacket(m_now, answer);
  }

  static PacketHeader FromServer()
  {
    PacketHeader header = SynPacket();
    std::swap(header.m_source, header.m_destination);
    return header;
  }

  static PacketHeader FromCaller(uint32_t aAck)
  {
    PacketHeader header = SynPacket();
    header.m_flags = kAck;
    header.m_length = 100;
    header.m_ack = aAck;
    return header;
  }

  AgentDecision Send(uint32_t aAck)
  {
    return m_agent.OnBalancerPacket(m_now, FromCaller(aAck), {}, kBalancer);
  }

  /** The server returns a packet that it was given. */
  AgentDecision Bounce(uint32_t aAck)
  {
    PacketHeader bounced = FromCaller(aAck);
    bounced.m_flags |= kBounced;
    bounced.m_tag = kBalancer;
    return m_agent.OnServerPacket(m_now, bounced);
  }

  FlowOwnership Query(uint32_t aAck)
  {
    FlowKey flow = SynPacket().FlowFromCaller();
    return m_agent.OnQuery(m_now, { flow, aAck }).m_ownership;
  }

  TimePoint m_now{ Seconds(100) };
  FlowAgent m_agent;
};

} // namespace

// Guards against the reset of a flow that is open at another server, because
// that server's first sequence number is near the one of this server, which
// answered a late copy of the SYN packet.
Test(FlowOwnership, AnAcknowledgementNearTheServersNumbersIsForeign)
{
  for (uint32_t distance : { 1U, 600U, 64U * 1024 * 1024 }) {
    AnsweredSyn syn;
    uint32_t ack = kServerSeq + 1 + distance;
    cr_assert(syn.Query(ack) == FlowOwnership::No);
    AgentDecision decision = syn.Send(ack);
    cr_assert(decision.m_action == FlowAgentAction::Return);
    cr_assert(decision.m_reason == ReturnReason::NotOwner);
    // The packet was already at the server.
    cr_assert(syn.Bounce(ack).m_action == FlowAgentAction::Return);
  }
}

// Guards against the loss of a flow from the flow table, and so against its
// reset, because the server bounced an older packet of the same addresses.
Test(FlowOwnership, ABouncedForeignPacketSaysNothingAboutTheServersFlow)
{
  AnsweredSyn syn;
  syn.Send(kServerSeq + 1);
  syn.Answer(kServerSeq + 1);
  syn.Bounce(kServerSeq + 90'000);
  cr_assert(syn.Query(kServerSeq + 1 + kPacketBytes) == FlowOwnership::Yes);
  cr_assert(syn.Send(kServerSeq + 1 + kPacketBytes).m_action ==
            FlowAgentAction::Deliver);
}

// Guards against a flow that no balancer with an outdated entry of this agent
// can reach, and against a SYN packet that reaches another service.
Test(FlowOwnership, APacketForAnotherServiceIsReturnedUnlessItsFlowIsHere)
{
  AnsweredSyn syn;
  PacketHeader packet = AnsweredSyn::FromCaller(kServerSeq + 1);
  packet.m_tag = ServiceTag("earlier");
  auto send = [&] {
    return syn.m_agent.OnBalancerPacket(syn.m_now, packet, {}, kBalancer)
      .m_reason;
  };
  cr_assert(send() == ReturnReason::None);
  packet.m_source.m_port += 1;
  cr_assert(send() == ReturnReason::WrongService);
  packet.m_flags = kSyn;
  cr_assert(send() == ReturnReason::WrongService);
}

// Guards against the loss of an open flow from the flow table because a full
// server returned a late copy of its SYN packet.
Test(FlowOwnership, AReturnedCopyOfTheSynPacketSaysNothingAboutTheFlow)
{
  AnsweredSyn syn;
  syn.Send(kServerSeq + 1);
  PacketHeader copy = SynPacket();
  copy.m_ack = 2;
  copy.m_flags |= kBounced;
  syn.m_agent.OnServerPacket(syn.m_now, copy);
  cr_assert(syn.Query(kServerSeq + 1) == FlowOwnership::Yes);
}

// Guards against the reset of flows that the agent has forgotten, because its
// table was full.
Test(FlowOwnership, AnAgentWithAFullTableDeniesNothing)
{
  FlowAgentOptions options = AnsweredSyn::Options();
  options.m_maxFlows = 1;
  AnsweredSyn syn(1, options);
  syn.Send(kServerSeq + 1);
  for (uint16_t caller = 1; caller < 4; ++caller) {
    PacketHeader answer = AnsweredSyn::FromServer();
    answer.m_destination.m_port = caller;
    answer.m_flags = kSyn | kAck;
    syn.m_agent.OnServerPacket(syn.m_now, answer);
  }
  cr_assert(syn.Query(kServerSeq + 1) == FlowOwnership::Possible);
  cr_assert(syn.Send(kServerSeq + 1).m_action == FlowAgentAction::Deliver);
  // The flow is too old to be open by then.
  syn.m_now += options.m_maxFlowAge + Seconds(1);
  cr_assert(syn.Query(kServerSeq + 1) == FlowOwnership::No);
}

// Guards against the reset of a flow on which the server has sent much.
Test(FlowOwnership, AFlowWithLongAnswersStaysAtItsServer)
{
  AnsweredSyn syn;
  syn.Send(kServerSeq + 1);
  constexpr uint64_t kAnswerBytes = 4'500'000'000;
  uint32_t seq = kServerSeq + 1;
  for (uint64_t sent = 0; sent < kAnswerBytes; sent += kPacketBytes) {
    syn.Answer(seq);
    seq += kPacketBytes;
  }
  cr_assert(syn.Query(seq) == FlowOwnership::Yes);
  cr_assert(syn.Send(seq).m_action == FlowAgentAction::Deliver);
  // A copy that was delayed on its way.
  cr_assert(syn.Query(seq - 500'000) == FlowOwnership::Yes);
}

// Guards against callers that wait for the answer of a flow that their server
// lost when it restarted.
Test(FlowOwnership, AFlowThatTheServerLostIsResetAtOnce)
{
  AnsweredSyn handshake;
  cr_assert(handshake.Bounce(kServerSeq + 1).m_action ==
            FlowAgentAction::Reset);
  AnsweredSyn answered;
  answered.Send(kServerSeq + 1);
  answered.Answer(kServerSeq + 1);
  answered.Answer(kServerSeq + 1 + kPacketBytes);
  cr_assert(answered.Bounce(kServerSeq + 1 + kPacketBytes).m_action ==
            FlowAgentAction::Reset);
  AnsweredSyn closing;
  closing.Send(kServerSeq + 1);
  closing.Answer(kServerSeq + 1, kAck | kFin);
  cr_assert(closing.Bounce(kServerSeq + 2 + kPacketBytes).m_action ==
            FlowAgentAction::Reset);
}

// Guards against the reset of a flow that was opened through an earlier process
// of this agent: a late copy of the SYN packet shows the server's first number
// only, and not what the server has sent since.
Test(FlowOwnership, ARestartedAgentDoesNotKnowWhatTheServerHasSent)
{
  AnsweredSyn restarted(9);
  cr_assert(restarted.Query(kServerSeq + 1) == FlowOwnership::Yes);
  cr_assert(restarted.Query(kServerSeq + 5'000) == FlowOwnership::Possible);
  cr_assert(restarted.Send(kServerSeq + 5'000).m_action ==
            FlowAgentAction::Deliver);
  cr_assert(restarted.Bounce(kServerSeq + 5'000).m_action ==
            FlowAgentAction::Return);
}

// Guards against the reset of flows that were opened before the agent started,
// because it took their server for one that had started later.
Test(FlowOwnership, ALateHeartbeatIsNoProofOfAStart)
{
  FlowAgentOptions options = AnsweredSyn::Options();
  options.m_processStartMs = 60'000;
  for (uint64_t lateSequence : { 1U, 7U }) {
    AnsweredSyn syn(options);
    FlowKey open{ { 0x64400002, 1024 }, kDeskAddress };
    auto query = [&] {
      return syn.m_agent.OnQuery(syn.m_now, { open, 5 }).m_ownership;
    };
    syn.Heartbeat(lateSequence, 20'000);
    cr_assert(query() == FlowOwnership::Possible);
    syn.Heartbeat(12, 40'000);
    cr_assert(query() == FlowOwnership::Possible);
    syn.Heartbeat(1, 70'000);
    cr_assert(query() == FlowOwnership::No);
  }
}

// A server that restarted during the handshake answers a copy of the SYN packet
// with other numbers.
Test(FlowOwnership, ANewSynAnswerReplacesTheServersNumbers)
{
  AnsweredSyn syn;
  syn.AnswerSyn(kServerSeq + 50);
  cr_assert(syn.Query(kServerSeq + 51) == FlowOwnership::Yes);
  cr_assert(syn.Query(kServerSeq + 1) == FlowOwnership::No);
}
