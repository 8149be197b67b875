// HTTP/1.1: one blocking call, and a server with a thread per connection.
#pragma once

#include "Loop.h"

#include <memory>
#include <netinet/tcp.h>

namespace review {

struct HttpMessage
{
  std::string method;
  std::string path; // with the query
  int status = 0;   // 0: no answer
  std::string body;
};

namespace detail {

inline bool
SendAll(int fd, const std::string& bytes)
{
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
      send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += size_t(n);
  }
  return true;
}

// Reads one message; what follows it stays in the buffer.
inline bool
ReadMessage(int fd, std::string& buffer, std::string& head, std::string& body)
{
  size_t end = std::string::npos;
  size_t length = 0;
  for (;;) {
    if (end == std::string::npos) {
      end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = buffer.substr(0, end + 2);
        std::string lower = head;
        for (char& c : lower) {
          c = char(tolower(c));
        }
        size_t at = lower.find("content-length:");
        length = at == std::string::npos
                   ? 0
                   : strtoul(lower.c_str() + at + 15, nullptr, 10);
      }
    }
    if (end != std::string::npos && buffer.size() >= end + 4 + length) {
      body = buffer.substr(end + 4, length);
      buffer.erase(0, end + 4 + length);
      return true;
    }
    char bytes[16384];
    ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    buffer.append(bytes, size_t(n));
  }
}

} // namespace detail

inline HttpMessage
HttpCall(const Endpoint& to,
         const std::string& method,
         const std::string& path,
         const std::string& body,
         int timeoutMs = 1000)
{
  HttpMessage answer;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{ timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address = Address(to);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + Text(to) +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    if (detail::SendAll(fd, text) &&
        detail::ReadMessage(fd, buffer, head, answer.body) &&
        head.size() > 12) {
      answer.status = atoi(head.c_str() + 9);
    }
  }
  close(fd);
  return answer;
}

class HttpServer
{
public:
  using Handler = std::function<HttpMessage(const HttpMessage&)>;

  HttpServer(const Endpoint& listen, Handler handler)
    : m_handler(std::move(handler))
  {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Address(listen);
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
        ::listen(m_fd, 1024) != 0) {
      throw std::runtime_error("cannot listen on " + Text(listen));
    }
    std::thread([this] { Accept(); }).detach();
  }

private:
  void Accept()
  {
    for (;;) {
      int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd)
  {
    std::string buffer;
    std::string head;
    HttpMessage request;
    while (detail::ReadMessage(fd, buffer, head, request.body)) {
      size_t space = head.find(' ');
      size_t second = head.find(' ', space + 1);
      request.method = head.substr(0, space);
      request.path = head.substr(space + 1, second - space - 1);
      HttpMessage answer = m_handler(request);
      std::string text = "HTTP/1.1 " + std::to_string(answer.status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(answer.body.size()) + "\r\n\r\n" +
                         answer.body;
      if (!detail::SendAll(fd, text)) {
        break;
      }
    }
    close(fd);
  }

  int m_fd = -1;
  Handler m_handler;
};

} // namespace review
