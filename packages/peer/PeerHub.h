#pragma once

#include "Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bilberryfield {

/**
 * Selects one of the links to an address. Messages about long work use a
 * separate link, so that long answers do not delay short ones.
 */
enum class Lane : uint8_t
{
  Short,
  Long,
};

/** A message to be sent to another process. */
struct OutMessage
{
  std::string m_bytes;
  /** Passed to m_onNotSent if the message is not sent; 0 disables the call. */
  uint64_t m_tag = 0;
  /**
   * How long after sending a reply may arrive. The idle timeout of the link
   * starts only after this time.
   */
  Duration m_replyWindow{};
};

/** Callbacks of a PeerHub, all invoked on its loop's thread. */
struct PeerCallbacks
{
  /** A message was received on a link that this process opened. */
  std::function<void(const std::string& aAddress, std::string aBytes)>
    m_onReply;
  /** A message was received on a link that another process opened. */
  std::function<void(uint64_t aLink, std::string aBytes)> m_onMessage;
  /**
   * A message passed to SendTo was not sent, because its link never opened. It
   * can be retried safely: no part of it left this process.
   */
  std::function<void(const std::string& aAddress, uint64_t aTag)> m_onNotSent;
  /** An open link to an address was lost; pending replies will not arrive. */
  std::function<void(const std::string& aAddress, Lane aLane)> m_onLinkLost;
  /** A link that another process opened was lost. */
  std::function<void(uint64_t aLink)> m_onAcceptedLinkLost;
};

/** Timeouts of the links. */
struct PeerOptions
{
  /** For the opening handshake. */
  Duration m_connectTimeout = Milliseconds(1000);
  /** Time without received data after which a ping is sent. */
  Duration m_probeAfter = Milliseconds(1000);
  /** Time without received data after which the link is closed. */
  Duration m_replaceAfter = Milliseconds(3000);
  /** Time after the last reply window at which an unused link is closed. */
  Duration m_idleClose = Seconds(60);
};

/**
 * The process's event loop and its WebSocket links to other processes. Posted
 * functions, timers and callbacks all run on the one thread that calls Run.
 */
class PeerHub
{
public:
  explicit PeerHub(PeerOptions aOptions = {});
  ~PeerHub();
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  /** Must be called once, before Listen and Run. */
  void SetCallbacks(PeerCallbacks aCallbacks);

  /**
   * Accepts links at an IP and port; port 0 selects a free port.
   * Returns the bound port, or 0 on failure.
   */
  uint16_t Listen(const std::string& aIp, uint16_t aPort);

  /** Runs the loop on the calling thread until Stop is called. */
  void Run();

  /** Stops the loop; may be called from any thread. */
  void Stop();

  /** Runs a function on the loop's thread; may be called from any thread. */
  void Post(std::function<void()> aFunction);

  /** Runs a function on the loop's thread at aTime; any thread. */
  void At(TimePoint aTime, std::function<void()> aFunction);

  /** The current time of the steady clock. */
  TimePoint Now() const;

  /**
   * Sends a message to an address, opening a link if there is none. The message
   * is queued until the link is open. Loop's thread only.
   */
  void SendTo(const std::string& aAddress, Lane aLane, OutMessage aMessage);

  /**
   * Sends bytes on a link that another process opened; does nothing if the link
   * was lost. Loop's thread only.
   */
  void SendOnLink(uint64_t aLink, const std::string& aBytes);

  /**
   * Number of links in both directions, including those that are being opened.
   * Loop's thread only.
   */
  size_t LinkCount() const;

  /** Payload bytes sent and received on all links since the start. */
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bilberryfield
