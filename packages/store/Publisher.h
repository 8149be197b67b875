#pragma once

#include "ConfigReader.h"

namespace bilberryfield {

/** An operator's request to change the accepted configuration. */
struct PublishRequest
{
  /** Unique id of this publish. */
  std::string m_publishId;
  /** Identity of the publisher, for example user and host. */
  std::string m_publisher;
  std::vector<ServiceConfig> m_services;
  /** Services to withdraw. */
  std::vector<std::string> m_withdrawn;
  /** 32 random bytes for the token key, used if none exists yet. */
  std::string m_newKeyBytes;
};

/** Outcome of a publish. */
enum class PublishOutcome : uint8_t
{
  Accepted,
  Unchanged, /**< The accepted configuration already has this content. */
  LostRace,  /**< A concurrent publish was accepted; this one had no effect. */
  Rejected,  /**< Two services would share an address, or a name is unknown. */
  Uncertain, /**< The store did not confirm; retry with the same publish id. */
};

inline constexpr NameTable<PublishOutcome, 5> kPublishOutcomeNames = { {
  { PublishOutcome::Accepted, "accepted" },
  { PublishOutcome::Unchanged, "unchanged" },
  { PublishOutcome::LostRace, "lost-race" },
  { PublishOutcome::Rejected, "clash" },
  { PublishOutcome::Uncertain, "uncertain" },
} };

/** Outcome of a publish, with details for the operator. */
struct PublishResult
{
  PublishOutcome m_outcome = PublishOutcome::Uncertain;
  /** Version that contains this publish or, when it was not accepted, the
   * version found instead. */
  uint64_t m_version = 0;
  /** Names of the services that the publish changes or withdraws. */
  std::vector<std::string> m_changed;
  /** LostRace: the publish that was accepted instead. */
  PublishRecord m_winner;
  std::string m_detail;
};

/** Builds the head that results from a request to a store of an era, or the
 * outcome when the request is rejected or changes nothing. */
tl::expected<ConfigHead, PublishResult>
PlanPublish(const ConfigHead& aHead,
            const PublishRequest& aRequest,
            uint64_t aEra);

/** Maximum number of attempts to read, write and verify the head. */
inline constexpr int kMaxPublishAttempts = 8;

/**
 * Merges services into the accepted configuration. The publish is committed by
 * a single conditional write of the head. When the response to that write is
 * lost, the publish id in the history shows whether it took effect.
 */
template<ObjectStore Store>
PublishResult
Publish(Store& aStore, const PublishRequest& aRequest)
{
  PublishResult result;
  StorePosition base;
  bool hasPlan = false;
  ConfigHead next;
  for (int i = 0; i < kMaxPublishAttempts; ++i) {
    auto current = FetchHead(aStore);
    if (!current) {
      result.m_detail = current.error().m_detail;
      continue;
    }
    auto& [head, position] = *current;
    if (const PublishRecord* own = FindPublish(head, aRequest.m_publishId)) {
      return {
        PublishOutcome::Accepted, own->m_version, own->m_changed, {}, {}
      };
    }
    // A plan of an earlier era is made anew: no other publish has won.
    if (base.IsKnown() && position.m_era != base.m_era) {
      hasPlan = false;
    }
    if (hasPlan && position > base) {
      result.m_outcome = PublishOutcome::LostRace;
      result.m_version = head.m_version;
      result.m_winner = head.m_history.front();
      return result;
    }
    if (!hasPlan) {
      auto planned = PlanPublish(head, aRequest, aStore.Era());
      if (!planned) {
        return planned.error();
      }
      next = std::move(*planned);
      result.m_changed = next.m_history.front().m_changed;
      base = position;
      hasPlan = true;
    }
    Result<void> stored = StoreContents(aStore, next, aRequest);
    if (!stored) {
      result.m_detail = stored.error().m_detail;
      continue;
    }
    // The write is conditional on the position that the plan is based on, so a
    // retry after a lost response cannot apply it twice.
    Result<PutOutcome> put = aStore.Put(kConfigHeadKey, EncodeHead(next), base);
    if (put && *put == PutOutcome::Stored) {
      result.m_outcome = PublishOutcome::Accepted;
      result.m_version = next.m_version;
      return result;
    }
    result.m_detail =
      put ? "the head was changed concurrently" : put.error().m_detail;
  }
  result.m_outcome = PublishOutcome::Uncertain;
  return result;
}

/** Writes the contents that a planned head refers to. Contents are immutable,
 * so one that exists already is left as it is. */
template<ObjectStore Store>
Result<void>
StoreContents(Store& aStore,
              const ConfigHead& aNext,
              const PublishRequest& aRequest)
{
  for (const ServiceConfig& service : aRequest.m_services) {
    const HeadEntry& entry = aNext.m_services.at(service.m_name);
    Result<PutOutcome> put =
      aStore.Put(ContentKey(service.m_name, entry.m_contentHash),
                 EncodeContent(service),
                 {});
    if (!put) {
      return tl::unexpected(put.error());
    }
  }
  return {};
}

} // namespace bilberryfield
