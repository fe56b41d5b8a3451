// Tests how the client of the store takes the status of an answer to a transaction.
#include <doctest/doctest.h>

#include <atomic>
#include <future>

#include "platform/platform.h"

namespace citronsill {
namespace {

constexpr milliseconds kTimeout{2000};

// A store that answers each transaction with one status.
struct StatusStore {
  StatusStore() : runtime(std::move(Runtime::Create(1).value())) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server = std::move(
        HttpServer::Create(*runtime, options, [this](const HttpRequest&, const HttpReply& reply) {
          HttpResponse response;
          response.status = status;
          response.body = R"({"ver":5,"rows":[]})";
          reply(std::move(response));
        }).value());
    store = std::move(
        platform::CreateStore(*runtime, "127.0.0.1:" + std::to_string(server->Port())).value());
    runtime->Start();
  }
  ~StatusStore() { runtime->Stop(); }
  StatusStore(const StatusStore&) = delete;
  StatusStore& operator=(const StatusStore&) = delete;

  // @returns CODE_OK, whether the transaction was carried out or not, or the code of the error.
  schema::Code Commit(unsigned answered_status) {
    status = answered_status;
    RowTransaction transaction;
    transaction.writes = {Row{{"job", "s0", "a"}, "value"}};
    auto code = std::make_shared<std::promise<schema::Code>>();
    store->Commit(transaction, kTimeout, [code](const Result<CommitOutcome>& result) {
      code->set_value(result ? schema::CODE_OK : result.error().code);
    });
    return code->get_future().get();
  }

  std::atomic<unsigned> status = 200;
  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<RowStore> store;
};

// Guards against LOST (class of review/2): a refusal that is sure counted as an unknown outcome,
// and the transaction was sent again for good.
TEST_CASE("store: a refusal of a transaction is told from an unknown outcome") {
  StatusStore server;
  for (const unsigned status : {200U, 412U}) {
    CAPTURE(status);
    CHECK(server.Commit(status) == schema::CODE_OK);
  }
  for (const unsigned status : {400U, 403U, 404U, 413U, 507U}) {
    CAPTURE(status);
    CHECK(server.Commit(status) == schema::CODE_COMMIT_REFUSED);
  }
  // It may be taken later.
  for (const unsigned status : {429U, 503U}) {
    CAPTURE(status);
    CHECK(server.Commit(status) == schema::CODE_TABLE_UNAVAILABLE);
  }
  for (const unsigned status : {408U, 500U, 502U, 504U}) {
    CAPTURE(status);
    CHECK(server.Commit(status) == schema::CODE_COMMIT_UNKNOWN);
  }
}

}  // namespace
}  // namespace citronsill
