/// Stand-ins for the cases of this review: the platform's store, workers and clients in the process
/// of the case, and the nodes as processes of their own. They follow PROTOCOL.md.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Pause(milliseconds time) { std::this_thread::sleep_for(time); }

/// Writes `record.txt`: one line for each event, with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : m_out(path) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - m_began).count();
    m_out << at << " " << text << "\n" << std::flush;
  }
  [[nodiscard]] milliseconds Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_began);
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_out;
  Clock::time_point m_began = Clock::now();
};

// ---- HTTP

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  [[nodiscard]] std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] std::string Path() const { return target.substr(0, target.find('?')); }
  [[nodiscard]] std::string Query(const std::string& name) const {
    std::size_t at = target.find('?');
    while (at != std::string::npos && at < target.size()) {
      const std::size_t end = std::min(target.find('&', at + 1), target.size());
      const std::string pair = target.substr(at + 1, end - at - 1);
      if (pair.rfind(name + "=", 0) == 0) return Decode(pair.substr(name.size() + 1));
      at = end;
    }
    return "";
  }

 private:
  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(text[i]);
      }
    }
    return out;
  }
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

/// Reads one HTTP message from a socket. `buffer` keeps what follows it.
/// @returns the first line, the headers and the body; none when the connection has ended.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

inline std::optional<Message> ReadMessage(int socket, std::string* buffer) {
  const auto fill = [&] {
    char chunk[16384];
    const ssize_t bytes = recv(socket, chunk, sizeof chunk, 0);
    if (bytes <= 0) return false;
    buffer->append(chunk, static_cast<std::size_t>(bytes));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) return std::nullopt;
  }
  Message message;
  std::istringstream head(buffer->substr(0, end));
  std::string line;
  std::getline(head, message.first_line);
  if (!message.first_line.empty() && message.first_line.back() == '\r') {
    message.first_line.pop_back();
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t first = line.find_first_not_of(' ', colon + 1);
    message.headers[Lower(line.substr(0, colon))] =
        first == std::string::npos ? "" : line.substr(first);
  }
  const auto length = message.headers.find("content-length");
  const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
  while (buffer->size() < end + 4 + size) {
    if (!fill()) return std::nullopt;
  }
  message.body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return message;
}

inline bool WriteAll(int socket, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t bytes = send(socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (bytes <= 0) return false;
    done += static_cast<std::size_t>(bytes);
  }
  return true;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

/// @returns a loopback port that is free now, and below those that the system gives to connections.
inline int FreePort() {
  constexpr int kFirst = 10000;
  constexpr int kCount = 20000;
  static int next = static_cast<int>(getpid()) * 61 % kCount;
  while (true) {
    const int port = kFirst + next;
    next = (next + 1) % kCount;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (is_free) return port;
  }
}

/// HTTP server with a thread for each connection. Can be stopped, which closes all connections as
/// the end of a process does, and started again on its port.
class Server {
 public:
  /// @returns none to close the connection without an answer.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  Server(int port, Handler handler) : m_port(port), m_handler(std::move(handler)) {}
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] int Port() const { return m_port; }

  void Start() {
    auto life = std::make_shared<Life>();
    life->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(life->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = Loopback(m_port);
    if (bind(life->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(life->listener, 256) != 0) {
      std::cerr << "cannot listen on port " << m_port << "\n";
      std::exit(2);
    }
    m_life = life;
    std::thread([life, handler = m_handler] { Accept(life, handler); }).detach();
  }

  void Stop() {
    if (!m_life) return;
    const std::lock_guard lock(m_life->mutex);
    m_life->ended = true;
    shutdown(m_life->listener, SHUT_RDWR);
    close(m_life->listener);
    // A process that is killed resets connections with unread data and closes the others.
    for (const int connection : m_life->connections) shutdown(connection, SHUT_RDWR);
    m_life.reset();
  }

 private:
  struct Life {
    std::mutex mutex;
    int listener = -1;
    bool ended = false;
    std::set<int> connections;
  };

  static void Accept(const std::shared_ptr<Life>& life, const Handler& handler) {
    while (true) {
      const int connection = accept4(life->listener, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard lock(life->mutex);
      if (connection < 0 || life->ended) {
        if (connection >= 0) close(connection);
        if (life->ended) return;
        continue;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      life->connections.insert(connection);
      std::thread([life, handler, connection] {
        Serve(connection, handler);
        const std::lock_guard inner(life->mutex);
        life->connections.erase(connection);
        close(connection);
      }).detach();
    }
  }

  static void Serve(int connection, const Handler& handler) {
    std::string buffer;
    while (auto message = ReadMessage(connection, &buffer)) {
      Request request;
      std::istringstream line(message->first_line);
      line >> request.method >> request.target;
      request.headers = std::move(message->headers);
      request.body = std::move(message->body);
      const auto response = handler(request);
      if (!response) return;
      const std::string text = "HTTP/1.1 " + std::to_string(response->status) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      if (!WriteAll(connection, text)) return;
    }
  }

  int m_port;
  Handler m_handler;
  std::shared_ptr<Life> m_life;
};

/// Sends one request on a connection of its own.
/// @returns none when there is no complete answer in time.
inline std::optional<Response> Send(int port, const std::string& method, const std::string& target,
                                    const std::string& host, const std::string& body,
                                    milliseconds timeout) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = timeout.count() / 1000;
  limit.tv_usec = (timeout.count() % 1000) * 1000;
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = Loopback(port);
  std::optional<Response> response;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    const std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: " + host +
        "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + std::to_string(timeout.count()) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    if (WriteAll(connection, text)) {
      if (auto message = ReadMessage(connection, &buffer)) {
        response = Response{std::stoi(message->first_line.substr(9, 3)), message->body};
      }
    }
  }
  close(connection);
  return response;
}

// ---- Base64

inline std::string ToBase64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out.push_back(i + j > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * j)) & 63U]);
    }
  }
  return out;
}

