#include "citronsill/http.h"
#include "citronsill/worker.h"
#include "internal.h"

namespace citronsill {
namespace {

// One connection waits in a sync; the others carry start and control calls.
constexpr std::size_t kConnectionsPerWorker = 4;

class HttpWorkerLink : public WorkerLink {
 public:
  explicit HttpWorkerLink(std::unique_ptr<HttpClient> client) : m_client(std::move(client)) {}

  void Start(schema::WorkerStart start,
             std::function<void(Result<schema::WorkerResult>)> done) override {
    Post<schema::WorkerResult>("/worker/start", ToJson(start), kWorkerTimeout, std::move(done));
  }

  void Control(schema::WorkerControl control,
               std::function<void(Result<schema::WorkerResult>)> done) override {
    Post<schema::WorkerResult>("/worker/control", ToJson(control), kWorkerTimeout, std::move(done));
  }

  void Sync(schema::WorkerSync sync,
            std::function<void(Result<schema::WorkerSyncResult>)> done) override {
    const auto timeout = kWorkerTimeout + ToMilliseconds(sync.wait());
    Post<schema::WorkerSyncResult>("/worker/sync", ToJson(sync), timeout, std::move(done));
  }

 private:
  template <class Message>
  void Post(std::string target, std::string body, std::chrono::milliseconds timeout,
            std::function<void(Result<Message>)> done) {
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    m_client->Send(std::move(request), timeout, [done](Result<HttpResponse> response) {
      if (!response) return done(response.error());
      if (response.value().status != 200) {
        return done(
            Error{schema::CODE_WORKER_UNREACHABLE,
                  "the worker answered with status " + std::to_string(response.value().status)});
      }
      Message message;
      if (auto parsed = FromJson(response.value().body, UnknownFields::kIgnore, &message);
          !parsed) {
        return done(parsed.error());
      }
      done(std::move(message));
    });
  }

  std::unique_ptr<HttpClient> m_client;
};

}  // namespace

WorkerLinkFactory HttpWorkerLinks(Runtime& runtime) {
  return [&runtime](const std::string& address) -> Result<std::unique_ptr<WorkerLink>> {
    HttpClientOptions options;
    options.address = address;
    options.max_connections = kConnectionsPerWorker;
    BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, options));
    return std::unique_ptr<WorkerLink>(std::make_unique<HttpWorkerLink>(std::move(client)));
  };
}

}  // namespace citronsill
