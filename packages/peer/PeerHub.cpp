#include "PeerHub.h"

#include "LinkMonitor.h"

#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace bilberryfield {

namespace {

// Largest accepted message. It must hold the body of an answer.
constexpr size_t kMaxMessageBytes = size_t{ 64 } * 1024 * 1024;
constexpr Duration kLinkTick = Milliseconds(250);

// Each connection holds a read buffer of this size for its whole lifetime.
// Control messages are small, and large answers take several reads.
constexpr size_t kReadBufferBytes = 2048;

struct ClientConfig : websocketpp::config::asio_client
{
  // NOLINTNEXTLINE(readability-identifier-naming): websocketpp's name.
  static const size_t connection_read_buffer_size = kReadBufferBytes;
};

struct ServerConfig : websocketpp::config::asio
{
  // NOLINTNEXTLINE(readability-identifier-naming): websocketpp's name.
  static const size_t connection_read_buffer_size = kReadBufferBytes;
};

using Client = websocketpp::client<ClientConfig>;
using Server = websocketpp::server<ServerConfig>;
using Handle = websocketpp::connection_hdl;
using LinkKey = std::pair<std::string, Lane>;

constexpr auto kBinary = websocketpp::frame::opcode::binary;

template<typename Endpoint>
void
ConfigureEndpoint(Endpoint& aEndpoint)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.set_max_message_size(kMaxMessageBytes);
}

template<typename Connection>
void
SetNoDelay(const Connection& aConnection)
{
  websocketpp::lib::asio::error_code ignored;
  aConnection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                           ignored);
}

} // namespace

class PeerHub::Impl
{
public:
  explicit Impl(PeerOptions aOptions)
    : m_options(aOptions)
    , m_workGuard(boost::asio::make_work_guard(m_io))
  {
    ConfigureEndpoint(m_client);
    ConfigureEndpoint(m_server);
    m_client.init_asio(&m_io);
    m_server.init_asio(&m_io);
    m_server.set_reuse_addr(true);
    m_client.set_open_handshake_timeout(
      std::chrono::duration_cast<Milliseconds>(aOptions.m_connectTimeout)
        .count());
    SetServerHandlers();
    ScheduleLinkTick();
  }

  TimePoint Now() const
  {
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
  }

  uint16_t Listen(const std::string& aIp, uint16_t aPort)
  {
    boost::system::error_code failed;
    auto ip = boost::asio::ip::make_address(aIp, failed);
    if (failed) {
      return 0;
    }
    websocketpp::lib::error_code error;
    m_server.listen(boost::asio::ip::tcp::endpoint(ip, aPort), error);
    if (error) {
      return 0;
    }
    m_server.start_accept(error);
    auto endpoint = m_server.get_local_endpoint(failed);
    return error || failed ? 0 : endpoint.port();
  }

  void At(TimePoint aTime, std::function<void()> aFunction)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
    timer->expires_after(aTime - Now());
    timer->async_wait([timer, function = std::move(aFunction)](
                        const boost::system::error_code& aError) {
      if (!aError) {
        function();
      }
    });
  }

  void SendTo(const std::string& aAddress, Lane aLane, OutMessage aMessage)
  {
    LinkKey key{ aAddress, aLane };
    auto found = m_links.find(key);
    if (found == m_links.end()) {
      found = OpenLink(key);
    }
    OutLink& link = found->second;
    TimePoint keepUntil =
      Now() + aMessage.m_replyWindow + m_options.m_idleClose;
    link.m_keepUntil = std::max(link.m_keepUntil, keepUntil);
    if (!link.m_isOpen) {
      link.m_unsent.push_back(std::move(aMessage));
      return;
    }
    Write(m_client, link.m_handle, aMessage.m_bytes);
  }

  void SendOnLink(uint64_t aLink, const std::string& aBytes)
  {
    auto found = m_accepted.find(aLink);
    if (found != m_accepted.end()) {
      Write(m_server, found->second.m_handle, aBytes);
    }
  }

  size_t LinkCount() const { return m_links.size() + m_accepted.size(); }

  PeerCallbacks m_callbacks;
  boost::asio::io_context m_io;
  std::atomic<uint64_t> m_bytesSent{ 0 };
  std::atomic<uint64_t> m_bytesReceived{ 0 };

