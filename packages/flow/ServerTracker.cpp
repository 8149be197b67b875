#include "ServerTracker.h"

namespace bilberryfield {

namespace {

/** Sequence number of the first heartbeat of an incarnation. */
constexpr uint64_t kFirstSequence = 1;
/** Time by which a server can start before its agent when both start at once.
 */
constexpr Milliseconds kStartSpread{ 2000 };

} // namespace

HeartbeatResult
ServerTracker::OnHeartbeat(TimePoint aNow, const ServerHeartbeat& aHeartbeat)
{
  bool isSame = m_latest && m_latest->m_id == aHeartbeat.m_id &&
                m_latest->m_startMs == aHeartbeat.m_startMs;
  if (isSame && aHeartbeat.m_sequence <= m_latest->m_sequence) {
    return HeartbeatResult::Outdated;
  }
  // The wall clock can jump back, so an incarnation with an earlier start time
  // is accepted once the current one is silent or gone.
  bool isCurrentAlive =
    m_latest && !m_isGone && aNow - m_lastContact < m_contactTimeout;
  if (!isSame && isCurrentAlive && aHeartbeat.m_startMs < m_latest->m_startMs) {
    return HeartbeatResult::Outdated;
  }
  if (isSame && m_isGone) {
    return HeartbeatResult::Outdated;
  }
  // An incarnation cannot leave the draining state.
  bool wasDraining = isSame && m_latest->m_isDraining;
  bool isFirstKnown = !m_latest;
  m_latest = aHeartbeat;
  m_latest->m_isDraining = aHeartbeat.m_isDraining || wasDraining;
  m_lastContact = aNow;
  m_isGone = false;
  m_isSilent = false;
  if (isSame) {
    return HeartbeatResult::Accepted;
  }
  if (IsFirstOfNewServer(aHeartbeat)) {
    return HeartbeatResult::NewIncarnation;
  }
  return isFirstKnown ? HeartbeatResult::Accepted
                      : HeartbeatResult::OtherIncarnation;
}

// Such a server has no flows that this process has not seen. That another
// incarnation was known before is no proof: its heartbeat may have been delayed
// until after the present server, and then this process, had started. The same
// is true of a first heartbeat, hence the comparison of the start times.
bool
ServerTracker::IsFirstOfNewServer(const ServerHeartbeat& aHeartbeat) const
{
  auto spread = static_cast<uint64_t>(kStartSpread.count());
  return aHeartbeat.m_sequence <= kFirstSequence &&
         aHeartbeat.m_startMs + spread >= m_processStartMs;
}

void
ServerTracker::OnLeave(const std::string& aId)
{
  if (m_latest && m_latest->m_id == aId) {
    m_isGone = true;
  }
}

void
ServerTracker::OnSynTimeout()
{
  m_isSilent = true;
}

void
ServerTracker::OnPacket(TimePoint aNow)
{
  m_isSilent = false;
  if (m_latest) {
    m_lastContact = std::max(m_lastContact, aNow);
  }
}

void
ServerTracker::OnPause(Duration aPause)
{
  m_lastContact += aPause;
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
  if (m_isSilent || aNow - m_lastContact > m_contactTimeout) {
    return ServerCondition::Silent;
  }
  return ServerCondition::Ready;
}

} // namespace bilberryfield
