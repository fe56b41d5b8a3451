#include "crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>
#include <utility>

namespace citronsill::hostile {
namespace {

constexpr std::size_t kKib = 1024;
constexpr std::string_view kListening = "0A";  // State in /proc/net/tcp.

bool WaitFor(int descriptor, std::int16_t events, int wait_ms) {
  pollfd entry{descriptor, events, 0};
  return poll(&entry, 1, wait_ms) > 0;
}

// @returns the inode of a socket from the target of a link in /proc/PID/fd, 0 for other targets.
std::uint64_t SocketInode(const std::string& target) {
  constexpr std::string_view kPrefix = "socket:[";
  if (!target.starts_with(kPrefix)) return 0;
  return std::strtoull(target.c_str() + kPrefix.size(), nullptr, 10);
}

// One row of /proc/net/tcp.
struct TcpRow {
  std::string local;  // IP:port in hexadecimal digits.
  std::string state;
  std::uint64_t inode = 0;  // 0 while the connection has not been accepted.
  std::size_t unread = 0;   // Bytes; of a listening socket, connections to be accepted.
  std::size_t unsent = 0;   // Bytes; of a listening socket, the maximum of `unread`.
};

std::vector<TcpRow> ReadTcpRows() {
  std::vector<TcpRow> rows;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);  // The names of the columns.
  while (std::getline(file, line)) {
    std::istringstream columns(line);
    TcpRow row;
    std::string skipped;
    std::string queues;
    columns >> skipped >> row.local >> skipped >> row.state >> queues;
    columns >> skipped >> skipped >> skipped >> skipped >> row.inode;
    if (const std::size_t colon = queues.find(':'); colon != std::string::npos) {
      row.unsent = std::strtoull(queues.c_str(), nullptr, 16);
      row.unread = std::strtoull(queues.c_str() + colon + 1, nullptr, 16);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

// Reads what the kernel holds for a process. @param sockets inodes of its sockets.
void ReadQueues(const std::set<std::uint64_t>& sockets, ProcessState* state) {
  const std::vector<TcpRow> rows = ReadTcpRows();
  std::set<std::string> listening;
  for (const TcpRow& row : rows) {
    if (row.state == kListening && sockets.contains(row.inode)) listening.insert(row.local);
  }
  std::size_t unread_bytes = 0;
  std::size_t unsent_bytes = 0;
  std::size_t unsent_closed_bytes = 0;
  for (const TcpRow& row : rows) {
    if (row.state == kListening) continue;
    const bool is_accepted = sockets.contains(row.inode);
    // Not accepted yet, or closed.
    const bool is_pending = row.inode == 0 && listening.contains(row.local);
    if (is_accepted || is_pending) unread_bytes += row.unread;
    if (is_accepted) unsent_bytes += row.unsent;
    if (is_pending) unsent_closed_bytes += row.unsent;
  }
  state->unread_kib = unread_bytes / kKib;
  state->unsent_kib = unsent_bytes / kKib;
  state->unsent_closed_kib = unsent_closed_bytes / kKib;
}

}  // namespace

ProcessState ReadProcess(pid_t pid) {
  ProcessState state;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (!line.starts_with("VmHWM:")) continue;
    state.lives = true;  // A process that has ended has no memory.
    state.peak_resident_kib = std::strtoull(line.c_str() + sizeof("VmHWM:"), nullptr, 10);
  }
  std::set<std::uint64_t> sockets;
  std::error_code error;
  for (std::filesystem::directory_iterator entry(folder + "/fd", error), end;
       !error && entry != end; entry.increment(error)) {
    ++state.descriptors;
    std::error_code ignored;  // The descriptor may have been closed meanwhile.
    const std::string target = std::filesystem::read_symlink(entry->path(), ignored).string();
    if (const std::uint64_t inode = SocketInode(target); inode != 0) sockets.insert(inode);
  }
  ReadQueues(sockets, &state);
  return state;
}

Client::Client(std::uint16_t port, int receive_buffer_bytes, int connect_wait_ms) {
  m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_descriptor < 0) return;
  const int enabled = 1;
  setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  if (receive_buffer_bytes > 0) {
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    return;
  }
  if (errno == EINPROGRESS && connect_wait_ms == 0) return;
  int failure = 0;
  socklen_t size = sizeof(failure);
  if (errno != EINPROGRESS || !WaitFor(m_descriptor, POLLOUT, connect_wait_ms) ||
      getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
    Close();
  }
}

Client::~Client() { Close(); }

Client::Client(Client&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}

void Client::Close() {
  if (m_descriptor >= 0) close(std::exchange(m_descriptor, -1));
}

std::size_t Client::Send(std::string_view bytes, int wait_ms) {
  std::size_t sent = 0;
  while (IsOpen() && sent < bytes.size()) {
    const ssize_t count =
        send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count >= 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN) {
      if (!WaitFor(m_descriptor, POLLOUT, wait_ms)) break;
    } else {
      Close();
    }
  }
  return sent;
}

void Client::Discard() {
  std::array<char, 16384> bytes{};
  while (IsOpen()) {
    const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count > 0) continue;
    if (count == 0 || errno != EAGAIN) Close();
    return;
  }
}

unsigned Client::ReadStatus(int wait_ms) {
  std::string text;
  std::array<char, 16384> bytes{};
  while (IsOpen() && WaitFor(m_descriptor, POLLIN, wait_ms)) {
    const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count < 0 && errno == EAGAIN) continue;
    if (count <= 0) {
      Close();
      return 0;
    }
    text.append(bytes.data(), static_cast<std::size_t>(count));
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos) continue;
    const std::size_t length_at = text.find("Content-Length: ");
    if (!text.starts_with("HTTP/1.1 ") || length_at == std::string::npos) return 0;
    const std::size_t length =
        std::strtoull(text.c_str() + length_at + sizeof("Content-Length: ") - 1, nullptr, 10);
    if (text.size() < end + 4 + length) continue;
    return static_cast<unsigned>(std::strtoul(text.c_str() + sizeof("HTTP/1.1 ") - 1, nullptr, 10));
  }
  return 0;
}

}  // namespace citronsill::hostile
