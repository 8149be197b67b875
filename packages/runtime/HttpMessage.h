#pragma once

#include "Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bilberryfield {

/** One header of an HTTP message. */
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

using HttpHeaders = std::vector<HttpHeader>;

/** A request that this process sends. */
struct HttpCall
{
  std::string m_method = "GET";
  /** IP and port. */
  std::string m_host;
  /** Path and query. */
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_contentType;
  std::string m_body;
  /** Time after which the call fails. */
  Duration m_timeout = Seconds(10);
};

/** How a call ended. */
enum class HttpEnd : uint8_t
{
  Answered,
  Refused, /**< No connection came about, so nothing was sent. */
  Lost,    /**< The connection ended, or the time ran out, without an answer. */
};

/** The end of a call. */
struct HttpResult
{
  HttpEnd m_end = HttpEnd::Lost;
  uint16_t m_status = 0;
  HttpHeaders m_headers;
  std::string m_contentType;
  std::string m_body;

  /** Value of a header by its name in lower case, or "" when absent. */
  std::string Header(const std::string& aLowerName) const;
};

/** A request that this process received. */
struct HttpIncoming
{
  std::string m_method;
  std::string m_path;
  /** Query with its leading "?", or "". */
  std::string m_query;
  std::string m_contentType;
  std::string m_body;
  /** IP and port of the other end. */
  std::string m_peer;
  HttpHeaders m_headers;

  /** Value of a header by its name in lower case, or "" when absent. */
  std::string Header(const std::string& aLowerName) const;

  /** Value of a query parameter, or "" when absent. */
  std::string Parameter(const std::string& aName) const;
};

/** An answer that this process gives. */
struct HttpOutgoing
{
  uint16_t m_status = 200;
  HttpHeaders m_headers;
  std::string m_contentType;
  std::string m_body;
};

/** Gives the answer to one request; to be called once, from any thread. */
using HttpReply = std::function<void(HttpOutgoing)>;

} // namespace bilberryfield
