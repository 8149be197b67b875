#pragma once

#include "Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bilberryfield {

/**
 * Which of the links to one address a message takes. Long answers have a link
 * of their own, so that short ones do not wait behind them.
 */
enum class Lane : uint8_t
{
  Short,
  Long,
};

/** A message for another process. */
struct OutMessage
{
  std::string m_bytes;
  /** Given back to m_onNotSent; 0 when nobody wants to know. */
  uint64_t m_tag = 0;
  /** Time for which an answer may still come; the link stays that long. */
  Duration m_keepFor{};
};

/** Called by a PeerHub, always on its own thread. */
struct PeerCallbacks
{
  /** A message arrived on a link that this process opened to an address. */
  std::function<void(const std::string& aAddress, std::string aBytes)>
    m_onReply;
  /** A message arrived on a link that another process opened. */
  std::function<void(uint64_t aLink, std::string aBytes)> m_onMessage;
  /** A message given to SendTo certainly never left this process. */
  std::function<void(const std::string& aAddress, uint64_t aTag)> m_onNotSent;
  /** An open link to an address was lost, with all that waits on it. */
  std::function<void(const std::string& aAddress, Lane aLane)> m_onLinkLost;
  /** A link that another process opened was lost. */
  std::function<void(uint64_t aLink)> m_onClientLost;
};

/** Times of the links. */
struct PeerOptions
{
  Duration m_connectTimeout = Milliseconds(1000);
  Duration m_probeAfter = Milliseconds(1000);
  Duration m_replaceAfter = Milliseconds(3000);
  Duration m_idleClose = Seconds(60);
};

/**
 * The process's event loop and its links to other processes of the system.
 * Posted functions, timers and callbacks all run on the loop's one thread.
 */
class PeerHub
{
public:
  explicit PeerHub(PeerOptions aOptions = {});
  ~PeerHub();
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  /** To be called once, before Listen and Run. */
  void SetCallbacks(PeerCallbacks aCallbacks);

  /**
   * Accepts links at an IP and port; port 0 takes a free one.
   * Returns the port, or 0 when the address cannot be used.
   */
  uint16_t Listen(const std::string& aIp, uint16_t aPort);

  /** Runs the loop until Stop; returns when the loop has ended. */
  void Run();

  /** Ends the loop; may be called from any thread. */
  void Stop();

  /** Runs a function on the loop's thread; may be called from any thread. */
  void Post(std::function<void()> aFunction);

  /** Runs a function on the loop's thread at a time; any thread. */
  void At(TimePoint aTime, std::function<void()> aFunction);

  /** The loop's steady time. */
  TimePoint Now() const;

  /**
   * Sends to an address over a link that is opened when there is none.
   * Loop's thread only.
   */
  void SendTo(const std::string& aAddress, Lane aLane, OutMessage aMessage);

  /** Sends on a link that another process opened. Loop's thread only. */
  void SendOn(uint64_t aLink, const std::string& aBytes);

  /** Number of open links in both directions. Loop's thread only. */
  size_t LinkCount() const;

  /** Bytes sent and received over all links since the start. */
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bilberryfield
