#pragma once

#include "Time.h"

#include <optional>
#include <vector>

namespace bilberryfield {

/** What happened at a server in one of the first seconds after its start or
 * recovery. */
struct ServerSecond
{
  /** 1 for the first second. */
  uint32_t m_second = 1;
  uint32_t m_admitted = 0;
  uint32_t m_answered = 0;
  Duration m_answerTimeSum{ 0 };
  Duration m_maxAnswerTime{ 0 };
  /** Sum over the ticks of the share of busy slots, 0 to 1. */
  double m_busyShareSum = 0;
  uint32_t m_ticks = 0;
  /** Maximum number of flows at the end of the second. */
  uint32_t m_limit = 0;
  /** SYN packets that the agent returned or the server refused. */
  uint32_t m_returned = 0;

  double MeanBusyShare() const
  {
    return m_ticks > 0 ? m_busyShareSum / m_ticks : 0;
  }
  Duration MeanAnswerTime() const
  {
    return m_answered > 0 ? m_answerTimeSum / m_answered : Duration(0);
  }
};

/** Counts what happens in the first seconds after a start or recovery. */
class FirstSeconds
{
public:
  /** Starts counting anew. */
  void Begin(TimePoint aNow);

  /** Records one tick and closes seconds that have passed. */
  void OnTick(TimePoint aNow, double aBusyShare, uint32_t aLimit);
  void OnAdmitted() { m_current.m_admitted += 1; }
  void OnAnswer(Duration aTime);
  void OnReturned() { m_current.m_returned += 1; }

  /** Returns the seconds that have passed, each of them once. */
  std::vector<ServerSecond> Take();

  static constexpr uint32_t kSeconds = 5;

private:
  /** Start of the current second; empty when nothing is counted. */
  std::optional<TimePoint> m_secondStart;
  ServerSecond m_current;
  std::vector<ServerSecond> m_closed;
};

} // namespace bilberryfield
