#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <deque>
#include <optional>
#include <unordered_set>

#include "citronsill/guard.h"
#include "citronsill/http.h"
#include "http_stream.h"

namespace citronsill {

namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadChunkBytes = 4096;
// Responses of the table service may contain many rows.
constexpr std::size_t kMaxAnswerBytes = 64 * kMaxHttpBodyBytes;

struct Call {
  HttpRequest request;
  SteadyTime made;
  SteadyTime deadline;
  std::function<void(Result<HttpResponse>)> done;
};

std::string Serialize(const HttpRequest& request, const std::string& address) {
  std::string text;
  text.reserve(256 + request.target.size() + request.body.size());
  text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
  text.append(request.host.empty() ? address : request.host);
  if (!request.accept.empty()) text.append("\r\nAccept: ").append(request.accept);
  if (!request.authorization.empty()) {
    text.append("\r\nAuthorization: ").append(request.authorization);
  }
  for (const auto& [name, value] : request.headers) {
    text.append("\r\n").append(name).append(": ").append(value);
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(request.body.size()));
  }
  text.append("\r\n\r\n").append(request.body);
  return text;
}

HttpResponse TakeResponse(http::response_parser<http::string_body>& parser) {
  HttpResponse response;
  auto& message = parser.get();
  response.status = message.result_int();
  response.content_type = std::string(message[http::field::content_type]);
  if (const auto header = message[http::field::retry_after]; !header.empty()) {
    int seconds = 0;
    if (boost::conversion::try_lexical_convert(header, seconds)) {
      response.retry_after = std::chrono::seconds(seconds);
    }
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
  // One connection and its current call.
  struct Connection {
    std::unique_ptr<HttpStream> stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::string out;
    std::optional<Call> call;
    bool fresh = true;  // No response was received on it yet.
    bool timed_out = false;
    SteadyTime used;  // End of the last call.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(Runtime& runtime, HttpClientOptions client_options, Tcp::endpoint remote)
      : strand(asio::make_strand(runtime.Context())),
        timer(strand),
        options(std::move(client_options)),
        endpoint(std::move(remote)) {}

  // The members below are used on the strand only.
  asio::strand<asio::io_context::executor_type> strand;
  asio::steady_timer timer;
  std::optional<SteadyTime> timer_at;
  HttpClientOptions options;
  Tcp::endpoint endpoint;
  HttpStreamFactory make_stream;
  std::deque<Call> waiting;
  std::vector<ConnectionPtr> idle;
  std::unordered_set<ConnectionPtr> busy;

  void Send(Call call) {
    if (busy.size() >= options.max_connections) {
      if (waiting.size() >= options.max_waiting) {
        call.done(Error{schema::CODE_OVERLOADED,
                        "too many calls are waiting for a connection to " + options.address});
        return;
      }
      const SteadyTime deadline = call.deadline;
      waiting.push_back(std::move(call));
      ScheduleTimer(deadline);
      return;
    }
    StartCall(std::move(call));
  }

  // Closes idle connections that were last used before `time`. They are sorted by that.
  void CloseIdleBefore(SteadyTime time) {
    const auto end = std::find_if(idle.begin(), idle.end(), [time](const auto& connection) {
      return connection->used >= time;
    });
    std::for_each(idle.begin(), end, [](const auto& connection) { connection->stream->Close(); });
    idle.erase(idle.begin(), end);
  }

  void StartCall(Call call) {
    ScheduleTimer(call.deadline);
    CloseIdleBefore(std::chrono::steady_clock::now() - options.max_idle);
    ConnectionPtr connection;
    if (idle.empty()) {
      connection = std::make_shared<Connection>();
      connection->stream = make_stream(Tcp::socket(strand));
    } else {
      connection = std::move(idle.back());
      idle.pop_back();
    }
    connection->call = std::move(call);
    busy.insert(connection);
    if (connection->stream->Socket().is_open()) {
      Write(connection);
    } else {
      Connect(connection);
    }
  }

  void Connect(const ConnectionPtr& connection) {
    connection->stream->Socket().async_connect(
        endpoint, [self = shared_from_this(), connection](error_code error) {
          if (error) return self->FailConnect(connection, error);
          error_code ignored;
          connection->stream->Socket().set_option(Tcp::no_delay(true), ignored);
          connection->stream->Handshake([self, connection](error_code failed) {
            if (failed) return self->FailConnect(connection, failed);
            self->Write(connection);
          });
        });
  }

  void Write(const ConnectionPtr& connection) {
    if (connection->timed_out) return Fail(connection, asio::error::timed_out, "sending to ");
    connection->out = Serialize(connection->call->request, options.address);
    connection->call->request = {};
    connection->parser.emplace();
    connection->parser->body_limit(kMaxAnswerBytes);
    connection->stream->Write(asio::buffer(connection->out),
                              [self = shared_from_this(), connection](error_code error) {
                                if (error) return self->Fail(connection, error, "sending to ");
                                self->Read(connection);
                              });
  }

  void Read(const ConnectionPtr& connection) {
    connection->stream->ReadSome(
        connection->buffer.prepare(kReadChunkBytes),
        [self = shared_from_this(), connection](error_code error, std::size_t bytes) {
          self->OnRead(connection, error, bytes);
        });
  }

  void OnRead(const ConnectionPtr& connection, error_code error, std::size_t bytes) {
    if (error == asio::error::eof && connection->parser->got_some()) {
      connection->parser->put_eof(error);
      if (!error && connection->parser->is_done()) return FinishCall(connection, false);
      error = asio::error::eof;
    }
    if (error) return Fail(connection, error, "no answer from ");
    connection->buffer.commit(bytes);
    if (!Parse(connection, &error)) return Fail(connection, error, "invalid response from ");
    if (!connection->parser->is_done()) return Read(connection);
    FinishCall(connection, connection->parser->get().keep_alive());
  }

  static bool Parse(const ConnectionPtr& connection, error_code* error) {
    while (!connection->parser->is_done() && connection->buffer.size() > 0) {
      const std::size_t used = connection->parser->put(connection->buffer.data(), *error);
      connection->buffer.consume(used);
      if (*error == http::error::need_more) {
        *error = {};
        return true;
      }
      if (*error) return false;
      if (used == 0) return true;
    }
    return true;
  }

  void FinishCall(const ConnectionPtr& connection, bool keep) {
    Result<HttpResponse> response = TakeResponse(*connection->parser);
    connection->parser.reset();
    connection->fresh = false;
    if (!keep || connection->buffer.size() > 0) connection->stream->Close();
    Release(connection, std::move(response));
  }

  void FailConnect(const ConnectionPtr& connection, error_code error) {
    connection->stream->Close();
    Release(connection, Error{schema::CODE_PEER_UNREACHABLE,
                              "cannot connect to " + options.address + ": " + error.message()});
  }

  void Fail(const ConnectionPtr& connection, error_code error, const char* context) {
    connection->stream->Close();
    const auto code = connection->timed_out ? schema::CODE_TIMEOUT : schema::CODE_CONNECTION_CLOSED;
    Release(connection,
            Error{code, context + options.address + ": " +
                            (connection->timed_out ? std::string("timed out") : error.message())});
  }

  // Completes the call of a connection and starts the next waiting call.
  void Release(const ConnectionPtr& connection, Result<HttpResponse> result) {
    auto done = std::move(connection->call->done);
    connection->call.reset();
    busy.erase(connection);
    if (connection->stream->Socket().is_open()) {
      connection->used = std::chrono::steady_clock::now();
      idle.push_back(connection);
    }
    if (!waiting.empty()) {
      Call next = std::move(waiting.front());
      waiting.pop_front();
      StartCall(std::move(next));
    }
    RunGuarded("http-answer", [&] { done(std::move(result)); });
  }

  // Ensures that missed deadlines are checked for at `time`. The timer is not reset when a call
  // ends early, so that one wake-up serves many calls.
  void ScheduleTimer(SteadyTime time) {
    if (timer_at && *timer_at <= time) return;
    timer_at = time;
    timer.expires_at(time);
    timer.async_wait([weak = weak_from_this()](error_code error) {
      if (auto self = weak.lock(); self && !error) self->OnTimer();
    });
  }

  void OnTimer() {
    timer_at.reset();
    const SteadyTime now = std::chrono::steady_clock::now();
    std::optional<SteadyTime> next;
    const auto update_next = [&next](SteadyTime deadline) {
      if (!next || deadline < *next) next = deadline;
    };
    for (const ConnectionPtr& connection : busy) {
      if (connection->timed_out) continue;
      if (connection->call->deadline > now) {
        update_next(connection->call->deadline);
        continue;
      }
      // The pending operation then fails, which ends the call.
      connection->timed_out = true;
      connection->stream->Close();
      CloseIdleBefore(connection->call->made);
    }
    std::vector<Call> expired;
    std::erase_if(waiting, [&](Call& call) {
      if (call.deadline > now) {
        update_next(call.deadline);
        return false;
      }
      expired.push_back(std::move(call));
      return true;
    });
    if (next) ScheduleTimer(*next);
    for (Call& call : expired) {
      call.done(
          Error{schema::CODE_TIMEOUT, "the call to " + options.address + " was not sent in time"});
    }
  }

  // Closes all connections; calls in progress fail.
  void Shutdown() {
    timer.cancel();
    for (const ConnectionPtr& connection : idle) connection->stream->Close();
    idle.clear();
    for (const ConnectionPtr& connection : busy) connection->stream->Close();
  }
};

Result<std::unique_ptr<HttpClient>> HttpClient::Create(Runtime& runtime,
                                                       HttpClientOptions options) {
  BOOST_OUTCOME_TRY(auto endpoint, ParseAddress(options.address));
  auto impl = std::make_shared<Impl>(runtime, std::move(options), std::move(endpoint));
  if (impl->options.tls_ca_file.empty()) {
    impl->make_stream = PlainHttpStreams();
  } else if (const auto& backend = InstalledHttpTls().client; backend) {
    BOOST_OUTCOME_TRY(impl->make_stream,
                      backend(impl->options.tls_ca_file, impl->endpoint.address().to_string()));
  } else {
    return Error{schema::CODE_SETTINGS_INVALID, "this program does not support TLS"};
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::HttpClient(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpClient::~HttpClient() {
  asio::dispatch(m_impl->strand, [impl = m_impl] { impl->Shutdown(); });
}

void HttpClient::Send(HttpRequest request, std::chrono::milliseconds timeout,
                      std::function<void(Result<HttpResponse>)> done) {
  const SteadyTime now = std::chrono::steady_clock::now();
  Call call{std::move(request), now, now + timeout, std::move(done)};
  asio::dispatch(m_impl->strand, [impl = m_impl, call = std::move(call)]() mutable {
    impl->Send(std::move(call));
  });
}

}  // namespace citronsill
