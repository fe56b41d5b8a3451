/// HTTP/1.1 server and client based on Boost.Asio and the parsers of Boost.Beast, with limits and
/// deadlines for every step.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citronsill/config.h"
#include "citronsill/connection_budget.h"
#include "citronsill/listen.h"
#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::string authorization;  ///< Value of the Authorization header.
  std::string accept;         ///< Value of the Accept header.
  std::string host;  ///< Value of the Host header; a client's default is the server's address.
  /// Other headers: all others that a client sends; for a server, those named in
  /// `forwarded_headers`.
  std::vector<std::pair<std::string, std::string>> headers;

  /// @returns the value of a header in `headers`, or an empty string. @param name in the same case
  /// as in `headers`.
  [[nodiscard]] const std::string& Header(const std::string& name) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::optional<std::chrono::milliseconds> retry_after;
};

using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;
/// Builds the response to a message that cannot be parsed.
using HttpReject = std::function<HttpResponse(unsigned status, const Error& error)>;

/// Limits on the requests to a server.
struct HttpLimits {
  /// Header, chunk extensions and trailers of a request together.
  std::size_t max_header_bytes = kMaxHttpHeaderBytes;
  std::size_t max_body_bytes = kMaxHttpBodyBytes;
  std::chrono::milliseconds read_timeout = kHttpReadTimeout;  ///< From the first byte of a request.
  std::chrono::milliseconds idle_timeout = kHttpIdleTimeout;  ///< Between two requests.
};

/// Why a connection ended before the response to its request was complete.
enum class HttpAbortReason {
  kPeerClosed,   ///< The client closed the connection, or the connection was lost.
  kDeadline,     ///< The client did not send its request or read the response in time.
  kShutdown,     ///< The process is shutting down.
  kConnections,  ///< Too many connections were open; nothing was read.
};

/// @returns the name of `reason` for logs and metrics.
const char* HttpAbortReasonName(HttpAbortReason reason);

/// A connection that ended before the response to its request was complete.
struct HttpAbort {
  HttpAbortReason reason{};
  bool was_read = false;       ///< The whole request had been read.
  bool was_answering = false;  ///< Part of the response may have been sent.
  bool draining = false;       ///< The server was draining.
  std::string method;          ///< Empty, like `target`, if the request was not read completely.
  std::string target;
  std::chrono::milliseconds age{0};  ///< Since the first byte of the request.
};

/// Called when a client, or a server that is called, exceeds a limit. @param limit one of a fixed
/// set: "header" (headers, chunk extensions and trailers), "body", "connections",
/// "evicted-refused", "evicted-abandoned", "evicted-idle", "evicted-slow", "evicted-unread",
/// "evicted-unfinished"; of a client "header", "body", "answers".
using HttpOnLimit = std::function<void(std::string_view limit)>;

struct HttpServerOptions {
  std::string address;  ///< IP:port; port 0 selects a free port.
  /// A further connection replaces one that is not being answered; without one, it is closed.
  std::size_t max_connections = kMaxHttpConnections;
  /// Budget of the process, which may be shared with other servers; null for one without limit.
  std::shared_ptr<ConnectionBudget> budget;
  /// What the system holds for a connection counts towards the budget like the connection itself.
  ListenOptions listen;
  HttpOnLimit on_limit;  ///< May be empty.
  HttpLimits limits;
  std::string tls_certificate_file;            ///< PEM; TLS is used when set.
  std::string tls_key_file;                    ///< PEM.
  std::vector<std::string> forwarded_headers;  ///< Headers for `HttpRequest::headers`.
  HttpReject reject;  ///< By default, returns a JSON object with code and message.
  /// Status of the answer to a request that is refused before it was read whole, because
  /// connections hold too much memory. 503 where that means that it had no effect and may be
  /// repeated, and nothing about earlier calls.
  unsigned refused_status = 503;
  std::function<void(const HttpAbort&)> on_abort;  ///< May be empty.
};

