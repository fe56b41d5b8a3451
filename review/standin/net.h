/// Small asynchronous HTTP server, HTTP client and TCP proxy on loopback for the review cases. All
/// of them run on the one thread that runs the `io_context`.
#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

inline Tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::make_address("127.0.0.1"), port};
}

/// @returns a free port below those that the system gives to outgoing connections.
inline std::uint16_t FreePort(asio::io_context& io) {
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<unsigned> ports(10000, 32000);
  for (;;) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    Tcp::acceptor acceptor(io, Tcp::v4());
    error_code error;
    acceptor.bind(Loopback(port), error);
    if (!error) return port;
  }
}

struct Request {
  std::string method;
  std::string target;
  std::string expected_instance;  ///< Header X-Expect-Instance.
  std::string body;
};

/// Answers a request. Status 0 leaves it unanswered and the connection silent.
using Reply = std::function<void(unsigned status, std::string body)>;
using Handler = std::function<void(const Request&, Reply)>;

/// Serves HTTP/1.1 on one port. Can be closed, which resets its connections, and opened again.
class Server {
 public:
  Server(asio::io_context& io, Handler handler)
      : m_acceptor(io, Loopback(FreePort(io))), m_handler(std::move(handler)) {
    Accept();
  }

  [[nodiscard]] std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  void Open() { m_is_open = true; }

  /// Resets all connections, and new ones at once until `Open`, as a port without a listener does.
  void Close() {
    m_is_open = false;
    for (const auto& session : std::set<std::shared_ptr<Session>>(m_sessions)) session->Reset();
    m_sessions.clear();
  }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(Server* owner, Tcp::socket accepted) : server(owner), socket(std::move(accepted)) {}

    Server* server;
    Tcp::socket socket;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;

    void Read() {
      request = {};
      http::async_read(socket, buffer, request,
                       [self = shared_from_this()](error_code error, std::size_t) {
                         if (error) return self->Reset();
                         self->Handle();
                       });
    }

    void Handle() {
      Request out;
      out.method = std::string(request.method_string());
      out.target = std::string(request.target());
      out.expected_instance = std::string(request["X-Expect-Instance"]);
      out.body = std::move(request.body());
      server->m_handler(out, [self = shared_from_this()](unsigned status, std::string body) {
        if (status != 0) self->Write(status, std::move(body));
      });
    }

    void Write(unsigned status, std::string body) {
      if (!socket.is_open()) return;
      response = {};
      response.version(11);
      response.result(status);
      response.set(http::field::content_type, "application/json");
      response.body() = std::move(body);
      response.prepare_payload();
      http::async_write(socket, response,
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (error) return self->Reset();
                          self->Read();
                        });
    }

    void Reset() {
      if (!socket.is_open()) return;
      error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      server->m_sessions.erase(shared_from_this());
    }
  };

  void Accept() {
    m_acceptor.async_accept([this](error_code error, Tcp::socket socket) {
      if (error) return;
      error_code ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(this, std::move(socket));
      if (m_is_open) {
        m_sessions.insert(session);
        session->Read();
      } else {
        session->Reset();
      }
      Accept();
    });
  }

  Tcp::acceptor m_acceptor;
  Handler m_handler;
  bool m_is_open = true;
  std::set<std::shared_ptr<Session>> m_sessions;
};

