#pragma once

#include "Announcer.h"

#include <deque>
#include <functional>
#include <map>

namespace bilberryfield {

/**
 * Membership cores of some balancers and announcers of some agents in virtual
 * time, with message delays, cuts between groups, deaths and pauses.
 */
class FakeFleet
{
public:
  /** Spreads the processes evenly over the failure domains. */
  FakeFleet(size_t aBalancers, size_t aAgents, size_t aDomains, uint64_t aSeed);

  /** Lets virtual time pass. */
  void Pass(Duration aTime);

  void Kill(const std::string& aId);
  void Pause(const std::string& aId) { m_nodes.at(aId).m_isPaused = true; }
  void Resume(const std::string& aId) { m_nodes.at(aId).m_isPaused = false; }

  /** Starts a killed process again, with a later incarnation. */
  void Restart(const std::string& aId);

  /** Messages pass only where this is true. */
  void SetReachable(std::function<bool(const std::string& aFrom,
                                       const std::string& aTo)> aReachable);

  void Drain(const std::string& aAgent);

  /** State of a member as a balancer knows it; nothing when it is unknown. */
  std::optional<MemberState> StateAt(const std::string& aBalancer,
                                     const std::string& aMember) const;

  /** True when every running balancer knows the member in this state. */
  bool IsEverywhere(const std::string& aMember, MemberState aState) const;

  /** True when every running process is alive to every running balancer. */
  bool IsAllAlive() const;

  std::vector<std::string> Ids() const;
  std::string DomainOf(const std::string& aId) const;

  /** Bytes that one balancer sent, as encoded, since the last call. */
  double TakeBytesPerBalancer();

  /** Counts the size of each message; to be set by those who measure. */
  std::function<size_t(const PeerMessage&)> m_sizeOf;

private:
  struct Node
  {
    MemberRecord m_record;
    std::optional<Membership> m_membership;
    std::optional<Announcer> m_announcer;
    bool m_isDead = false;
    bool m_isPaused = false;
  };

  struct Mail
  {
    TimePoint m_at;
    std::string m_from;
    std::string m_to;
    PeerMessage m_message;
  };

  void StartNode(Node& aNode);
  void Tick(Node& aNode);
  void Post(const std::string& aFrom,
            const std::string& aToAddress,
            PeerMessage aMessage);
  void Receive(const Mail& aMail);
  void Announce(Node& aAgent);

  std::map<std::string, Node> m_nodes;
  std::map<std::string, std::string> m_idByAddress;
  std::vector<std::string> m_balancerIds;
  std::deque<Mail> m_mail;
  std::function<bool(const std::string&, const std::string&)> m_reachable;
  std::mt19937_64 m_random;
  TimePoint m_now{ Seconds(1) };
  uint64_t m_nextIncarnation = 1;
  uint64_t m_balancerBytes = 0;
};

} // namespace bilberryfield
