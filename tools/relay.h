/// TCP relay on loopback that injects network faults on demand. Used by relay_standin and the fault
/// soak.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <vector>

#include "net.h"

namespace citronsill {

/// Directions in which bytes are dropped. Forward is from the connecting side to the target.
enum class Loss { kNone, kForward, kBackward, kBoth };

/// One relayed connection.
struct RelayedConnection {
  explicit RelayedConnection(asio::io_context& context) : client(context), server(context) {}
  Tcp::socket client;
  Tcp::socket server;
  std::atomic<bool> silent{false};  ///< Whether all further bytes are dropped.
};

/// Relays connections from one port to a target. `context` has to run on a single thread, as the
/// sockets are not synchronized; the setters may be called from any thread.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(asio::io_context& context, Tcp::endpoint target)
      : m_context(context), m_acceptor(context), m_target(std::move(target)) {}

  /// @param endpoint address to listen on; port 0 selects a free port.
  /// @returns whether the relay listens.
  bool Listen(const Tcp::endpoint& endpoint) {
    boost::system::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) m_acceptor.bind(endpoint, error);
    if (!error) m_acceptor.listen(64, error);
    if (error) return false;
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() -> asio::awaitable<void> {
          co_await self->AcceptConnections();
        },
        asio::detached);
    return true;
  }

  /// @returns the port that the relay listens on.
  [[nodiscard]] std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  /// Sets the directions in which bytes are dropped, for open and new connections.
  void SetLoss(Loss loss) { m_loss = loss; }
  /// Delays each chunk of bytes by this time before it is forwarded.
  void SetDelay(std::chrono::milliseconds delay) { m_delay = delay; }
  /// Sets whether new connections are closed immediately.
  void SetRefusing(bool refusing) { m_refusing = refusing; }

  /// Resets all connections (TCP RST).
  void Reset() {
    ForEachOpen([](RelayedConnection& connection) {
      boost::system::error_code ignored;
      for (Tcp::socket* socket : {&connection.client, &connection.server}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    });
  }

  /// Drops all further bytes on the connections that are open now, which stay open.
  void SilenceOpen() {
    ForEachOpen([](RelayedConnection& connection) { connection.silent = true; });
  }

 private:
  template <class Visit>
  void ForEachOpen(Visit visit) {
    std::lock_guard lock(m_mutex);
    for (const auto& weak : m_connections) {
      if (const auto connection = weak.lock()) visit(*connection);
    }
  }

  asio::awaitable<void> AcceptConnections() {
    while (true) {
      auto connection = std::make_shared<RelayedConnection>(m_context);
      boost::system::error_code error;
      co_await m_acceptor.async_accept(connection->client,
                                       asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      if (m_refusing) continue;
      {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
        m_connections.push_back(connection);
      }
      asio::co_spawn(
          m_context,
          [self = shared_from_this(), connection]() -> asio::awaitable<void> {
            co_await self->Connect(connection);
          },
          asio::detached);
    }
  }

  asio::awaitable<void> Connect(std::shared_ptr<RelayedConnection> connection) {
    boost::system::error_code error;
    co_await connection->server.async_connect(m_target,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      connection->client.close(error);
      co_return;
    }
    asio::co_spawn(
        m_context,
        [self = shared_from_this(), connection]() -> asio::awaitable<void> {
          co_await self->Copy(connection, connection->server, connection->client, Loss::kBackward);
        },
        asio::detached);
    co_await Copy(connection, connection->client, connection->server, Loss::kForward);
  }

  bool ShouldDrop(const RelayedConnection& connection, Loss direction) const {
    const Loss loss = m_loss;
    return connection.silent || loss == Loss::kBoth || loss == direction;
  }

  asio::awaitable<void> Copy(std::shared_ptr<RelayedConnection> connection, Tcp::socket& from,
                             Tcp::socket& to, Loss direction) {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error || ShouldDrop(*connection, direction)) continue;
      if (const std::chrono::milliseconds delay = m_delay; delay.count() > 0) {
        asio::steady_timer timer(m_context, delay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      }
      co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    connection->client.close(error);
    connection->server.close(error);
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_target;
  std::atomic<Loss> m_loss{Loss::kNone};
  std::atomic<std::chrono::milliseconds> m_delay{std::chrono::milliseconds(0)};
  std::atomic<bool> m_refusing{false};
  std::mutex m_mutex;
  std::vector<std::weak_ptr<RelayedConnection>> m_connections;
};

}  // namespace citronsill
