// If a server sends an answer twice, the client must not return the duplicate
// as the answer to the next call on the same connection.

#include "HttpClient.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <thread>

using namespace bilberryfield;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Answers each request with its own path, twice. */
class RepeatingServer
{
public:
  explicit RepeatingServer(std::chrono::milliseconds aDuplicateDelay)
    : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_duplicateDelay(aDuplicateDelay)
    , m_thread([this] { Serve(); })
  {
  }

  ~RepeatingServer()
  {
    m_isEnding = true;
    tcp::socket last(m_io);
    last.connect(m_acceptor.local_endpoint());
    m_thread.join();
    for (std::thread& session : m_sessions) {
      session.join();
    }
  }

  std::string Host() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  /** Number of duplicates that were sent. */
  int DuplicatesSent() const { return m_duplicatesSent; }

private:
  void Serve()
  {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(m_acceptor.accept());
      if (m_isEnding) {
        return;
      }
      m_sessions.emplace_back([this, socket] { Answer(*socket); });
    }
  }

  void Answer(tcp::socket& aSocket)
  {
    asio::streambuf buffer;
    boost::system::error_code error;
    while (asio::read_until(aSocket, buffer, "\r\n\r\n", error) > 0) {
      std::istream request(&buffer);
      std::string method;
      std::string path;
      request >> method >> path;
      buffer.consume(buffer.size());
      std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) +
        "\r\n\r\n" + path;
      asio::write(aSocket, asio::buffer(answer), error);
      std::this_thread::sleep_for(m_duplicateDelay);
      asio::write(aSocket, asio::buffer(answer), error);
      m_duplicatesSent += 1;
    }
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::chrono::milliseconds m_duplicateDelay;
  std::atomic<bool> m_isEnding{ false };
  std::atomic<int> m_duplicatesSent{ 0 };
  std::vector<std::thread> m_sessions;
  std::thread m_thread;
};

// Makes calls with a delay between them, and expects each one's own answer.
void
ExpectOwnAnswers(std::chrono::milliseconds aDuplicateDelay)
{
  RepeatingServer server(aDuplicateDelay);
  HttpClient client(HttpClientOptions{});
  for (int i = 0; i < 5; ++i) {
    HttpCall call;
    call.m_host = server.Host();
    call.m_path = "/call-" + std::to_string(i);
    call.m_timeout = Seconds(2);
    HttpResult result = client.SendAndWait(call);
    cr_assert(result.m_end == HttpEnd::Answered);
    cr_assert(result.m_body == call.m_path, "%s", result.m_body.c_str());
    // The duplicate has to arrive before the next call: on a busy machine it
    // was sent only during that call, whose answer it then seemed to be.
    while (server.DuplicatesSent() <= i) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
    std::this_thread::sleep_for(Milliseconds(30));
  }
}

} // namespace

Test(DuplicateAnswers, ADuplicateSentWithTheAnswerIsDiscarded)
{
  ExpectOwnAnswers(std::chrono::milliseconds(0));
}

Test(DuplicateAnswers, ADuplicateOnAnIdleConnectionIsDiscarded)
{
  ExpectOwnAnswers(std::chrono::milliseconds(30));
}
