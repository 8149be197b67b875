#include "ServerStartup.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberryfield {

namespace {

/** Time without any packet or heartbeat that counts as a silence. A single lost
 * SYN packet makes a server silent too, until its next packet. */
constexpr Duration kMinSilence = Milliseconds(200);
/** Time for which a server counts as cold beyond the time that it reported,
 * which is rounded and ends while packets are on their way. */
constexpr Duration kColdMargin = Milliseconds(50);
/** Assumed answer time of a server that has not answered yet. */
constexpr double kAssumedAnswerUs = 50'000;
/** Largest waiting time that is reported, in flows ahead. */
constexpr uint32_t kMaxWaitFlows = 64;
/** Bound that no server reaches; avoids the overflow of large rates. */
constexpr double kMaxFlowsPerWindow = 1e6;

} // namespace

// Balancers with the same version declare the same. A build that does not send
// the fields declares nothing, and must not lift a bound of that version.
void
ServerStartup::OnSubscribe(TimePoint aNow, const Subscribe& aMessage)
{
  RoutesVersion version = aMessage.m_routes.m_version;
  bool isKnown = version > 0 && aMessage.m_coldRate >= 0;
  if (!isKnown || version < m_routes) {
    return;
  }
  bool isNewer = version > m_routes || !m_coldRate;
  m_routes = version;
  if (isNewer || aMessage.m_coldRate > 0) {
    m_coldRate = aMessage.m_coldRate;
  }
  if (isNewer || aMessage.m_hasWarmup) {
    m_hasWarmup = aMessage.m_hasWarmup;
  }
  AnnounceRamp(aNow);
}

void
ServerStartup::OnHeartbeat(TimePoint aNow,
                           HeartbeatResult aResult,
                           Duration aWarmupLeft,
                           bool aWasSilent)
{
  if (aResult == HeartbeatResult::Outdated) {
    return;
  }
  bool isFirst = !std::exchange(m_hasHeartbeat, true);
  m_coldUntil =
    aWarmupLeft > Duration(0) ? aNow + aWarmupLeft + kColdMargin : aNow;
  bool endsSilence = EndsSilence(aNow, aWasSilent);
  if (aResult == HeartbeatResult::NewIncarnation ||
      aResult == HeartbeatResult::OtherIncarnation) {
    Begin(aNow, RampReason::Start, !isFirst);
  } else if (isFirst) {
    // The agent started beside a running server. Its predecessor may have
    // admitted flows until then.
    m_coldLimit.OnUncountedAdmissions(m_agentStart);
    if (m_coldUntil > aNow) {
      Begin(aNow, RampReason::Start, false);
    }
  } else if (endsSilence) {
    Begin(aNow, RampReason::Recovered, true);
  }
}

void
ServerStartup::OnServerPacket(TimePoint aNow, bool aWasSilent)
{
  if (EndsSilence(aNow, aWasSilent)) {
    Begin(aNow, RampReason::Recovered, true);
  }
}

bool
ServerStartup::EndsSilence(TimePoint aNow, bool aWasSilent)
{
  Duration silence = aNow - m_lastContact;
  m_lastContact = aNow;
  return aWasSilent && silence >= kMinSilence;
}

void
ServerStartup::Begin(TimePoint aNow, RampReason aReason, bool aIsFailure)
{
  m_number += 1;
  m_busy = 0;
  m_requested = 0;
  m_firstSeconds.Begin(aNow);
  BeginRamp(aNow, aReason, aIsFailure);
}

void
ServerStartup::BeginRamp(TimePoint aNow, RampReason aReason, bool aIsFailure)
{
  m_rampSince = aNow;
  m_rampReason = aReason;
  m_pace.Begin(aNow, aIsFailure);
  m_isRampAnnounced = false;
  AnnounceRamp(aNow);
}

// A server can start before a balancer has told its agent that the pace applies
// to it.
void
ServerStartup::AnnounceRamp(TimePoint aNow)
{
  if (IsPacing() && !std::exchange(m_isRampAnnounced, true)) {
    m_rampCounts[static_cast<size_t>(m_rampReason)] += 1;
    AddEvent(aNow, false);
  }
}

void
ServerStartup::AddEvent(TimePoint aNow, bool aIsEnd)
{
  m_rampEvents.push_back({ aIsEnd,
                           m_rampReason,
                           m_pace.Limit(),
                           std::max(m_coldUntil - aNow, Duration(0)) });
}

