#pragma once

#include "ColdStartLimit.h"
#include "FirstSeconds.h"
#include "ServerPace.h"
#include "ServerTracker.h"

#include <array>

namespace bilberryfield {

/** For which services the pace of a started or recovered server is limited. */
enum class PaceMode : uint8_t
{
  Configured, /**< For those whose configuration declares a warm-up time. */
  Always,
  Off,
};

inline constexpr NameTable<PaceMode, 3> kPaceModeNames = { {
  { PaceMode::Configured, "configured" },
  { PaceMode::Always, "always" },
  { PaceMode::Off, "off" },
} };

/** Settings of a ServerStartup. */
struct StartupOptions
{
  /** A cold server gets at most its declared rate times this plus m_slack new
   * flows a second. Empty: no bound. */
  std::optional<double> m_overage;
  uint32_t m_slack = 0;
  PaceMode m_pace = PaceMode::Configured;
};

/** The begin or end of a ramp. */
struct RampEvent
{
  bool m_isEnd = false;
  RampReason m_reason = RampReason::Start;
  uint32_t m_limit = 1;
  Duration m_coldLeft{ 0 };
};

/** Flows at a server and slots, as an agent reports them. */
struct ReportedSlots
{
  uint32_t m_busy = 0;
  uint32_t m_slots = 1;
};

/**
 * Decides how many new flows an agent's server gets after a start or recovery.
 * A flow belongs to the start or recovery during which it became busy; these
 * are numbered.
 */
class ServerStartup
{
public:
  /** aStart is the time at which the agent starts. */
  ServerStartup(const StartupOptions& aOptions, TimePoint aStart)
    : m_options(aOptions)
    , m_agentStart(aStart)
    , m_lastContact(aStart)
  {
  }

  /** Adopts the declared warm-up of the newest version of the routes. */
  void OnSubscribe(TimePoint aNow, const Subscribe& aMessage);

  /** Handles a heartbeat. aWasSilent: the server was silent until now. */
  void OnHeartbeat(TimePoint aNow,
                   HeartbeatResult aResult,
                   Duration aWarmupLeft,
                   bool aWasSilent);
  /** Handles a packet from the server. */
  void OnServerPacket(TimePoint aNow, bool aWasSilent);
  /** Excludes a pause of this process from measured times. */
  void OnPause(Duration aPause);

  /** Number of the current start or recovery; 0 before the first one. */
  uint32_t Number() const { return m_number; }
  /** Adds to the busy flows and the requests at the server of start aNumber. */
  void CountFlows(uint32_t aNumber, int aBusy, int aRequested);

  /** Records a SYN packet that is sent to the server. */
  void OnAdmitted(TimePoint aNow);
  /**
   * Records an answer to a flow that has been busy since aSince. aResponse is
   * the server's time for the request, aTotal also includes the handshake.
   */
  void OnAnswer(TimePoint aNow,
                TimePoint aSince,
                Duration aResponse,
                Duration aTotal,
                uint32_t aFullLimit);
  /** Records a SYN, sent at aSince, that the server refused or did not answer.
   */
  void OnRefused(TimePoint aNow, TimePoint aSince);
  /** Records a SYN that the agent returned. */
  void OnReturned() { m_firstSeconds.OnReturned(); }
  /** Records a SYN that was not admitted because of the bound. */
  void OnColdLimited() { m_coldLimited += 1; }
  void OnTick(TimePoint aNow, uint32_t aSlots, uint32_t aFullLimit);

  /** True if the pace applies to this service. */
  bool IsPaceOn() const;
  /** True if the bound for cold servers allows no new flow now. */
  bool IsColdLimitReached(TimePoint aNow) const;
  /** True if the server's pace allows no new flow now. */
  bool IsPaceReached() const;
  /** True while the server is cold and a bound applies to it. */
  bool IsColdLimited(TimePoint aNow) const;

  /**
   * The load to report: aBusy flows at a server with aSlots slots, and aQueued
   * SYN packets that wait. It shows no free slot unless a new flow would be
   * admitted. aAnswerUs is the mean answer time.
   */
  ReportedSlots Report(TimePoint aNow,
                       uint32_t aBusy,
                       uint32_t aQueued,
                       uint32_t aSlots,
                       double aAnswerUs) const;

  /** Returns the begins and ends of ramps, each of them once. */
  std::vector<RampEvent> TakeRampEvents();
  /** Returns the figures of the first seconds, each of them once. */
  std::vector<ServerSecond> TakeFirstSeconds() { return m_firstSeconds.Take(); }

  uint64_t ColdLimitedCount() const { return m_coldLimited; }
  /** Current limit of the ramp; 0 when not ramping. */
  uint32_t RampLimit() const { return IsPacing() ? m_pace.Limit() : 0; }
  uint64_t RampCount(RampReason aReason) const
  {
    return m_rampCounts[static_cast<size_t>(aReason)];
  }

private:
  bool IsPacing() const { return IsPaceOn() && m_pace.IsRamping(); }
  /** Handles a sign of life; true if it ends a silence. */
  bool EndsSilence(TimePoint aNow, bool aWasSilent);
  void Begin(TimePoint aNow, RampReason aReason, bool aIsFailure);
  void BeginRamp(TimePoint aNow, RampReason aReason, bool aIsFailure);
  /** Counts and logs a ramp once the pace applies to it. */
  void AnnounceRamp(TimePoint aNow);
  void AddEvent(TimePoint aNow, bool aIsEnd);
  size_t ColdFlowsPerWindow() const;

  StartupOptions m_options;
  TimePoint m_agentStart;
  TimePoint m_lastContact;
  bool m_hasHeartbeat = false;
  TimePoint m_coldUntil;
  /** Version of the routes that declared m_coldRate and m_hasWarmup. */
  RoutesVersion m_routes = 0;
  /** Empty until a balancer has told a rate; 0 if none is declared. */
  std::optional<double> m_coldRate;
  bool m_hasWarmup = false;
  uint32_t m_number = 0;
  /** Busy flows and requests of the current start. */
  uint32_t m_busy = 0;
  uint32_t m_requested = 0;
  TimePoint m_rampSince;
  RampReason m_rampReason = RampReason::Start;
  bool m_isRampAnnounced = false;
  ColdStartLimit m_coldLimit;
  ServerPace m_pace;
  FirstSeconds m_firstSeconds;
  std::vector<RampEvent> m_rampEvents;
  std::array<uint64_t, static_cast<size_t>(RampReason::Count)> m_rampCounts{};
  uint64_t m_coldLimited = 0;
};

} // namespace bilberryfield
