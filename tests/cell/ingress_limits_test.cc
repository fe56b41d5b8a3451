// Tests the limits of callers' requests, which change with the configuration.
#include <doctest/doctest.h>

#include <future>

#include "platform/platform.h"

namespace citronsill {
namespace {

constexpr std::chrono::milliseconds kTimeout{2000};

struct Server {
  explicit Server(const HttpLimits& limits) : runtime(std::move(Runtime::Create(1).value())) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.limits = limits;
    server = std::move(
        HttpServer::Create(*runtime, options, [](const HttpRequest&, const HttpReply& reply) {
          reply(HttpResponse{});
        }).value());
    HttpClientOptions client_options;
    client_options.address = "127.0.0.1:" + std::to_string(server->Port());
    client = std::move(HttpClient::Create(*runtime, client_options).value());
    runtime->Start();
  }
  ~Server() { runtime->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  unsigned Send(std::size_t header_bytes, std::size_t body_bytes) {
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(body_bytes, 'x');
    request.headers.emplace_back("X-Filler", std::string(header_bytes, 'x'));
    auto status = std::make_shared<std::promise<unsigned>>();
    client->Send(std::move(request), kTimeout, [status](const Result<HttpResponse>& result) {
      status->set_value(result ? result.value().status : 0);
    });
    return status->get_future().get();
  }

  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
};

// Guards against configured limits that are parsed but not applied: headers of more than 8 KiB were
// refused although 16 KiB were allowed.
TEST_CASE("ingress: limits of requests change while the server runs") {
  HttpLimits limits;
  limits.max_header_bytes = 4096;
  limits.max_body_bytes = 1000;
  Server server(limits);
  CHECK(server.Send(10, 1000) == 200);
  CHECK(server.Send(10, 1001) == 413);
  CHECK(server.Send(6000, 10) == 413);
  limits.max_header_bytes = 16384;
  limits.max_body_bytes = 2000;
  server.server->SetLimits(limits);
  CHECK(server.Send(12000, 2000) == 200);
  CHECK(server.Send(10, 2001) == 413);
}

// Guards against treating a missing limit as zero.
TEST_CASE("ingress: limits that the configuration leaves out keep their defaults") {
  const auto config = platform::ReadConfig(
      R"({"version":3,"routes":[],"limits":{"maxHeaderBytes":16384,"idleTimeoutMs":15000}})");
  REQUIRE(config);
  CHECK(config.value()->limits.max_header_bytes == 16384);
  CHECK(config.value()->limits.idle_timeout == std::chrono::milliseconds(15000));
  CHECK(config.value()->limits.max_body_bytes == HttpLimits().max_body_bytes);
  CHECK(config.value()->limits.read_timeout == HttpLimits().read_timeout);
}

}  // namespace
}  // namespace citronsill
