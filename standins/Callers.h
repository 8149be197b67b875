#pragma once

#include "HttpClient.h"
#include "Outcome.h"

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace bilberryfield {

/** One kind of request that callers send. */
struct RequestKind
{
  std::string m_class;
  /** IP and port of the service at the fabric. */
  std::string m_service;
  /** Path that only this service's callers use. */
  std::string m_path;
  int m_workMs = 10;
  int m_answerBytes = 100;
  bool m_nonRepeatable = false;
  /** Share of this kind among all requests, relative to the others. */
  double m_weight = 1.0;
};

/** How callers' requests of one class ended. */
struct ClassTally
{
  std::array<uint64_t, kOutcomeNames.size()> m_outcomes{};
  std::map<std::string, uint64_t> m_reasons;
  std::vector<double> m_latenciesMs;
};

/** What all callers saw. */
struct CallersReport
{
  std::map<std::string, ClassTally> m_classes;
  /** Flows that got no final answer to a request, though they asked again. */
  uint64_t m_brokenFlows = 0;
  uint64_t m_flows = 0;
  /** Answers that belonged to another request, or were cut. */
  uint64_t m_wrongAnswers = 0;
  /** Messages that got no answer and were asked again. */
  uint64_t m_askedAgain = 0;
  /** Ids of the non-repeatable requests that were told "served". */
  std::vector<std::string> m_servedOnce;
  /** Ids of the requests whose every attempt was told "not run". */
  std::vector<std::string> m_notRun;
};

/** Callers that send requests in flows, one after another in each flow. */
class Callers
{
public:
  Callers(std::vector<RequestKind> aKinds, uint64_t aSeed);
  ~Callers();

  /** Starts a number of callers; each sends one request at a time. */
  void Start(int aCallers, Duration aPauseBetween);

  /** Ends all callers after their current request. */
  CallersReport Stop();

private:
  struct Flow
  {
    std::string m_key;
    std::string m_token;
    uint64_t m_sequence = 0;
  };

  void RunCaller(int aNumber, Duration aPause);
  bool RunRequest(Flow& aFlow,
                  const RequestKind& aKind,
                  const std::string& aId);
  HttpResult Ask(const Flow& aFlow,
                 const RequestKind& aKind,
                 const std::string& aId,
                 uint32_t aAttempt);
  /** What is known of a request besides its final answer. */
  struct AskRecord
  {
    std::string m_id;
    /** An earlier message of it got no answer. */
    bool m_wasLost = false;
    double m_latencyMs = 0.0;
  };

  void Record(const RequestKind& aKind,
              const HttpResult& aResult,
              const AskRecord& aAsk);

  std::vector<RequestKind> m_kinds;
  uint64_t m_seed;
  HttpClient m_client;
  std::atomic<bool> m_isStopping{ false };
  std::vector<std::thread> m_threads;
  std::mutex m_mutex;
  CallersReport m_report;
};

/** Value at a fraction of the sorted values; 0 when there are none. */
double
Percentile(std::vector<double> aValues, double aFraction);

} // namespace bilberryfield
