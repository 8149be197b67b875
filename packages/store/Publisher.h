#pragma once

#include "ConfigReader.h"

namespace bilberryfield {

/** What an operator publishes. */
struct PublishRequest
{
  /** Unique; tells this publish from every other one. */
  std::string m_publishId;
  /** Who publishes, for example user and host. */
  std::string m_publisher;
  std::vector<ServiceConfig> m_services;
  /** Services to withdraw. */
  std::vector<std::string> m_withdrawn;
  /** 32 random bytes, used if there is no token key yet. */
  std::string m_newKeyBytes;
};

/** How a publish ended. */
enum class PublishOutcome : uint8_t
{
  Accepted,
  Unchanged, /**< The accepted configuration already says this. */
  LostRace,  /**< Another publish came first; nothing of this one is kept. */
  Rejected,  /**< Two services would share an address, or a name is unknown. */
  Uncertain, /**< The store did not say; ask again with the same publish id. */
};

inline constexpr NameTable<PublishOutcome, 5> kPublishOutcomeNames = { {
  { PublishOutcome::Accepted, "accepted" },
  { PublishOutcome::Unchanged, "unchanged" },
  { PublishOutcome::LostRace, "lost-race" },
  { PublishOutcome::Rejected, "clash" },
  { PublishOutcome::Uncertain, "uncertain" },
} };

/** The end of a publish, with what an operator needs to go on. */
struct PublishResult
{
  PublishOutcome m_outcome = PublishOutcome::Uncertain;
  /** Version that holds this publish, or that was found instead. */
  uint64_t m_version = 0;
  /** Names of the services that differ from what was accepted before. */
  std::vector<std::string> m_changed;
  /** The publish that won, after a lost race. */
  PublishRecord m_winner;
  std::string m_detail;
};

/** The next head, or why there is none. */
tl::expected<ConfigHead, PublishResult>
PlanPublish(const ConfigHead& aHead, const PublishRequest& aRequest);

/** The record of a publish id in a head's history, or nullptr. */
const PublishRecord*
FindPublish(const ConfigHead& aHead, const std::string& aPublishId);

/** Times that an uncertain write is read back or tried again. */
inline constexpr int kMaxPublishAttempts = 8;

/**
 * Merges services into the accepted configuration. The one conditional write
 * of the head decides; when its answer is lost, the publish id in the history
 * tells whether it took effect.
 */
template<ObjectStore Store>
PublishResult
Publish(Store& aStore, const PublishRequest& aRequest)
{
  PublishResult result;
  uint64_t baseVersion = 0;
  bool hasPlan = false;
  ConfigHead next;
  for (int i = 0; i < kMaxPublishAttempts; ++i) {
    auto current = FetchHead(aStore);
    if (!current) {
      result.m_detail = current.error().m_detail;
      continue;
    }
    auto& [head, storedVersion] = *current;
    if (const PublishRecord* own = FindPublish(head, aRequest.m_publishId)) {
      return {
        PublishOutcome::Accepted, own->m_version, own->m_changed, {}, {}
      };
    }
    if (hasPlan && storedVersion > baseVersion) {
      result.m_outcome = PublishOutcome::LostRace;
      result.m_version = head.m_version;
      result.m_winner = head.m_history.front();
      return result;
    }
    if (!hasPlan) {
      auto planned = PlanPublish(head, aRequest);
      if (!planned) {
        return planned.error();
      }
      next = std::move(*planned);
      result.m_changed = next.m_history.front().m_changed;
      baseVersion = storedVersion;
      hasPlan = true;
    }
    Result<void> stored = StoreContents(aStore, next, aRequest);
    if (!stored) {
      result.m_detail = stored.error().m_detail;
      continue;
    }
    // The write is conditional on the head that was planned from, so trying
    // it again after a lost answer cannot apply it twice.
    Result<PutOutcome> put =
      aStore.Put(kConfigHeadKey, EncodeHead(next), baseVersion);
    if (put && *put == PutOutcome::Stored) {
      result.m_outcome = PublishOutcome::Accepted;
      result.m_version = next.m_version;
      return result;
    }
    result.m_detail = put ? "the head has changed" : put.error().m_detail;
  }
  result.m_outcome = PublishOutcome::Uncertain;
  return result;
}

/** Writes the contents that a planned head names; none is ever changed. */
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
                 0);
    if (!put) {
      return tl::unexpected(put.error());
    }
  }
  return {};
}

} // namespace bilberryfield