// ---- The platform's store

class Store {
 public:
  explicit Store(int port) : m_server(port, [this](const Request& r) { return Handle(r); }) {
    m_server.Start();
  }

  [[nodiscard]] int Port() const { return m_server.Port(); }

  /// Called before a call is carried out; may take time. Returns false to answer it with 503.
  std::function<bool(const Request&)> before;

  /// Writes a row as the operator or a worker does.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    ++m_version;
    SetRow({table, "", key}, ToBase64(value), false);
    m_changed.notify_all();
  }

  [[nodiscard]] bool Has(const std::string& table, const std::string& part,
                         const std::string& key) {
    const std::lock_guard lock(m_mutex);
    return m_rows.contains({table, part, key});
  }

  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    if (!m_rows.contains({table, "", key})) return;
    ++m_version;
    SetRow({table, "", key}, "", true);
    m_changed.notify_all();
  }

 private:
  using Key = std::array<std::string, 3>;  // Table, part, key.
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    std::uint64_t version = 0;
    Key key;
    std::string value;
    bool removed = false;
  };

  static std::string Text(const json::value& object, const char* name) {
    const json::value* value = object.as_object().if_contains(name);
    return value == nullptr ? "" : std::string(value->as_string());
  }

  static Key KeyOf(const json::value& row) {
    return {Text(row, "table"), Text(row, "part"), Text(row, "key")};
  }

  static json::object ToJson(const Key& key, const std::string& value, std::uint64_t version) {
    return {
        {"table", key[0]}, {"part", key[1]}, {"key", key[2]}, {"value", value}, {"ver", version}};
  }

  void SetRow(const Key& key, const std::string& value, bool removed) {
    if (removed) {
      m_rows.erase(key);
    } else {
      m_rows[key] = {value, m_version};
    }
    m_changes.push_back({m_version, key, value, removed});
  }

  json::object Answer() const {
    const auto now = std::chrono::duration_cast<milliseconds>(Clock::now() - m_began).count();
    return {{"ver", m_version}, {"nowMs", now}};
  }

  std::optional<Response> Handle(const Request& request) {
    if (before && !before(request)) return Response{503, "{}"};
    const std::string path = request.Path();
    if (path == "/api/rows-tx") {
      Pause(milliseconds(5));
      return Transact(json::parse(request.body));
    }
    Pause(milliseconds(1));
    if (path == "/api/rows-get") return Get(request);
    if (path == "/api/rows-feed") return Feed(request);
    return Response{404, "{}"};
  }

  Response Transact(const json::value& call) {
    const std::lock_guard lock(m_mutex);
    json::array current;
    bool holds = true;
    for (const json::value& row : call.at("expect").as_array()) {
      const Key key = KeyOf(row);
      const auto found = m_rows.find(key);
      const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
      if (found != m_rows.end()) current.push_back(ToJson(key, found->second.value, version));
      holds &= version == row.at("ver").to_number<std::uint64_t>();
    }
    if (!holds) {
      json::object answer = Answer();
      answer["rows"] = std::move(current);
      return {412, json::serialize(answer)};
    }
    ++m_version;
    for (const json::value& row : call.at("writes").as_array()) {
      SetRow(KeyOf(row), Text(row, "value"), false);
    }
    for (const json::value& row : call.at("remove").as_array()) SetRow(KeyOf(row), "", true);
    m_changed.notify_all();
    return {200, json::serialize(Answer())};
  }

  Response Get(const Request& request) {
    const std::lock_guard lock(m_mutex);
    const std::string table = request.Query("table");
    const std::string part = request.Query("part");
    const std::string until = request.Query("target");
    const std::string limit_text = request.Query("limit");
    const std::size_t limit =
        std::min<std::size_t>(500, limit_text.empty() ? 500 : std::stoul(limit_text));
    json::array rows;
    bool truncated = false;
    for (auto at = m_rows.lower_bound({table, part, request.Query("from")}); at != m_rows.end();
         ++at) {
      if (at->first[0] != table || at->first[1] != part) break;
      if (!until.empty() && at->first[2] >= until) break;
      if (rows.size() == limit) {
        truncated = true;
        break;
      }
      rows.push_back(ToJson(at->first, at->second.value, at->second.version));
    }
    json::object answer = Answer();
    answer["rows"] = std::move(rows);
    answer["truncated"] = truncated;
    return {200, json::serialize(answer)};
  }

  Response Feed(const Request& request) {
    std::unique_lock lock(m_mutex);
    const std::string table = request.Query("table");
    const std::uint64_t after = std::stoull(request.Query("after"));
    const auto until = Clock::now() + milliseconds(std::stoll(request.Query("waitMs")));
    json::array rows;
    while (true) {
      auto change = std::upper_bound(
          m_changes.begin(), m_changes.end(), after,
          [](std::uint64_t version, const Change& other) { return version < other.version; });
      for (; change != m_changes.end(); ++change) {
        if (change->key[0] != table) continue;
        json::object row = ToJson(change->key, change->value, change->version);
        if (change->removed) row["removed"] = true;
        rows.push_back(std::move(row));
      }
      if (!rows.empty() || Clock::now() >= until) break;
      m_changed.wait_until(lock, until);
    }
    json::object answer = Answer();
    answer["rows"] = std::move(rows);
    return {200, json::serialize(answer)};
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Clock::time_point m_began = Clock::now();
  std::uint64_t m_version = 1;
  std::map<Key, Row> m_rows;
  std::vector<Change> m_changes;
  Server m_server;
};

