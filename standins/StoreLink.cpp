#include "StoreLink.h"

#include "Time.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace bilberryfield {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kPieceBytes = 16'384;
constexpr Duration kSlowBy = Milliseconds(300);
/** Time between two looks at whether a blocked link passes again. */
constexpr Duration kLookEvery = Milliseconds(20);

// A connection that is closed without a lingering end is reset.
void
Reset(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

struct StoreLink::Session
{
  Session(asio::io_context& aIo,
          tcp::socket aCaller,
          const std::atomic<LinkMode>& aMode)
    : m_caller(std::move(aCaller))
    , m_store(aIo)
    , m_timers{ { asio::steady_timer(aIo), asio::steady_timer(aIo) } }
    , m_mode(aMode)
  {
  }

  void Close()
  {
    Reset(m_caller);
    Reset(m_store);
  }

  bool IsBlocked(bool aIsAnswer) const
  {
    LinkMode mode = m_mode;
    return mode == LinkMode::Silent ||
           (mode == LinkMode::AnswersLost && aIsAnswer);
  }

  tcp::socket m_caller;
  tcp::socket m_store;
  // One for calls, one for answers.
  std::array<asio::steady_timer, 2> m_timers;
  std::array<std::array<char, kPieceBytes>, 2> m_pieces{};
  const std::atomic<LinkMode>& m_mode;
};

StoreLink::StoreLink(const Endpoint& aStore)
  : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , m_store(asio::ip::address_v4(aStore.m_ip), aStore.m_port)
  , m_where{ INADDR_LOOPBACK, m_acceptor.local_endpoint().port() }
{
  Accept();
  m_thread = std::thread([this] { m_io.run(); });
}

StoreLink::~StoreLink()
{
  m_io.stop();
  m_thread.join();
}

void
StoreLink::Accept()
{
  m_acceptor.async_accept([this](const error_code& aError,
                                 tcp::socket aCaller) {
    if (aError) {
      return;
    }
    auto session = std::make_shared<Session>(m_io, std::move(aCaller), m_mode);
    session->m_store.async_connect(m_store,
                                   [session](const error_code& aFailure) {
                                     if (aFailure) {
                                       return session->Close();
                                     }
                                     Relay(session, false);
                                     Relay(session, true);
                                   });
    Accept();
  });
}

void
StoreLink::Relay(const std::shared_ptr<Session>& aSession, bool aIsAnswer)
{
  tcp::socket& from = aIsAnswer ? aSession->m_store : aSession->m_caller;
  auto onRead = [aSession, aIsAnswer](const error_code& aError, size_t aBytes) {
    if (aError) {
      return aSession->Close();
    }
    if (aSession->m_mode != LinkMode::Slow) {
      return PassOn(aSession, aIsAnswer, aBytes);
    }
    asio::steady_timer& timer = aSession->m_timers[aIsAnswer ? 1 : 0];
    timer.expires_after(kSlowBy);
    timer.async_wait([aSession, aIsAnswer, aBytes](const error_code&) {
      PassOn(aSession, aIsAnswer, aBytes);
    });
  };
  from.async_read_some(asio::buffer(aSession->m_pieces[aIsAnswer ? 1 : 0]),
                       onRead);
}

void
StoreLink::PassOn(const std::shared_ptr<Session>& aSession,
                  bool aIsAnswer,
                  size_t aBytes)
{
  if (aSession->m_mode == LinkMode::Reset) {
    return aSession->Close();
  }
  if (aSession->m_mode == LinkMode::Swallow) {
    return Relay(aSession, aIsAnswer);
  }
  if (aSession->IsBlocked(aIsAnswer)) {
    asio::steady_timer& timer = aSession->m_timers[aIsAnswer ? 1 : 0];
    timer.expires_after(kLookEvery);
    return timer.async_wait([aSession, aIsAnswer, aBytes](const error_code&) {
      PassOn(aSession, aIsAnswer, aBytes);
    });
  }
  tcp::socket& to = aIsAnswer ? aSession->m_caller : aSession->m_store;
  asio::async_write(
    to,
    asio::buffer(aSession->m_pieces[aIsAnswer ? 1 : 0].data(), aBytes),
    [aSession, aIsAnswer](const error_code& aError, size_t) {
      return aError ? aSession->Close() : Relay(aSession, aIsAnswer);
    });
}

} // namespace bilberryfield