class HttpServer {
 public:
  /// @param handler is called on the runtime's threads and must reply exactly once, at any later
  /// time.
  /// @returns CODE_INVALID_FIELD for an invalid address; CODE_SETTINGS_INVALID if the address
  /// cannot be used or TLS is not enabled; CODE_SETTINGS_UNREADABLE for an unusable certificate or
  /// key.
  static Result<std::unique_ptr<HttpServer>> Create(Runtime& runtime, HttpServerOptions options,
                                                    HttpHandler handler);
  ~HttpServer();

  /// @returns the port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// Sets the limits of further requests; a request that has begun keeps its limits.
  void SetLimits(const HttpLimits& limits);

  /// Stops accepting connections; open ones stay open.
  void Close();

  /// From now on every response asks the client to close the connection. Idle connections stay open
  /// until their next response, because a client may be sending on them; new connections are
  /// accepted.
  void Drain();

  /// Reports requests without a complete response to `on_abort`, with reason `kShutdown`.
  /// @param done is called after that, provided that the runtime has one thread; the process may
  /// then exit.
  void ReportIncompleteRequests(std::function<void()> done);

  /// @returns the number of open connections.
  [[nodiscard]] std::size_t Connections() const;

  /// Sends no more responses on connections that are open now, without closing them; new
  /// connections work. For stand-ins that simulate silent connections.
  void BlackholeOpenConnections();

 private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

struct HttpClientOptions {
  std::string address;  ///< IP:port.
  std::size_t max_connections = 4;
  std::size_t max_waiting = 1024;  ///< Calls that wait for a connection; further ones are rejected.
  /// A connection that was not used for this long is closed instead of being used again.
  std::chrono::milliseconds max_idle = kHttpIdleTimeout;
  std::string tls_ca_file;                             ///< PEM; TLS is used when set.
  std::size_t max_answer_bytes = kMaxHttpAnswerBytes;  ///< Of the body.
  /// Budget of the answers that have not arrived whole; null for one without limit. The call whose
  /// answer holds most fails.
  std::shared_ptr<ConnectionBudget> budget;
  HttpOnLimit on_limit;  ///< May be empty.
};

/// How long a call with a large answer may take: how long the server may stay silent does not say
/// how long a transfer lasts that goes on. All in all, an answer has `kMaxHttpAnswerTime`.
struct HttpCallTime {
  std::chrono::milliseconds first{0};  ///< From the call until the answer begins to arrive.
  std::chrono::milliseconds pause{0};  ///< Then between two parts of it.
  /// Called when a part of an answer with a status of success has arrived, and more of it follows.
  /// May be empty.
  std::function<void()> on_part;
};

/// A pool of connections to one address. Every call has a deadline; a connection whose call missed
/// it is closed and not reused, and neither are those that have not been used since that call was
/// made: they may have fallen silent together.
class HttpClient {
 public:
  /// @returns CODE_INVALID_FIELD for an invalid address; CODE_SETTINGS_INVALID if TLS is not
  /// enabled; CODE_SETTINGS_UNREADABLE for an unusable CA file.
  static Result<std::unique_ptr<HttpClient>> Create(Runtime& runtime, HttpClientOptions options);
  ~HttpClient();

  /// Sends `request` and calls `done` once: with the response, or with CODE_TIMEOUT,
  /// CODE_CONNECTION_CLOSED, CODE_PEER_UNREACHABLE or CODE_OVERLOADED.
  /// @remarks A call that failed may have taken effect unless the error is CODE_OVERLOADED or
  /// CODE_PEER_UNREACHABLE: then nothing was sent.
  void Send(HttpRequest request, std::chrono::milliseconds timeout,
            std::function<void(Result<HttpResponse>)> done);
  /// The same for a call whose answer may take longer than the server may stay silent.
  void Send(HttpRequest request, HttpCallTime time, std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Makes TLS available to servers and clients of this process. Programs that do not call it do not
/// link a TLS library; options that name TLS files are then rejected.
void EnableHttpTls();

}  // namespace citronsill
