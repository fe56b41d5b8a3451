/// Small helpers around Asio that every program shares. Private to src/ and tools/.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "citronsill/result.h"
#include "schema/codes.pb.h"

namespace boost::beast {}

namespace citronsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

/// Splits "IP:port".
/// @returns CODE_INVALID_FIELD when `address` is not of that form.
Result<Tcp::endpoint> ParseAddress(const std::string& address);

/// @returns a random number from the operating system's generator.
std::uint64_t RandomId();

/// @returns "<16 hex digits>" of `value`.
std::string Hex64(std::uint64_t value);

}  // namespace citronsill