// ---- Workers

/// What all workers have seen, for the checks of a case.
struct History {
  struct Run {
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    milliseconds began{0};
    std::optional<milliseconds> ended;
    std::string how;
    bool noted = false;  // Its end was acknowledged with `ackedUpto`.
  };

  std::mutex mutex;
  std::vector<Run> runs;
  std::vector<std::string> broken;  // What breaks the rule TWICE.

  /// @returns the runs of the tasks whose name begins with `prefix`.
  std::vector<Run> Of(const std::string& prefix) {
    const std::lock_guard lock(mutex);
    std::vector<Run> found;
    for (const Run& run : runs) {
      if (run.task.rfind(prefix, 0) == 0) found.push_back(run);
    }
    return found;
  }
};

/// How a task behaves; clients tell it in the job's spec as "ms=N how=done|failed". A task of 0 ms
/// runs until it is stopped.
struct Behavior {
  milliseconds duration{1000};
  bool fails = false;

  static Behavior Of(const std::string& spec) {
    Behavior behavior;
    if (const auto at = spec.find("ms="); at != std::string::npos) {
      behavior.duration = milliseconds(std::stoll(spec.substr(at + 3)));
    }
    behavior.fails = spec.find("how=failed") != std::string::npos;
    return behavior;
  }
};

