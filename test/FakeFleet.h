#pragma once

#include "Announcer.h"

#include <deque>
#include <functional>
#include <map>

namespace bilberryfield {

/**
 * Simulates the Membership of several balancers and the Announcer of several
 * agents in virtual time, with partitions, kills and pauses. Messages are
 * delivered in the tick in which they are sent.
 */
class FakeFleet
{
public:
  /** Creates the processes and spreads them evenly over the failure domains. */
  FakeFleet(size_t aBalancers, size_t aAgents, size_t aDomains, uint64_t aSeed);

  /** Runs ticks of virtual time until aTime has passed. */
  void AdvanceTime(Duration aTime);

  /** Stops a process without notice to the others. */
  void Kill(const std::string& aId);

  /** Stops a process from running until Resume, with its state kept. */
  void Pause(const std::string& aId) { m_nodes.at(aId).m_isPaused = true; }
  void Resume(const std::string& aId) { m_nodes.at(aId).m_isPaused = false; }

  /** Starts a process again, without its state and with a new incarnation. */
  void Restart(const std::string& aId);

  /** From now on, messages are lost unless aReachable returns true. */
  void SetReachable(std::function<bool(const std::string& aFrom,
                                       const std::string& aTo)> aReachable);

  /** Sets an agent's state to Draining. */
  void Drain(const std::string& aAgent);

  /** State of a member at a balancer; nullopt if it has no record of it. */
  std::optional<MemberState> StateAt(const std::string& aBalancer,
                                     const std::string& aMember) const;

  /** True if the member is in this state at all balancers not killed. */
  bool IsStateEverywhere(const std::string& aMember, MemberState aState) const;

  /** True if all processes not killed are alive at all balancers not killed. */
  bool AreAllAlive() const;

  /** Ids of all processes. */
  std::vector<std::string> Ids() const;

  /** Failure domain of a process. */
  std::string DomainOf(const std::string& aId) const;

  /** Average encoded bytes sent per balancer since the last call. */
  double TakeBytesPerBalancer();

  /** Returns a message's size; set by users of TakeBytesPerBalancer. */
  std::function<size_t(const PeerMessage&)> m_encodedSize;

private:
  struct Node
  {
    MemberRecord m_record;
    std::optional<Membership> m_membership;
    std::optional<Announcer> m_announcer;
    bool m_isDead = false;
    bool m_isPaused = false;
  };

  struct InFlightMessage
  {
    TimePoint m_at;
    std::string m_from;
    std::string m_to;
    PeerMessage m_message;
  };

  void StartNode(Node& aNode);
  void Tick(Node& aNode);
  void Send(const std::string& aFrom,
            const std::string& aToAddress,
            PeerMessage aMessage);
  void Receive(const InFlightMessage& aMessage);
  void Announce(Node& aAgent);

  std::map<std::string, Node> m_nodes;
  std::map<std::string, std::string> m_idByAddress;
  std::vector<std::string> m_balancerIds;
  std::deque<InFlightMessage> m_inFlight;
  std::function<bool(const std::string&, const std::string&)> m_reachable;
  std::mt19937_64 m_random;
  TimePoint m_now{ Seconds(1) };
  uint64_t m_nextIncarnation = 1;
  uint64_t m_balancerBytes = 0;
};

} // namespace bilberryfield
