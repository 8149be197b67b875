#pragma once

#include "HttpMessage.h"

#include <memory>

namespace bilberryfield {

/** Limits of an HTTP client. */
struct HttpClientOptions
{
  size_t m_maxAnswerBytes = size_t{ 16 } * 1024 * 1024;
  /** Idle connections kept for each host. */
  size_t m_idlePerHost = 64;
};

/**
 * Sends HTTP/1.1 requests; every call ends exactly once. A connection carries
 * one call at a time and is closed when a call on it fails, so that a late
 * answer can never reach another call.
 */
class HttpClient
{
public:
  /** Called on the client's thread. */
  using OnEnd = std::function<void(HttpResult)>;

  explicit HttpClient(HttpClientOptions aOptions);
  ~HttpClient();

  /** Starts a call; aOnEnd is called once with its end. Any thread. */
  void Send(const HttpCall& aCall, OnEnd aOnEnd);

  /** Sends a call and waits for its end; not from within aOnEnd. */
  HttpResult SendAndWait(const HttpCall& aCall);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bilberryfield
