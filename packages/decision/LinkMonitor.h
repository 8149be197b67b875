#pragma once

#include "Time.h"

#include <cstdint>

namespace bilberryfield {

/** What the owner of a link shall do after a tick. */
enum class LinkStep : uint8_t
{
  Nothing,
  Probe,   /**< Send a probe; the peer answers it. */
  Replace, /**< The peer is silent: close the link and open a new one. */
};

/** Bounds the time that a link may stay silent. */
class LinkMonitor
{
public:
  /** Probes after aProbeAfter of silence, gives up after aReplaceAfter. */
  LinkMonitor(Duration aProbeAfter, Duration aReplaceAfter, TimePoint aNow)
    : m_probeAfter(aProbeAfter)
    , m_replaceAfter(aReplaceAfter)
    , m_lastReceived(aNow)
    , m_lastProbe(aNow)
  {
  }

  /** Records that anything arrived from the peer. */
  void OnReceived(TimePoint aNow) { m_lastReceived = aNow; }

  /** Decides at aNow, from the time of the last arrival. */
  LinkStep OnTick(TimePoint aNow)
  {
    Duration silent = aNow - m_lastReceived;
    if (silent >= m_replaceAfter) {
      return LinkStep::Replace;
    }
    if (silent >= m_probeAfter && aNow - m_lastProbe >= m_probeAfter) {
      m_lastProbe = aNow;
      return LinkStep::Probe;
    }
    return LinkStep::Nothing;
  }

private:
  Duration m_probeAfter;
  Duration m_replaceAfter;
  TimePoint m_lastReceived;
  TimePoint m_lastProbe;
};

} // namespace bilberryfield