using BehaviorHook = std::function<Behavior(const std::string& task, const std::string& spec)>;

struct WorkerOptions {
  std::string id;
  std::string service = "svc";
  std::string rack = "r1-1";
  std::string zone = "zone-a";
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 32768;
  milliseconds max_lease{6000};
  milliseconds heartbeat{1500};
  /// How tasks behave, where the spec doesn't tell.
  BehaviorHook behavior = [](const std::string&, const std::string& spec) {
    return Behavior::Of(spec);
  };
};

/// A worker at one address. `Crash` and `Restart` end its process and start another one under the
/// same id, which knows nothing of before.
class Worker {
 public:
  Worker(WorkerOptions options, Store* store, History* history, Record* record)
      : m_options(std::move(options)),
        m_store(store),
        m_history(history),
        m_record(record),
        m_server(FreePort(), [this](const Request& request) { return Handle(request); }) {
    Restart();
    m_thread = std::thread([this] { Work(); });
  }
  ~Worker() {
    m_ending = true;
    m_thread.join();
    m_server.Stop();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Called for each call before it is carried out, without a lock. Returns false to leave it
  /// without an answer and undone.
  std::function<bool(const Request&)> before;

  [[nodiscard]] const std::string& Id() const { return m_options.id; }
  [[nodiscard]] int Port() const { return m_server.Port(); }

  void Crash() {
    m_record->Line("worker " + m_options.id + " crashes");
    m_server.Stop();
    const std::lock_guard lock(m_mutex);
    m_up = false;
    for (const auto& [key, run] : m_running) EndInHistory(run, "lost");
    m_running.clear();
    m_end_known.notify_all();
  }

  void Restart() {
    {
      const std::lock_guard lock(m_mutex);
      BeginLife();
    }
    m_record->Line("worker " + m_options.id + " starts");
    m_server.Start();
  }

  /// Cuts the worker off from all instances and from the store: connections are refused. It runs
  /// on.
  void CutOff() {
    m_record->Line("worker " + m_options.id + " is cut off");
    m_cut = true;
    m_server.Stop();
  }

  /// Ends its process behind the cut and starts another one under the same id.
  void RestartBehindCut() {
    m_record->Line("worker " + m_options.id + " crashes and starts again behind the cut");
    const std::lock_guard lock(m_mutex);
    for (const auto& [key, run] : m_running) EndInHistory(run, "lost");
    BeginLife();
  }

  void Heal() {
    m_record->Line("worker " + m_options.id + " is reached again");
    m_cut = false;
    m_server.Start();
  }

  /// The entry that the worker writes about itself.
  json::object Entry() {
    const std::lock_guard lock(m_mutex);
    return EntryLocked();
  }

  /// @returns the time since it last wrote its entry.
  [[nodiscard]] milliseconds SinceHeartbeat() {
    const std::lock_guard lock(m_mutex);
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_next_heartbeat +
                                                    m_options.heartbeat);
  }

  /// Carries out a call now, on the process that runs now.
  Response CarryOut(const Request& request) {
    if (const auto expected = request.Header("x-expect-instance");
        !expected.empty() && expected != m_options.id) {
      return {421, "{}"};
    }
    const json::value body = json::parse(request.body);
    const std::string path = request.Path();
    if (path == "/api/run-start") return Start(body);
    if (path == "/api/run-stop") return Stop(body);
    if (path == "/api/hold") return Hold(body);
    return {404, "{}"};
  }

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;
  struct Running {
    std::size_t in_history = 0;
    Clock::time_point began;
    Behavior behavior;
    bool stopping = false;
  };
  struct Ended {
    std::size_t in_history = 0;
    std::uint64_t number = 0;
    RunKey key;
    std::string how;
  };

  static std::uint64_t Number(const json::value& object, const char* name) {
    const json::value* value = object.as_object().if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
  }

  void BeginLife() {
    m_up = true;
    m_started = Clock::now();
    m_born = UnixMs();
    m_fence = 0;
    m_lease = 0;
    m_sequence = 0;
    m_last_end = 0;
    m_running.clear();
    m_ended.clear();
    m_highest.clear();
    m_next_heartbeat = Clock::now();
  }

