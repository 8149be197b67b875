#pragma once

#include "BalancerCore.h"
#include "HttpMessage.h"

namespace bilberryfield {

/** HTTP headers between callers, the fabric and balancers; see CALLERS.md. */
namespace headers {
inline constexpr const char* kServiceAddress = "Bilberry-Service-Address";
inline constexpr const char* kFlow = "Bilberry-Flow";
inline constexpr const char* kToken = "Bilberry-Flow-Token";
inline constexpr const char* kClass = "Bilberry-Class";
inline constexpr const char* kRequestId = "Bilberry-Request-Id";
inline constexpr const char* kAttempt = "Bilberry-Attempt";
inline constexpr const char* kSequence = "Bilberry-Sequence";
inline constexpr const char* kTimeout = "Bilberry-Timeout-Ms";
inline constexpr const char* kOutcome = "Bilberry-Outcome";
inline constexpr const char* kReason = "Bilberry-Reason";
inline constexpr const char* kServer = "Bilberry-Server";
inline constexpr const char* kRetryAfterMs = "Bilberry-Retry-After-Ms";
}

/**
 * Parses a caller's HTTP request; m_id is left 0. Without a flow header the
 * peer address is the flow key; missing or unparsable numbers get defaults.
 */
CallerRequest
ParseCallerRequest(const HttpIncoming& aIncoming);

/** Converts a final answer to an HTTP response. */
HttpOutgoing
ToHttpResponse(const CallerAnswer& aAnswer);

} // namespace bilberryfield
