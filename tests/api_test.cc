#include "citronsill/api.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <future>

#include "citronsill/access.h"
#include "citronsill/client.h"
#include "citronsill/codec.h"
#include "citronsill/log.h"
#include "citronsill/metrics.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

// A temporary file that is removed at the end of the test.
class TestFile {
 public:
  explicit TestFile(const std::string& text)
      : m_path(std::filesystem::temp_directory_path() /
               ("citronsill-test-" + std::to_string(getpid()) + "-" + std::to_string(++s_count))) {
    Write(text);
  }
  ~TestFile() { std::filesystem::remove(m_path); }
  TestFile(const TestFile&) = delete;
  TestFile& operator=(const TestFile&) = delete;

  void Write(const std::string& text) const { std::ofstream(m_path) << text; }
  [[nodiscard]] std::string Path() const { return m_path.string(); }

 private:
  std::filesystem::path m_path;
  inline static int s_count = 0;
};

const char* const kKeys = R"({"keys": [ // of the test
  {"name": "yard", "role": "ROLE_CALLER", "key": "caller-key-0123456789"},
  {"name": "anna", "role": "ROLE_OPERATOR", "key": "operator-key-0123456789"}]})";

const char* const kRequest = R"({"work_class":"a","team":"t"})";

struct TestApi {
  explicit TestApi(const std::string& keys_path) {
    access = std::move(AccessControl::Create(keys_path).value());
    ApiHooks hooks;
    hooks.submit = [this](const schema::Request&, const std::function<void(schema::Answer)>& done) {
      ++submitted;
      schema::Answer answer;
      answer.set_code(schema::CODE_OK);
      done(answer);
    };
    hooks.status = [](const std::string&, const std::function<void(Result<schema::Answer>)>& done) {
      done(Error{schema::CODE_PEER_UNREACHABLE, "the owner does not answer"});
    };
    hooks.cancel = hooks.status;
    hooks.is_ready = [] { return true; };
    hooks.drain = [this] { drained = true; };
    hooks.authorize = [this](const std::string& authorization, schema::Role needed) {
      return access->Authorize(authorization, needed);
    };
    hooks.handle_operator_request = [](const HttpRequest& request, const std::string&,
                                       const HttpReply& reply) {
      if (request.target != "/v1/report" || request.method != "GET") return false;
      reply(HttpResponse{});
      return true;
    };
    hooks.on_answer = [](const std::string&, schema::Code, std::chrono::steady_clock::duration) {};
    api = std::move(Api::Create(std::move(hooks)).value());
  }

  HttpResponse Call(const std::string& method, const std::string& target, const std::string& body,
                    const std::string& authorization = "") const {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.authorization = authorization;
    HttpResponse response;
    api->Handle(request, [&](const HttpResponse& sent) { response = sent; });
    return response;
  }

  std::unique_ptr<AccessControl> access;
  std::unique_ptr<Api> api;
  int submitted = 0;
  bool drained = false;
};

schema::Answer AnswerOf(const HttpResponse& response) {
  schema::Answer answer;
  CHECK(FromJson(response.body, UnknownFields::kReject, &answer));
  return answer;
}

}  // namespace

// Guards against calls without a key, and against callers who use operator endpoints.
TEST_CASE("api: roles decide what a key allows") {
  const TestFile keys(kKeys);
  TestApi api(keys.Path());
  const std::string caller = "Bearer caller-key-0123456789";
  const std::string operators = "Bearer operator-key-0123456789";
  const auto code = [&](const std::string& method, const std::string& target,
                        const std::string& key) {
    return AnswerOf(api.Call(method, target, kRequest, key)).code();
  };
  CHECK(code("POST", "/v1/requests", "") == schema::CODE_UNAUTHENTICATED);
  CHECK(code("POST", "/v1/requests", "Bearer caller-key-012345678") ==
        schema::CODE_UNAUTHENTICATED);
  CHECK(code("POST", "/v1/requests", "Basic caller-key-0123456789") ==
        schema::CODE_UNAUTHENTICATED);
  CHECK(code("POST", "/v1/drain", caller) == schema::CODE_FORBIDDEN);
  CHECK(code("GET", "/v1/report", caller) == schema::CODE_FORBIDDEN);
  CHECK(code("GET", "/v1/unknown", "") == schema::CODE_UNAUTHENTICATED);
  CHECK(api.submitted == 0);
  CHECK_FALSE(api.drained);
  CHECK(api.Call("POST", "/v1/requests", kRequest, caller).status == 200);
  CHECK(api.Call("POST", "/v1/requests", kRequest, operators).status == 200);
  CHECK(api.Call("GET", "/v1/report", "", operators).status == 200);
  CHECK(api.Call("POST", "/v1/drain", "", operators).status == 202);
  // The load balancer has no access key.
  CHECK(api.Call("GET", "/readyz", "").status == 200);
}

