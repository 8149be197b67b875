#include "AgentRegistrar.h"
#include "HttpServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <mutex>
#include <thread>

using namespace bilberryfield;
using nlohmann::json;

namespace {

const AgentEntry kDesk{ "desk", "a", { 0x7F000001, 8000 } };
const AgentEntry kArchive{ "archive", "a", { 0x7F000001, 8000 } };

/** A store with one object. It executes each write, and answers all but
 * removals; these are executed at once, or by ExecuteRemovals. */
class StoreWithoutAnswers
{
public:
  explicit StoreWithoutAnswers(bool aRemovesLate = false)
    : m_removesLate(aRemovesLate)
    , m_server({ 1 },
               [this](const HttpIncoming& aRequest, const HttpReply& aReply) {
                 if (aRequest.m_method == "DELETE") {
                   return OnRemoval(aRequest.Parameter("revision"));
                 }
                 aReply(Answer(aRequest));
               })
    , m_port(*m_server.Start("127.0.0.1:0"))
  {
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  bool HasEntry()
  {
    std::lock_guard lock(m_mutex);
    return m_object.has_value();
  }

  /** Another agent stores its entry. */
  void Store(const AgentEntry& aEntry)
  {
    std::lock_guard lock(m_mutex);
    Store(ToJson(aEntry));
  }

  void ExecuteRemovals()
  {
    std::lock_guard lock(m_mutex);
    for (const std::string& revision : m_late) {
      Remove(revision);
    }
  }

  std::atomic<int> m_removals{ 0 };

private:
  HttpOutgoing Answer(const HttpIncoming& aRequest)
  {
    std::lock_guard lock(m_mutex);
    uint16_t status = m_object ? 200 : 404;
    if (aRequest.m_method == "POST") {
      status = m_object ? 409 : 201;
    }
    if (status == 201) {
      Store(json::parse(aRequest.m_body).at("spec"));
    }
    return { status,
             {},
             "application/json",
             m_object ? m_object->dump() : std::string("{}") };
  }

  void Store(const json& aContent)
  {
    m_revision += 1;
    m_object =
      json{ { "meta",
              { { "name", EntryName(kDesk) }, { "revision", m_revision } } },
            { "spec", aContent } };
  }

  void OnRemoval(const std::string& aRevision)
  {
    std::lock_guard lock(m_mutex);
    if (m_removesLate) {
      m_late.push_back(aRevision);
    } else {
      Remove(aRevision);
    }
    m_removals += 1;
  }

  void Remove(const std::string& aRevision)
  {
    if (aRevision.empty() || aRevision == std::to_string(m_revision)) {
      m_object = std::nullopt;
    }
  }

  bool m_removesLate;
  std::mutex m_mutex;
  std::optional<json> m_object;
  uint64_t m_revision = 0;
  /** Revisions that removals were conditional on. */
  std::vector<std::string> m_late;
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

/** The registrar of kDesk on a thread of its own. */
struct RunningRegistrar
{
  explicit RunningRegistrar(const StoreWithoutAnswers& aStore)
    : m_client(aStore.Address())
  {
  }

  ~RunningRegistrar()
  {
    m_loop.Stop();
    m_thread.join();
  }

  void SetDesired(bool aIsDesired)
  {
    m_loop.Post([this, aIsDesired] { m_registrar.SetDesired(aIsDesired); });
  }

  EventLoop m_loop;
  StoreClient m_client;
  AgentRegistrar m_registrar{ m_loop, m_client, kDesk };
  std::thread m_thread{ [this] { m_loop.Run(); } };
};

} // namespace

// Guards against a living agent that is missing from the store's list, because
// the removal of its entry took effect without an answer. Balancers then take
// the others' denials for proof that the agent's flows are lost.
Test(UnansweredWrites, AnEntryIsWrittenAgainWhenItsServerReturns)
{
  StoreWithoutAnswers store;
  RunningRegistrar registrar(store);
  registrar.SetDesired(true);
  cr_assert(WaitUntil(Seconds(2), [&] { return store.HasEntry(); }));
  registrar.SetDesired(false);
  cr_assert(WaitUntil(Seconds(2), [&] { return store.m_removals > 0; }));
  registrar.SetDesired(true);
  cr_assert(WaitUntil(Seconds(5), [&] { return store.HasEntry(); }));
}

// Guards against a living agent that is missing from the store's list, because
// the removal of the entry of the agent that had its address before took effect
// seconds later.
Test(UnansweredWrites, ALateRemovalLeavesTheEntryOfTheNextAgentAtTheAddress)
{
  StoreWithoutAnswers store(true);
  RunningRegistrar registrar(store);
  registrar.SetDesired(true);
  cr_assert(WaitUntil(Seconds(2), [&] { return store.HasEntry(); }));
  registrar.SetDesired(false);
  cr_assert(WaitUntil(Seconds(2), [&] { return store.m_removals > 0; }));
  store.Store(kArchive);
  store.ExecuteRemovals();
  cr_assert(store.HasEntry());
}

// Guards against the same when the agent has started again and does not know
// which entry is in the store.
Test(UnansweredWrites, AnAgentDoesNotRemoveTheEntryOfAnotherOne)
{
  StoreWithoutAnswers store;
  store.Store(kArchive);
  RunningRegistrar registrar(store);
  registrar.m_loop.Post([&] { registrar.m_registrar.Withdraw(); });
  cr_assert(WaitUntil(Seconds(2), [&] {
    std::promise<bool> isWithdrawn;
    registrar.m_loop.Post(
      [&] { isWithdrawn.set_value(registrar.m_registrar.IsWithdrawn()); });
    return isWithdrawn.get_future().get();
  }));
  cr_assert(store.HasEntry());
}
