/// What the system may hold for the connections of a listening socket: while the process does not
/// accept or read them, and while their peers do not read.
#pragma once

#include <cstddef>

namespace citronsill {

struct ListenOptions {
  /// Size that is asked for the receive buffer of each connection. 0 leaves it to the system, which
  /// lets the buffer grow to several megabytes.
  std::size_t receive_buffer_bytes = 0;
  /// Size that is asked for the send buffer of each connection; 0 as above.
  std::size_t send_buffer_bytes = 0;
  /// Maximum number of connections that have not been accepted; 0 for as many as the system allows.
  /// The opening packet of a further one is dropped, and its client sends it again.
  std::size_t max_pending = 0;

  /// @returns bytes that the system holds unread for one connection at most; 0 when that is left to
  /// the system. Linux doubles the size that is asked for, and limits packets with their headers
  /// to that.
  [[nodiscard]] constexpr std::size_t MaxUnreadBytes() const { return 2 * receive_buffer_bytes; }

  /// @returns bytes that the process has sent and the peer of one connection has not taken, at
  /// most, beside one packet; 0 when that is left to the system.
  [[nodiscard]] constexpr std::size_t MaxUnsentBytes() const { return 2 * send_buffer_bytes; }
};

}  // namespace citronsill