  [[nodiscard]] std::int64_t ClockMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_started).count();
  }

  json::object EntryLocked() {
    return {{"service", m_options.service},
            {"address", AddressOf(m_server.Port())},
            {"zone", m_options.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity",
             json::object{{"cpu", m_options.cpu}, {"memMb", m_options.memory_mb}, {"gpu", 0}}},
            {"labels", json::array{"a", m_options.rack}},
            {"machine", "m-" + m_options.id},
            {"born", m_born},
            {"clockMs", ClockMs()},
            {"sequence", ++m_sequence}};
  }

  std::optional<Response> Handle(const Request& request) {
    if (before && !before(request)) return std::nullopt;
    return CarryOut(request);
  }

  Response Refuse(const char* reason) {
    return {409, json::serialize(json::object{{"clockMs", ClockMs()}, {"reason", reason}})};
  }

  Response Accept() { return {200, json::serialize(json::object{{"clockMs", ClockMs()}})}; }

  void Renew(std::int64_t deadline) {
    m_lease = std::max(m_lease, std::min(deadline, ClockMs() + m_options.max_lease.count()));
  }

  Response Start(const json::value& body) {
    const std::lock_guard lock(m_mutex);
    const RunKey key{std::string(body.at("task").as_string()), Number(body, "run")};
    const std::uint64_t fence = Number(body, "fence");
    const auto deadline = static_cast<std::int64_t>(Number(body, "deadlineMs"));
    if (fence < m_fence) return Refuse("fence");
    m_fence = fence;
    if (deadline < ClockMs()) return Refuse("late");
    Renew(deadline);
    if (m_running.contains(key)) return Accept();
    if (key.second <= m_highest[key.first]) return Refuse("old");
    Running run;
    run.began = Clock::now();
    run.behavior = m_options.behavior(key.first, std::string(body.at("spec").as_string()));
    run.in_history = BeginInHistory(key);
    m_running[key] = run;
    return Accept();
  }

  Response Stop(const json::value& body) {
    const std::lock_guard lock(m_mutex);
    const RunKey key{std::string(body.at("task").as_string()), Number(body, "run")};
    const std::uint64_t fence = Number(body, "fence");
    if (fence < m_fence) return Refuse("fence");
    m_fence = fence;
    m_highest[key.first] = std::max(m_highest[key.first], key.second);
    if (const auto found = m_running.find(key); found != m_running.end()) {
      found->second.stopping = true;
    }
    return Accept();
  }

  Response Hold(const json::value& body) {
    std::unique_lock lock(m_mutex);
    const std::uint64_t fence = Number(body, "fence");
    if (fence < m_fence) return Refuse("fence");
    m_fence = fence;
    const std::uint64_t acknowledged = Number(body, "ackedUpto");
    std::erase_if(m_ended, [&](const Ended& ended) {
      if (ended.number > acknowledged) return false;
      const std::lock_guard inner(m_history->mutex);
      m_history->runs[ended.in_history].noted = true;
      return true;
    });
    if (body.as_object().contains("deadlineMs")) {
      Renew(static_cast<std::int64_t>(Number(body, "deadlineMs")));
    }
    const auto started = m_started;
    const auto until =
        Clock::now() + milliseconds(static_cast<std::int64_t>(Number(body, "waitMs")));
    while (m_ended.empty() && m_up && m_started == started && Clock::now() < until) {
      m_end_known.wait_until(lock, until);
    }
    json::array running;
    for (const auto& [key, run] : m_running) {
      running.push_back(json::array{key.first, key.second, "", Percent(run), 0});
    }
    json::array ended;
    for (const Ended& end : m_ended) {
      if (ended.size() == 500) break;
      ended.push_back(json::array{end.number, end.key.first, end.key.second, end.how, ""});
    }
    return {200, json::serialize(json::object{{"clockMs", ClockMs()},
                                              {"born", m_born},
                                              {"running", std::move(running)},
                                              {"ended", std::move(ended)}})};
  }

  static int Percent(const Running& run) {
    if (run.behavior.duration == milliseconds(0)) return 100;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - run.began);
    return static_cast<int>(std::min<std::int64_t>(99, 100 * elapsed / run.behavior.duration));
  }

  std::size_t BeginInHistory(const RunKey& key) {
    const std::lock_guard lock(m_history->mutex);
    for (const History::Run& other : m_history->runs) {
      const bool is_noted = other.how == "done" && other.noted;
      if (other.task != key.first || (other.ended && !is_noted)) continue;
      const std::string text =
          "TWICE: " + key.first + " run " + std::to_string(key.second) + " on " + m_options.id +
          " begins " + (is_noted ? "after it was taken note that" : "while") + " run " +
          std::to_string(other.run) + (is_noted ? " has ended done on " : " is running on ") +
          other.worker;
      m_history->broken.push_back(text);
      m_record->Line(text);
    }
    m_history->runs.push_back(
        {key.first, key.second, m_options.id, m_record->Now(), {}, "", false});
    m_record->Line("run " + key.first + " " + std::to_string(key.second) + " begins on " +
                   m_options.id);
    return m_history->runs.size() - 1;
  }

  void EndInHistory(const Running& run, const std::string& how) {
    const std::lock_guard lock(m_history->mutex);
    History::Run& entry = m_history->runs[run.in_history];
    entry.ended = m_record->Now();
    entry.how = how;
    m_record->Line("run " + entry.task + " " + std::to_string(entry.run) + " ends on " +
                   entry.worker + ": " + how);
  }

  // Ends what is due and writes heartbeats.
  void Work() {
    while (!m_ending) {
      std::optional<std::string> entry;
      {
        const std::lock_guard lock(m_mutex);
        if (m_up) EndDue();
        if (m_up && Clock::now() >= m_next_heartbeat) {
          m_next_heartbeat = Clock::now() + m_options.heartbeat;
          entry = json::serialize(EntryLocked());
        }
      }
      if (entry && !m_cut) m_store->Put("servers", m_options.id, *entry);
      Pause(milliseconds(5));
    }
  }

  void EndDue() {
    const bool lapsed = ClockMs() > m_lease;
    for (auto at = m_running.begin(); at != m_running.end();) {
      const Running& run = at->second;
      const bool over = run.behavior.duration > milliseconds(0) &&
                        Clock::now() >= run.began + run.behavior.duration;
      if (!lapsed && !run.stopping && !over) {
        ++at;
        continue;
      }
      std::string how = run.behavior.fails ? "failed" : "done";
      if (run.stopping) how = "stopped";
      if (lapsed) how = "lapsed";
      EndInHistory(run, how);
      m_highest[at->first.first] = std::max(m_highest[at->first.first], at->first.second);
      m_ended.push_back({run.in_history, ++m_last_end, at->first, how});
      at = m_running.erase(at);
      m_end_known.notify_all();
    }
  }

  WorkerOptions m_options;
  Store* m_store;
  History* m_history;
  Record* m_record;
  std::mutex m_mutex;
  std::condition_variable m_end_known;
  std::atomic<bool> m_ending{false};
  std::atomic<bool> m_cut{false};
  bool m_up = false;
  Clock::time_point m_started;
  Clock::time_point m_next_heartbeat;
  std::int64_t m_born = 0;
  std::uint64_t m_fence = 0;
  std::int64_t m_lease = 0;  // On its own clock.
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_end = 0;
  std::map<RunKey, Running> m_running;
  std::vector<Ended> m_ended;
  std::map<std::string, std::uint64_t> m_highest;
  Server m_server;
  std::thread m_thread;
};