private:
  struct OutLink
  {
    Handle m_handle;
    /** Distinguishes this link from a later one to the same address. */
    uint64_t m_serial = 0;
    bool m_isOpen = false;
    std::vector<OutMessage> m_unsent;
    LinkMonitor m_monitor;
    TimePoint m_keepUntil;
  };

  struct InLink
  {
    Handle m_handle;
    LinkMonitor m_monitor;
  };

  using OutLinks = std::map<LinkKey, OutLink>;

  LinkMonitor NewMonitor() const
  {
    return { m_options.m_probeAfter, m_options.m_replaceAfter, Now() };
  }

  template<typename Endpoint>
  void Write(Endpoint& aEndpoint,
             const Handle& aHandle,
             const std::string& aBytes)
  {
    websocketpp::lib::error_code error;
    aEndpoint.send(aHandle, aBytes, kBinary, error);
    // A send fails only while the link is closing. The close handler then
    // reports the loss of the link.
    if (!error) {
      m_bytesSent += aBytes.size();
    }
  }

  OutLinks::iterator OpenLink(const LinkKey& aKey)
  {
    uint64_t serial = ++m_lastSerial;
    auto position =
      m_links.emplace(aKey, OutLink{ {}, serial, false, {}, NewMonitor(), {} })
        .first;
    websocketpp::lib::error_code error;
    auto connection =
      m_client.get_connection("ws://" + aKey.first + "/", error);
    if (error) {
      boost::asio::post(m_io, [this, aKey, serial] { OnClosed(aKey, serial); });
      return position;
    }
    connection->set_open_handler(
      [this, aKey, serial](const Handle&) { OnOpen(aKey, serial); });
    auto onClosed = [this, aKey, serial](const Handle&) {
      OnClosed(aKey, serial);
    };
    connection->set_fail_handler(onClosed);
    connection->set_close_handler(onClosed);
    connection->set_pong_handler(
      [this, aKey, serial](const Handle&, const std::string&) {
        OnReceived(aKey, serial);
      });
    connection->set_message_handler(
      [this, aKey, serial](const Handle&, const Client::message_ptr& aMessage) {
        if (OnReceived(aKey, serial)) {
          m_bytesReceived += aMessage->get_payload().size();
          m_callbacks.m_onReply(aKey.first, aMessage->get_payload());
        }
      });
    position->second.m_handle = connection->get_handle();
    m_client.connect(connection);
    return position;
  }

  OutLink* FindLink(const LinkKey& aKey, uint64_t aSerial)
  {
    auto found = m_links.find(aKey);
    bool isSame = found != m_links.end() && found->second.m_serial == aSerial;
    return isSame ? &found->second : nullptr;
  }

  bool OnReceived(const LinkKey& aKey, uint64_t aSerial)
  {
    OutLink* link = FindLink(aKey, aSerial);
    if (link) {
      link->m_monitor.OnReceived(Now());
    }
    return link != nullptr;
  }

  void OnOpen(const LinkKey& aKey, uint64_t aSerial)
  {
    OutLink* link = FindLink(aKey, aSerial);
    if (!link) {
      return;
    }
    websocketpp::lib::error_code error;
    SetNoDelay(m_client.get_con_from_hdl(link->m_handle, error));
    link->m_isOpen = true;
    link->m_monitor = NewMonitor();
    for (const OutMessage& message : std::exchange(link->m_unsent, {})) {
      Write(m_client, link->m_handle, message.m_bytes);
    }
  }

  void OnClosed(const LinkKey& aKey, uint64_t aSerial)
  {
    OutLink* found = FindLink(aKey, aSerial);
    if (!found) {
      return;
    }
    OutLink link = std::move(*found);
    m_links.erase(aKey);
    for (const OutMessage& message : link.m_unsent) {
      if (message.m_tag != 0) {
        m_callbacks.m_onNotSent(aKey.first, message.m_tag);
      }
    }
    if (link.m_isOpen) {
      m_callbacks.m_onLinkLost(aKey.first, aKey.second);
    }
  }

  void ReplaceLink(const LinkKey& aKey, const OutLink& aLink)
  {
    // The peer does not respond, so terminate without the closing handshake.
    websocketpp::lib::error_code error;
    auto connection = m_client.get_con_from_hdl(aLink.m_handle, error);
    uint64_t serial = aLink.m_serial;
    OnClosed(aKey, serial);
    if (!error) {
      connection->terminate(websocketpp::lib::error_code());
    }
  }

  void SetServerHandlers()
  {
    m_server.set_open_handler([this](const Handle& aHandle) {
      websocketpp::lib::error_code error;
      auto connection = m_server.get_con_from_hdl(aHandle, error);
      SetNoDelay(connection);
      uint64_t link = ++m_lastSerial;
      m_accepted.emplace(link, InLink{ aHandle, NewMonitor() });
      auto onReceived = [this, link] {
        auto found = m_accepted.find(link);
        if (found != m_accepted.end()) {
          found->second.m_monitor.OnReceived(Now());
        }
      };
      connection->set_pong_handler(
        [onReceived](const Handle&, const std::string&) { onReceived(); });
      connection->set_ping_handler(
        [onReceived](const Handle&, const std::string&) {
          onReceived();
          return true;
        });
      connection->set_message_handler(
        [this, link, onReceived](const Handle&,
                                 const Server::message_ptr& aMessage) {
          onReceived();
          m_bytesReceived += aMessage->get_payload().size();
          m_callbacks.m_onMessage(link, aMessage->get_payload());
        });
      connection->set_close_handler(
        [this, link](const Handle&) { RemoveInLink(link); });
    });
  }

  void RemoveInLink(uint64_t aLink)
  {
    if (m_accepted.erase(aLink) > 0) {
      m_callbacks.m_onAcceptedLinkLost(aLink);
    }
  }

  void ScheduleLinkTick()
  {
    At(Now() + kLinkTick, [this] {
      TickOutLinks();
      TickInLinks();
      ScheduleLinkTick();
    });
  }

  void TickOutLinks()
  {
    std::vector<LinkKey> keys;
    for (const auto& [key, link] : m_links) {
      keys.push_back(key);
    }
    for (const LinkKey& key : keys) {
      auto found = m_links.find(key);
      if (found == m_links.end()) {
        continue;
      }
      OutLink& link = found->second;
      LinkAction action = link.m_monitor.OnTick(Now());
      websocketpp::lib::error_code ignored;
      if (action == LinkAction::Replace) {
        ReplaceLink(key, link);
      } else if (link.m_isOpen && Now() > link.m_keepUntil) {
        m_client.close(
          link.m_handle, websocketpp::close::status::normal, "", ignored);
      } else if (link.m_isOpen && action == LinkAction::Probe) {
        m_client.ping(link.m_handle, "", ignored);
      }
    }
  }

  void TickInLinks()
  {
    std::vector<uint64_t> silent;
    for (auto& [id, link] : m_accepted) {
      LinkAction action = link.m_monitor.OnTick(Now());
      websocketpp::lib::error_code ignored;
      if (action == LinkAction::Replace) {
        silent.push_back(id);
      } else if (action == LinkAction::Probe) {
        m_server.ping(link.m_handle, "", ignored);
      }
    }
    for (uint64_t id : silent) {
      websocketpp::lib::error_code error;
      auto connection =
        m_server.get_con_from_hdl(m_accepted.at(id).m_handle, error);
      RemoveInLink(id);
      if (!error) {
        connection->terminate(websocketpp::lib::error_code());
      }
    }
  }

  PeerOptions m_options;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_workGuard;
  Client m_client;
  Server m_server;
  OutLinks m_links;
  std::map<uint64_t, InLink> m_accepted;
  uint64_t m_lastSerial = 0;
};

