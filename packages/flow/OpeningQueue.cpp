#include "OpeningQueue.h"

namespace bilberryfield {

bool
OpeningQueue::Add(WaitingOpening aOpening)
{
  if (m_flows.size() >= m_maxWaiting) {
    return false;
  }
  if (!m_flows.insert(aOpening.m_header.FlowFromCaller()).second) {
    return true;
  }
  m_services[aOpening.m_service] += 1;
  m_waiting.emplace(Place{ aOpening.m_priority, m_arrivals++ },
                    std::move(aOpening));
  return true;
}

void
OpeningQueue::Visit(const std::function<bool(WaitingOpening&)>& aIsDone)
{
  for (auto place = m_waiting.begin(); place != m_waiting.end();) {
    FlowKey flow = place->second.m_header.FlowFromCaller();
    std::string service = place->second.m_service;
    if (!aIsDone(place->second)) {
      ++place;
      continue;
    }
    m_flows.erase(flow);
    if (--m_services[service] == 0) {
      m_services.erase(service);
    }
    place = m_waiting.erase(place);
  }
}

} // namespace bilberryfield
