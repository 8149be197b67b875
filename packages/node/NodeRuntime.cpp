#include "NodeRuntime.h"

#include "Log.h"

namespace bilberryfield {

NodeRuntime::NodeRuntime(std::string aName, const Settings& aSettings)
  : m_settings(aSettings)
  , m_admin([this](std::function<void()> aFunction) {
    m_hub.Post(std::move(aFunction));
  })
  , m_supervisor(std::move(aName), {}, [this](const StepError& aError) {
    m_startError = aError;
  })
{
}

Result<MemberRecord>
NodeRuntime::Listen(PeerCallbacks aCallbacks, uint64_t aIncarnation)
{
  m_hub.SetCallbacks(std::move(aCallbacks));
  const std::string& listen = m_settings.m_peerListen;
  size_t colon = listen.rfind(':');
  std::string ip = listen.substr(0, colon);
  uint16_t port = m_hub.Listen(
    ip, static_cast<uint16_t>(std::stoi(listen.substr(colon + 1))));
  if (port == 0) {
    return Failure(Step::Listen, listen, "cannot listen on this address");
  }
  MemberRecord self;
  self.m_id = m_settings.m_id;
  self.m_role = m_settings.m_role;
  self.m_address = ip + ":" + std::to_string(port);
  self.m_domain = m_settings.m_domain;
  self.m_labels = m_settings.m_labels;
  self.m_slots = m_settings.m_slots;
  self.m_incarnation = aIncarnation;
  return self;
}

void
NodeRuntime::AddAdminChild()
{
  auto start = [this]() -> Result<void> {
    return m_admin.Start(m_settings.m_adminListen).map([](uint16_t aPort) {
      Log(LogLevel::Info, "admin-listening", { { "port", aPort } });
    });
  };
  m_supervisor.Add({ "admin-server", RestartPolicy::Never, start, [this] {
                      m_admin.Stop();
                    } });
}

Result<void>
NodeRuntime::Start(Duration aTickInterval, std::function<void()> aTick)
{
  m_tickInterval = aTickInterval;
  m_tick = std::move(aTick);
  m_supervisor.Start(m_hub.Now());
  if (m_startError) {
    m_supervisor.Stop();
    return tl::unexpected(*m_startError);
  }
  m_hub.Post([this] { Tick(); });
  m_loopThread = std::thread([this] { m_hub.Run(); });
  return {};
}

void
NodeRuntime::Tick()
{
  m_tick();
  m_supervisor.OnTick(m_hub.Now());
  m_hub.At(m_hub.Now() + m_tickInterval, [this] { Tick(); });
}

void
NodeRuntime::WakeAt(TimePoint aAt, std::function<void()> aWake)
{
  if (aAt >= m_nextWakeTime) {
    return;
  }
  m_nextWakeTime = aAt;
  m_hub.At(aAt, [this, aAt, wake = std::move(aWake)] {
    if (m_nextWakeTime == aAt) {
      m_nextWakeTime = TimePoint::max();
    }
    wake();
  });
}

std::optional<PeerMessage>
NodeRuntime::Decode(const std::string& aBytes, const std::string& aPeer) const
{
  Result<PeerMessage> message = DecodeMessage(aBytes, aPeer);
  if (message) {
    return std::move(*message);
  }
  Log(LogLevel::Warning,
      "message-rejected",
      { { "peer", aPeer }, { "detail", message.error().m_detail } });
  return std::nullopt;
}

void
NodeRuntime::StopAfter(Duration aTime)
{
  m_hub.At(m_hub.Now() + aTime, [this] { m_stopped.set_value(); });
}

void
NodeRuntime::WaitUntilStopped()
{
  m_stopped.get_future().wait();
  m_supervisor.Stop();
  m_hub.Stop();
  m_loopThread.join();
}

} // namespace bilberryfield
