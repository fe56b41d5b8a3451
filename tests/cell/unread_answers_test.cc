// Tests clients that do not read their answers. Guards against a crowd of them that shuts out other
// callers until the time-out of writes.
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "citronsill/http.h"
#include "net.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxConnections = 4;
// More than the kernel takes for a client that does not read.
constexpr std::size_t kLargeAnswerBytes = 64U << 20;
constexpr std::chrono::milliseconds kSlowAfter{200};
constexpr const char* kSmallTarget = "/small";
constexpr const char* kHeldTarget = "/held";

// A server with few connections, whose answers are large except that to `kSmallTarget`. A request
// for `kHeldTarget` gets none.
struct Server {
  Server() : runtime(std::move(Runtime::Create(1).value())) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_connections = kMaxConnections;
    options.budget = std::make_shared<ConnectionBudget>(
        ConnectionBudgetLimits{ConnectionBudgetLimits::kUnlimited, kSlowAfter});
    server =
        std::move(HttpServer::Create(*runtime, options,
                                     [this](const HttpRequest& request, const HttpReply& reply) {
                                       if (request.target == kHeldTarget) {
                                         ++held;
                                         return;
                                       }
                                       HttpResponse response;
                                       const bool is_small = request.target == kSmallTarget;
                                       response.body =
                                           std::string(is_small ? 2 : kLargeAnswerBytes, 'x');
                                       reply(std::move(response));
                                     })
                      .value());
    runtime->Start();
  }
  ~Server() { runtime->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::atomic<std::size_t> held = 0;  // Requests for `kHeldTarget`.
  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<HttpServer> server;
};

struct Client {
  explicit Client(const Server& server) : socket(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), server.server->Port()});
  }
  void Request(const std::string& target) {
    asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
  }
  // Waits for the first bytes of an answer. @returns them, empty when there is no answer.
  std::string ReadStart() {
    std::string text(sizeof("HTTP/1.1 200") - 1, '\0');
    boost::system::error_code error;
    asio::read(socket, asio::buffer(text), error);
    return error ? "" : text;
  }

  asio::io_context io;
  Tcp::socket socket;
};

TEST_CASE("unread answers: clients that do not read make room for a new one") {
  const Server server;
  std::vector<std::unique_ptr<Client>> crowd;
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    crowd.push_back(std::make_unique<Client>(server));
    crowd.back()->Request("/large");
    REQUIRE(crowd.back()->ReadStart() == "HTTP/1.1 200");
  }
  std::this_thread::sleep_for(2 * kSlowAfter);
  Client ordinary(server);
  ordinary.Request(kSmallTarget);
  CHECK(ordinary.ReadStart() == "HTTP/1.1 200");
}

TEST_CASE("unread answers: a client that reads its answer slowly gets all of it") {
  const Server server;
  Client slow(server);
  slow.Request("/large");
  REQUIRE(slow.ReadStart() == "HTTP/1.1 200");
  std::this_thread::sleep_for(2 * kSlowAfter);
  // Others connect, but do not need the place.
  std::vector<std::unique_ptr<Client>> others;
  for (std::size_t i = 1; i < kMaxConnections; ++i) {
    others.push_back(std::make_unique<Client>(server));
    others.back()->Request(kSmallTarget);
    CHECK(others.back()->ReadStart() == "HTTP/1.1 200");
  }
  std::string rest(kLargeAnswerBytes, '\0');
  boost::system::error_code error;
  CHECK(asio::read(slow.socket, asio::buffer(rest), error) == kLargeAnswerBytes);
}

// Guards against requests that wait for a scheduler and keep their places although nobody reads
// their answers.
TEST_CASE("unread answers: requests whose clients have left make room for a new one") {
  Server server;
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    Client client(server);
    client.Request(kHeldTarget);
    while (server.held <= i) std::this_thread::yield();
  }
  std::string answer;
  for (int attempt = 0; attempt < 100 && answer.empty(); ++attempt) {
    Client client(server);
    boost::system::error_code ignored;  // The server may have reset the connection by then.
    asio::write(client.socket, asio::buffer(std::string("GET /small HTTP/1.1\r\n\r\n")), ignored);
    answer = client.ReadStart();
    if (answer.empty()) std::this_thread::sleep_for(20ms);
  }
  CHECK(answer == "HTTP/1.1 200");
}

TEST_CASE("unread answers: requests whose clients wait keep their places") {
  Server server;
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    clients.push_back(std::make_unique<Client>(server));
    clients.back()->Request(kHeldTarget);
    while (server.held <= i) std::this_thread::yield();
  }
  for (int attempt = 0; attempt < 10; ++attempt) {
    Client client(server);
    boost::system::error_code ignored;  // The server may have reset the connection by then.
    asio::write(client.socket, asio::buffer(std::string("GET /small HTTP/1.1\r\n\r\n")), ignored);
    CHECK(client.ReadStart().empty());
    std::this_thread::sleep_for(20ms);
  }
  CHECK(server.server->Connections() == kMaxConnections);
}

}  // namespace
}  // namespace citronsill
