// Tests what an entry answers by a configuration that may have been replaced.
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

#include "cell/limits.h"
#include "cell/node.h"
#include "net.h"
#include "platform/platform.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

// A store with a configuration and nothing else, which can fall silent.
class ConfigStore : public RowStore {
 public:
  explicit ConfigStore(TimerService& timers) : m_timers(timers) {}

  std::atomic<bool> silent{false};

  void Commit(RowTransaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override {
    m_timers.After(timeout, [done](SteadyTime) {
      done(Error{schema::CODE_TABLE_UNAVAILABLE, "the table is read-only"});
    });
  }
  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override {
    RowPage page;
    page.version = 1;
    if (range.table == "op" && range.from.empty()) {
      page.rows = {Row{{"op", "", "config"}, kConfig, 1}};
    }
    Answer(5ms, timeout, std::move(page), std::move(done));
  }
  void Follow(std::string, std::uint64_t, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override {
    RowPage page;
    page.version = 1;
    Answer(wait, wait + 700ms, std::move(page), std::move(done));
  }

 private:
  static constexpr const char* kConfig =
      R"({"version":2,"routes":[{"name":"q","host":"cell.example","prefix":"/q/","service":"s"}]})";

  void Answer(milliseconds delay, milliseconds timeout, RowPage page,
              std::function<void(Result<RowPage>)> done) {
    if (silent) {
      m_timers.After(timeout, [done](SteadyTime) {
        done(Error{schema::CODE_TABLE_UNAVAILABLE, "no answer"});
      });
      return;
    }
    m_timers.After(delay, [done, page = std::move(page)](SteadyTime) { done(page); });
  }

  TimerService& m_timers;
};

std::string FreeAddress() {
  asio::io_context context;
  const Tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

struct Entry {
  Entry() {
    NodeSettings settings;
    settings.instance = "n-0";
    settings.link_address = settings.link_advertised_address = "127.0.0.1:0";
    settings.ingress_address = FreeAddress();
    PlatformServices services = std::move(platform::Connect(*runtime, {"127.0.0.1:1", ""}).value());
    auto created = std::make_unique<ConfigStore>(*timers);
    store = created.get();
    services.store = std::move(created);
    node = std::move(Node::Create(*runtime, *timers, settings, std::move(services)).value());
    ingress = std::move(platform::Ingress::Create(*runtime, *node, settings).value());
    HttpClientOptions options;
    options.address = settings.ingress_address;
    client = std::move(HttpClient::Create(*runtime, options).value());
    runtime->Start();
  }
  ~Entry() { runtime->Stop(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Submits a job to a queue that the configuration does not have.
  [[nodiscard]] HttpResponse Submit() const {
    HttpRequest request;
    request.method = "POST";
    request.host = "cell.example";
    request.target = "/added/0123456789abcdef";
    request.body = R"({"steps":[{"count":1}]})";
    auto answer = std::make_shared<std::promise<HttpResponse>>();
    client->Send(std::move(request), 2000ms, [answer](const Result<HttpResponse>& result) {
      answer->set_value(result ? result.value() : HttpResponse{0, "", "", std::nullopt});
    });
    return answer->get_future().get();
  }
  // @returns the status of the answer, once it is not `unless` any more.
  [[nodiscard]] unsigned SubmitUnless(unsigned unless) const {
    unsigned status = unless;
    for (int i = 0; i < 60 && status == unless; ++i) {
      std::this_thread::sleep_for(100ms);
      status = Submit().status;
    }
    return status;
  }

  std::unique_ptr<Runtime> runtime = std::move(Runtime::Create(1).value());
  std::unique_ptr<TimerService> timers = std::move(TimerService::Create(*runtime).value());
  ConfigStore* store = nullptr;
  std::unique_ptr<Node> node;
  std::unique_ptr<platform::Ingress> ingress;
  std::unique_ptr<HttpClient> client;
};

// Guards against a final answer by a configuration that may be older than a change may take: the
// caller does not repeat a call that got 404 (issue 62).
TEST_CASE("ingress: a queue is denied only by a configuration that is known to be current") {
  const Entry entry;
  REQUIRE(entry.SubmitUnless(503) == 404);
  entry.store->silent = true;
  // A feed that is under way still tells that nothing has changed.
  std::this_thread::sleep_for(kFeedWait + kMaxConfigAge + 500ms);
  const HttpResponse response = entry.Submit();
  // 503 would say that the job does not run, although another entry may have accepted it.
  CHECK(response.status == 504);
  CHECK(response.retry_after.has_value());
  entry.store->silent = false;
  CHECK(entry.SubmitUnless(504) == 404);
}

}  // namespace
}  // namespace citronsill
