// Tests the reports of callers' connections that end without a complete response.
#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "citronsill/http.h"
#include "net.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

constexpr const char* kRequest = "GET /jobs/x HTTP/1.1\r\nHost: h\r\n\r\n";

// A server whose requests are answered by the test, through `replies`.
struct Server {
  explicit Server(std::size_t max_connections = 8, HttpLimits limits = {})
      : runtime(std::move(Runtime::Create(1).value())) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_connections = max_connections;
    options.limits = limits;
    options.on_abort = [this](const HttpAbort& abort) { Update([&] { aborts.push_back(abort); }); };
    server = std::move(
        HttpServer::Create(*runtime, options, [this](const HttpRequest&, const HttpReply& reply) {
          Update([&] { replies.push_back(reply); });
        }).value());
    runtime->Start();
  }
  ~Server() { runtime->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Update(const std::function<void()>& change) {
    const std::lock_guard lock(mutex);
    change();
    changed.notify_all();
  }
  bool Await(const std::function<bool()>& condition) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, 5s, condition);
  }
  // Waits for a report, and checks that there is exactly one.
  HttpAbort AwaitAbort() {
    REQUIRE(Await([this] { return !aborts.empty(); }));
    std::this_thread::sleep_for(20ms);
    const std::lock_guard lock(mutex);
    CHECK(aborts.size() == 1);
    return aborts[0];
  }

  std::unique_ptr<Runtime> runtime;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<HttpAbort> aborts;
  std::vector<HttpReply> replies;
  std::unique_ptr<HttpServer> server;
};

struct Client {
  explicit Client(const Server& server) : socket(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), server.server->Port()});
  }
  void Send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  void Reset() {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  asio::io_context io;
  Tcp::socket socket;
};

HttpResponse LargeResponse() {
  HttpResponse response;
  response.body = std::string(32U << 20, 'x');
  return response;
}

// Guards against a shutdown that leaves a request unanswered without any trace on the server.
TEST_CASE("cut: a request that is unanswered at shutdown is reported") {
  Server server;
  Client client(server);
  client.Send(kRequest);
  REQUIRE(server.Await([&] { return !server.replies.empty(); }));
  server.server->Drain();
  server.server->ReportIncompleteRequests([] {});
  const HttpAbort abort = server.AwaitAbort();
  CHECK(abort.reason == HttpAbortReason::kShutdown);
  CHECK(abort.was_read);
  CHECK_FALSE(abort.was_answering);
  CHECK(abort.draining);
  CHECK(abort.method == "GET");
  CHECK(abort.target == "/jobs/x");
}

// Guards against a reset by the caller that is reported as a connection closed by the server.
TEST_CASE("cut: a caller that disconnects before its answer is reported as such") {
  Server server;
  Client client(server);
  client.Send(kRequest);
  REQUIRE(server.Await([&] { return !server.replies.empty(); }));
  client.Reset();
  std::this_thread::sleep_for(20ms);
  server.replies[0](LargeResponse());
  const HttpAbort abort = server.AwaitAbort();
  CHECK(abort.reason == HttpAbortReason::kPeerClosed);
  CHECK(abort.was_read);
  CHECK(abort.was_answering);
  CHECK_FALSE(abort.draining);
}

// Guards against a partial request that is reported as a complete one.
TEST_CASE("cut: a partial request is reported when the caller disconnects or is too slow") {
  HttpLimits limits;
  limits.read_timeout = 100ms;
  Server server(8, limits);
  {
    Client client(server);
    client.Send("GET /jobs/x HTTP/1.1\r\nHo");
    std::this_thread::sleep_for(20ms);
    client.Reset();
    const HttpAbort abort = server.AwaitAbort();
    CHECK(abort.reason == HttpAbortReason::kPeerClosed);
    CHECK_FALSE(abort.was_read);
  }
  server.Update([&] { server.aborts.clear(); });
  Client client(server);
  client.Send("GET /jobs/x HTTP/1.1\r\nHo");
  const HttpAbort abort = server.AwaitAbort();
  CHECK(abort.reason == HttpAbortReason::kDeadline);
  CHECK_FALSE(abort.was_read);
  CHECK(abort.age >= 100ms);
}

// Guards against refused connections that are not reported.
TEST_CASE("cut: a connection refused for exceeding the limit is reported") {
  Server server(1);
  Client first(server);
  first.Send(kRequest);
  REQUIRE(server.Await([&] { return !server.replies.empty(); }));
  Client second(server);
  const HttpAbort abort = server.AwaitAbort();
  CHECK(abort.reason == HttpAbortReason::kConnections);
  CHECK_FALSE(abort.was_read);
}

// Guards against reports of connections that ended normally.
TEST_CASE("cut: answered requests and idle connections are not reported") {
  Server server;
  Client client(server);
  client.Send(kRequest);
  REQUIRE(server.Await([&] { return !server.replies.empty(); }));
  server.replies[0](HttpResponse{});
  std::string answer(16, '\0');
  asio::read(client.socket, asio::buffer(answer));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  std::promise<void> reported;
  server.server->ReportIncompleteRequests([&] { reported.set_value(); });
  reported.get_future().wait();
  client.Reset();
  std::this_thread::sleep_for(20ms);
  const std::lock_guard lock(server.mutex);
  CHECK(server.aborts.empty());
}

}  // namespace
}  // namespace citronsill