// ---- Nodes

struct NodeOptions {
  std::string name;
  std::string program;  // As built by the deploy file.
  std::string folder;   // For settings and logs.
  int store_port = 0;
  std::string zone = "zone-a";
  int link_port = 0;
  std::vector<int> seeds;
  milliseconds max_lease{6000};
};

/// A node as a process of its own.
class Node {
 public:
  explicit Node(NodeOptions options) : m_options(std::move(options)) {
    if (m_options.link_port == 0) m_options.link_port = FreePort();
    m_ingress = FreePort();
    m_readiness = FreePort();
    m_metrics = FreePort();
    WriteSettings();
    Start();
  }
  ~Node() { Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  [[nodiscard]] const std::string& Name() const { return m_options.name; }
  [[nodiscard]] int Ingress() const { return m_ingress; }
  [[nodiscard]] pid_t Pid() const { return m_pid; }

  void Start() {
    const std::string log = m_options.folder + "/" + m_options.name + ".log";
    const std::string variable = "CITRONSILL_CONFIG=" + Settings();
    m_pid = fork();
    if (m_pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    char* const arguments[] = {m_options.program.data(), nullptr};
    std::string text = variable;
    char* const environment[] = {text.data(), nullptr};
    execve(m_options.program.c_str(), arguments, environment);
    _exit(127);
  }

  void Signal(int number) const {
    if (m_pid > 0) kill(m_pid, number);
  }

  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }

  [[nodiscard]] bool IsReady() const {
    const auto answer = Send(m_readiness, "GET", "/api/readiness", "x", "", milliseconds(500));
    return answer && answer->status == 200;
  }

  /// @returns whether the node is the scheduler.
  [[nodiscard]] bool Leads() const {
    const auto answer = Send(m_metrics, "GET", "/metrics", "x", "", milliseconds(500));
    return answer && answer->body.find("\ncitronsill_shards_led 1") != std::string::npos;
  }

 private:
  [[nodiscard]] std::string Settings() const {
    return m_options.folder + "/" + m_options.name + ".json";
  }

  void WriteSettings() const {
    std::ofstream out(Settings());
    out << R"({"instance": ")" << m_options.name << R"(", "failure_domain": ")" << m_options.zone
        << R"(", "region": "region-a", "ingress_address": ")" << AddressOf(m_ingress)
        << R"(", "readiness_address": ")" << AddressOf(m_readiness) << R"(", "link_address": ")"
        << AddressOf(m_options.link_port) << R"(", "metrics_address": ")" << AddressOf(m_metrics)
        << R"(", "seeds": [)";
    const char* comma = "";
    for (const int seed : m_options.seeds) {
      out << std::exchange(comma, ", ") << '"' << AddressOf(seed) << '"';
    }
    out << R"(], "processor_share": 0.25, "link_mbps": 1000.0, "worker_drain_ms": 2000, )"
        << R"("max_lease_ms": )" << m_options.max_lease.count()
        << R"(, "gang_time_ms": 3000, "keep_finished_s": 120, "drain_time_s": 6, )"
        << R"("advice_address": "", "store_address": ")" << AddressOf(m_options.store_port)
        << "\"}\n";
  }

  NodeOptions m_options;
  int m_ingress = 0;
  int m_readiness = 0;
  int m_metrics = 0;
  pid_t m_pid = 0;
};

