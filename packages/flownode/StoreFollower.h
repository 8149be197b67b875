#pragma once

#include "FlowLoop.h"
#include "StoreClient.h"

#include <map>
#include <random>

namespace bilberryfield {

/**
 * Follows all objects of one kind in the platform's store: lists them once,
 * then watches. After a failure it tries again until the store answers.
 */
class StoreFollower
{
public:
  using Objects = std::map<std::string, StoreObject>;
  /** Called on the loop's thread with all objects after each change. */
  using OnChange = std::function<void(const Objects&, uint64_t aRevision)>;

  StoreFollower(FlowLoop& aLoop,
                StoreClient& aStore,
                std::string aKind,
                OnChange aOnChange);

  void Start() { List(); }

  /** True after a listing, while the last call to the store succeeded. */
  bool IsConnected() const { return m_failures == 0 && m_revision > 0; }

private:
  void List();
  void Watch();
  void OnListed(Result<StoreListing> aListing);
  void OnChanges(Result<StoreChanges> aChanges);
  void TryLater(const StepError& aError, void (StoreFollower::*aNext)());
  void OnSuccess();

  FlowLoop& m_loop;
  StoreClient& m_store;
  std::string m_kind;
  OnChange m_onChange;
  Objects m_objects;
  uint64_t m_revision = 0;
  uint32_t m_failures = 0;
  std::mt19937_64 m_random{ std::random_device{}() };
};

} // namespace bilberryfield
