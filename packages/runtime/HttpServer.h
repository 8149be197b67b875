#pragma once

#include "Error.h"
#include "HttpMessage.h"

#include <memory>

namespace bilberryfield {

/** Limits of an HTTP server. */
struct HttpServerOptions
{
  int m_threads = 2;
  size_t m_maxBodyBytes = size_t{ 8 } * 1024 * 1024;
};

/** An HTTP/1.1 server whose answers may be given later, from any thread. */
class HttpServer
{
public:
  /** Called on a thread of the server. */
  using Handler = std::function<void(HttpIncoming, HttpReply)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();

  /** Listens at an IP and port; port 0 takes a free one, which is returned. */
  Result<uint16_t> Start(const std::string& aIpAndPort);

  /** Closes every connection, also those that wait for an answer. */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bilberryfield
