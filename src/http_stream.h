/// Byte stream under HTTP: a TCP connection with or without TLS. Private to src/.
#pragma once

#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "net.h"

namespace citronsill {

/// All calls and callbacks run on the executor of the socket.
class HttpStream {
 public:
  using Done = std::function<void(boost::system::error_code)>;
  using ReadDone = std::function<void(boost::system::error_code, std::size_t bytes)>;

  virtual ~HttpStream() = default;
  virtual Tcp::socket& Socket() = 0;
  /// Call it once after the connection is established, before anything else.
  virtual void Handshake(Done done) = 0;
  virtual void ReadSome(asio::mutable_buffer buffer, ReadDone done) = 0;
  /// Writes all of `buffer`, which stays valid until `done`.
  virtual void Write(asio::const_buffer buffer, Done done) = 0;

  /// Closes the connection. Pending callbacks get an error.
  void Close() {
    boost::system::error_code ignored;
    Socket().shutdown(Tcp::socket::shutdown_both, ignored);
    Socket().close(ignored);
  }

  /// Closes the connection and discards what its peer has not taken. The system would keep that for
  /// minutes after `Close`, while the peer does not read.
  void Discard() {
    int unsent_bytes = 0;
    if (::ioctl(Socket().native_handle(), TIOCOUTQ, &unsent_bytes) == 0 && unsent_bytes > 0) {
      boost::system::error_code ignored;
      Socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    Close();
  }
};

/// A connection without TLS.
class PlainHttpStream : public HttpStream {
 public:
  explicit PlainHttpStream(Tcp::socket socket) : m_socket(std::move(socket)) {}
  Tcp::socket& Socket() override { return m_socket; }
  void Handshake(Done done) override { done({}); }
  void ReadSome(asio::mutable_buffer buffer, ReadDone done) override {
    m_socket.async_read_some(buffer, std::move(done));
  }
  void Write(asio::const_buffer buffer, Done done) override {
    asio::async_write(
        m_socket, buffer,
        [done = std::move(done)](boost::system::error_code error, std::size_t) { done(error); });
  }

 private:
  Tcp::socket m_socket;
};

/// Creates the stream of a connection.
using HttpStreamFactory = std::function<std::unique_ptr<HttpStream>(Tcp::socket socket)>;

/// Creates factories of streams with TLS; empty until `EnableHttpTls` was called.
struct HttpTlsBackend {
  std::function<Result<HttpStreamFactory>(const std::string& certificate_file,
                                          const std::string& key_file)>
      server;
  /// The factory checks that the server's certificate names `ip`.
  std::function<Result<HttpStreamFactory>(const std::string& ca_file, const std::string& ip)>
      client;
};

/// @returns the TLS backend of the process.
HttpTlsBackend& InstalledHttpTls();

/// @returns a factory of streams without TLS.
HttpStreamFactory PlainHttpStreams();

}  // namespace citronsill