PeerHub::PeerHub(PeerOptions aOptions)
  : m_impl(std::make_unique<Impl>(aOptions))
{
}

PeerHub::~PeerHub() = default;

void
PeerHub::SetCallbacks(PeerCallbacks aCallbacks)
{
  m_impl->m_callbacks = std::move(aCallbacks);
}

uint16_t
PeerHub::Listen(const std::string& aIp, uint16_t aPort)
{
  return m_impl->Listen(aIp, aPort);
}

void
PeerHub::Run()
{
  m_impl->m_io.run();
}

void
PeerHub::Stop()
{
  m_impl->m_io.stop();
}

void
PeerHub::Post(std::function<void()> aFunction)
{
  boost::asio::post(m_impl->m_io, std::move(aFunction));
}

void
PeerHub::At(TimePoint aTime, std::function<void()> aFunction)
{
  m_impl->At(aTime, std::move(aFunction));
}

TimePoint
PeerHub::Now() const
{
  return m_impl->Now();
}

void
PeerHub::SendTo(const std::string& aAddress, Lane aLane, OutMessage aMessage)
{
  m_impl->SendTo(aAddress, aLane, std::move(aMessage));
}

void
PeerHub::SendOnLink(uint64_t aLink, const std::string& aBytes)
{
  m_impl->SendOnLink(aLink, aBytes);
}

size_t
PeerHub::LinkCount() const
{
  return m_impl->LinkCount();
}

uint64_t
PeerHub::BytesSent() const
{
  return m_impl->m_bytesSent;
}

uint64_t
PeerHub::BytesReceived() const
{
  return m_impl->m_bytesReceived;
}

} // namespace bilberryfield
