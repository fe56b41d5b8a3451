// Clients that do not keep to the limits of a server, and the state of the process that they are
// connected to.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronsill::hostile {

// State of a process as its kernel reports it.
struct ProcessState {
  bool lives = false;
  std::size_t peak_resident_kib = 0;  // VmHWM: the highest resident memory so far.
  std::size_t descriptors = 0;        // Open descriptors now.
  // Bytes that the kernel has received for the process and the process has not read, now: on its
  // connections, and on those to its listening sockets that it has not accepted.
  std::size_t unread_kib = 0;
  // Bytes that the process has sent on its connections and its peers have not taken, now.
  std::size_t unsent_kib = 0;
  // The same on connections to its listening sockets that it has closed.
  std::size_t unsent_closed_kib = 0;
};

ProcessState ReadProcess(pid_t pid);

inline constexpr int kConnectWaitMs = 3000;

// One connection to "127.0.0.1:port". Calls wait only where they say so.
class Client {
 public:
  // @param receive_buffer_bytes size of the kernel's buffer for received bytes; 0 for its default.
  // @param connect_wait_ms maximum wait for the connection; 0 to connect while other calls are
  // made.
  explicit Client(std::uint16_t port, int receive_buffer_bytes = 0,
                  int connect_wait_ms = kConnectWaitMs);
  ~Client();
  Client(Client&& other) noexcept;
  Client& operator=(Client&&) = delete;

  // @returns whether the connection was made and the peer has not closed or reset it.
  [[nodiscard]] bool IsOpen() const { return m_descriptor >= 0; }
  // Sends as much as the peer takes, waiting up to `wait_ms` for each part. @returns the number of
  // bytes sent; the connection counts as closed when it was reset.
  std::size_t Send(std::string_view bytes, int wait_ms);
  // Reads and discards what has arrived.
  void Discard();
  // Reads until the end of an answer with Content-Length, or until `wait_ms` pass without a byte.
  // @returns the status of the answer, 0 when there was none.
  unsigned ReadStatus(int wait_ms);

 private:
  void Close();
  int m_descriptor = -1;
};

}  // namespace citronsill::hostile