// ---- A deployment

struct Route {
  std::string name;
  int priority = 1;
  int attempts = 3;
  double stretch = 4.0;
  int target_duration_ms = 3000;
};

/// A small deployment: the store, workers, nodes and one client.
class World {
 public:
  World(const std::string& folder, const std::string& program, const std::string& record_path)
      : record(record_path), m_folder(folder), m_program(program), store(FreePort()) {}

  Record record;

 private:
  std::string m_folder;
  std::string m_program;

 public:
  History history;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Node>> nodes;

  void AddWorkers(int count, const WorkerOptions& like = {}) {
    for (int i = 0; i < count; ++i) {
      WorkerOptions options = like;
      options.id = "i-" + std::to_string(1000 + workers.size());
      options.rack = "r1-" + std::to_string(workers.size());
      workers.push_back(std::make_unique<Worker>(options, &store, &history, &record));
    }
  }

  Worker* FindWorker(const std::string& id) {
    for (const auto& worker : workers) {
      if (worker->Id() == id) return worker.get();
    }
    return nullptr;
  }

  void Configure(const std::vector<Route>& routes) {
    json::array list;
    for (const Route& route : routes) {
      list.push_back(json::object{{"name", route.name},
                                  {"host", kHost},
                                  {"prefix", "/" + route.name + "/"},
                                  {"kind", "non_idempotent"},
                                  {"timeoutMs", 3000},
                                  {"targetDurationMs", route.target_duration_ms},
                                  {"priority", route.priority},
                                  {"service", "svc"},
                                  {"attempts", route.attempts},
                                  {"stretch", route.stretch}});
    }
    const json::object config{{"version", ++m_config_version},
                              {"routes", std::move(list)},
                              {"services", json::array{json::object{{"name", "svc"},
                                                                    {"healthPath", "/health"},
                                                                    {"maxConns", 64},
                                                                    {"protocol", "h1"},
                                                                    {"tls", false},
                                                                    {"admissionCheck", false},
                                                                    {"spare", false}}}},
                              {"limits", json::object{{"maxHeaderBytes", 16384},
                                                      {"maxBodyBytes", 262144},
                                                      {"headerTimeoutMs", 3000},
                                                      {"idleTimeoutMs", 15000}}}};
    store.Put("op", "config", json::serialize(config));
  }

