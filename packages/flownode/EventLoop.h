#pragma once

#include "Error.h"
#include "Packet.h"
#include "Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>

namespace bilberryfield {

/** Single-threaded event loop for UDP sockets, timers and posted functions. */
class EventLoop
{
public:
  /** Called for each datagram; may modify the bytes in place. */
  using OnDatagram =
    std::function<void(std::span<uint8_t>, const Endpoint& aFrom)>;
  /** Called after each batch of received datagrams has been processed. */
  using OnDrained = std::function<void()>;
  class Socket;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /**
   * Binds a socket that receives datagrams until the loop stops. On success
   * aSocket points to it; the loop owns it.
   */
  Result<void> OpenSocket(const Endpoint& aAddress,
                          OnDatagram aOnDatagram,
                          Socket*& aSocket);

  /** Runs a function on the loop's thread; may be called from any thread. */
  void Post(std::function<void()> aFunction);

  /** Runs a function once after a delay, on the loop's thread. */
  void RunAfter(Duration aDelay, std::function<void()> aFunction);

  /** Runs a function repeatedly, on the loop's thread. The interval starts when
   * the previous run has ended. */
  void RunEvery(Duration aInterval, std::function<void()> aFunction);

  /** Current time of the steady clock. */
  static TimePoint Now();

  /** Runs the loop on the calling thread until Stop is called. */
  void Run();
  /** Makes Run return; may be called from any thread. */
  void Stop();

private:
  boost::asio::io_context m_io;
  std::list<Socket> m_sockets;
};

/** A bound UDP socket of a loop. */
class EventLoop::Socket
{
public:
  Socket(boost::asio::io_context& aIo, OnDatagram aOnDatagram);

  /** Sets the callback that runs after each batch of received datagrams. */
  void SetOnDrained(OnDrained aOnDrained)
  {
    m_onDrained = std::move(aOnDrained);
  }

  /** Binds to an address and starts to receive. */
  Result<void> Bind(const Endpoint& aAddress);

  /** Sends a datagram without blocking; a failure is only counted. */
  void Send(PacketBytes aBytes, const Endpoint& aTo);

  /** Number of datagrams that could not be sent. */
  uint64_t SendFailures() const { return m_sendFailures; }

private:
  void Wait();
  void Drain();

  boost::asio::ip::udp::socket m_socket;
  OnDatagram m_onDatagram;
  OnDrained m_onDrained;
  uint64_t m_sendFailures = 0;
};

} // namespace bilberryfield
