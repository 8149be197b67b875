#pragma once

#include "NameTable.h"

#include <cstdint>

namespace bilberryfield {

/** Outcome of a request, as reported to its caller. */
enum class Outcome : uint8_t
{
  Served,    /**< The backend server sent a complete answer. */
  NotRun,    /**< No backend server ran this attempt or will run it. */
  Unknown,   /**< The request may or may not have run. */
  RanBefore, /**< The request ran earlier; its answer is not available. */
};

inline constexpr NameTable<Outcome, 4> kOutcomeNames = { {
  { Outcome::Served, "served" },
  { Outcome::NotRun, "not-run" },
  { Outcome::Unknown, "unknown" },
  { Outcome::RanBefore, "ran-before" },
} };

/** Name table of Outcome, for code that selects tables by enum type. */
constexpr const auto&
NamesOf(Outcome)
{
  return kOutcomeNames;
}

/** Why a request was refused, or why its outcome is unknown. */
enum class RefusalReason : uint8_t
{
  None,
  UnknownService,
  BadToken,
  WrongServiceToken,
  FlowExpired,
  BindFirst,
  FlowMoved,
  NoServer,
  NotReady,
  NotOwner,
  Draining,
  QueueFull,
  WaitTooLong,
  DeadlinePassed,
  LedgerFull,
  RefusedBefore,
  EarlierIncarnation,
  RequestIdMissing,
  LinkLost,
  ServerUnreachable,
  ServerFailed,
  CallerGone,
  Count,
};

inline constexpr NameTable<RefusalReason, 22> kRefusalNames = { {
  { RefusalReason::None, "none" },
  { RefusalReason::UnknownService, "unknown-service" },
  { RefusalReason::BadToken, "bad-token" },
  { RefusalReason::WrongServiceToken, "wrong-service-token" },
  { RefusalReason::FlowExpired, "flow-expired" },
  { RefusalReason::BindFirst, "bind-first" },
  { RefusalReason::FlowMoved, "flow-moved" },
  { RefusalReason::NoServer, "no-server" },
  { RefusalReason::NotReady, "not-ready" },
  { RefusalReason::NotOwner, "not-owner" },
  { RefusalReason::Draining, "draining" },
  { RefusalReason::QueueFull, "queue-full" },
  { RefusalReason::WaitTooLong, "wait-too-long" },
  { RefusalReason::DeadlinePassed, "deadline-passed" },
  { RefusalReason::LedgerFull, "ledger-full" },
  { RefusalReason::RefusedBefore, "refused-before" },
  { RefusalReason::EarlierIncarnation, "earlier-incarnation" },
  { RefusalReason::RequestIdMissing, "request-id-missing" },
  { RefusalReason::LinkLost, "link-lost" },
  { RefusalReason::ServerUnreachable, "server-unreachable" },
  { RefusalReason::ServerFailed, "server-failed" },
  { RefusalReason::CallerGone, "caller-gone" },
} };

/** Name table of RefusalReason, for code that selects tables by enum type. */
constexpr const auto&
NamesOf(RefusalReason)
{
  return kRefusalNames;
}

static_assert(kRefusalNames.size() ==
              static_cast<size_t>(RefusalReason::Count));

/** Why a balancer retried a request at another backend server. */
enum class RetryReason : uint8_t
{
  NotOwner,
  Draining,
  Overloaded,
  NotSent,
  LinkLost,
  EarlierIncarnation,
  ServerFailed,
  Count,
};

inline constexpr NameTable<RetryReason, 7> kRetryNames = { {
  { RetryReason::NotOwner, "not-owner" },
  { RetryReason::Draining, "draining" },
  { RetryReason::Overloaded, "overloaded" },
  { RetryReason::NotSent, "not-sent" },
  { RetryReason::LinkLost, "link-lost" },
  { RetryReason::EarlierIncarnation, "earlier-incarnation" },
  { RetryReason::ServerFailed, "server-failed" },
} };

static_assert(kRetryNames.size() == static_cast<size_t>(RetryReason::Count));

} // namespace bilberryfield
