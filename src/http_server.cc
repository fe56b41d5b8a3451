#include <poll.h>

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <mutex>
#include <optional>
#include <unordered_set>

#include "citronsill/guard.h"
#include "citronsill/http.h"
#include "http_stream.h"

namespace citronsill {

namespace http = beast::http;
using boost::system::error_code;

namespace {

using Clock = std::chrono::steady_clock;
using RequestParser = http::request_parser<http::string_body>;

constexpr std::size_t kReadChunkBytes = 4096;
// A line before a chunk without an extension is shorter. It does not count against the limit of the
// header.
constexpr std::size_t kMaxChunkLineBytes = 24;
// Retry-After of requests that are refused because connections hold too much memory.
constexpr std::chrono::milliseconds kRefusedRetryAfter{1000};
// How often the deadlines of connections are checked.
constexpr std::chrono::milliseconds kSweepPeriod{500};
// Wait after a failed accept. Without it, accept would spin while out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetry{50};
// How often clients that have left are looked for while there is no room for new connections.
constexpr std::chrono::milliseconds kAbandonedCheckPeriod{100};
// After a rejection, at most this many bytes are read and discarded, for at most this long, because
// closing a connection with unread data discards the response that was just sent.
constexpr std::chrono::seconds kLingerTimeout{1};
constexpr std::size_t kMaxLingerBytes = 4 * kMaxHttpBodyBytes;

HttpResponse DefaultReject(unsigned status, const Error& error) {
  HttpResponse response;
  response.status = status;
  response.body =
      R"({"code":")" + schema::Code_Name(error.code) + R"(","message":")" + error.message + R"("})";
  return response;
}

// @returns whether the peer has closed its side of the connection, also when bytes are unread.
bool HasPeerLeft(Tcp::socket& socket) {
  pollfd entry{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0;
}

std::string Serialize(const HttpResponse& response, bool keep_alive) {
  std::string text;
  text.reserve(160 + response.body.size());
  text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  text.append(http::obsolete_reason(static_cast<http::status>(response.status)));
  text.append("\r\nContent-Type: ").append(response.content_type);
  if (response.retry_after) {
    // Retry-After is in whole seconds; rounding up keeps callers from retrying too early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*response.retry_after);
    text.append("\r\nRetry-After: ").append(std::to_string(seconds.count()));
  }
  if (!keep_alive) text.append("\r\nConnection: close");
  text.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
  text.append("\r\n\r\n").append(response.body);
  return text;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  enum class Phase { kHandshake, kIdle, kReading, kHandling, kWriting, kLingering };

  // One connection. Its members are used on its strand only.
  struct Session {
    std::unique_ptr<HttpStream> stream;
    beast::flat_buffer buffer;
    std::optional<RequestParser> parser;
    std::shared_ptr<const HttpLimits> limits;  // Limits of the request that is being read.
    std::string out;
    Phase phase = Phase::kHandshake;
    SteadyTime deadline = SteadyTime::max();
    bool keep_alive = true;
    bool silenced = false;
    bool expired = false;         // Closed because it missed its deadline.
    bool abort_reported = false;  // Its end without a complete response was reported.
    SteadyTime began{};           // When the first byte of the request arrived.
    std::string method;
    std::string target;
    std::size_t lingered_bytes = 0;
    // Bytes of the header, of chunk extensions and of trailers that the parser has taken.
    std::size_t header_bytes = 0;
    std::function<void(std::uint64_t, std::string_view, error_code&)> on_chunk_header;
    std::unique_ptr<ConnectionBudget::Share> share;
    bool refused = false;  // Evicted; its request is not handled.
    bool ended = false;    // No longer among the sessions.
  };
  using SessionPtr = std::shared_ptr<Session>;

  Impl(Runtime& runtime, HttpServerOptions server_options, HttpHandler request_handler)
      : context(runtime.Context()),
        acceptor(context),
        accept_retry_timer(context),
        sweep_timer(context),
        options(std::move(server_options)),
        handler(std::move(request_handler)) {
    if (!options.reject) options.reject = DefaultReject;
    limits = std::make_shared<const HttpLimits>(options.limits);
    if (!options.budget) {
      options.budget = std::make_shared<ConnectionBudget>(ConnectionBudgetLimits{});
    }
    group->max_connections = options.max_connections;
  }

  asio::io_context& context;
  Tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  asio::steady_timer sweep_timer;
  HttpServerOptions options;
  HttpHandler handler;
  HttpStreamFactory make_stream;
  std::atomic<std::shared_ptr<const HttpLimits>> limits;
  std::atomic<bool> draining{false};
  std::shared_ptr<ConnectionGroup> group = std::make_shared<ConnectionGroup>();
  std::atomic<std::size_t> count{0};  // Size of `sessions`, readable without the mutex.
  std::mutex mutex;
  std::unordered_set<SessionPtr> sessions;
  SteadyTime next_abandoned_check{};

  void Accept() {
    acceptor.async_accept(asio::make_strand(context),
                          [self = shared_from_this()](error_code error, Tcp::socket socket) {
                            if (error == asio::error::operation_aborted) return;
                            if (error) return self->AcceptLater();
                            self->AddSession(std::move(socket));
                            self->Accept();
                          });
  }

  void AcceptLater() {
    accept_retry_timer.expires_after(kAcceptRetry);
    accept_retry_timer.async_wait([self = shared_from_this()](error_code) {
      if (self->acceptor.is_open()) self->Accept();
    });
  }

  void AddSession(Tcp::socket socket) {
    error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>();
    session->stream = make_stream(std::move(socket));
    session->share = options.budget->Join(
        group, IdleBytes(), Clock::now(),
        [weak_self = weak_from_this(), weak = std::weak_ptr(session)](const Eviction& eviction) {
          if (const SessionPtr evicted = weak.lock(); evicted) {
            asio::dispatch(evicted->stream->Socket().get_executor(),
                           [weak_self, evicted, eviction] {
                             if (const auto self = weak_self.lock(); self) {
                               self->OnEvict(evicted, eviction);
                             }
                           });
          }
        });
    if (!session->share) {
      ReportLimit("connections");
      FindAbandoned();
      return ReportAbort(session, HttpAbortReason::kConnections);
    }
    {
      std::lock_guard lock(mutex);
      sessions.insert(session);
      count = sessions.size();
    }
    asio::dispatch(session->stream->Socket().get_executor(), [self = shared_from_this(), session] {
      const std::chrono::milliseconds timeout = self->limits.load()->read_timeout;
      session->deadline = Clock::now() + timeout;
      session->stream->Handshake([self, session, timeout](error_code error) {
        if (error || session->ended) return self->EndSession(session);
        // The first request must follow soon; later ones have the idle timeout.
        self->StartRequest(session, timeout);
      });
    });
  }

  // Lets the connections make room whose clients have left. Until the answer is written, nothing
  // else shows that.
  void FindAbandoned() {
    const SteadyTime now = Clock::now();
    if (now < next_abandoned_check) return;
    next_abandoned_check = now + kAbandonedCheckPeriod;
    ForEachSession([self = shared_from_this(), now](const SessionPtr& session) {
      if (session->ended || session->phase != Phase::kHandling) return;
      if (!HasPeerLeft(session->stream->Socket())) return;
      if (session->share->Set(ConnectionState::kAbandoned, self->HeldBytes(*session), now)) return;
      session->abort_reported = true;
      self->EndSession(session);
    });
  }

  void StartRequest(const SessionPtr& session, std::chrono::milliseconds timeout) {
    session->phase = Phase::kIdle;
    const SteadyTime now = Clock::now();
    session->deadline = now + timeout;
    session->parser.reset();
    // The buffer of a large header and a large answer are not kept while the connection is idle.
    if (session->buffer.capacity() > 2 * kReadChunkBytes) session->buffer.shrink_to_fit();
    if (session->out.capacity() > kReadChunkBytes) session->out = std::string();
    if (!session->share->Set(ConnectionState::kIdle, HeldBytes(*session), now)) {
      return EndSession(session);
    }
    if (session->buffer.size() > 0) return Parse(session);
    Read(session);
  }

  void Read(const SessionPtr& session) {
    session->stream->ReadSome(
        session->buffer.prepare(kReadChunkBytes),
        [self = shared_from_this(), session](error_code error, std::size_t bytes) {
          if (error || session->ended) return self->EndSession(session);
          // The connection was evicted while it was being read from.
          if (session->refused) return self->Linger(session);
          session->buffer.commit(bytes);
          self->Parse(session);
        });
  }

  // @returns memory of a connection without a request.
  [[nodiscard]] std::size_t IdleBytes() const {
    return kHttpConnectionBytes + options.listen.MaxUnreadBytes();
  }

  // @returns memory of a connection, without that of its handler.
  [[nodiscard]] std::size_t HeldBytes(const Session& session) const {
    std::size_t bytes = IdleBytes() + session.out.capacity() + session.target.capacity();
    // What an idle connection was sent, its client has usually read.
    if (session.phase != Phase::kIdle) bytes += options.listen.MaxUnsentBytes();
    if (const std::size_t buffer = session.buffer.capacity(); buffer > kReadChunkBytes) {
      bytes += buffer - kReadChunkBytes;
    }
    if (session.parser) {
      bytes += session.parser->get().body().capacity() + kHttpFieldFactor * session.header_bytes;
    }
    return bytes;
  }

  // Uses the limits at the first byte of the request, not those at the end of the previous one.
  void BeginRequest(const SessionPtr& session) {
    session->limits = limits.load();
    session->phase = Phase::kReading;
    session->began = Clock::now();
    session->method.clear();
    session->target.clear();
    session->deadline = session->began + session->limits->read_timeout;
    session->header_bytes = 0;
    session->parser.emplace();
    session->parser->body_limit(session->limits->max_body_bytes);
    session->parser->header_limit(static_cast<std::uint32_t>(session->limits->max_header_bytes));
  }

  void Parse(const SessionPtr& session) {
    if (session->phase == Phase::kIdle) BeginRequest(session);
    error_code error;
    while (!session->parser->is_done() && session->buffer.size() > 0) {
      const bool had_header = session->parser->is_header_done();
      const std::size_t used = session->parser->put(session->buffer.data(), error);
      session->buffer.consume(used);
      if (!had_header) {
        session->header_bytes += used;
        if (session->parser->is_header_done() && session->parser->chunked()) CountChunks(session);
      }
      if (error == http::error::need_more) return ReadMore(session);
      if (error) return Reject(session, error);
      if (used == 0) break;
    }
    if (!session->parser->is_done()) return ReadMore(session);
    Handle(session);
  }

  // Counts the extensions of chunks, which the parser does not limit.
  static void CountChunks(const SessionPtr& session) {
    session->on_chunk_header = [raw = session.get()](std::uint64_t, std::string_view extension,
                                                     error_code& error) {
      raw->header_bytes += extension.size();
      if (raw->header_bytes > raw->limits->max_header_bytes) error = http::error::header_limit;
    };
    session->parser->on_chunk_header(session->on_chunk_header);
  }

  // Reads more of a request within the limits. What is in the buffer could not be parsed yet: part
  // of the header, of the line before a chunk, or of the trailers. The parser takes these only when
  // they are whole, and sets no limit for the latter two.
  void ReadMore(const SessionPtr& session) {
    const std::size_t unparsed = session->buffer.size();
    if (unparsed > kMaxChunkLineBytes &&
        session->header_bytes + unparsed > session->limits->max_header_bytes) {
      return Reject(session, http::error::header_limit);
    }
    if (!session->share->Set(ConnectionState::kReading, HeldBytes(*session), Clock::now())) {
      ReportLimit(EvictionLimitName(EvictionReason::kUnfinished));
      return Refuse(session, false);
    }
    Read(session);
  }

  void Handle(const SessionPtr& session) {
    if (!session->share->Set(ConnectionState::kAnswering, HeldBytes(*session), Clock::now())) {
      return Refuse(session, false);
    }
    session->phase = Phase::kHandling;
    session->deadline = SteadyTime::max();
    auto& message = session->parser->get();
    session->keep_alive = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    session->method = request.method;
    session->target = request.target;
    request.authorization = std::string(message[http::field::authorization]);
    request.accept = std::string(message[http::field::accept]);
    request.host = std::string(message[http::field::host]);
    for (const std::string& name : options.forwarded_headers) {
      if (const auto found = message.find(name); found != message.end()) {
        request.headers.emplace_back(name, std::string(found->value()));
      }
    }
    request.body = std::move(message.body());
    session->parser.reset();
    auto reply = [self = shared_from_this(), session](HttpResponse response) {
      // A handler that replies synchronously is still on the strand of the connection.
      asio::dispatch(
          session->stream->Socket().get_executor(),
          [self, session, response = std::move(response)] { self->Reply(session, response); });
    };
    // Whether a request that failed has had an effect is not known, so it gets no response.
    const bool is_handled =
        RunGuarded("http-request", [&] { handler(std::move(request), std::move(reply)); });
    if (session->phase != Phase::kHandling || session->ended) return;
    if (!is_handled) return EndSession(session);
    // The handler has taken the body, and has limits of its own for what it keeps.
    static_cast<void>(
        session->share->Set(ConnectionState::kAnswering, HeldBytes(*session), Clock::now()));
  }

  void Reply(const SessionPtr& session, const HttpResponse& response) {
    if (session->silenced || session->ended) return;
    if (draining) session->keep_alive = false;
    Write(session, response, [self = shared_from_this(), session] {
      if (!session->keep_alive) return self->EndSession(session, true);
      self->StartRequest(session, self->limits.load()->idle_timeout);
    });
  }

  void Reject(const SessionPtr& session, error_code error) {
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
      return EndSession(session);
    }
    const bool too_large = error == http::error::body_limit || error == http::error::header_limit;
    if (too_large) ReportLimit(error == http::error::body_limit ? "body" : "header");
    const Error reason = too_large ? Error{schema::CODE_TOO_LARGE, "the message is too large"}
                                   : Error{schema::CODE_MALFORMED, "not HTTP: " + error.message()};
    AnswerAndClose(session, options.reject(too_large ? 413 : 400, reason), false);
  }

  // Frees the memory of a request that has not been handled, says so to the client and closes the
  // connection.
  // @param is_reading whether a read of the connection is pending.
  void Refuse(const SessionPtr& session, bool is_reading) {
    if (std::exchange(session->refused, true)) return;
    session->abort_reported = true;  // Reported as a limit; these may be many.
    HttpResponse response =
        options.reject(options.refused_status,
                       Error{schema::CODE_OVERLOADED,
                             "too many requests are on their way; this one was not handled"});
    if (!response.retry_after) response.retry_after = kRefusedRetryAfter;
    AnswerAndClose(session, response, is_reading);
  }

  // Closes the connection after a response to a request that was not read whole.
  void AnswerAndClose(const SessionPtr& session, const HttpResponse& response, bool is_reading) {
    session->keep_alive = false;
    session->parser.reset();
    // Whether it is evicted makes no difference, as it is about to be closed.
    static_cast<void>(
        session->share->Set(ConnectionState::kReading, HeldBytes(*session), Clock::now()));
    if (session->ended) return;
    Write(session, response, [self = shared_from_this(), session, is_reading] {
      error_code ignored;
      session->stream->Socket().shutdown(Tcp::socket::shutdown_send, ignored);
      session->phase = Phase::kLingering;
      session->deadline = Clock::now() + kLingerTimeout;
      // The pending read, and those after it, are already those of `Linger`.
      if (!is_reading) self->Linger(session);
    });
  }

  // Another connection needs the memory, or the place, of this one.
  void OnEvict(const SessionPtr& session, const Eviction& eviction) {
    if (session->ended) return;
    ReportLimit(EvictionLimitName(eviction.reason));
    if (!eviction.at_once && session->phase == Phase::kReading) return Refuse(session, true);
    session->abort_reported = true;
    session->stream->Discard();
    EndSession(session);
  }

  static std::string_view EvictionLimitName(EvictionReason reason) {
    switch (reason) {
      case EvictionReason::kRefused:
        return "evicted-refused";
      case EvictionReason::kAbandoned:
        return "evicted-abandoned";
      case EvictionReason::kIdle:
        return "evicted-idle";
      case EvictionReason::kSlow:
        return "evicted-slow";
      case EvictionReason::kUnread:
        return "evicted-unread";
      case EvictionReason::kUnfinished:
        return "evicted-unfinished";
    }
    return "";
  }

  void ReportLimit(std::string_view limit) const {
    if (options.on_limit) options.on_limit(limit);
  }

  template <class Then>
  void Write(const SessionPtr& session, const HttpResponse& response, Then then) {
    // A request that was not handled is refused; its connection may be needed at once.
    const bool is_handled = session->phase == Phase::kHandling;
    const SteadyTime now = Clock::now();
    session->phase = Phase::kWriting;
    session->deadline = now + kHttpWriteTimeout;
    session->out = Serialize(response, session->keep_alive);
    if (is_handled) {
      // Never evicts this connection, whose answer has just begun.
      static_cast<void>(session->share->Set(ConnectionState::kWriting, HeldBytes(*session), now));
    }
    session->stream->Write(asio::buffer(session->out), [self = shared_from_this(), session,
                                                        then = std::move(then)](error_code error) {
      if (error || session->ended) return self->EndSession(session);
      then();
    });
  }

  void Linger(const SessionPtr& session) {
    session->buffer.clear();
    session->stream->ReadSome(
        session->buffer.prepare(kReadChunkBytes),
        [self = shared_from_this(), session](error_code error, std::size_t bytes) {
          session->lingered_bytes += bytes;
          if (error || session->ended || session->lingered_bytes > kMaxLingerBytes)
            return self->EndSession(session);
          self->Linger(session);
        });
  }

  void ReportAbort(const SessionPtr& session, HttpAbortReason reason) {
    if (!options.on_abort || std::exchange(session->abort_reported, true)) return;
    HttpAbort abort_report;
    abort_report.reason = reason;
    abort_report.was_read = !session->method.empty();
    abort_report.was_answering = session->phase == Phase::kWriting;
    abort_report.draining = draining;
    abort_report.method = session->method;
    abort_report.target = session->target;
    if (session->began != SteadyTime{}) {
      abort_report.age =
          std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - session->began);
    }
    options.on_abort(abort_report);
  }

