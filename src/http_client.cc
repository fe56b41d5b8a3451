#include "citronsill/http.h"
#include "internal.h"

namespace citronsill {

namespace http = beast::http;

namespace {

struct Call {
  HttpRequest request;
  std::chrono::steady_clock::time_point deadline;
  std::function<void(Result<HttpResponse>)> done;
};

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
  using Stream = beast::tcp_stream;

  Impl(Runtime& runtime, HttpClientOptions client_options, Tcp::endpoint remote)
      : context(runtime.Context()),
        options(std::move(client_options)),
        endpoint(std::move(remote)) {}

  asio::io_context& context;
  HttpClientOptions options;
  Tcp::endpoint endpoint;
  std::mutex mutex;
  std::deque<Call> waiting;
  std::vector<std::unique_ptr<Stream>> idle;
  std::size_t active = 0;

  void Send(Call call) {
    std::unique_lock lock(mutex);
    if (active >= options.max_connections) {
      if (waiting.size() >= options.max_waiting) {
        lock.unlock();
        call.done(Error{schema::CODE_OVERLOADED, "too many calls wait for " + options.address});
        return;
      }
      waiting.push_back(std::move(call));
      return;
    }
    ++active;
    lock.unlock();
    Spawn(std::move(call));
  }

  void Spawn(Call call) {
    asio::co_spawn(
        asio::make_strand(context),
        [self = shared_from_this(), call = std::move(call)]() mutable -> Task<void> {
          co_await self->Work(std::move(call));
        },
        asio::detached);
  }

  // Carries out calls one after another until none waits.
  Task<void> Work(Call call) {
    while (true) {
      auto result = co_await Exchange(call);
      call.done(std::move(result));
      std::lock_guard lock(mutex);
      if (waiting.empty()) {
        --active;
        co_return;
      }
      call = std::move(waiting.front());
      waiting.pop_front();
    }
  }

  std::unique_ptr<Stream> TakeIdle() {
    std::lock_guard lock(mutex);
    if (idle.empty()) return nullptr;
    auto stream = std::move(idle.back());
    idle.pop_back();
    return stream;
  }

  Task<Result<HttpResponse>> Exchange(const Call& call) {
    if (std::chrono::steady_clock::now() >= call.deadline) {
      co_return Error{schema::CODE_TIMEOUT,
                      "the call to " + options.address + " was not sent in time"};
    }
    auto stream = TakeIdle();
    const bool reused = stream != nullptr;
    boost::system::error_code error;
    if (!reused) {
      stream = std::make_unique<Stream>(asio::make_strand(context));
      stream->expires_at(
          std::min(call.deadline, std::chrono::steady_clock::now() + kConnectTimeout));
      co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return Error{schema::CODE_CONNECTION_CLOSED,
                        "cannot connect to " + options.address + ": " + error.message()};
      }
      stream->socket().set_option(Tcp::no_delay(true), error);
    }
    stream->expires_at(call.deadline);
    auto message = MakeMessage(call.request);
    co_await http::async_write(*stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return Failure(error, "sending to ");
    http::response_parser<http::string_body> parser;
    parser.body_limit(64 * kMaxHttpBodyBytes);
    beast::flat_buffer buffer;
    co_await http::async_read(*stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return Failure(error, "no answer from ");
    HttpResponse response;
    response.status = parser.get().result_int();
    response.content_type = std::string(parser.get()[http::field::content_type]);
    if (const auto header = parser.get()[http::field::retry_after]; !header.empty()) {
      response.retry_after = std::chrono::seconds(std::atoi(std::string(header).c_str()));
    }
    response.body = std::move(parser.get().body());
    if (parser.get().keep_alive()) {
      stream->expires_never();
      std::lock_guard lock(mutex);
      idle.push_back(std::move(stream));
    }
    co_return response;
  }

  http::request<http::string_body> MakeMessage(const HttpRequest& request) const {
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             11);
    message.set(http::field::host, options.address);
    message.set(http::field::content_type, "application/json");
    if (!request.accept.empty()) message.set(http::field::accept, request.accept);
    if (!request.authorization.empty()) {
      message.set(http::field::authorization, request.authorization);
    }
    message.keep_alive(true);
    message.body() = request.body;
    message.prepare_payload();
    return message;
  }

  Error Failure(boost::system::error_code error, const std::string& what) const {
    const auto code =
        error == beast::error::timeout ? schema::CODE_TIMEOUT : schema::CODE_CONNECTION_CLOSED;
    return Error{code, what + options.address + ": " + error.message()};
  }
};

Result<std::unique_ptr<HttpClient>> HttpClient::Create(Runtime& runtime,
                                                       HttpClientOptions options) {
  BOOST_OUTCOME_TRY(auto endpoint, ParseAddress(options.address));
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Impl>(runtime, std::move(options), std::move(endpoint))));
}

HttpClient::HttpClient(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest request, std::chrono::milliseconds timeout,
                      std::function<void(Result<HttpResponse>)> done) {
  m_impl->Send(
      Call{std::move(request), std::chrono::steady_clock::now() + timeout, std::move(done)});
}

}  // namespace citronsill