// Guards against keys that stay valid after their removal, and against an invalid file that locks
// out everybody or whose error message contains a key.
TEST_CASE("api: the key file is reread") {
  const TestFile keys(kKeys);
  auto access = std::move(AccessControl::Create(keys.Path()).value());
  const auto valid = [&](const std::string& key) {
    return access->Authorize("Bearer " + key, schema::ROLE_OPERATOR).has_value();
  };
  CHECK(valid("operator-key-0123456789"));
  keys.Write("{ not JSON");
  access->Refresh();
  CHECK(valid("operator-key-0123456789"));
  keys.Write(R"({"keys":[{"name":"ben","role":"ROLE_OPERATOR","key":"another-key-0123456789"}]})");
  access->Refresh();
  CHECK_FALSE(valid("operator-key-0123456789"));
  CHECK(valid("another-key-0123456789"));

  keys.Write(R"({"keys":[{"name":"ben","role":"ROLE_OPERATOR","key":"short-secret"}]})");
  const auto refused = AccessControl::Create(keys.Path());
  CHECK(refused.error().code == schema::CODE_SETTINGS_INVALID);
  CHECK(refused.error().message.find("short-secret") == std::string::npos);
  keys.Write(R"({"keys":[{"name":"ben","role":"ROLE_KING","key":["secret-in-a-list"]}]})");
  CHECK(AccessControl::Create(keys.Path()).error().message.find("secret") == std::string::npos);
  CHECK(AccessControl::Create("/nonexistent").error().code == schema::CODE_SETTINGS_UNREADABLE);
}

// Guards against an error of a status or cancel call that says that the request did not run.
TEST_CASE("api: only a refused submit says that nothing was run") {
  TestApi api("");
  const schema::Answer refused = AnswerOf(api.Call("POST", "/v1/requests", "{"));
  CHECK(refused.code() == schema::CODE_MALFORMED);
  CHECK(refused.not_run());
  // The message does not repeat bytes that are not UTF-8, which would make the answer invalid JSON.
  CHECK(AnswerOf(api.Call("POST", "/v1/requests", "{\"team\":\"\xff\"}")).code() ==
        schema::CODE_MALFORMED);
  for (const char* method : {"GET", "DELETE"}) {
    const schema::Answer unknown = AnswerOf(api.Call(method, "/v1/requests/x", ""));
    CHECK(unknown.code() == schema::CODE_PEER_UNREACHABLE);
    CHECK_FALSE(unknown.not_run());
    CHECK(unknown.state() == schema::STATE_UNKNOWN);
  }
  CHECK(AnswerOf(api.Call("PUT", "/v1/requests", "")).code() == schema::CODE_METHOD_NOT_ALLOWED);
  CHECK(AnswerOf(api.Call("POST", "/v1/report", "")).code() == schema::CODE_METHOD_NOT_ALLOWED);
  CHECK(AnswerOf(api.Call("GET", "/v1/requests/", "")).code() == schema::CODE_NOT_FOUND);
  CHECK(AnswerOf(api.Call("GET", "/v1/requestsx", "")).code() == schema::CODE_NOT_FOUND);
}

// Guards against an unbounded number of label values from callers.
TEST_CASE("api: metrics have bounded labels") {
  MetricsHooks hooks;
  hooks.is_known_class = [](const std::string& name) { return name == "quick-quote"; };
  auto metrics = std::move(Metrics::Create(std::move(hooks)).value());
  for (int i = 0; i < 100; ++i) {
    metrics->CountRequest("made-up-" + std::to_string(i), static_cast<schema::Code>(10000 + i),
                          milliseconds(1));
  }
  metrics->CountRequest("quick-quote", schema::CODE_OK, milliseconds(1));
  const std::string text = metrics->Text();
  CHECK(text.find("made-up") == std::string::npos);
  CHECK(text.find("work_class=\"other\"} 100") != std::string::npos);
  CHECK(text.find("code=\"OK\",work_class=\"quick-quote\"} 1") != std::string::npos);
}

