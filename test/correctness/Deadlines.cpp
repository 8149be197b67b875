#include "BalancerCore.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

ConfigPointer
OneService()
{
  ServiceConfig service;
  service.m_name = "catalogue";
  service.m_address = "10.0.0.1:80";
  service.m_labels = { "catalogue" };
  service.m_classes = { { .m_name = "lookup",
                          .m_deadline = Milliseconds(1000) } };
  service.m_defaultClass = "lookup";
  ConfigState state;
  state.Apply({ 0, 1, {}, {}, {}, { { service, 1, false } } });
  return state.Current();
}

CallerRequest
RequestNumber(uint64_t aId)
{
  CallerRequest request;
  request.m_id = aId;
  request.m_serviceAddress = "10.0.0.1:80";
  request.m_flowKey = "10.9.9.9:" + std::to_string(aId);
  return request;
}

} // namespace

Test(Deadlines, AreMetWithASingleTimer)
{
  BalancerCore core({}, 1);
  TimePoint now{ Seconds(1) };
  MemberRecord server;
  server.m_id = "server";
  server.m_address = "10.0.0.2:1";
  server.m_labels = { "catalogue" };
  core.OnEvent(now, ConfigChanged{ OneService() });
  core.OnEvent(now, MembersChanged{ { server } });

  // The process around the core has a single timer. It ignores a SetTimer that
  // is not earlier than the pending one, so the core has to set the next timer
  // after each one expires.
  TimePoint timer = TimePoint::max();
  std::vector<TimePoint> answeredAt;
  auto applyActions = [&](const BalancerCore::Actions& aActions) {
    for (const BalancerAction& action : aActions) {
      if (auto* wake = std::get_if<SetTimer>(&action)) {
        timer = std::min(timer, wake->m_at);
      } else if (std::holds_alternative<AnswerCaller>(action)) {
        answeredAt.push_back(now);
      }
    }
  };
  for (uint64_t id = 1; id <= 3; ++id) {
    applyActions(core.OnEvent(now, RequestNumber(id)));
    now += Milliseconds(100);
  }
  for (int wakes = 0; wakes < 3 && timer != TimePoint::max(); ++wakes) {
    now = std::exchange(timer, TimePoint::max());
    applyActions(core.OnEvent(now, TimerExpired{}));
  }
  std::vector<TimePoint> deadlines = { TimePoint(Milliseconds(2000)),
                                       TimePoint(Milliseconds(2100)),
                                       TimePoint(Milliseconds(2200)) };
  cr_assert(answeredAt == deadlines);
}