  /// Starts nodes and waits until all are ready. Exits with 2 when that fails.
  void StartNodes(int count) {
    std::vector<int> links;
    for (int i = 0; i < count; ++i) links.push_back(FreePort());
    for (int i = 0; i < count; ++i) {
      NodeOptions options;
      options.name = "n-" + std::to_string(i);
      options.program = m_program;
      options.folder = m_folder;
      options.store_port = store.Port();
      options.link_port = links[static_cast<std::size_t>(i)];
      options.seeds = links;
      nodes.push_back(std::make_unique<Node>(options));
    }
    const auto until = Clock::now() + std::chrono::seconds(20);
    for (const auto& node : nodes) {
      while (!node->IsReady()) {
        if (Clock::now() > until) CannotRun("a node does not become ready");
        Pause(milliseconds(100));
      }
    }
    Pause(milliseconds(2000));
    record.Line("nodes are ready");
  }

  [[nodiscard]] Node* Leader() const {
    const auto until = Clock::now() + std::chrono::seconds(10);
    while (Clock::now() < until) {
      for (const auto& node : nodes) {
        if (node->Pid() > 0 && node->Leads()) return node.get();
      }
      Pause(milliseconds(100));
    }
    return nullptr;
  }

  /// Ends the nodes and the case. @param broken what breaks the rule; empty when it held.
  [[noreturn]] void Finish(const std::string& broken) {
    nodes.clear();
    record.Line(broken.empty() ? "the rule held" : "the rule is broken: " + broken);
    std::cout << (broken.empty() ? "held" : "broken: " + broken) << std::endl;
    std::_Exit(broken.empty() ? 0 : 1);
  }

  [[noreturn]] void CannotRun(const std::string& reason) {
    nodes.clear();
    record.Line("cannot run: " + reason);
    std::cout << "cannot run: " << reason << std::endl;
    std::_Exit(2);
  }

  /// Submits a job; repeats it like a client does until it is accepted. Exits with 2 otherwise.
  void Submit(const std::string& route, const std::string& id, const std::string& body) {
    for (int attempt = 0; attempt < 20; ++attempt) {
      const Node& node = *nodes[static_cast<std::size_t>(attempt) % nodes.size()];
      if (node.Pid() == 0) continue;
      const auto answer =
          Send(node.Ingress(), "POST", "/" + route + "/" + id, kHost, body, milliseconds(3000));
      record.Line("POST " + id + " at " + node.Name() + " -> " +
                  (answer ? std::to_string(answer->status) : "no answer"));
      if (answer && answer->status >= 200 && answer->status < 300) return;
      Pause(milliseconds(500));
    }
    CannotRun("job " + id + " is not accepted");
  }

  /// @returns the state of a job, or the status of the answer.
  std::string State(const std::string& route, const std::string& id) {
    for (const auto& node : nodes) {
      if (node->Pid() == 0) continue;
      const auto answer =
          Send(node->Ingress(), "GET", "/" + route + "/" + id, kHost, "", milliseconds(3000));
      if (!answer || answer->status == 504 || answer->status == 503) continue;
      const std::string state = answer->status == 200
                                    ? std::string(json::parse(answer->body).at("state").as_string())
                                    : std::to_string(answer->status);
      record.Line("GET " + id + " at " + node->Name() + " -> " + state);
      return state;
    }
    return "no answer";
  }

  /// Waits until the condition holds, up to `limit`.
  static bool Await(milliseconds limit, const std::function<bool()>& holds) {
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
      if (holds()) return true;
      Pause(milliseconds(20));
    }
    return holds();
  }

  static constexpr const char* kHost = "nony24.example";

 private:
  std::uint64_t m_config_version = 0;
};

/// @returns whether the disruption is played (`TROUBLE` is not 0).
inline bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
