#include "ColdStartLimit.h"

#include <algorithm>

namespace bilberryfield {

void
ColdStartLimit::OnAdmitted(TimePoint aNow)
{
  while (!m_admissions.empty() && aNow - m_admissions.front() >= kWindow) {
    m_admissions.pop_front();
  }
  m_admissions.push_back(aNow);
}

Duration
ColdStartLimit::TimeUntilAdmission(TimePoint aNow, size_t aMaxFlows) const
{
  if (aMaxFlows == 0) {
    return kWindow;
  }
  Duration wait{ 0 };
  if (m_uncountedUntil) {
    wait = std::max(wait, *m_uncountedUntil + kWindow - aNow);
  }
  if (m_admissions.size() >= aMaxFlows) {
    TimePoint blocking = m_admissions[m_admissions.size() - aMaxFlows];
    wait = std::max(wait, blocking + kWindow - aNow);
  }
  return wait;
}

} // namespace bilberryfield
