// Tests answers of the store that take longer to arrive than the store may stay silent.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "platform/platform.h"

namespace citronsill {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

// The store's client allows the wait and 700 ms for the answer to begin.
constexpr milliseconds kWait{100};
constexpr milliseconds kFeedSlack{700};

// Answers one request part by part over a slow connection, and may stop in the middle.
class SlowConnection {
 public:
  // @param parts number of parts, each sent `gap` after the one before. @param sent those sent.
  SlowConnection(std::size_t parts, std::size_t sent, milliseconds gap)
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this, parts, sent, gap] { Serve(parts, sent, gap); }) {}
  ~SlowConnection() {
    m_ends.set_value();
    m_thread.join();
  }
  SlowConnection(const SlowConnection&) = delete;
  SlowConnection& operator=(const SlowConnection&) = delete;

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  void Serve(std::size_t parts, std::size_t sent, milliseconds gap) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket = m_acceptor.accept(error);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    constexpr std::size_t kPartBytes = 30000;
    std::string body = R"({"ver":5,"rows":[],"text":")";
    body.append(parts * kPartBytes - body.size() - 2, 'x').append("\"}");
    const std::string header =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    asio::write(socket, asio::buffer(header), error);
    for (std::size_t i = 0; i < sent && !error; ++i) {
      const std::string part = body.substr(i * kPartBytes, kPartBytes);
      asio::write(socket, asio::buffer(part), error);
      std::this_thread::sleep_for(gap);
    }
    m_ends.get_future().wait();
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::promise<void> m_ends;
  std::thread m_thread;
};

struct Outcome {
  bool answered = false;
  milliseconds took{0};
};

Outcome Follow(const SlowConnection& server) {
  const auto runtime = std::move(Runtime::Create(1).value());
  const auto store = std::move(platform::CreateStore(*runtime, server.Address()).value());
  runtime->Start();
  std::promise<bool> answered;
  const auto begin = std::chrono::steady_clock::now();
  store->Follow("op", 1, kWait,
                [&answered](const Result<RowPage>& page) { answered.set_value(page.has_value()); });
  Outcome outcome;
  outcome.answered = answered.get_future().get();
  outcome.took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
  runtime->Stop();
  return outcome;
}

// Guards against a change that is never received, because its transfer takes longer than the store
// may stay silent (issue 62).
TEST_CASE("store: an answer that keeps arriving is not cut off") {
  const SlowConnection server(30, 30, 60ms);
  const Outcome outcome = Follow(server);
  CHECK(outcome.answered);
  CHECK(outcome.took > kWait + kFeedSlack);
}

// Guards against changes that are late because an answer stopped in the middle.
TEST_CASE("store: an answer that stops arriving is given up as soon as one that does not begin") {
  const SlowConnection server(30, 10, 60ms);
  const Outcome outcome = Follow(server);
  CHECK_FALSE(outcome.answered);
  CHECK(outcome.took < 10 * 60ms + kWait + 2 * kFeedSlack);
}

}  // namespace
}  // namespace citronsill