// Guards against forged log lines.
TEST_CASE("api: text of callers is escaped in the log") {
  CHECK(LogText("a\nlevel=info \"x\"\xff") == R"("a\x0alevel=info \"x\"\xff")");
  CHECK(LogText(std::string(1000, 'a')).size() == 133);
  CHECK(SetLogLevel("loud").error().code == schema::CODE_INVALID_FIELD);
}

// Guards against a client that repeats a call that must not be repeated, or gives up while another
// server works.
TEST_CASE("api: the client tries the next server only when that is safe") {
  auto runtime = std::move(Runtime::Create(1).value());
  runtime->Start();
  std::atomic<int> calls{0};
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  // This server accepts the request and never answers.
  auto silent =
      std::move(HttpServer::Create(*runtime, options, [&](const HttpRequest&, const HttpReply&) {
                  ++calls;
                }).value());
  auto working = std::move(
      HttpServer::Create(*runtime, options, [&](const HttpRequest&, const HttpReply& reply) {
        ++calls;
        reply(HttpResponse{});
      }).value());
  const auto address = [](const HttpServer& server) {
    return "127.0.0.1:" + std::to_string(server.Port());
  };
  const std::string closed = "127.0.0.1:1";
  const auto send = [&](std::vector<std::string> servers, RetryPolicy retry_policy) {
    ClientOptions client_options;
    client_options.servers = std::move(servers);
    auto client = std::move(Client::Create(*runtime, client_options).value());
    auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    calls = 0;
    client->Send(HttpRequest{}, milliseconds(200), retry_policy,
                 [promise](Result<HttpResponse> response) { promise->set_value(response); });
    const Result<HttpResponse> response = promise->get_future().get();
    return response ? schema::CODE_OK : response.error().code;
  };
  CHECK(send({closed, address(*working)}, RetryPolicy::kNever) == schema::CODE_OK);
  CHECK(send({closed}, RetryPolicy::kIdempotent) == schema::CODE_PEER_UNREACHABLE);
  CHECK(send({address(*silent), address(*working)}, RetryPolicy::kNever) == schema::CODE_TIMEOUT);
  CHECK(calls == 1);
  CHECK(send({address(*silent), address(*working)}, RetryPolicy::kIdempotent) == schema::CODE_OK);
  CHECK(calls == 2);
  // The call may have taken effect at the first server, whatever the second one does.
  CHECK(send({address(*silent), closed}, RetryPolicy::kIdempotent) == schema::CODE_TIMEOUT);
  runtime->Stop();
}

// Guards against exit codes that scripts misread.
TEST_CASE("api: exit codes") {
  CHECK(ExitCodeOf(schema::CODE_OK) == ExitCode::kSuccess);
  CHECK(ExitCodeOf(schema::CODE_TASK_FAILED) == ExitCode::kWorkFailed);
  CHECK(ExitCodeOf(schema::CODE_INVALID_FIELD) == ExitCode::kUsage);
  CHECK(ExitCodeOf(schema::CODE_SETTINGS_INVALID) == ExitCode::kUsage);
  CHECK(ExitCodeOf(schema::CODE_OVERLOADED) == ExitCode::kRefused);
  CHECK(ExitCodeOf(schema::CODE_TABLE_UNAVAILABLE) == ExitCode::kRefused);
  CHECK(ExitCodeOf(schema::CODE_PEER_UNREACHABLE) == ExitCode::kUnreachable);
  CHECK(ExitCodeOf(schema::CODE_COMMIT_UNKNOWN) == ExitCode::kOutcomeUnknown);
  CHECK(ExitCodeOf(schema::CODE_CONFLICT) == ExitCode::kConflict);
  CHECK(ExitCodeOf(schema::CODE_NOT_FOUND) == ExitCode::kNotFound);
}

}  // namespace citronsill
