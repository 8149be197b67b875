#include "FirstSeconds.h"

#include <algorithm>
#include <utility>

namespace bilberryfield {

void
FirstSeconds::Begin(TimePoint aNow)
{
  m_secondStart = aNow;
  m_current = {};
}

void
FirstSeconds::OnTick(TimePoint aNow, double aBusyShare, uint32_t aLimit)
{
  if (!m_secondStart) {
    return;
  }
  m_current.m_busyShareSum += aBusyShare;
  m_current.m_ticks += 1;
  if (aNow - *m_secondStart < Seconds(1)) {
    return;
  }
  m_current.m_limit = aLimit;
  m_closed.push_back(m_current);
  uint32_t next = m_current.m_second + 1;
  m_current = {};
  m_current.m_second = next;
  *m_secondStart += Seconds(1);
  if (next > kSeconds) {
    m_secondStart.reset();
  }
}

void
FirstSeconds::OnAnswer(Duration aTime)
{
  m_current.m_answered += 1;
  m_current.m_answerTimeSum += aTime;
  m_current.m_maxAnswerTime = std::max(m_current.m_maxAnswerTime, aTime);
}

std::vector<ServerSecond>
FirstSeconds::Take()
{
  return std::exchange(m_closed, {});
}

} // namespace bilberryfield
