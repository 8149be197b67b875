#include "FlowLoop.h"

#include "SocketAddress.h"

#include <boost/asio/post.hpp>

namespace bilberryfield {

namespace {

namespace asio = boost::asio;

/** Longest datagram that is read; longer ones are cut and then rejected. */
constexpr size_t kMaxDatagram = 2048;
/** Datagrams read in a row before timers get their turn. */
constexpr int kMaxInRow = 64;
/** Bytes that wait in the kernel while this process is busy. */
constexpr int kReceiveBuffer = 512 * 1024;

} // namespace

FlowLoop::FlowLoop()
  : m_io(1)
{
}

FlowLoop::~FlowLoop() = default;

TimePoint
FlowLoop::Now()
{
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

Result<void>
FlowLoop::Open(const Endpoint& aAddress,
               OnDatagram aOnDatagram,
               Socket*& aSocket)
{
  Socket& socket = m_sockets.emplace_back(m_io, std::move(aOnDatagram));
  Result<void> bound = socket.Bind(aAddress);
  if (!bound) {
    m_sockets.pop_back();
    return bound;
  }
  aSocket = &socket;
  return {};
}

void
FlowLoop::Post(std::function<void()> aFunction)
{
  asio::post(m_io, std::move(aFunction));
}

void
FlowLoop::After(Duration aTime, std::function<void()> aFunction)
{
  auto timer = std::make_shared<asio::steady_timer>(m_io, aTime);
  timer->async_wait(
    [timer, function = std::move(aFunction)](boost::system::error_code aError) {
      if (!aError) {
        function();
      }
    });
}

void
FlowLoop::Every(Duration aTime, std::function<void()> aFunction)
{
  After(aTime, [this, aTime, function = std::move(aFunction)] {
    function();
    Every(aTime, function);
  });
}

void
FlowLoop::Run()
{
  auto work = asio::make_work_guard(m_io);
  m_io.run();
}

void
FlowLoop::Stop()
{
  m_io.stop();
}

FlowLoop::Socket::Socket(asio::io_context& aIo, OnDatagram aOnDatagram)
  : m_socket(aIo)
  , m_onDatagram(std::move(aOnDatagram))
{
}

Result<void>
FlowLoop::Socket::Bind(const Endpoint& aAddress)
{
  boost::system::error_code error;
  m_socket.open(asio::ip::udp::v4(), error);
  m_socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer),
                      error);
  m_socket.non_blocking(true, error);
  m_socket.bind({ asio::ip::address_v4(aAddress.m_ip), aAddress.m_port },
                error);
  if (error) {
    return Failure(Step::Listen, ToText(aAddress), error.message());
  }
  Wait();
  return {};
}

void
FlowLoop::Socket::Wait()
{
  m_socket.async_wait(asio::ip::udp::socket::wait_read,
                      [this](boost::system::error_code aError) {
                        if (aError) {
                          return;
                        }
                        Drain();
                        Wait();
                      });
}

void
FlowLoop::Socket::Drain()
{
  std::array<uint8_t, kMaxDatagram> buffer;
  for (int i = 0; i < kMaxInRow; ++i) {
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    ssize_t count = ::recvfrom(m_socket.native_handle(),
                               buffer.data(),
                               buffer.size(),
                               MSG_DONTWAIT,
                               reinterpret_cast<sockaddr*>(&from),
                               &length);
    if (count < 0) {
      return;
    }
    m_onDatagram({ buffer.data(), static_cast<size_t>(count) },
                 { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
  }
}

void
FlowLoop::Socket::Send(PacketBytes aBytes, const Endpoint& aTo)
{
  sockaddr_in to = ToSocketAddress(aTo);
  ssize_t sent = ::sendto(m_socket.native_handle(),
                          aBytes.data(),
                          aBytes.size(),
                          MSG_DONTWAIT,
                          reinterpret_cast<sockaddr*>(&to),
                          sizeof(to));
  if (sent < 0) {
    m_sendFailures += 1;
  }
}

} // namespace bilberryfield
