// Unexpected exceptions in handlers of the event loop: each is reported, and the process goes on.
#include "citronsill/guard.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "cell/link.h"
#include "citronsill/http.h"
#include "citronsill/runtime.h"
#include "citronsill/timer.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

constexpr auto kPatience = 5s;

// A running event loop that records failures of handlers.
struct GuardedRuntime {
  GuardedRuntime() : runtime(std::move(Runtime::Create(1).value())) {
    SetFailureHandler([this](std::string_view handler, std::string_view reason) {
      const std::lock_guard lock(mutex);
      failures.push_back(std::string(handler) + ": " + std::string(reason));
    });
    timers = std::move(TimerService::Create(*runtime).value());
    runtime->Start();
  }
  ~GuardedRuntime() {
    runtime->Stop();
    SetFailureHandler([](std::string_view, std::string_view) {});
  }
  GuardedRuntime(const GuardedRuntime&) = delete;
  GuardedRuntime& operator=(const GuardedRuntime&) = delete;

  std::vector<std::string> Failures() {
    const std::lock_guard lock(mutex);
    return failures;
  }

  // @returns whether the event loop still handles events.
  bool IsAlive() {
    std::promise<void> handled;
    runtime->Post([&handled] { handled.set_value(); });
    return handled.get_future().wait_for(kPatience) == std::future_status::ready;
  }

  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<TimerService> timers;
  std::mutex mutex;
  std::vector<std::string> failures;
};

TEST_CASE("guard: an exception in a posted event does not end the event loop") {
  GuardedRuntime loop;
  loop.runtime->Post([] { throw std::runtime_error("broken"); });
  loop.runtime->Post([] { throw 7; });
  CHECK(loop.IsAlive());
  CHECK(loop.Failures() ==
        std::vector<std::string>{"event: broken", "event: an exception of unknown type"});
}

// Guards against a scheduler that stays but does nothing: its tick would not be called again.
TEST_CASE("guard: a timer whose handler fails fires again, and so do the others") {
  GuardedRuntime loop;
  std::promise<void> third_call;
  std::promise<void> other_called;
  int calls = 0;
  loop.timers->Every(5ms, [&](SteadyTime) {
    if (++calls == 3) third_call.set_value();
    if (calls < 3) throw std::runtime_error("broken");
  });
  loop.timers->After(5ms, [&](SteadyTime) { other_called.set_value(); });
  CHECK(third_call.get_future().wait_for(kPatience) == std::future_status::ready);
  CHECK(other_called.get_future().wait_for(kPatience) == std::future_status::ready);
  CHECK(loop.Failures() == std::vector<std::string>{"timer: broken", "timer: broken"});
}

TEST_CASE("guard: failing handlers of HTTP requests and answers cost that call only") {
  GuardedRuntime loop;
  HttpServerOptions server_options;
  server_options.address = "127.0.0.1:0";
  const auto server =
      std::move(HttpServer::Create(*loop.runtime, server_options,
                                   [](const HttpRequest& request, const HttpReply& reply) {
                                     if (request.target == "/bad") throw std::runtime_error("bad");
                                     reply(HttpResponse{});
                                   })
                    .value());
  HttpClientOptions client_options;
  client_options.address = "127.0.0.1:" + std::to_string(server->Port());
  client_options.max_connections = 1;
  const auto client = std::move(HttpClient::Create(*loop.runtime, client_options).value());
  const auto send = [&](const std::string& target, bool is_failing) {
    // The handler still runs when the answer is known here, so it must not refer to this frame.
    const auto answered = std::make_shared<std::promise<bool>>();
    HttpRequest request;
    request.target = target;
    client->Send(request, 2000ms, [answered, is_failing](const Result<HttpResponse>& response) {
      answered->set_value(response.has_value());
      if (is_failing) throw std::runtime_error("answer");
    });
    return answered->get_future().get();
  };
  // Without a response, the caller knows that the outcome is unknown.
  CHECK_FALSE(send("/bad", false));
  CHECK(send("/good", true));
  CHECK(send("/good", false));
  CHECK(loop.Failures() == std::vector<std::string>{"http-request: bad", "http-answer: answer"});
}

TEST_CASE("guard: a message between instances that cannot be handled closes its link only") {
  GuardedRuntime loop;
  std::promise<void> closed;
  std::promise<void> answered;
  std::atomic<int> opened{0};
  schema::Hello hello;
  hello.set_instance("a");
  LinkHooks hooks;
  hooks.make_ping = [](const LinkPtr&) { return schema::Ping(); };
  hooks.on_ping = [](const LinkPtr&, const schema::Ping&) {};
  hooks.on_closed = [](const LinkPtr&, const std::string&) {};
  hooks.on_open = [&](const LinkPtr&) { ++opened; };
  hooks.on_message = [&](const LinkPtr& link, const schema::LinkMessage& message) {
    if (message.has_submit()) throw std::runtime_error("submit");
    link->Answer(message, schema::LinkMessage());
  };
  std::string address;
  std::unique_ptr<LinkService> receiver;
  for (int port = 17650; !receiver && port < 17700; ++port) {
    address = "127.0.0.1:" + std::to_string(port);
    if (auto made = LinkService::Create(*loop.runtime, *loop.timers, address, hello, hooks); made) {
      receiver = std::move(made).value();
    }
  }
  REQUIRE(receiver);
  LinkPtr link;
  const auto call = [&](const schema::LinkMessage& message, std::promise<void>* ok,
                        std::promise<void>* failed) {
    loop.runtime->Post([&, message, ok, failed] {
      link = receiver->Connect(address);
      link->Call(message, 3000ms, [ok, failed](const Result<schema::LinkMessage>& reply) {
        (reply ? ok : failed)->set_value();
      });
    });
  };
  schema::LinkMessage bad;
  bad.mutable_submit();
  call(bad, &answered, &closed);
  CHECK(closed.get_future().wait_for(kPatience) == std::future_status::ready);
  std::promise<void> unused;
  schema::LinkMessage good;
  good.mutable_state();
  call(good, &answered, &unused);
  CHECK(answered.get_future().wait_for(kPatience) == std::future_status::ready);
  CHECK(loop.Failures() == std::vector<std::string>{"link-message: submit"});
  std::promise<void> destroyed;
  loop.runtime->Post([&] {
    link.reset();
    receiver.reset();
    destroyed.set_value();
  });
  destroyed.get_future().wait();
}

}  // namespace
}  // namespace citronsill
