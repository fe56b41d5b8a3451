// A server whose answers have no end, as a stand-in for a store or a worker that is out of order.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

#include "net.h"

namespace citronsill::hostile {

// The part of an answer that never ends.
enum class EndlessPart { kHeaders, kBody, kExtension, kTrailers };

// Answers the first request of each connection without end, until the client closes it or all
// connections together have sent `kMaxSentBytes`. Runs on the thread of `context`.
class EndlessServer : public std::enable_shared_from_this<EndlessServer> {
 public:
  EndlessServer(asio::io_context& context, EndlessPart part) : m_acceptor(context), m_part(part) {}

  // Listens on a free port of loopback. @returns "IP:port", empty when it cannot listen.
  std::string Listen() {
    boost::system::error_code error;
    const Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) m_acceptor.bind(endpoint, error);
    if (!error) m_acceptor.listen(kBacklog, error);
    if (error) return "";
    Accept();
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  static constexpr int kBacklog = 64;
  static constexpr std::size_t kPieceBytes = 64U << 10;
  // Limits the traffic of one test. It is many times the memory that the node may use.
  static constexpr std::size_t kMaxSentBytes = 1U << 30;

  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::array<char, 4096> request{};
    std::string out;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    m_acceptor.async_accept(
        [self = shared_from_this()](boost::system::error_code error, Tcp::socket socket) {
          if (error) return;
          self->Begin(std::make_shared<Connection>(std::move(socket)));
          self->Accept();
        });
  }

  void Begin(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->request),
        [self = shared_from_this(), connection](boost::system::error_code error, std::size_t) {
          if (error) return;
          connection->out = self->Opening();
          self->Write(connection);
        });
  }

  void Write(const ConnectionPtr& connection) {
    asio::async_write(connection->socket, asio::buffer(connection->out),
                      [self = shared_from_this(), connection](boost::system::error_code error,
                                                              std::size_t bytes) {
                        if (error) return;
                        self->m_sent_bytes += bytes;
                        // Then the connection stays open without further bytes.
                        if (self->m_sent_bytes > kMaxSentBytes) return self->Hold(connection);
                        connection->out = self->Piece();
                        self->Write(connection);
                      });
  }

  void Hold(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->request),
        [self = shared_from_this(), connection](boost::system::error_code error, std::size_t) {
          if (!error) self->Hold(connection);
        });
  }

  [[nodiscard]] std::string Opening() const {
    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    switch (m_part) {
      case EndlessPart::kHeaders:
        return "HTTP/1.1 200 OK\r\n";
      case EndlessPart::kBody:
        return chunked;
      case EndlessPart::kExtension:
        return chunked + "1;";
      case EndlessPart::kTrailers:
        return chunked + "1\r\nx\r\n0\r\n";
    }
    return "";
  }

  [[nodiscard]] std::string Piece() const {
    switch (m_part) {
      case EndlessPart::kHeaders:
      case EndlessPart::kTrailers:
        return "X-Filler: " + std::string(kPieceBytes, 'x') + "\r\n";
      case EndlessPart::kBody:
        return "10000\r\n" + std::string(kPieceBytes, 'x') + "\r\n";
      case EndlessPart::kExtension:
        return std::string(kPieceBytes, 'x');
    }
    return "";
  }

  Tcp::acceptor m_acceptor;
  EndlessPart m_part;
  std::size_t m_sent_bytes = 0;
};

}  // namespace citronsill::hostile
