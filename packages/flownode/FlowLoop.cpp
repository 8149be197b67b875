#include "FlowLoop.h"

#include "SocketAddress.h"

#include <boost/asio/post.hpp>

namespace bilberryfield {

namespace {

namespace asio = boost::asio;

/** Longest datagram that is read; longer ones are cut and then rejected. */
constexpr size_t kMaxDatagram = 2048;
/** Datagrams read by one system call. */
constexpr size_t kBatch = 32;
/** Datagrams read in a row before timers get their turn. */
constexpr size_t kMaxInRow = 256;
/** Bytes that wait in the kernel while this process is busy. */
constexpr int kReceiveBuffer = 512 * 1024;

/** Buffers for the datagrams of one system call. */
class ReceiveBatch
{
public:
  ReceiveBatch()
  {
    for (size_t i = 0; i < kBatch; ++i) {
      m_parts[i] = { m_bytes[i].data(), kMaxDatagram };
      m_messages[i].msg_hdr.msg_iov = &m_parts[i];
      m_messages[i].msg_hdr.msg_iovlen = 1;
      m_messages[i].msg_hdr.msg_name = &m_from[i];
    }
  }

  /** Reads what has arrived, without waiting; the number of datagrams. */
  size_t Receive(int aSocket)
  {
    for (mmsghdr& message : m_messages) {
      message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    int count =
      recvmmsg(aSocket, m_messages.data(), kBatch, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<size_t>(count) : 0;
  }

  std::span<uint8_t> Bytes(size_t aIndex)
  {
    return { m_bytes[aIndex].data(), m_messages[aIndex].msg_len };
  }

  Endpoint From(size_t aIndex) const
  {
    return { ntohl(m_from[aIndex].sin_addr.s_addr),
             ntohs(m_from[aIndex].sin_port) };
  }

private:
  std::array<std::array<uint8_t, kMaxDatagram>, kBatch> m_bytes{};
  std::array<iovec, kBatch> m_parts{};
  std::array<sockaddr_in, kBatch> m_from{};
  std::array<mmsghdr, kBatch> m_messages{};
};

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
  // Sockets of a loop are read one after the other, so one batch serves all.
  static thread_local ReceiveBatch batch;
  size_t total = 0;
  size_t count = 0;
  do {
    count = batch.Receive(m_socket.native_handle());
    for (size_t i = 0; i < count; ++i) {
      m_onDatagram(batch.Bytes(i), batch.From(i));
    }
    total += count;
  } while (count == kBatch && total < kMaxInRow);
  if (total > 0 && m_onDrained) {
    m_onDrained();
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
