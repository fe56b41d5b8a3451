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
  Impl(Runtime& runtime, HttpClientOptions client_options, Tcp::endpoint remote)
      : context(runtime.Context()),
        options(std::move(client_options)),
        endpoint(std::move(remote)) {}

  asio::io_context& context;
  HttpClientOptions options;
  Tcp::endpoint endpoint;
  std::mutex mutex;
  std::deque<Call> waiting;
  std::shared_ptr<asio::ssl::context> tls;
  std::vector<std::unique_ptr<HttpChannel>> idle;
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

  std::unique_ptr<HttpChannel> TakeIdle() {
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
    auto channel = TakeIdle();
    if (!channel) {
      BOOST_OUTCOME_CO_TRY(channel, co_await Connect(call.deadline));
    }
    channel->Lowest().expires_at(call.deadline);
    auto message = MakeMessage(call.request);
    boost::system::error_code error = co_await channel->Write(message);
    if (error) co_return Failure(error, "sending to ");
    http::response_parser<http::string_body> parser;
    parser.body_limit(64 * kMaxHttpBodyBytes);
    beast::flat_buffer buffer;
    error = co_await channel->Read(buffer, parser);
    if (error) co_return Failure(error, "no answer from ");
    HttpResponse response;
    response.status = parser.get().result_int();
    response.content_type = std::string(parser.get()[http::field::content_type]);
    if (const auto header = parser.get()[http::field::retry_after]; !header.empty()) {
      response.retry_after = std::chrono::seconds(std::atoi(std::string(header).c_str()));
    }
    response.body = std::move(parser.get().body());
    if (parser.get().keep_alive()) {
      channel->Lowest().expires_never();
      std::lock_guard lock(mutex);
      idle.push_back(std::move(channel));
    }
    co_return response;
  }

  Task<Result<std::unique_ptr<HttpChannel>>> Connect(
      std::chrono::steady_clock::time_point deadline) {
    auto channel =
        std::make_unique<HttpChannel>(Tcp::socket(asio::make_strand(context)), tls.get());
    beast::tcp_stream& stream = channel->Lowest();
    stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout));
    boost::system::error_code error;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      boost::system::error_code ignored;
      stream.socket().set_option(Tcp::no_delay(true), ignored);
      error = co_await channel->HandshakeAsClient(endpoint.address().to_string());
    }
    if (error) {
      co_return Error{schema::CODE_PEER_UNREACHABLE,
                      "cannot connect to " + options.address + ": " + error.message()};
    }
    co_return std::move(channel);
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
  auto impl = std::make_shared<Impl>(runtime, std::move(options), std::move(endpoint));
  if (!impl->options.tls_ca_file.empty()) {
    BOOST_OUTCOME_TRY(impl->tls, MakeClientTls(impl->options.tls_ca_file));
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::HttpClient(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest request, std::chrono::milliseconds timeout,
                      std::function<void(Result<HttpResponse>)> done) {
  m_impl->Send(
      Call{std::move(request), std::chrono::steady_clock::now() + timeout, std::move(done)});
}

}  // namespace citronsill
