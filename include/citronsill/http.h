/// HTTP/1.1 server and client over Boost.Beast, with limits and deadlines on every step.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

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
};

struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::optional<std::chrono::milliseconds> retry_after;
};

using HttpReply = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

struct HttpServerOptions {
  std::string address;  ///< IP:port; port 0 takes a free one.
  std::size_t max_connections = kMaxHttpConnections;
  std::size_t max_body_bytes = kMaxHttpBodyBytes;
  std::chrono::milliseconds read_timeout = kHttpReadTimeout;  ///< For a request that has begun.
  std::chrono::milliseconds idle_timeout = kHttpIdleTimeout;  ///< Between two requests.
  std::string tls_certificate_file;                           ///< PEM; TLS is used when set.
  std::string tls_key_file;                                   ///< PEM.
};

class HttpServer {
 public:
  /// @param handler is called on the runtime's threads and replies exactly once, at any later time.
  static Result<std::unique_ptr<HttpServer>> Create(Runtime& runtime, HttpServerOptions options,
                                                    HttpHandler handler);
  ~HttpServer();

  /// @returns the port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// Takes no new connections; open ones go on.
  void Close();

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

}  // namespace citronsill
