#include "AgentRegistrar.h"
#include "HttpServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace bilberryfield;

namespace {

/** A store that executes each write, and answers all but removals. */
class StoreWithoutAnswers
{
public:
  StoreWithoutAnswers()
    : m_server({ 1 },
               [this](const HttpIncoming& aRequest, const HttpReply& aReply) {
                 if (aRequest.m_method == "DELETE") {
                   m_hasEntry = false;
                   m_removals += 1;
                   return;
                 }
                 bool wasPresent = m_hasEntry.exchange(true);
                 aReply({ static_cast<uint16_t>(wasPresent ? 409 : 201),
                          {},
                          "application/json",
                          "{}" });
               })
    , m_port(*m_server.Start("127.0.0.1:0"))
  {
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  std::atomic<bool> m_hasEntry{ false };
  std::atomic<int> m_removals{ 0 };

private:
  HttpServer m_server;
  uint16_t m_port;
};

template<typename Condition>
bool
WaitUntil(Duration aTimeout, Condition aCondition)
{
  TimePoint deadline = EventLoop::Now() + aTimeout;
  while (!aCondition() && EventLoop::Now() < deadline) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return aCondition();
}

} // namespace

// Guards against a living agent that is missing from the store's list, because
// the removal of its entry took effect without an answer. Balancers then take
// the others' denials for proof that the agent's flows are lost.
Test(UnansweredWrites, AnEntryIsWrittenAgainWhenItsServerReturns)
{
  StoreWithoutAnswers store;
  EventLoop loop;
  StoreClient client(store.Address());
  AgentRegistrar registrar(loop, client, { "desk", "a", { 0x7F000001, 8000 } });
  std::thread thread([&] { loop.Run(); });
  auto setDesired = [&](bool aIsDesired) {
    loop.Post([&, aIsDesired] { registrar.SetDesired(aIsDesired); });
  };
  setDesired(true);
  cr_assert(WaitUntil(Seconds(2), [&] { return store.m_hasEntry.load(); }));
  setDesired(false);
  cr_assert(WaitUntil(Seconds(2), [&] { return store.m_removals > 0; }));
  setDesired(true);
  bool isWritten =
    WaitUntil(Seconds(5), [&] { return store.m_hasEntry.load(); });
  loop.Stop();
  thread.join();
  cr_assert(isWritten);
}
