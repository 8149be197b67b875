#include "EventLoop.h"

#include "SocketAddress.h"
#include "SteadyClock.h"

#include <boost/asio/post.hpp>

namespace bilberryfield {

namespace {

namespace asio = boost::asio;

/** Receive buffer per datagram; a longer datagram is truncated and then
 * rejected by its decoder. */
constexpr size_t kMaxDatagramBytes = 2048;
/** Maximum number of datagrams per recvmmsg call. */
constexpr size_t kReceiveBatchSize = 32;
/** Maximum number of datagrams read before timers and other sockets run. */
constexpr size_t kMaxDatagramsPerTurn = 256;
/** Kernel receive buffer; absorbs bursts while the process is busy. */
constexpr int kReceiveBufferBytes = 512 * 1024;

/** Buffers for the datagrams of one recvmmsg call. */
class ReceiveBatch
{
public:
  ReceiveBatch()
  {
    for (size_t i = 0; i < kReceiveBatchSize; ++i) {
      m_iovecs[i] = { m_bytes[i].data(), kMaxDatagramBytes };
      m_messages[i].msg_hdr.msg_iov = &m_iovecs[i];
      m_messages[i].msg_hdr.msg_iovlen = 1;
      m_messages[i].msg_hdr.msg_name = &m_senders[i];
    }
  }

  /** Reads the available datagrams without blocking; returns their number. */
  size_t Receive(int aSocket)
  {
    for (mmsghdr& message : m_messages) {
      message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    int count = recvmmsg(
      aSocket, m_messages.data(), kReceiveBatchSize, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<size_t>(count) : 0;
  }

  std::span<uint8_t> Bytes(size_t aIndex)
  {
    return { m_bytes[aIndex].data(), m_messages[aIndex].msg_len };
  }

  Endpoint From(size_t aIndex) const
  {
    return { ntohl(m_senders[aIndex].sin_addr.s_addr),
             ntohs(m_senders[aIndex].sin_port) };
  }

private:
  std::array<std::array<uint8_t, kMaxDatagramBytes>, kReceiveBatchSize>
    m_bytes{};
  std::array<iovec, kReceiveBatchSize> m_iovecs{};
  std::array<sockaddr_in, kReceiveBatchSize> m_senders{};
  std::array<mmsghdr, kReceiveBatchSize> m_messages{};
};

} // namespace

EventLoop::EventLoop()
  : m_io(1)
{
}

EventLoop::~EventLoop() = default;

TimePoint
EventLoop::Now()
{
  return SteadyNow();
}

Result<void>
EventLoop::OpenSocket(const Endpoint& aAddress,
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
EventLoop::Post(std::function<void()> aFunction)
{
  asio::post(m_io, std::move(aFunction));
}

void
EventLoop::RunAfter(Duration aDelay, std::function<void()> aFunction)
{
  auto timer = std::make_shared<asio::steady_timer>(m_io, aDelay);
  timer->async_wait(
    [timer, function = std::move(aFunction)](boost::system::error_code aError) {
      if (!aError) {
        function();
      }
    });
}

void
EventLoop::RunEvery(Duration aInterval, std::function<void()> aFunction)
{
  RunAfter(aInterval, [this, aInterval, function = std::move(aFunction)] {
    function();
    RunEvery(aInterval, function);
  });
}

void
EventLoop::Run()
{
  auto work = asio::make_work_guard(m_io);
  m_io.run();
}

void
EventLoop::Stop()
{
  m_io.stop();
}

EventLoop::Socket::Socket(asio::io_context& aIo, OnDatagram aOnDatagram)
  : m_socket(aIo)
  , m_onDatagram(std::move(aOnDatagram))
{
}

Result<void>
EventLoop::Socket::Bind(const Endpoint& aAddress)
{
  boost::system::error_code error;
  m_socket.open(asio::ip::udp::v4(), error);
  m_socket.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
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
EventLoop::Socket::Wait()
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
EventLoop::Socket::Drain()
{
  // A thread reads its sockets one at a time, so they can share one batch.
  static thread_local ReceiveBatch batch;
  size_t total = 0;
  size_t count = 0;
  do {
    count = batch.Receive(m_socket.native_handle());
    for (size_t i = 0; i < count; ++i) {
      m_onDatagram(batch.Bytes(i), batch.From(i));
    }
    total += count;
  } while (count == kReceiveBatchSize && total < kMaxDatagramsPerTurn);
  if (total > 0 && m_onDrained) {
    m_onDrained();
  }
}

void
EventLoop::Socket::Send(PacketBytes aBytes, const Endpoint& aTo)
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
