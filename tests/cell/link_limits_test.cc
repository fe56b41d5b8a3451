// Tests what clients at the link address can hold that are no instances, or that begin messages
// without ending them. Guards against a process that they end by memory or descriptors.
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <mutex>
#include <thread>

#include "cell/limits.h"
#include "cell/link.h"
#include "net.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

std::string Frame(const std::string& body, std::size_t length) {
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
  }
  return frame + body;
}

std::string HelloFrame(const std::string& instance) {
  schema::LinkMessage message;
  message.mutable_hello()->set_instance(instance);
  const std::string body = message.SerializeAsString();
  return Frame(body, body.size());
}

// A link service on a free port, and what it reports.
struct Service {
  explicit Service(LinkLimits limits)
      : runtime(std::move(Runtime::Create(1).value())),
        timers(std::move(TimerService::Create(*runtime).value())) {
    limits.on_limit = [this](std::string_view limit) { Record("limit " + std::string(limit)); };
    LinkHooks hooks;
    hooks.make_ping = [](const LinkPtr&) { return schema::Ping(); };
    hooks.on_ping = [](const LinkPtr&, const schema::Ping&) {};
    hooks.on_message = [](const LinkPtr&, const schema::LinkMessage&) {};
    hooks.on_open = [this](const LinkPtr& link) { Record("open " + link->Peer().instance()); };
    hooks.on_closed = [this](const LinkPtr& link, const std::string& reason) {
      Record("closed " + link->Peer().instance() + ": " + reason);
    };
    schema::Hello hello;
    hello.set_instance("server");
    for (port = 17700; !service && port < 17800; ++port) {
      auto made = LinkService::Create(*runtime, *timers, "127.0.0.1:" + std::to_string(port), hello,
                                      hooks, limits);
      if (made) service = std::move(made).value();
    }
    --port;
    runtime->Start();
  }
  ~Service() {
    std::promise<void> destroyed;
    runtime->Post([&] {
      service.reset();
      destroyed.set_value();
    });
    destroyed.get_future().wait();
    runtime->Stop();
  }
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void Record(const std::string& event) {
    const std::lock_guard lock(mutex);
    events.push_back(event);
  }

  // Waits until an event has been recorded. @returns whether it was in time.
  bool Await(const std::string& event) {
    for (int i = 0; i < 1000; ++i) {
      if (Has(event)) return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }

  bool Has(const std::string& event) {
    const std::lock_guard lock(mutex);
    return std::find(events.begin(), events.end(), event) != events.end();
  }

  [[nodiscard]] std::unique_ptr<Tcp::socket> Connect(const std::string& bytes) {
    auto socket = std::make_unique<Tcp::socket>(context);
    boost::system::error_code error;
    socket->connect({asio::ip::make_address("127.0.0.1"), port}, error);
    asio::write(*socket, asio::buffer(bytes), error);
    return socket;
  }

  asio::io_context context;
  std::mutex mutex;
  std::vector<std::string> events;
  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<TimerService> timers;
  std::unique_ptr<LinkService> service;
  std::uint16_t port = 0;
};

// A client that is never silent and says nothing stays connected otherwise.
TEST_CASE("link: a client that sends its first message a byte at a time is closed") {
  Service service{LinkLimits{}};
  const auto socket = service.Connect(Frame("", 1000));
  boost::system::error_code error;
  for (int i = 0; i < 100 && !service.Has("closed : no Hello"); ++i) {
    asio::write(*socket, asio::buffer("x", 1), error);
    std::this_thread::sleep_for(50ms);
  }
  CHECK(service.Await("closed : no Hello"));
  CHECK(service.Has("limit link-hello"));
}

TEST_CASE("link: a first message that is too large for a Hello is refused") {
  Service service{LinkLimits{}};
  const auto socket = service.Connect(Frame("", kMaxLinkFrameBytes));
  CHECK(service.Await("closed : a received frame exceeds the size limit"));
  CHECK(service.Has("limit link-frame"));
}

TEST_CASE("link: above the maximum strangers are closed, and not instances") {
  LinkLimits limits;
  limits.max_accepted = 3;
  Service service(limits);
  const auto first = service.Connect(HelloFrame("n-1"));
  const auto second = service.Connect(HelloFrame("n-2"));
  REQUIRE(service.Await("open n-1"));
  REQUIRE(service.Await("open n-2"));
  std::vector<std::unique_ptr<Tcp::socket>> strangers;
  strangers.reserve(3);
  for (int i = 0; i < 3; ++i) strangers.push_back(service.Connect(""));
  const auto third = service.Connect(HelloFrame("n-3"));
  REQUIRE(service.Await("open n-3"));
  CHECK(service.Has("closed : the limits of links are exceeded"));
  CHECK_FALSE(service.Has("closed n-1: the limits of links are exceeded"));
  CHECK_FALSE(service.Has("closed n-2: the limits of links are exceeded"));
}

TEST_CASE("link: messages without an end close the link that holds most, and not the others") {
  LinkLimits limits;
  limits.budget = std::make_shared<ConnectionBudget>(ConnectionBudgetLimits{2U << 20, 1h});
  Service service(limits);
  const std::string part(1000000, 'x');
  const auto quiet = service.Connect(HelloFrame("quiet"));
  REQUIRE(service.Await("open quiet"));
  const auto small = service.Connect(HelloFrame("small") + Frame(part.substr(0, 300000), 400000));
  const auto large = service.Connect(HelloFrame("large") + Frame(part, kMaxLinkFrameBytes));
  boost::system::error_code error;
  asio::write(*large, asio::buffer(part), error);
  CHECK(service.Await("closed large: the limits of links are exceeded"));
  CHECK_FALSE(service.Has("closed small: the limits of links are exceeded"));
  CHECK_FALSE(service.Has("closed quiet: the limits of links are exceeded"));
}

// Guards against peers that call and do not read: what waited for each was limited, at 8 MB, and
// not what waited for all.
TEST_CASE("link: too much that waits closes the peer that does not read, and not the others") {
  constexpr std::size_t kPayloadBytes = 60000;
  LinkLimits limits;
  limits.max_queued_bytes = 4 * kPayloadBytes;
  limits.listen = ListenOptions{4096, 4096, 16};
  Service service(limits);
  const auto unread = service.Connect(HelloFrame("unread"));
  const auto reader = service.Connect(HelloFrame("reader"));
  REQUIRE(service.Await("open unread"));
  REQUIRE(service.Await("open reader"));
  schema::LinkMessage ping;
  ping.mutable_ping()->set_period_ms(100);
  const std::string ping_text = ping.SerializeAsString();
  boost::system::error_code error;
  std::string received(kPayloadBytes, '\0');
  reader->non_blocking(true);
  for (int i = 0; i < 1000 && !service.Has("limit link-unread"); ++i) {
    service.runtime->Post([&service] {
      schema::LinkMessage message;
      message.mutable_submit()->mutable_spec()->set_payload(std::string(kPayloadBytes, 'x'));
      service.service->ForEach([&message](const LinkPtr& link) { link->Send(message); });
    });
    // Neither peer is silent.
    for (Tcp::socket* socket : {unread.get(), reader.get()}) {
      asio::write(*socket, asio::buffer(Frame(ping_text, ping_text.size())), error);
    }
    for (int read = 0; read < 100; ++read) {
      if (reader->read_some(asio::buffer(received), error) == 0) {
        std::this_thread::sleep_for(200us);
      }
    }
  }
  CHECK(service.Await("closed unread: the limits of links are exceeded"));
  CHECK_FALSE(service.Has("closed reader: the limits of links are exceeded"));
}

}  // namespace
}  // namespace citronsill