  static bool IsUnanswered(const Session& session) {
    return session.phase == Phase::kReading || session.phase == Phase::kHandling ||
           session.phase == Phase::kWriting;
  }

  void EndSession(const SessionPtr& session, bool is_answered = false) {
    if (!is_answered && IsUnanswered(*session)) {
      ReportAbort(session,
                  session->expired ? HttpAbortReason::kDeadline : HttpAbortReason::kPeerClosed);
    }
    session->ended = true;
    session->stream->Close();
    session->share.reset();
    std::lock_guard lock(mutex);
    sessions.erase(session);
    count = sessions.size();
  }

  // Closes connections that missed their deadline; the pending operation then ends with an error.
  void Sweep() {
    sweep_timer.expires_after(kSweepPeriod);
    sweep_timer.async_wait([weak = weak_from_this()](error_code error) {
      auto self = weak.lock();
      if (!self || error) return;
      self->CloseExpired();
      self->Sweep();
    });
  }

  void CloseExpired() {
    const SteadyTime now = Clock::now();
    ForEachSession([now](const SessionPtr& session) {
      if (session->deadline > now) return;
      session->expired = true;
      session->stream->Discard();
    });
  }

  // Calls `action` for each connection on the connection's strand.
  template <class Action>
  void ForEachSession(Action action) {
    std::vector<SessionPtr> open;
    {
      std::lock_guard lock(mutex);
      open.assign(sessions.begin(), sessions.end());
    }
    for (const SessionPtr& session : open) {
      asio::dispatch(session->stream->Socket().get_executor(),
                     [session, action] { action(session); });
    }
  }
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(Runtime& runtime, HttpServerOptions options,
                                                       HttpHandler handler) {
  auto impl = std::make_shared<Impl>(runtime, std::move(options), std::move(handler));
  if (impl->options.tls_certificate_file.empty()) {
    impl->make_stream = PlainHttpStreams();
  } else if (const auto& backend = InstalledHttpTls().server; backend) {
    BOOST_OUTCOME_TRY(impl->make_stream,
                      backend(impl->options.tls_certificate_file, impl->options.tls_key_file));
  } else {
    return Error{schema::CODE_SETTINGS_INVALID, "this program does not support TLS"};
  }
  BOOST_OUTCOME_TRY(Listen(&impl->acceptor, impl->options.address, impl->options.listen));
  impl->Accept();
  impl->Sweep();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer() { Close(); }

std::uint16_t HttpServer::Port() const { return m_impl->acceptor.local_endpoint().port(); }

std::size_t HttpServer::Connections() const { return m_impl->count; }

void HttpServer::SetLimits(const HttpLimits& limits) {
  m_impl->limits = std::make_shared<const HttpLimits>(limits);
}

void HttpServer::Close() {
  asio::post(m_impl->context, [impl = m_impl] {
    error_code ignored;
    impl->acceptor.close(ignored);
  });
}

void HttpServer::Drain() { m_impl->draining = true; }

void HttpServer::ReportIncompleteRequests(std::function<void()> done) {
  // Completions of responses that were written come first. They are in the event loop, or get there
  // when the handler that is running now returns. Hence two turns of the event loop.
  asio::post(m_impl->context, [impl = m_impl, done = std::move(done)] {
    asio::post(impl->context, [impl, done] {
      impl->ForEachSession([impl](const Impl::SessionPtr& session) {
        if (Impl::IsUnanswered(*session)) impl->ReportAbort(session, HttpAbortReason::kShutdown);
      });
      asio::post(impl->context, done);
    });
  });
}

void HttpServer::BlackholeOpenConnections() {
  m_impl->ForEachSession([](const Impl::SessionPtr& session) { session->silenced = true; });
}

const char* HttpAbortReasonName(HttpAbortReason reason) {
  switch (reason) {
    case HttpAbortReason::kPeerClosed:
      return "peer-closed";
    case HttpAbortReason::kDeadline:
      return "deadline";
    case HttpAbortReason::kShutdown:
      return "shutdown";
    case HttpAbortReason::kConnections:
      return "connections";
  }
  return "unknown";
}

const std::string& HttpRequest::Header(const std::string& name) const {
  static const std::string none;
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return none;
}

HttpStreamFactory PlainHttpStreams() {
  return [](Tcp::socket socket) -> std::unique_ptr<HttpStream> {
    return std::make_unique<PlainHttpStream>(std::move(socket));
  };
}

HttpTlsBackend& InstalledHttpTls() {
  static HttpTlsBackend backend;
  return backend;
}

}  // namespace citronsill
