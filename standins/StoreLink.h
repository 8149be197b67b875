#pragma once

#include "NameTable.h"
#include "Packet.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>

namespace bilberryfield {

/** What a link to the platform's store does with what it carries. */
enum class LinkMode : uint8_t
{
  Pass,
  Slow,        /**< Each piece of data comes late. */
  Silent,      /**< Nothing comes through until the link passes again. */
  Swallow,     /**< What is sent is lost; connections stay open. */
  AnswersLost, /**< Calls come through, answers do not. */
  Reset,       /**< Connections are reset, also new ones. */
};

inline constexpr NameTable<LinkMode, 6> kLinkModeNames = { {
  { LinkMode::Pass, "pass" },
  { LinkMode::Slow, "slow" },
  { LinkMode::Silent, "silent" },
  { LinkMode::Swallow, "swallow" },
  { LinkMode::AnswersLost, "answers-lost" },
  { LinkMode::Reset, "reset" },
} };

/** A TCP proxy on loopback before the store, which can be made to fail. */
class StoreLink
{
public:
  explicit StoreLink(const Endpoint& aStore);
  ~StoreLink();
  StoreLink(const StoreLink&) = delete;
  StoreLink& operator=(const StoreLink&) = delete;

  /** Where the link takes connections. */
  Endpoint Where() const { return m_where; }

  /** Any thread may call it. */
  void SetMode(LinkMode aMode) { m_mode = aMode; }

private:
  struct Session;

  void Accept();
  static void Relay(const std::shared_ptr<Session>& aSession, bool aIsAnswer);
  static void PassOn(const std::shared_ptr<Session>& aSession,
                     bool aIsAnswer,
                     size_t aBytes);

  boost::asio::io_context m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::endpoint m_store;
  Endpoint m_where;
  std::atomic<LinkMode> m_mode{ LinkMode::Pass };
  std::thread m_thread;
};

} // namespace bilberryfield
