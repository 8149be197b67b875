#include "Callers.h"

#include "CallerProtocol.h"

#include <algorithm>

namespace bilberryfield {

namespace {

constexpr int kRequestsPerFlow = 8;
constexpr int kMaxAsks = 8;
constexpr Duration kAskTimeout = Seconds(10);

double
MillisecondsSince(std::chrono::steady_clock::time_point aStart)
{
  std::chrono::duration<double, std::milli> passed =
    std::chrono::steady_clock::now() - aStart;
  return passed.count();
}

bool
IsAnswerTo(const HttpResult& aResult,
           const RequestKind& aKind,
           const std::string& aId)
{
  // The server's answer is "name path id", a line end, and padding.
  std::string ending = " " + aKind.m_path + " " + aId;
  size_t lineEnd = aResult.m_body.find('\n');
  if (lineEnd == std::string::npos) {
    return false;
  }
  bool isOwn =
    std::string_view(aResult.m_body).substr(0, lineEnd).ends_with(ending);
  size_t padding = aResult.m_body.size() - lineEnd - 1;
  return isOwn && padding == static_cast<size_t>(aKind.m_answerBytes);
}

} // namespace

double
Percentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  double place = aFraction * static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<size_t>(place)];
}

Callers::Callers(std::vector<RequestKind> aKinds, uint64_t aSeed)
  : m_kinds(std::move(aKinds))
  , m_seed(aSeed)
  , m_client(HttpClientOptions{ .m_idlePerHost = 256 })
{
}

Callers::~Callers()
{
  Stop();
}

void
Callers::Start(int aCallers, Duration aPauseBetween)
{
  for (int i = 0; i < aCallers; ++i) {
    m_threads.emplace_back([=, this] { RunCaller(i, aPauseBetween); });
  }
}

CallersReport
Callers::Stop()
{
  m_isStopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  std::lock_guard lock(m_mutex);
  return m_report;
}

void
Callers::RunCaller(int aNumber, Duration aPause)
{
  std::mt19937_64 random(m_seed + static_cast<uint64_t>(aNumber));
  std::vector<double> weights;
  for (const RequestKind& kind : m_kinds) {
    weights.push_back(kind.m_weight);
  }
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  for (int flowNumber = 0; !m_isStopping; ++flowNumber) {
    // A flow belongs to one service, so the kind picks the flow.
    const RequestKind& first = m_kinds[pick(random)];
    Flow flow;
    flow.m_key =
      "caller-" + std::to_string(aNumber) + ":" + std::to_string(flowNumber);
    bool isWhole = true;
    for (int i = 0; i < kRequestsPerFlow && isWhole && !m_isStopping; ++i) {
      std::string id = flow.m_key + ":" + std::to_string(i);
      isWhole = RunRequest(flow, first, id);
      std::this_thread::sleep_for(aPause);
    }
    std::lock_guard lock(m_mutex);
    m_report.m_flows += 1;
    m_report.m_brokenFlows += isWhole ? 0 : 1;
  }
}

HttpResult
Callers::Ask(const Flow& aFlow,
             const RequestKind& aKind,
             const std::string& aId,
             uint32_t aAttempt)
{
  HttpCall call;
  call.m_method = aKind.m_nonRepeatable ? "POST" : "GET";
  call.m_host = aKind.m_service;
  call.m_path = aKind.m_path + "?id=" + aId +
                "&ms=" + std::to_string(aKind.m_workMs) +
                "&bytes=" + std::to_string(aKind.m_answerBytes);
  call.m_headers = { { headers::kFlow, aFlow.m_key },
                     { headers::kClass, aKind.m_class },
                     { headers::kSequence, std::to_string(aFlow.m_sequence) },
                     { headers::kAttempt, std::to_string(aAttempt) } };
  if (!aFlow.m_token.empty()) {
    call.m_headers.push_back({ headers::kToken, aFlow.m_token });
  }
  if (aKind.m_nonRepeatable) {
    call.m_headers.push_back({ headers::kRequestId, aId });
  }
  call.m_timeout = kAskTimeout;
  return m_client.SendAndWait(call);
}

bool
Callers::RunRequest(Flow& aFlow,
                    const RequestKind& aKind,
                    const std::string& aId)
{
  auto start = std::chrono::steady_clock::now();
  uint32_t attempt = 1;
  bool wasLost = false;
  for (int i = 0; i < kMaxAsks; ++i) {
    HttpResult result = Ask(aFlow, aKind, aId, attempt);
    std::string outcome = result.Header("bilberry-outcome");
    if (outcome.empty()) {
      // The balancer or the connection was lost: ask again, under the same
      // token and request id.
      std::lock_guard lock(m_mutex);
      m_report.m_askedAgain += 1;
      wasLost = true;
      continue;
    }
    std::string token = result.Header("bilberry-flow-token");
    bool isBindFirst = result.Header("bilberry-reason") == "bind-first";
    if (!token.empty()) {
      aFlow.m_token = token;
      aFlow.m_sequence += 1;
    }
    if (isBindFirst) {
      attempt += 1;
      continue;
    }
    Record(aKind, result, { aId, wasLost, MillisecondsSince(start) });
    return true;
  }
  return false;
}

void
Callers::Record(const RequestKind& aKind,
                const HttpResult& aResult,
                const AskRecord& aAsk)
{
  std::lock_guard lock(m_mutex);
  Outcome outcome = ValueOf(kOutcomeNames, aResult.Header("bilberry-outcome"))
                      .value_or(Outcome::Unknown);
  ClassTally& tally = m_report.m_classes[aKind.m_class];
  tally.m_outcomes[static_cast<size_t>(outcome)] += 1;
  if (outcome != Outcome::Served) {
    tally.m_reasons[aResult.Header("bilberry-reason")] += 1;
  } else {
    tally.m_latenciesMs.push_back(aAsk.m_latencyMs);
    m_report.m_wrongAnswers += IsAnswerTo(aResult, aKind, aAsk.m_id) ? 0 : 1;
  }
  // A repeatable request that is asked again is a new attempt; what is said
  // of it says nothing about the one that was lost.
  bool isAboutAll = aKind.m_nonRepeatable || !aAsk.m_wasLost;
  if (outcome == Outcome::NotRun && isAboutAll) {
    m_report.m_notRun.push_back(aAsk.m_id);
  } else if (outcome == Outcome::Served && aKind.m_nonRepeatable) {
    m_report.m_servedOnce.push_back(aAsk.m_id);
  }
}

} // namespace bilberryfield
