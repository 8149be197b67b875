#include "Announcer.h"

namespace bilberryfield {

Announcer::Announcer(Options aOptions, MemberRecord aSelf)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
{
}

void
Announcer::SetState(MemberState aState)
{
  m_self.m_state = aState;
  m_self.m_revision += 1;
  m_nextHeartbeat = TimePoint{};
}

HeartbeatBatch
Announcer::OnTick(TimePoint aNow, uint64_t aConfigVersion)
{
  HeartbeatBatch step;
  if (aNow < m_nextHeartbeat) {
    return step;
  }
  m_nextHeartbeat = aNow + m_options.m_heartbeatEvery;
  Heartbeat heartbeat{ m_self, aConfigVersion, AddressesHash(m_monitors) };
  for (const std::string& monitor : m_monitors) {
    step.m_sends.push_back({ monitor, heartbeat });
  }
  bool isUnanswered =
    !m_lastReply || aNow - *m_lastReply > m_options.m_replyTimeout;
  if (m_monitors.empty() || isUnanswered) {
    step.m_viaFabric = heartbeat;
  }
  return step;
}

void
Announcer::OnReply(TimePoint aNow, const HeartbeatReply& aReply)
{
  m_lastReply = aNow;
  if (!aReply.m_monitors.empty()) {
    m_monitors = aReply.m_monitors;
  }
  if (aReply.m_storedRecords.empty() ||
      aReply.m_storedRecords.front().m_id != m_self.m_id) {
    return;
  }
  const MemberRecord& known = aReply.m_storedRecords.front();
  // A later incarnation can only come from an earlier start of this agent
  // whose clock was ahead. This start needs a higher incarnation to replace
  // that record.
  if (known.m_incarnation > m_self.m_incarnation) {
    m_self.m_incarnation = known.m_incarnation + 1;
    m_nextHeartbeat = TimePoint{};
    return;
  }
  bool isOutdated = known.m_incarnation < m_self.m_incarnation ||
                    known.m_revision < m_self.m_revision;
  bool isIncorrect =
    !known.m_suspectedBy.empty() || known.m_state != m_self.m_state;
  if (!isOutdated && isIncorrect) {
    m_self.m_revision = known.m_revision + 1;
    m_nextHeartbeat = TimePoint{};
  }
}

} // namespace bilberryfield
