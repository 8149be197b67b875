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

/** One thread that receives datagrams and runs timers and posted functions. */
class EventLoop
{
public:
  /** Takes a datagram; the bytes may be changed in place. */
  using OnDatagram =
    std::function<void(std::span<uint8_t>, const Endpoint& aFrom)>;
  /** Called when the datagrams that had arrived were all handed over. */
  using OnDrained = std::function<void()>;
  class Socket;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Receives datagrams at an address until the loop ends; sets aSocket. */
  Result<void> OpenSocket(const Endpoint& aAddress,
                          OnDatagram aOnDatagram,
                          Socket*& aSocket);

  /** Runs a function on the loop's thread; any thread may call it. */
  void Post(std::function<void()> aFunction);

  /** Runs a function once after a time, on the loop's thread. */
  void RunAfter(Duration aDelay, std::function<void()> aFunction);

  /** Runs a function again and again, on the loop's thread. */
  void RunEvery(Duration aInterval, std::function<void()> aFunction);

  /** The steady time. */
  static TimePoint Now();

  /** Runs the loop on this thread until Stop. */
  void Run();
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

  /** Sets what follows each series of datagrams. */
  void SetOnDrained(OnDrained aOnDrained)
  {
    m_onDrained = std::move(aOnDrained);
  }

  Result<void> Bind(const Endpoint& aAddress);

  /** Sends a datagram, or counts it as dropped when the socket is full. */
  void Send(PacketBytes aBytes, const Endpoint& aTo);

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
