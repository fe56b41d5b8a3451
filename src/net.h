/// Asio helpers shared by all programs. Private to src/ and tools/.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "citronsill/listen.h"
#include "citronsill/result.h"
#include "schema/codes.pb.h"

namespace boost::beast {}

namespace citronsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

/// Parses "IP:port".
/// @returns CODE_INVALID_FIELD when `address` is not of that form.
Result<Tcp::endpoint> ParseAddress(const std::string& address);

/// Opens `acceptor` and listens on "IP:port". The connections that it accepts have its options.
/// @returns CODE_INVALID_FIELD when `address` is not of that form; CODE_SETTINGS_INVALID when it
/// cannot be listened on.
Result<void> Listen(Tcp::acceptor* acceptor, const std::string& address,
                    const ListenOptions& options);

/// Asks for the size of a socket's buffer. That of a receive buffer takes full effect only before
/// the socket is connected or listens.
/// @tparam Option `asio::socket_base::receive_buffer_size` or `send_buffer_size`.
/// @param bytes 0 leaves the size to the system.
template <class Option, class Socket>
void SetBufferSize(Socket* socket, std::size_t bytes) {
  if (bytes == 0) return;
  boost::system::error_code ignored;  // The socket then keeps the system's size.
  socket->set_option(Option(static_cast<int>(bytes)), ignored);
}

/// @returns a random number from the operating system's generator.
std::uint64_t RandomId();

/// @returns `value` as 16 hexadecimal digits.
std::string Hex64(std::uint64_t value);

}  // namespace citronsill
