// Tests clients whose open connections fall silent for good while new ones work.
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "platform/platform.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kConnections = 4;

// A server that answers after a while, so that calls at the same time need a connection each.
struct Server {
  Server() : runtime(std::move(Runtime::Create(1).value())) {
    timers = std::move(TimerService::Create(*runtime).value());
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server = std::move(
        HttpServer::Create(*runtime, options, [this](const HttpRequest&, const HttpReply& reply) {
          timers->After(50ms, [reply](SteadyTime) {
            HttpResponse response;
            response.body = R"({"rows":[],"ver":1,"good":[],"validMs":1000})";
            reply(response);
          });
        }).value());
    address = "127.0.0.1:" + std::to_string(server->Port());
    runtime->Start();
  }
  ~Server() { runtime->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<TimerService> timers;
  std::unique_ptr<HttpServer> server;
  std::string address;
};

// Makes calls at the same time. @returns the number of those that were answered.
std::size_t Call(std::size_t calls,
                 const std::function<void(std::function<void(bool answered)>)>& call) {
  std::vector<std::promise<bool>> answers(calls);
  for (std::promise<bool>& answer : answers) {
    call([&answer](bool is_answered) { answer.set_value(is_answered); });
  }
  std::size_t answered = 0;
  for (std::promise<bool>& answer : answers) answered += answer.get_future().get() ? 1 : 0;
  return answered;
}

// Guards against calls that time out one after the other, once for each connection that was open
// when all of them fell silent.
TEST_CASE("http client: connections that fell silent together cost one time-out, not one each") {
  const Server server;
  HttpClientOptions options;
  options.address = server.address;
  options.max_connections = kConnections;
  const auto client = std::move(HttpClient::Create(*server.runtime, options).value());
  const auto get = [&](const std::function<void(bool)>& done) {
    client->Send(HttpRequest{}, 400ms,
                 [done](const Result<HttpResponse>& response) { done(response.has_value()); });
  };
  REQUIRE(Call(kConnections, get) == kConnections);
  server.server->BlackholeOpenConnections();
  CHECK(Call(1, get) == 0);
  CHECK(Call(1, get) == 1);
  CHECK(Call(kConnections, get) == kConnections);
}

// Guards against a read that is sent on a connection which fell silent while it was not used.
TEST_CASE("store: a read after a pause does not wait on a connection that fell silent meanwhile") {
  const Server server;
  const auto store = std::move(platform::CreateStore(*server.runtime, server.address).value());
  const auto read = [&](const std::function<void(bool)>& done) {
    store->Read(RowRange{"op", "", "", "", 1}, 1000ms,
                [done](const Result<RowPage>& page) { done(page.has_value()); });
  };
  REQUIRE(Call(kConnections, read) == kConnections);
  server.server->BlackholeOpenConnections();
  std::this_thread::sleep_for(platform::kMaxIdle + 500ms);
  CHECK(Call(1, read) == 1);
}

// Guards against a request that takes the request slot of an instance for its whole time-out,
// because it was sent on a connection which fell silent while it was not used.
TEST_CASE(
    "advice: a request after a pause does not wait on a connection that fell silent meanwhile") {
  const Server server;
  const auto ask = std::move(platform::CreateAdvice(*server.runtime, server.address).value());
  const auto request = [&](const std::function<void(bool)>& done) {
    ask(TaskRef{"0123456789abcdef", 0, 0, 0}, {"w0"}, 1000ms,
        [done](const Result<AdviceAnswer>& answer) { done(answer.has_value()); });
  };
  REQUIRE(Call(1, request) == 1);
  server.server->BlackholeOpenConnections();
  std::this_thread::sleep_for(platform::kMaxIdle + 500ms);
  CHECK(Call(1, request) == 1);
}

}  // namespace
}  // namespace citronsill
