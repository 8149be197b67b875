#include "HttpClient.h"

// boost/asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <thread>

namespace bilberryfield {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Stream = beast::tcp_stream;
using ErrorCode = boost::system::error_code;

// Idle connections by host; used on the client's thread only.
class ConnectionPool
{
public:
  explicit ConnectionPool(size_t aIdlePerHost)
    : m_idlePerHost(aIdlePerHost)
  {
  }

  std::unique_ptr<Stream> Take(const std::string& aHost)
  {
    auto& idle = m_idle[aHost];
    while (!idle.empty()) {
      std::unique_ptr<Stream> stream = std::move(idle.back());
      idle.pop_back();
      if (IsQuiet(*stream)) {
        return stream;
      }
    }
    return nullptr;
  }

  void Return(const std::string& aHost, std::unique_ptr<Stream> aStream)
  {
    auto& idle = m_idle[aHost];
    if (idle.size() < m_idlePerHost) {
      idle.push_back(std::move(aStream));
    }
  }

  // After one connection to a host failed, its idle ones may be dead too.
  void Forget(const std::string& aHost) { m_idle.erase(aHost); }

private:
  // An idle connection that has something to read was closed by the server,
  // or carries bytes that belong to no call.
  static bool IsQuiet(Stream& aStream)
  {
    ErrorCode error;
    char byte = 0;
    aStream.socket().non_blocking(true, error);
    aStream.socket().receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
  }

  size_t m_idlePerHost;
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> m_idle;
};

std::optional<asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aHost)
{
  size_t colon = aHost.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ErrorCode error;
  auto ip = asio::ip::make_address(aHost.substr(0, colon), error);
  int port = std::atoi(aHost.c_str() + colon + 1);
  if (error || port <= 0 || port > UINT16_MAX) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(port));
}

http::request<http::string_body>
BuildRequest(const HttpCall& aCall)
{
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request(
    http::string_to_verb(aCall.m_method), aCall.m_path, kHttp11);
  request.set(http::field::host, aCall.m_host);
  for (const HttpHeader& header : aCall.m_headers) {
    request.set(header.m_name, header.m_value);
  }
  if (!aCall.m_contentType.empty()) {
    request.set(http::field::content_type, aCall.m_contentType);
  }
  request.body() = aCall.m_body;
  request.prepare_payload();
  return request;
}

HttpResult
ReadResponse(const http::response<http::string_body>& aResponse)
{
  HttpResult result;
  result.m_end = HttpEnd::Answered;
  result.m_status = static_cast<uint16_t>(aResponse.result_int());
  result.m_body = aResponse.body();
  for (const auto& field : aResponse) {
    result.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  result.m_contentType = std::string(aResponse[http::field::content_type]);
  return result;
}

// The kernel repeats a lost opening packet after ever longer pauses; a new
// connection gets through sooner once the path is back.
constexpr Duration kConnectTimeout = Milliseconds(500);

// A connection can go silent without a reset; the kernel's probes find out
// while a call waits long for its answer.
void
SetKeepAlive(asio::ip::tcp::socket& aSocket)
{
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  constexpr int kUserTimeoutMs = 3000;
  using Tcp = asio::ip::tcp;
  ErrorCode ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  int fd = aSocket.native_handle();
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(int));
}

// One call from its connection to its end.
class Call : public std::enable_shared_from_this<Call>
{
public:
  Call(asio::io_context& aIo,
       ConnectionPool& aPool,
       size_t aMaxAnswerBytes,
       const HttpCall& aCall,
       HttpClient::OnEnd aOnEnd)
    : m_io(aIo)
    , m_pool(aPool)
    , m_host(aCall.m_host)
    , m_timeout(aCall.m_timeout)
    , m_request(BuildRequest(aCall))
    , m_onEnd(std::move(aOnEnd))
  {
    m_parser.body_limit(aMaxAnswerBytes);
  }

  void Start()
  {
    m_stream = m_pool.Take(m_host);
    if (m_stream) {
      m_stream->expires_after(m_timeout);
      return Write();
    }
    auto endpoint = ParseEndpoint(m_host);
    if (!endpoint) {
      return Fail(HttpEnd::Refused, "not an IP and port");
    }
    m_stream = std::make_unique<Stream>(m_io);
    m_stream->expires_after(std::min<Duration>(m_timeout, kConnectTimeout));
    m_stream->async_connect(
      *endpoint, [self = shared_from_this()](ErrorCode aError) {
        if (aError) {
          return self->Fail(HttpEnd::Refused, aError.message());
        }
        SetKeepAlive(self->m_stream->socket());
        self->m_stream->expires_after(self->m_timeout);
        self->Write();
      });
  }

private:
  void Write()
  {
    http::async_write(*m_stream,
                      m_request,
                      [self = shared_from_this()](ErrorCode aError, size_t) {
                        if (aError) {
                          return self->Fail(HttpEnd::Lost, aError.message());
                        }
                        self->Read();
                      });
  }

  void Read()
  {
    http::async_read(*m_stream,
                     m_buffer,
                     m_parser,
                     [self = shared_from_this()](ErrorCode aError, size_t) {
                       if (aError) {
                         return self->Fail(HttpEnd::Lost, aError.message());
                       }
                       self->Finish();
                     });
  }

  void Finish()
  {
    HttpResult result = ReadResponse(m_parser.get());
    if (m_parser.get().keep_alive() && m_buffer.size() == 0) {
      m_stream->expires_never();
      m_pool.Return(m_host, std::move(m_stream));
    }
    m_onEnd(std::move(result));
  }

  void Fail(HttpEnd aEnd, const std::string& aDetail)
  {
    HttpResult result;
    result.m_end = aEnd;
    result.m_body = aDetail;
    m_stream.reset();
    m_pool.Forget(m_host);
    m_onEnd(std::move(result));
  }

  asio::io_context& m_io;
  ConnectionPool& m_pool;
  std::string m_host;
  Duration m_timeout;
  http::request<http::string_body> m_request;
  HttpClient::OnEnd m_onEnd;
  std::unique_ptr<Stream> m_stream;
  beast::flat_buffer m_buffer;
  http::response_parser<http::string_body> m_parser;
};

} // namespace

class HttpClient::Impl
{
public:
  explicit Impl(HttpClientOptions aOptions)
    : m_options(aOptions)
    , m_work(asio::make_work_guard(m_io))
    , m_pool(aOptions.m_idlePerHost)
    , m_thread([this] { m_io.run(); })
  {
  }

  ~Impl()
  {
    m_io.stop();
    m_thread.join();
  }

  HttpClientOptions m_options;
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  ConnectionPool m_pool;
  std::thread m_thread;
};

HttpClient::HttpClient(HttpClientOptions aOptions)
  : m_impl(std::make_unique<Impl>(aOptions))
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::Send(const HttpCall& aCall, OnEnd aOnEnd)
{
  auto call = std::make_shared<Call>(m_impl->m_io,
                                     m_impl->m_pool,
                                     m_impl->m_options.m_maxAnswerBytes,
                                     aCall,
                                     std::move(aOnEnd));
  asio::post(m_impl->m_io, [call] { call->Start(); });
}

HttpResult
HttpClient::SendAndWait(const HttpCall& aCall)
{
  std::promise<HttpResult> promise;
  std::future<HttpResult> future = promise.get_future();
  Send(aCall, [&promise](HttpResult aResult) {
    promise.set_value(std::move(aResult));
  });
  return future.get();
}

} // namespace bilberryfield
