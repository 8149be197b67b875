#include "HttpServer.h"

#include <algorithm>
#include <cctype>
#include <pistache/endpoint.h>
#include <pistache/http.h>

namespace bilberryfield {

namespace {

namespace Http = Pistache::Http;

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return aText;
}

std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aLowerName)
{
  for (const HttpHeader& header : aHeaders) {
    if (LowerCase(header.m_name) == aLowerName) {
      return header.m_value;
    }
  }
  return {};
}

HttpIncoming
ReadRequest(const Http::Request& aRequest)
{
  HttpIncoming incoming;
  incoming.m_method = Http::methodString(aRequest.method());
  incoming.m_path = aRequest.resource();
  incoming.m_query = aRequest.query().as_str();
  incoming.m_body = aRequest.body();
  incoming.m_peer =
    aRequest.address().host() + ":" +
    std::to_string(static_cast<uint16_t>(aRequest.address().port()));
  for (const auto& [name, raw] : aRequest.headers().rawList()) {
    incoming.m_headers.push_back({ raw.name(), raw.value() });
  }
  if (auto type = aRequest.headers().tryGet<Http::Header::ContentType>()) {
    incoming.m_contentType = type->mime().toString();
  }
  return incoming;
}

// A header whose name is known only when the program runs. Pistache writes
// only headers that are objects, not the raw ones.
class NamedHeader : public Http::Header::Header
{
public:
  explicit NamedHeader(HttpHeader aHeader)
    : m_header(std::move(aHeader))
  {
  }

  const char* name() const override { return m_header.m_name.c_str(); }
  void write(std::ostream& aStream) const override
  {
    aStream << m_header.m_value;
  }
#ifdef SAFE_HEADER_CAST
  uint64_t hash() const override
  {
    return 0;
  }
#endif

private:
  HttpHeader m_header;
};

void
SendResponse(Http::ResponseWriter& aWriter, HttpOutgoing aAnswer)
{
  for (HttpHeader& header : aAnswer.m_headers) {
    aWriter.headers().add(std::make_shared<NamedHeader>(std::move(header)));
  }
  if (!aAnswer.m_contentType.empty()) {
    aWriter.headers().add(std::make_shared<NamedHeader>(
      HttpHeader{ "Content-Type", std::move(aAnswer.m_contentType) }));
  }
  try {
    aWriter.send(static_cast<Http::Code>(aAnswer.m_status), aAnswer.m_body);
  } catch (const std::exception&) {
    // The other end has closed its connection; nobody waits for the answer.
  }
}

class RequestHandler : public Http::Handler
{
public:
  HTTP_PROTOTYPE(RequestHandler)

  explicit RequestHandler(HttpServer::Handler aHandler)
    : m_handler(std::move(aHandler))
  {
  }

  void onRequest(const Http::Request& aRequest,
                 Http::ResponseWriter aWriter) override
  {
    auto writer = std::make_shared<Http::ResponseWriter>(std::move(aWriter));
    m_handler(ReadRequest(aRequest), [writer](HttpOutgoing aAnswer) {
      SendResponse(*writer, std::move(aAnswer));
    });
  }

private:
  HttpServer::Handler m_handler;
};

} // namespace

std::string
HttpResult::Header(const std::string& aLowerName) const
{
  return FindHeader(m_headers, aLowerName);
}

std::string
HttpIncoming::Header(const std::string& aLowerName) const
{
  return FindHeader(m_headers, aLowerName);
}

std::string
HttpIncoming::Parameter(const std::string& aName) const
{
  size_t place = m_query.find(aName + "=");
  bool isStart = place != std::string::npos && place > 0 &&
                 (m_query[place - 1] == '?' || m_query[place - 1] == '&');
  if (!isStart) {
    return {};
  }
  size_t start = place + aName.size() + 1;
  return m_query.substr(start, m_query.find('&', start) - start);
}

class HttpServer::Impl
{
public:
  HttpServerOptions m_options;
  HttpServer::Handler m_handler;
  std::unique_ptr<Http::Endpoint> m_endpoint;
};

HttpServer::HttpServer(HttpServerOptions aOptions, Handler aHandler)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->m_options = aOptions;
  m_impl->m_handler = std::move(aHandler);
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<uint16_t>
HttpServer::Start(const std::string& aIpAndPort)
{
  constexpr size_t kHeaderAllowance = size_t{ 64 } * 1024;
  // Slow callers are closed by the fabric; within the system a connection may
  // stay idle for long.
  constexpr auto kIdleTimeout = std::chrono::hours(1);
  size_t limit = m_impl->m_options.m_maxBodyBytes + kHeaderAllowance;
  try {
    m_impl->m_endpoint =
      std::make_unique<Http::Endpoint>(Pistache::Address(aIpAndPort));
    auto options = Http::Endpoint::options()
                     .threads(m_impl->m_options.m_threads)
                     .maxRequestSize(limit)
                     .maxResponseSize(limit)
                     .keepaliveTimeout(kIdleTimeout)
                     .flags(Pistache::Tcp::Options::ReuseAddr |
                            Pistache::Tcp::Options::NoDelay)
                     .backlog(1024);
    m_impl->m_endpoint->init(options);
    m_impl->m_endpoint->setHandler(
      std::make_shared<RequestHandler>(m_impl->m_handler));
    m_impl->m_endpoint->serveThreaded();
    return static_cast<uint16_t>(m_impl->m_endpoint->getPort());
  } catch (const std::exception& error) {
    m_impl->m_endpoint.reset();
    return Failure(Step::Listen, aIpAndPort, error.what());
  }
}

void
HttpServer::Stop()
{
  if (m_impl->m_endpoint) {
    m_impl->m_endpoint->shutdown();
    m_impl->m_endpoint.reset();
  }
}

} // namespace bilberryfield
