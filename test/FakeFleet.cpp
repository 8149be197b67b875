#include "FakeFleet.h"

namespace bilberryfield {

namespace {

constexpr Duration kTick = Milliseconds(250);
constexpr Duration kDelay = Milliseconds(2);

} // namespace

FakeFleet::FakeFleet(size_t aBalancers,
                     size_t aAgents,
                     size_t aDomains,
                     uint64_t aSeed)
  : m_reachable([](const std::string&, const std::string&) { return true; })
  , m_random(aSeed)
{
  for (size_t i = 0; i < aBalancers + aAgents; ++i) {
    bool isBalancer = i < aBalancers;
    Node node;
    node.m_record.m_id =
      (isBalancer ? "balancer-" : "agent-") + std::to_string(i);
    node.m_record.m_role = isBalancer ? Role::Balancer : Role::Agent;
    node.m_record.m_address = "10.0.0.1:" + std::to_string(i + 1);
    node.m_record.m_domain = "domain-" + std::to_string(i % aDomains);
    node.m_record.m_labels = { "label" };
    m_idByAddress[node.m_record.m_address] = node.m_record.m_id;
    if (isBalancer) {
      m_balancerIds.push_back(node.m_record.m_id);
    }
    StartNode(m_nodes.emplace(node.m_record.m_id, node).first->second);
  }
}

void
FakeFleet::StartNode(Node& aNode)
{
  aNode.m_isDead = false;
  aNode.m_isPaused = false;
  aNode.m_record.m_incarnation = m_nextIncarnation++;
  if (aNode.m_record.m_role == Role::Agent) {
    aNode.m_announcer.emplace(Announcer::Options{}, aNode.m_record);
    return;
  }
  aNode.m_membership.emplace(Membership::Options{}, aNode.m_record, m_random());
  aNode.m_membership->AddSeeds(
    { m_nodes.at(m_balancerIds.front()).m_record.m_address,
      m_nodes.at(m_balancerIds.back()).m_record.m_address });
}

void
FakeFleet::Send(const std::string& aFrom,
                const std::string& aToAddress,
                PeerMessage aMessage)
{
  if (m_encodedSize && m_nodes.at(aFrom).m_membership) {
    m_balancerBytes += m_encodedSize(aMessage);
  }
  const std::string& to = m_idByAddress.at(aToAddress);
  if (m_reachable(aFrom, to)) {
    m_inFlight.push_back({ m_now + kDelay, aFrom, to, std::move(aMessage) });
  }
}

void
FakeFleet::Announce(Node& aAgent)
{
  HeartbeatBatch step = aAgent.m_announcer->OnTick(m_now, 0);
  const std::string& id = aAgent.m_record.m_id;
  for (SendToPeer& send : step.m_sends) {
    Send(id, send.m_address, std::move(send.m_message));
  }
  if (step.m_viaFabric) {
    std::uniform_int_distribution<size_t> pick(0, m_balancerIds.size() - 1);
    const Node& any = m_nodes.at(m_balancerIds[pick(m_random)]);
    Send(id, any.m_record.m_address, *step.m_viaFabric);
  }
}

void
FakeFleet::Tick(Node& aNode)
{
  if (aNode.m_isDead || aNode.m_isPaused) {
    return;
  }
  if (aNode.m_announcer) {
    return Announce(aNode);
  }
  for (SendToPeer& send : aNode.m_membership->OnTick(m_now, 0)) {
    Send(aNode.m_record.m_id, send.m_address, std::move(send.m_message));
  }
}

void
FakeFleet::Receive(const InFlightMessage& aMessage)
{
  Node& node = m_nodes.at(aMessage.m_to);
  if (node.m_isDead || node.m_isPaused) {
    return;
  }
  const std::string& replyAddress =
    m_nodes.at(aMessage.m_from).m_record.m_address;
  if (auto* reply = std::get_if<HeartbeatReply>(&aMessage.m_message)) {
    if (node.m_announcer) {
      node.m_announcer->OnReply(m_now, *reply);
    } else {
      node.m_membership->OnHeartbeatReply(*reply);
    }
    return;
  }
  std::vector<SendToPeer> sends;
  if (auto* heartbeat = std::get_if<Heartbeat>(&aMessage.m_message)) {
    sends.push_back(
      { replyAddress, node.m_membership->OnHeartbeat(m_now, *heartbeat, 0) });
  } else if (auto* gossip = std::get_if<Gossip>(&aMessage.m_message)) {
    node.m_membership->OnGossip(m_now, *gossip);
  } else if (auto* digest = std::get_if<SyncDigest>(&aMessage.m_message)) {
    sends = node.m_membership->OnSyncDigest(*digest);
  } else if (auto* records = std::get_if<SyncRecords>(&aMessage.m_message)) {
    sends = node.m_membership->OnSyncRecords(m_now, *records);
  }
  for (SendToPeer& send : sends) {
    Send(aMessage.m_to, send.m_address, std::move(send.m_message));
  }
}

void
FakeFleet::AdvanceTime(Duration aTime)
{
  TimePoint end = m_now + aTime;
  while (m_now < end) {
    for (auto& [id, node] : m_nodes) {
      Tick(node);
    }
    while (!m_inFlight.empty()) {
      InFlightMessage message = std::move(m_inFlight.front());
      m_inFlight.pop_front();
      Receive(message);
    }
    m_now += kTick;
  }
}

void
FakeFleet::Kill(const std::string& aId)
{
  m_nodes.at(aId).m_isDead = true;
}

void
FakeFleet::Restart(const std::string& aId)
{
  StartNode(m_nodes.at(aId));
}

void
FakeFleet::SetReachable(
  std::function<bool(const std::string&, const std::string&)> aReachable)
{
  m_reachable = std::move(aReachable);
}

void
FakeFleet::Drain(const std::string& aAgent)
{
  m_nodes.at(aAgent).m_announcer->SetState(MemberState::Draining);
}

std::optional<MemberState>
FakeFleet::StateAt(const std::string& aBalancer,
                   const std::string& aMember) const
{
  for (const MemberRecord& record :
       m_nodes.at(aBalancer).m_membership->Records()) {
    if (record.m_id == aMember) {
      return record.m_state;
    }
  }
  return std::nullopt;
}

bool
FakeFleet::IsStateEverywhere(const std::string& aMember,
                             MemberState aState) const
{
  for (const std::string& balancer : m_balancerIds) {
    const Node& node = m_nodes.at(balancer);
    if (!node.m_isDead && StateAt(balancer, aMember) != aState) {
      return false;
    }
  }
  return true;
}

bool
FakeFleet::AreAllAlive() const
{
  for (const auto& [id, node] : m_nodes) {
    if (!node.m_isDead && !IsStateEverywhere(id, MemberState::Alive)) {
      return false;
    }
  }
  return true;
}

std::vector<std::string>
FakeFleet::Ids() const
{
  std::vector<std::string> ids;
  for (const auto& [id, node] : m_nodes) {
    ids.push_back(id);
  }
  return ids;
}

std::string
FakeFleet::DomainOf(const std::string& aId) const
{
  return m_nodes.at(aId).m_record.m_domain;
}

double
FakeFleet::TakeBytesPerBalancer()
{
  double bytes = static_cast<double>(m_balancerBytes) /
                 static_cast<double>(m_balancerIds.size());
  m_balancerBytes = 0;
  return bytes;
}

} // namespace bilberryfield
