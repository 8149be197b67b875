#include "CallerProtocol.h"

#include "HttpStatus.h"

#include <algorithm>
#include <charconv>

namespace bilberryfield {

namespace {

std::string
HeaderValue(const HttpIncoming& aIncoming, std::string aName)
{
  std::transform(aName.begin(), aName.end(), aName.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return aIncoming.Header(aName);
}

template<typename Number>
Number
ParseNumberOr(const std::string& aText, Number aDefault)
{
  Number number = aDefault;
  auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return parsed.ec == std::errc() ? number : aDefault;
}

uint16_t
HttpStatusOf(const CallerAnswer& aAnswer)
{
  switch (aAnswer.m_outcome) {
    case Outcome::Served:
      return aAnswer.m_answer.m_status;
    case Outcome::NotRun:
      return kHttpUnavailable;
    case Outcome::RanBefore:
      return kHttpConflict;
    case Outcome::Unknown:
      break;
  }
  return aAnswer.m_reason == RefusalReason::DeadlinePassed ? kHttpGatewayTimeout
                                                           : kHttpBadGateway;
}

} // namespace

CallerRequest
ParseCallerRequest(const HttpIncoming& aIncoming)
{
  CallerRequest request;
  request.m_serviceAddress = HeaderValue(aIncoming, headers::kServiceAddress);
  request.m_flowKey = HeaderValue(aIncoming, headers::kFlow);
  if (request.m_flowKey.empty()) {
    request.m_flowKey = aIncoming.m_peer;
  }
  request.m_token = HeaderValue(aIncoming, headers::kToken);
  request.m_class = HeaderValue(aIncoming, headers::kClass);
  request.m_requestId = HeaderValue(aIncoming, headers::kRequestId);
  request.m_attempt =
    ParseNumberOr<uint32_t>(HeaderValue(aIncoming, headers::kAttempt), 1);
  request.m_sequence =
    ParseNumberOr<uint64_t>(HeaderValue(aIncoming, headers::kSequence), 0);
  request.m_timeoutMs = std::max<int64_t>(
    0, ParseNumberOr<int64_t>(HeaderValue(aIncoming, headers::kTimeout), 0));
  request.m_request = { aIncoming.m_method,
                        aIncoming.m_path + aIncoming.m_query,
                        aIncoming.m_contentType,
                        aIncoming.m_body };
  return request;
}

HttpOutgoing
ToHttpResponse(const CallerAnswer& aAnswer)
{
  HttpOutgoing outgoing;
  outgoing.m_status = HttpStatusOf(aAnswer);
  outgoing.m_headers.push_back(
    { headers::kOutcome,
      std::string(NameOf(kOutcomeNames, aAnswer.m_outcome)) });
  if (!aAnswer.m_token.empty()) {
    outgoing.m_headers.push_back({ headers::kToken, aAnswer.m_token });
  }
  if (!aAnswer.m_server.empty()) {
    outgoing.m_headers.push_back({ headers::kServer, aAnswer.m_server });
  }
  if (aAnswer.m_outcome == Outcome::Served) {
    outgoing.m_contentType = aAnswer.m_answer.m_contentType;
    outgoing.m_body = aAnswer.m_answer.m_body;
    return outgoing;
  }
  constexpr int64_t kMsPerSecond = 1000;
  int64_t seconds = (aAnswer.m_retryAfterMs + kMsPerSecond - 1) / kMsPerSecond;
  std::string reason(NameOf(kRefusalNames, aAnswer.m_reason));
  outgoing.m_headers.push_back({ headers::kReason, reason });
  outgoing.m_headers.push_back({ "Retry-After", std::to_string(seconds) });
  outgoing.m_headers.push_back(
    { headers::kRetryAfterMs, std::to_string(aAnswer.m_retryAfterMs) });
  outgoing.m_contentType = "text/plain";
  outgoing.m_body = std::string(NameOf(kOutcomeNames, aAnswer.m_outcome)) +
                    ": " + reason + "\n";
  return outgoing;
}

} // namespace bilberryfield
