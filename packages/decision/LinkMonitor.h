#pragma once

#include "Time.h"

#include <cstdint>

namespace bilberryfield {

/** What the owner of a link must do after a tick. */
enum class LinkAction : uint8_t
{
  Nothing,
  Probe,   /**< Send a probe, which the peer answers. */
  Replace, /**< Receive timeout: close the link and open a new one. */
};

/** Detects links on which nothing has been received for too long. */
class LinkMonitor
{
public:
  /**
   * Requests a probe after aProbeAfter without received data, and replacement
   * of the link after aReplaceAfter.
   */
  LinkMonitor(Duration aProbeAfter, Duration aReplaceAfter, TimePoint aNow)
    : m_probeAfter(aProbeAfter)
    , m_replaceAfter(aReplaceAfter)
    , m_lastReceived(aNow)
    , m_lastProbe(aNow)
  {
  }

  /** Records that data of any kind was received from the peer. */
  void OnReceived(TimePoint aNow) { m_lastReceived = aNow; }

  /** Returns the action for the time since data was last received. */
  LinkAction OnTick(TimePoint aNow)
  {
    Duration silent = aNow - m_lastReceived;
    if (silent >= m_replaceAfter) {
      return LinkAction::Replace;
    }
    if (silent >= m_probeAfter && aNow - m_lastProbe >= m_probeAfter) {
      m_lastProbe = aNow;
      return LinkAction::Probe;
    }
    return LinkAction::Nothing;
  }

private:
  Duration m_probeAfter;
  Duration m_replaceAfter;
  TimePoint m_lastReceived;
  TimePoint m_lastProbe;
};

} // namespace bilberryfield
