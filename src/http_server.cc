#include "citronsill/http.h"
#include "internal.h"

namespace citronsill {

namespace http = beast::http;

namespace {

using Clock = std::chrono::steady_clock;
// After a refusal, this many bytes are read and dropped for at most this long, because closing a
// connection with unread data discards the answer that was just sent.
constexpr std::chrono::seconds kLingerTimeout{1};
constexpr std::size_t kMaxLingerBytes = 4 * kMaxHttpBodyBytes;

struct Session {
  Session(Tcp::socket socket, asio::ssl::context* tls) : channel(std::move(socket), tls) {}
  HttpChannel channel;
  beast::flat_buffer buffer;
  std::atomic<bool> silenced{false};
};

HttpResponse ErrorResponse(unsigned status, schema::Code code, const std::string& message) {
  schema::Answer answer;
  answer.set_state(schema::STATE_REFUSED);
  answer.set_code(code);
  answer.set_message(message);
  answer.set_not_run(true);
  HttpResponse response;
  response.status = status;
  response.body = ToJson(answer);
  return response;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(Runtime& runtime, HttpServerOptions server_options, HttpHandler request_handler)
      : context(runtime.Context()),
        acceptor(context),
        options(std::move(server_options)),
        handler(std::move(request_handler)) {}

  asio::io_context& context;
  Tcp::acceptor acceptor;
  HttpServerOptions options;
  HttpHandler handler;
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<Session>> sessions;
  std::shared_ptr<asio::ssl::context> tls;

  Result<void> Listen() {
    BOOST_OUTCOME_TRY(auto endpoint, ParseAddress(options.address));
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor.bind(endpoint, error);
    if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return Error{schema::CODE_SETTINGS_INVALID,
                   "cannot listen on " + options.address + ": " + error.message()};
    }
    return Success();
  }

  Task<void> Accept() {
    while (acceptor.is_open()) {
      boost::system::error_code error;
      Tcp::socket socket(asio::make_strand(context));
      co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        // Out of descriptors: waiting avoids a busy loop on accept.
        co_await Sleep(std::chrono::milliseconds(50));
        continue;
      }
      Add(std::move(socket));
    }
  }

  void Add(Tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto executor = socket.get_executor();
    auto session = std::make_shared<Session>(std::move(socket), tls.get());
    {
      std::lock_guard lock(mutex);
      if (sessions.size() >= options.max_connections) return;
      sessions.insert(session);
    }
    asio::co_spawn(
        executor,
        [self = shared_from_this(), session]() -> Task<void> {
          co_await self->Serve(session);
          std::lock_guard lock(self->mutex);
          self->sessions.erase(session);
        },
        asio::detached);
  }

  Task<void> Serve(std::shared_ptr<Session> session) {
    HttpChannel& channel = session->channel;
    channel.Lowest().expires_after(options.read_timeout);
    boost::system::error_code error = co_await channel.HandshakeAsServer();
    bool first = true;
    while (!error) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(options.max_body_bytes);
      parser.header_limit(kMaxHttpHeaderBytes);
      // An idle connection may wait longer than a request that has begun may take.
      channel.Lowest().expires_after(first ? options.read_timeout : options.idle_timeout);
      first = false;
      error = co_await channel.ReadHeader(session->buffer, parser);
      if (!error) {
        channel.Lowest().expires_after(options.read_timeout);
        error = co_await channel.Read(session->buffer, parser);
      }
      if (error) {
        co_await Reject(session, error);
        break;
      }
      const bool keep_alive = parser.get().keep_alive();
      HttpResponse response = co_await Handle(parser.release());
      if (session->silenced) {
        co_await Sleep(std::chrono::hours(1));
        break;
      }
      if (!co_await Write(session, response, keep_alive)) break;
    }
    boost::system::error_code ignored;
    channel.Lowest().socket().shutdown(Tcp::socket::shutdown_both, ignored);
    channel.Lowest().close();
  }

  Task<void> Reject(const std::shared_ptr<Session>& session, boost::system::error_code error) {
    if (error == http::error::end_of_stream || error == http::error::partial_message ||
        error == asio::error::eof || error == beast::error::timeout ||
        error == asio::error::connection_reset) {
      co_return;
    }
    const bool too_large = error == http::error::body_limit || error == http::error::header_limit;
    const auto response =
        too_large ? ErrorResponse(413, schema::CODE_TOO_LARGE, "the message is too large")
                  : ErrorResponse(400, schema::CODE_MALFORMED, "not HTTP: " + error.message());
    co_await Write(session, response, false);
    co_await Linger(session->channel.Lowest());
  }

  Task<void> Linger(beast::tcp_stream& stream) {
    boost::system::error_code error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    stream.expires_after(kLingerTimeout);
    std::array<char, 4096> dropped{};
    for (std::size_t total = 0; total < kMaxLingerBytes && !error;) {
      total += co_await stream.async_read_some(asio::buffer(dropped),
                                               asio::redirect_error(asio::use_awaitable, error));
    }
  }

  Task<HttpResponse> Handle(http::request<http::string_body> message) {
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.accept = std::string(message[http::field::accept]);
    request.body = std::move(message.body());
    auto start = [this,
                  request = std::move(request)](std::function<void(Result<HttpResponse>)> done) {
      handler(request, [done](HttpResponse response) { done(std::move(response)); });
    };
    auto result = co_await AwaitResult<HttpResponse>(std::move(start));
    co_return std::move(result).value();
  }

  Task<bool> Write(const std::shared_ptr<Session>& session, const HttpResponse& response,
                   bool keep_alive) {
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    message.set(http::field::server, "citronsill");
    message.set(http::field::content_type, response.content_type);
    if (response.retry_after) {
      // Retry-After has whole seconds; rounding up keeps callers from coming back too early.
      const auto seconds = std::chrono::ceil<std::chrono::seconds>(*response.retry_after);
      message.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    message.keep_alive(keep_alive);
    message.body() = response.body;
    message.prepare_payload();
    session->channel.Lowest().expires_after(kHttpWriteTimeout);
    const boost::system::error_code error = co_await session->channel.Write(message);
    co_return !error && keep_alive;
  }
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(Runtime& runtime, HttpServerOptions options,
                                                       HttpHandler handler) {
  auto impl = std::make_shared<Impl>(runtime, std::move(options), std::move(handler));
  if (!impl->options.tls_certificate_file.empty()) {
    BOOST_OUTCOME_TRY(
        impl->tls, MakeServerTls(impl->options.tls_certificate_file, impl->options.tls_key_file));
  }
  BOOST_OUTCOME_TRY(impl->Listen());
  asio::co_spawn(
      impl->context, [impl]() -> Task<void> { co_await impl->Accept(); }, asio::detached);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer() { Close(); }

std::uint16_t HttpServer::Port() const { return m_impl->acceptor.local_endpoint().port(); }

void HttpServer::Close() {
  asio::post(m_impl->context, [impl = m_impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
}

void HttpServer::SilenceOpenConnections() {
  std::lock_guard lock(m_impl->mutex);
  for (const auto& session : m_impl->sessions) session->silenced = true;
}

}  // namespace citronsill
