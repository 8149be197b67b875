#include "FakeStore.h"
#include "Publisher.h"
#include "ServiceSamples.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bilberryfield;

namespace {

PublishRequest
MakeRequest(const std::string& aId, int aService, int aPort)
{
  return { aId,
           "operator-" + aId,
           { NumberedService(aService, aPort) },
           {},
           std::string(32, 'k') };
}

ConfigHead
CurrentHead(FakeStore& aStore)
{
  aStore.m_onCall = [] { return StoreFault::None; };
  return FetchHead(aStore).value().first;
}

} // namespace

Test(Publishing, AcceptsExactlyOneOfTwoConcurrentPublishes)
{
  FakeStore store;
  PublishResult otherResult;
  int calls = 0;
  store.m_onCall = [&] {
    // The other operator publishes between this operator's read and write.
    if (++calls == 3) {
      otherResult = Publish(store, MakeRequest("other", 2, 80));
    }
    return StoreFault::None;
  };
  PublishResult result = Publish(store, MakeRequest("own", 1, 80));
  cr_assert(otherResult.m_outcome == PublishOutcome::Accepted);
  cr_assert(result.m_outcome == PublishOutcome::LostRace);
  cr_assert(result.m_winner.m_publisher == "operator-other");
  cr_assert(result.m_winner.m_changed ==
            std::vector<std::string>{ "service-2" });
  cr_assert(CurrentHead(store).m_version == 1);
}

Test(Publishing, AcceptsItsOwnWriteAfterALostResponse)
{
  FakeStore store;
  int calls = 0;
  store.m_onCall = [&] {
    return ++calls == 3 ? StoreFault::LostResponse : StoreFault::None;
  };
  PublishResult result = Publish(store, MakeRequest("own", 1, 80));
  cr_assert(result.m_outcome == PublishOutcome::Accepted);
  cr_assert(result.m_version == 1);
  cr_assert(CurrentHead(store).m_history.size() == 1);
}

Test(Publishing, RejectsAnAddressOfAnotherService)
{
  FakeStore store;
  Publish(store, MakeRequest("first", 1, 80));
  PublishRequest second = MakeRequest("second", 2, 80);
  second.m_services[0].m_address = "10.0.0.1:80";
  PublishResult result = Publish(store, second);
  cr_assert(result.m_outcome == PublishOutcome::Rejected);
  cr_assert(CurrentHead(store).m_version == 1);
}

Test(Publishing, ReportedOutcomeMatchesHistoryUnderFaults)
{
  cr_assert(rc::check("reported outcomes match the history", [] {
    FakeStore store;
    std::map<std::string, PublishOutcome> reported;
    int next = 0;
    bool isNested = false;
    auto publishOne = [&] {
      std::string id = std::to_string(++next);
      reported[id] = PublishOutcome::Uncertain;
      PublishRequest request = MakeRequest(id, *rc::gen::inRange(1, 4), next);
      reported[id] = Publish(store, request).m_outcome;
    };
    store.m_onCall = [&] {
      int fault = *rc::gen::inRange(0, 12);
      if (fault == 0 && !isNested) {
        isNested = true;
        publishOne();
        isNested = false;
      }
      return fault < 4 ? static_cast<StoreFault>(fault) : StoreFault::None;
    };
    for (int i = 0; i < 5; ++i) {
      publishOne();
    }
    ConfigHead head = CurrentHead(store);
    RC_ASSERT(head.m_version == head.m_history.size());
    for (const auto& [id, outcome] : reported) {
      bool isAccepted = FindPublish(head, id) != nullptr;
      if (outcome == PublishOutcome::Accepted) {
        RC_ASSERT(isAccepted);
      } else if (outcome != PublishOutcome::Uncertain) {
        RC_ASSERT(!isAccepted);
      }
    }
    // Each service has the content of the last accepted publish that changed
    // it.
    Result<ConfigDelta> delta = FetchDelta(store, head, 0);
    RC_ASSERT(delta.has_value());
    for (const ServiceEntry& entry : delta->m_entries) {
      const PublishRecord& last =
        head.m_history[head.m_version - entry.m_changedAt];
      RC_ASSERT(last.m_changed ==
                std::vector<std::string>{ entry.m_config.m_name });
      RC_ASSERT(entry.m_config.m_address.ends_with(":" + last.m_publishId));
    }
  }));
}
