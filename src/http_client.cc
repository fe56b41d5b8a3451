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
// A line before a chunk without an extension is shorter. It does not count against the limit of the
// header.
constexpr std::size_t kMaxChunkLineBytes = 24;
constexpr std::string_view kAnswersLimit = "answers";
constexpr const char* kOverBudget = "too much memory is held by answers, among them that of ";

struct Call {
  HttpRequest request;
  SteadyTime made;
  SteadyTime deadline;
  std::function<void(Result<HttpResponse>)> done;
  // Extends the deadline with each part of the answer; 0 if the whole answer is due by it.
  std::chrono::milliseconds pause{0};
  std::function<void()> on_part;
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
    std::size_t received_bytes = 0;  // Of the answer to the current call.
    // Bytes of the header, of chunk extensions and of trailers that the parser has taken.
    std::size_t header_bytes = 0;
    std::function<void(std::uint64_t, std::string_view, error_code&)> on_chunk_header;
    // Present while an answer arrives in several parts.
    std::unique_ptr<ConnectionBudget::Share> share;
    bool evicted = false;
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
  std::shared_ptr<ConnectionGroup> group = std::make_shared<ConnectionGroup>();

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
    connection->parser->body_limit(options.max_answer_bytes);
    connection->header_bytes = 0;
    connection->received_bytes = 0;
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
    if (connection->evicted) return Fail(connection, {}, kOverBudget);
    if (error) return Fail(connection, error, "no answer from ");
    connection->buffer.commit(bytes);
    connection->received_bytes += bytes;
    if (!Parse(connection, &error)) {
      if (error == http::error::body_limit) ReportLimit("body");
      if (error == http::error::header_limit) ReportLimit("header");
      return Fail(connection, error, "invalid response from ");
    }
    if (!connection->parser->is_done()) {
      if (!Hold(connection)) return Fail(connection, {}, kOverBudget);
      OnPart(connection);
      return Read(connection);
    }
    FinishCall(connection, connection->parser->get().keep_alive());
  }

  // A part of an answer has arrived, and more of it follows.
  void OnPart(const ConnectionPtr& connection) {
    Call& call = *connection->call;
    if (call.pause == std::chrono::milliseconds(0)) return;
    call.deadline =
        std::min(std::chrono::steady_clock::now() + call.pause, call.made + kMaxHttpAnswerTime);
    ScheduleTimer(call.deadline);
    const auto& parser = *connection->parser;
    if (!call.on_part || !parser.is_header_done()) return;
    if (http::to_status_class(parser.get().result()) != http::status_class::successful) return;
    RunGuarded("http-part", call.on_part);
  }

  // @returns false when the answer is not to be read further; `error` then says why.
  static bool Parse(const ConnectionPtr& connection, error_code* error) {
    auto& parser = *connection->parser;
    while (!parser.is_done() && connection->buffer.size() > 0) {
      const bool had_header = parser.is_header_done();
      const std::size_t used = parser.put(connection->buffer.data(), *error);
      connection->buffer.consume(used);
      if (!had_header) {
        connection->header_bytes += used;
        if (parser.is_header_done() && parser.chunked()) CountChunks(connection);
      }
      if (*error == http::error::need_more) {
        *error = {};
        break;
      }
      if (*error) return false;
      if (used == 0) break;
    }
    // What could not be parsed yet is part of the header, of the line before a chunk, or of the
    // trailers. The parser sets no limit for the latter two.
    const std::size_t unparsed = connection->buffer.size();
    if (!parser.is_done() && unparsed > kMaxChunkLineBytes &&
        connection->header_bytes + unparsed > kMaxHttpHeaderBytes) {
      *error = http::error::header_limit;
      return false;
    }
    return true;
  }

  // Counts the extensions of chunks, which the parser does not limit.
  static void CountChunks(const ConnectionPtr& connection) {
    connection->on_chunk_header =
        [raw = connection.get()](std::uint64_t, std::string_view extension, error_code& error) {
          raw->header_bytes += extension.size();
          if (raw->header_bytes > kMaxHttpHeaderBytes) error = http::error::header_limit;
        };
    connection->parser->on_chunk_header(connection->on_chunk_header);
  }

  // Tells the budget what part of an answer takes. @returns false when the call has to fail.
  bool Hold(const ConnectionPtr& connection) {
    if (!options.budget) return true;
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!connection->share) {
      connection->share = options.budget->Join(
          group, kHttpConnectionBytes, now,
          [weak_self = weak_from_this(), weak = std::weak_ptr(connection)](const Eviction&) {
            const auto self = weak_self.lock();
            if (!self) return;
            asio::dispatch(self->strand, [self, weak] {
              if (const auto evicted = weak.lock(); evicted) self->OnEvict(evicted);
            });
          });
    }
    const std::size_t bytes = kHttpConnectionBytes + connection->buffer.capacity() +
                              connection->parser->get().body().capacity() +
                              kHttpFieldFactor * connection->header_bytes;
    if (connection->share && connection->share->Set(ConnectionState::kReading, bytes, now)) {
      return true;
    }
    ReportLimit(kAnswersLimit);
    return false;
  }

  // The answer holds more than those of the other calls, and all together hold too much.
  void OnEvict(const ConnectionPtr& connection) {
    if (!connection->share || connection->evicted) return;
    ReportLimit(kAnswersLimit);
    connection->evicted = true;
    // The pending read then fails, which ends the call.
    connection->stream->Close();
  }

  void ReportLimit(std::string_view limit) const {
    if (options.on_limit) options.on_limit(limit);
  }

  void FinishCall(const ConnectionPtr& connection, bool keep) {
    Result<HttpResponse> response = TakeResponse(*connection->parser);
    connection->parser.reset();
    connection->fresh = false;
    if (!keep || connection->buffer.size() > 0) connection->stream->Close();
    if (connection->buffer.capacity() > 2 * kReadChunkBytes) connection->buffer.shrink_to_fit();
    Release(connection, std::move(response));
  }

  void FailConnect(const ConnectionPtr& connection, error_code error) {
    connection->stream->Close();
    Release(connection, Error{schema::CODE_PEER_UNREACHABLE,
                              "cannot connect to " + options.address + ": " + error.message()});
  }

  void Fail(const ConnectionPtr& connection, error_code error, const char* context) {
    connection->stream->Close();
    connection->parser.reset();
    if (error == error_code{}) error = http::error::body_limit;
    const auto code = connection->timed_out ? schema::CODE_TIMEOUT : schema::CODE_CONNECTION_CLOSED;
    std::string message = context + options.address + ": " +
                          (connection->timed_out ? std::string("timed out") : error.message());
    if (connection->received_bytes > 0) {
      message += " after " + std::to_string(connection->received_bytes) + " bytes of the answer";
    }
    Release(connection, Error{code, std::move(message)});
  }

  // Completes the call of a connection and starts the next waiting call.
  void Release(const ConnectionPtr& connection, Result<HttpResponse> result) {
    auto done = std::move(connection->call->done);
    connection->call.reset();
    connection->share.reset();
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
  Send(std::move(request), HttpCallTime{timeout, {}, {}}, std::move(done));
}

void HttpClient::Send(HttpRequest request, HttpCallTime time,
                      std::function<void(Result<HttpResponse>)> done) {
  const SteadyTime now = std::chrono::steady_clock::now();
  Call call{std::move(request), now,        now + time.first,
            std::move(done),    time.pause, std::move(time.on_part)};
  asio::dispatch(m_impl->strand, [impl = m_impl, call = std::move(call)]() mutable {
    impl->Send(std::move(call));
  });
}

}  // namespace citronsill