/// One HTTP call on a connection of its own.
/// @param done gets the status, 0 without an answer within `timeout`, and the body.
inline void Call(asio::io_context& io, std::uint16_t port, const std::string& method,
                 const std::string& target, const std::string& host, const std::string& body,
                 milliseconds timeout, std::function<void(unsigned, const std::string&)> done) {
  struct State {
    explicit State(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    std::function<void(unsigned, const std::string&)> done;
  };
  auto state = std::make_shared<State>(io);
  state->done = std::move(done);
  state->request.version(11);
  state->request.method_string(method);
  state->request.target(target);
  state->request.set(http::field::host, host);
  state->request.set("X-Deadline-Ms", std::to_string(timeout.count()));
  if (!body.empty()) {
    state->request.set(http::field::content_type, "application/json");
    state->request.body() = body;
  }
  state->request.prepare_payload();
  state->stream.expires_after(timeout);
  state->stream.async_connect(Loopback(port), [state](error_code connect_error) {
    if (connect_error) return state->done(0, "");
    http::async_write(state->stream, state->request, [state](error_code error, std::size_t) {
      if (error) return state->done(0, "");
      http::async_read(state->stream, state->buffer, state->response,
                       [state](error_code failed, std::size_t) {
                         if (failed) return state->done(0, "");
                         state->done(state->response.result_int(), state->response.body());
                       });
    });
  });
}

/// Forwards the connections between nodes. Each node is reached through a proxy of its own, and
/// says its name in the first message of a connection. Connections from or to a node that is cut
/// off fall silent, as behind a partition.
class Proxy {
 public:
  /// @param name name of the node that is reached.
  /// @param cut_off names of the nodes that are cut off.
  Proxy(asio::io_context& io, std::uint16_t target, std::string name,
        const std::set<std::string>& cut_off)
      : m_io(io),
        m_acceptor(io, Loopback(FreePort(io))),
        m_target(target),
        m_name(std::move(name)),
        m_cut_off(cut_off) {
    Accept();
  }

  [[nodiscard]] std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  /// Closes the connections, as the time-outs of a partition do.
  void CloseAll() {
    for (const auto& pair : m_pairs) pair->Close();
    m_pairs.clear();
  }

 private:
  struct Pair : std::enable_shared_from_this<Pair> {
    Pair(Proxy* owner, Tcp::socket accepted)
        : proxy(owner), near(std::move(accepted)), far(owner->m_io) {}

    Proxy* proxy;
    Tcp::socket near;
    Tcp::socket far;
    std::string first;  // First message of the node that connects.
    std::string to_far = std::string(16384, '\0');
    std::string to_near = std::string(16384, '\0');

    [[nodiscard]] bool IsCut() const {
      const auto& names = proxy->m_cut_off;
      if (names.contains(proxy->m_name)) return true;
      return std::any_of(names.begin(), names.end(), [this](const std::string& name) {
        return first.find(name) != std::string::npos;
      });
    }

    void Begin() {
      near.async_read_some(asio::buffer(to_far),
                           [self = shared_from_this()](error_code error, std::size_t bytes) {
                             if (error) return self->Close();
                             self->first = self->to_far.substr(0, bytes);
                             if (!self->IsCut()) self->Connect();
                           });
    }

    void Connect() {
      far.async_connect(Loopback(proxy->m_target), [self = shared_from_this()](error_code error) {
        if (error) return self->Close();
        error_code ignored;
        self->far.set_option(Tcp::no_delay(true), ignored);
        self->Forward(&self->near, &self->far, &self->to_far, self->first.size());
        self->Pump(&self->far, &self->near, &self->to_near);
      });
    }

    void Pump(Tcp::socket* from, Tcp::socket* to, std::string* buffer) {
      from->async_read_some(asio::buffer(*buffer), [self = shared_from_this(), from, to, buffer](
                                                       error_code error, std::size_t bytes) {
        if (self->IsCut()) return;
        if (error) return self->Close();
        self->Forward(from, to, buffer, bytes);
      });
    }

    void Forward(Tcp::socket* from, Tcp::socket* to, std::string* buffer, std::size_t bytes) {
      asio::async_write(
          *to, asio::buffer(buffer->data(), bytes),
          [self = shared_from_this(), from, to, buffer](error_code error, std::size_t) {
            if (self->IsCut()) return;
            if (error) return self->Close();
            self->Pump(from, to, buffer);
          });
    }

    void Close() {
      error_code ignored;
      near.close(ignored);
      far.close(ignored);
    }
  };

  void Accept() {
    m_acceptor.async_accept([this](error_code error, Tcp::socket socket) {
      if (error) return;
      error_code ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      auto pair = std::make_shared<Pair>(this, std::move(socket));
      m_pairs.insert(pair);
      pair->Begin();
      Accept();
    });
  }

  asio::io_context& m_io;
  Tcp::acceptor m_acceptor;
  std::uint16_t m_target;
  std::string m_name;
  const std::set<std::string>& m_cut_off;
  std::set<std::shared_ptr<Pair>> m_pairs;
};

}  // namespace review
