#include "ServerTracker.h"

namespace bilberryfield {

namespace {

/** Number of the first heartbeat of an incarnation. */
constexpr uint64_t kFirstSequence = 1;

} // namespace

HeartbeatEnd
ServerTracker::OnHeartbeat(TimePoint aNow, const ServerHeartbeat& aHeartbeat)
{
  bool isSame = m_latest && m_latest->m_id == aHeartbeat.m_id &&
                m_latest->m_born == aHeartbeat.m_born;
  if (isSame && aHeartbeat.m_sequence <= m_latest->m_sequence) {
    return HeartbeatEnd::Outdated;
  }
  // The time of day can jump back, so an incarnation that seems older is
  // believed once the present one has fallen silent or left.
  bool isPresentAlive =
    m_latest && !m_isGone && aNow - m_lastHeard < m_silenceLimit;
  if (!isSame && isPresentAlive && aHeartbeat.m_born < m_latest->m_born) {
    return HeartbeatEnd::Outdated;
  }
  if (isSame && m_isGone) {
    return HeartbeatEnd::Outdated;
  }
  // A drain is final for an incarnation.
  bool wasDraining = isSame && m_latest->m_isDraining;
  // A server whose first call is heard here has no flows from before.
  bool isKnownFromStart = m_latest || aHeartbeat.m_sequence <= kFirstSequence;
  m_latest = aHeartbeat;
  m_latest->m_isDraining = aHeartbeat.m_isDraining || wasDraining;
  m_lastHeard = aNow;
  m_isGone = false;
  m_isSilent = false;
  return isSame || !isKnownFromStart ? HeartbeatEnd::Accepted
                                     : HeartbeatEnd::NewIncarnation;
}

void
ServerTracker::OnLeave(const std::string& aId)
{
  if (m_latest && m_latest->m_id == aId) {
    m_isGone = true;
  }
}

void
ServerTracker::OnNoAnswer()
{
  m_isSilent = true;
}

void
ServerTracker::OnPacket(TimePoint aNow)
{
  m_isSilent = false;
  if (m_latest) {
    m_lastHeard = std::max(m_lastHeard, aNow);
  }
}

void
ServerTracker::OnPause(Duration aPause)
{
  m_lastHeard += aPause;
}

ServerCondition
ServerTracker::Condition(TimePoint aNow) const
{
  if (!m_latest) {
    return ServerCondition::Unknown;
  }
  if (m_isGone) {
    return ServerCondition::Gone;
  }
  if (m_latest->m_isDraining) {
    return ServerCondition::Draining;
  }
  if (m_isSilent || aNow - m_lastHeard > m_silenceLimit) {
    return ServerCondition::Silent;
  }
  return ServerCondition::Ready;
}

} // namespace bilberryfield