void
ServerStartup::OnPause(Duration aPause)
{
  m_lastContact += aPause;
  m_rampSince += aPause;
  m_pace.OnPause(aPause);
}

void
ServerStartup::CountFlows(uint32_t aNumber, int aBusy, int aRequested)
{
  if (aNumber == m_number) {
    m_busy += static_cast<uint32_t>(aBusy);
    m_requested += static_cast<uint32_t>(aRequested);
  }
}

void
ServerStartup::OnAdmitted(TimePoint aNow)
{
  m_firstSeconds.OnAdmitted();
  if (m_options.m_overage) {
    m_coldLimit.OnAdmitted(aNow);
  }
}

void
ServerStartup::OnAnswer(TimePoint aNow,
                        TimePoint aSince,
                        Duration aResponse,
                        Duration aTotal,
                        uint32_t aFullLimit)
{
  m_firstSeconds.OnAnswer(aTotal);
  if (!m_pace.IsRamping() || aSince < m_rampSince) {
    return;
  }
  m_pace.OnAnswer(aResponse, aFullLimit);
  if (!m_pace.IsRamping() && m_isRampAnnounced) {
    AddEvent(aNow, true);
  }
}

// Several SYN packets that fail together are one failure: those sent before the
// ramp was set back are not counted again.
void
ServerStartup::OnRefused(TimePoint aNow, TimePoint aSince)
{
  m_firstSeconds.OnReturned();
  if (m_pace.IsRamping() && aSince >= m_rampSince) {
    BeginRamp(aNow, RampReason::Refused, true);
  }
}

void
ServerStartup::OnTick(TimePoint aNow, uint32_t aSlots, uint32_t aFullLimit)
{
  double busyShare =
    static_cast<double>(std::min(m_requested, aSlots)) / aSlots;
  uint32_t limit = IsPacing() ? m_pace.Limit() : aFullLimit;
  m_firstSeconds.OnTick(aNow, busyShare, limit);
}

bool
ServerStartup::IsPaceOn() const
{
  return m_options.m_pace == PaceMode::Always ||
         (m_options.m_pace == PaceMode::Configured && m_hasWarmup);
}

bool
ServerStartup::IsColdLimited(TimePoint aNow) const
{
  bool isBoundDeclared = !m_coldRate || *m_coldRate > 0;
  return m_options.m_overage && isBoundDeclared && aNow < m_coldUntil;
}

size_t
ServerStartup::ColdFlowsPerWindow() const
{
  // Rounding must not turn a product of 3 into 2.
  constexpr double kRounding = 1e-9;
  double flows =
    m_coldRate.value_or(0) * m_options.m_overage.value_or(1) + kRounding;
  return static_cast<size_t>(
    std::min(flows + m_options.m_slack, kMaxFlowsPerWindow));
}

bool
ServerStartup::IsColdLimitReached(TimePoint aNow) const
{
  return IsColdLimited(aNow) &&
         !m_coldLimit.MayAdmit(aNow, ColdFlowsPerWindow());
}

bool
ServerStartup::IsPaceReached() const
{
  return IsPacing() && m_busy >= m_pace.Limit();
}

// While the bound is reached, a flow waits for the window and not for a slot.
// The wait is converted to flows ahead, since balancers compare servers by
// these.
ReportedSlots
ServerStartup::Report(TimePoint aNow,
                      uint32_t aBusy,
                      uint32_t aQueued,
                      uint32_t aSlots,
                      double aAnswerUs) const
{
  ReportedSlots report{ aBusy + aQueued, aSlots };
  if (IsPacing()) {
    report.m_slots = std::min(aSlots, m_pace.Limit());
    uint32_t hidden = aSlots - report.m_slots;
    report.m_busy = std::max(m_busy + aQueued,
                             report.m_busy - std::min(hidden, report.m_busy));
  }
  if (IsColdLimitReached(aNow)) {
    Duration wait = m_coldLimit.TimeUntilAdmission(aNow, ColdFlowsPerWindow());
    double answers = static_cast<double>(wait.count()) /
                     (aAnswerUs > 0 ? aAnswerUs : kAssumedAnswerUs);
    double flows = std::min<double>(kMaxWaitFlows, answers * report.m_slots);
    report.m_busy = std::max(
      report.m_busy, report.m_slots + aQueued + static_cast<uint32_t>(flows));
  }
  return report;
}

std::vector<RampEvent>
ServerStartup::TakeRampEvents()
{
  return std::exchange(m_rampEvents, {});
}

} // namespace bilberryfield
