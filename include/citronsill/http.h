/// HTTP/1.1 server and client over Boost.Asio and the parsers of Boost.Beast, with limits and
/// deadlines on every step.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/config.h"
#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::string authorization;  ///< Value of the Authorization header.
  std::string accept;         ///< Value of the Accept header.
  std::string host;           ///< Value of the Host header; a client's default is its address.
  /// Further headers: of a client's request all, of a server's those in `keep_headers`.
  std::vector<std::pair<std::string, std::string>> headers;

  /// @returns the value of a further header, empty when there is none. @param name in the case that
  /// was used to add or to keep it.
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
/// Makes the answer to a message that cannot be read.
using HttpReject = std::function<HttpResponse(unsigned status, const Error& error)>;

/// Limits of the requests that a server takes.
struct HttpLimits {
  std::size_t max_header_bytes = kMaxHttpHeaderBytes;
  std::size_t max_body_bytes = kMaxHttpBodyBytes;
  std::chrono::milliseconds read_timeout = kHttpReadTimeout;  ///< For a request that has begun.
  std::chrono::milliseconds idle_timeout = kHttpIdleTimeout;  ///< Between two requests.
};

/// Why a connection ended before its request was answered as a whole.
enum class HttpCutReason {
  kPeerClosed,   ///< The client, or the way to it.
  kDeadline,     ///< The client did not read the answer, or send its request, in time.
  kShutdown,     ///< The process ends.
  kConnections,  ///< There were too many connections; nothing was read.
};

/// @returns the name for logs and metrics.
const char* HttpCutReasonName(HttpCutReason reason);

/// A connection that ended before its request was answered as a whole.
struct HttpCut {
  HttpCutReason reason{};
  bool was_read = false;       ///< The whole request had been read.
  bool was_answering = false;  ///< A part of the answer may have been sent.
  bool draining = false;       ///< The server asked its clients to leave.
  std::string method;          ///< Empty until the request was read, as is the target.
  std::string target;
  std::chrono::milliseconds age{0};  ///< Since the first byte of the request.
};

struct HttpServerOptions {
  std::string address;  ///< IP:port; port 0 takes a free one.
  std::size_t max_connections = kMaxHttpConnections;
  HttpLimits limits;
  std::string tls_certificate_file;       ///< PEM; TLS is used when set.
  std::string tls_key_file;               ///< PEM.
  std::vector<std::string> keep_headers;  ///< Headers that handlers get besides the named ones.
  HttpReject reject;                      ///< By default, a JSON object with code and message.
  std::function<void(const HttpCut&)> on_cut;  ///< May be empty.
};

class HttpServer {
 public:
  /// @param handler is called on the runtime's threads and replies exactly once, at any later time.
  static Result<std::unique_ptr<HttpServer>> Create(Runtime& runtime, HttpServerOptions options,
                                                    HttpHandler handler);
  ~HttpServer();

  /// @returns the port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// From now on requests have these limits; one that has begun keeps those that it began with.
  void SetLimits(const HttpLimits& limits);

  /// Takes no new connections; open ones go on.
  void Close();

  /// From now on every response asks its client to close the connection. Idle connections stay open
  /// until their next response, because a client may be sending on them; new ones are still taken.
  void Drain();

  /// Reports requests that have no whole answer as cut by the end of the process.
  /// @param done is called after that, with a runtime of one thread; the process may end then.
  void ReportUnanswered(std::function<void()> done);

  /// @returns the number of open connections.
  [[nodiscard]] std::size_t Connections() const;

  /// While set, connections that are open stay open but get no bytes; new ones work. For stand-ins
  /// that bring about silent connections.
  void SilenceOpenConnections();

 private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

struct HttpClientOptions {
  std::string address;  ///< IP:port.
  std::size_t max_connections = 4;
  std::size_t max_waiting = 1024;  ///< Calls that wait for a connection; more are refused.
  std::string tls_ca_file;         ///< PEM; TLS is used when set.
};

/// A pool of connections to one address. Every call has a deadline; a connection that missed one is
/// closed and not used again.
class HttpClient {
 public:
  static Result<std::unique_ptr<HttpClient>> Create(Runtime& runtime, HttpClientOptions options);
  ~HttpClient();

  /// Sends `request` and calls `done` once: with the response, or with CODE_TIMEOUT,
  /// CODE_CONNECTION_CLOSED, CODE_PEER_UNREACHABLE or CODE_OVERLOADED.
  /// @remarks A call that failed may have taken effect unless the error is CODE_OVERLOADED or
  /// CODE_PEER_UNREACHABLE: then nothing was sent.
  void Send(HttpRequest request, std::chrono::milliseconds timeout,
            std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Makes TLS available to servers and clients of this process. Programs that do not call it link no
/// TLS library; options that name TLS files are then refused.
void EnableHttpTls();

}  // namespace citronsill
