#pragma once

#include "Outcome.h"

#include <array>

namespace bilberryfield {

/** What a refusal reason means and what to do about it. */
struct ReasonText
{
  RefusalReason m_reason;
  const char* m_meaning;
  const char* m_advice;
};

/** One row for each reason that callers can see; also in OPERATORS.md. */
inline constexpr std::array kReasonTexts = {
  ReasonText{ RefusalReason::UnknownService,
              "No service in force has this address.",
              "Publish the service, or correct its address." },
  ReasonText{ RefusalReason::BadToken,
              "The flow token is not authentic.",
              "The caller starts a new flow without a token." },
  ReasonText{ RefusalReason::WrongServiceToken,
              "The token belongs to another service.",
              "The caller keeps one token for each service." },
  ReasonText{ RefusalReason::FlowExpired,
              "The flow was idle for longer than its service allows.",
              "The caller starts a new flow; raise flow_lifetime_s if flows "
              "rest for longer." },
  ReasonText{
    RefusalReason::BindFirst,
    "A non-repeatable request needs a flow; the answer has its token.",
    "The caller sends it again at once, with the token and the next "
    "attempt number." },
  ReasonText{ RefusalReason::NoServer,
              "No backend server with the service's labels takes new flows.",
              "Look at status: agents down, all draining, or labels wrong." },
  ReasonText{ RefusalReason::NotReady,
              "The daemon has no configuration, or has just been paused.",
              "Wait; if it lasts, check that the daemon reaches its peers." },
  ReasonText{ RefusalReason::Draining,
              "The server is leaving, and there is no other one.",
              "Bring up another server before draining the last." },
  ReasonText{ RefusalReason::QueueFull,
              "The class has as many waiting requests as it may have.",
              "Add servers, or raise queue_limit if longer waits are wanted." },
  ReasonText{
    RefusalReason::WaitTooLong,
    "The request could not have been answered before its deadline.",
    "Add servers; the caller comes back after the time it was told." },
  ReasonText{ RefusalReason::DeadlinePassed,
              "The deadline passed before an answer came.",
              "Compare deadline_ms with the server's service times." },
  ReasonText{ RefusalReason::LedgerFull,
              "The agent remembers as many non-repeatable requests as it can.",
              "Shorten flow_lifetime_s or add servers." },
  ReasonText{ RefusalReason::RefusedBefore,
              "This attempt was refused before and will never run.",
              "The caller asks again with the next attempt number." },
  ReasonText{ RefusalReason::EarlierIncarnation,
              "The agent has restarted; what it ran before is not known.",
              "The caller checks by other means whether the request ran." },
  ReasonText{ RefusalReason::RequestIdMissing,
              "A non-repeatable request came without a request id.",
              "The caller sends Bilberry-Request-Id." },
  ReasonText{ RefusalReason::LinkLost,
              "The link to the agent was lost before its answer.",
              "A repeat under the same request id finds the outcome." },
  ReasonText{ RefusalReason::ServerUnreachable,
              "No connection to the agent or its server came about.",
              "Look at the server's VM." },
  ReasonText{ RefusalReason::ServerFailed,
              "The backend server broke off the request.",
              "Look at the server's own log." },
  ReasonText{ RefusalReason::CallerGone,
              "The caller closed its connection.",
              "Nothing; many of these point to impatient callers." },
};

} // namespace bilberryfield
