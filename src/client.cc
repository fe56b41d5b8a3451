#include "citronsill/client.h"

#include "internal.h"

namespace citronsill {

ExitCode ExitCodeOf(schema::Code code) {
  switch (code) {
    case schema::CODE_OK:
      return ExitCode::kSuccess;
    case schema::CODE_NOT_FOUND:
      return ExitCode::kNotFound;
    case schema::CODE_KEY_REUSED:
    case schema::CODE_CONFLICT:
      return ExitCode::kConflict;
    case schema::CODE_CANCELLED:
    case schema::CODE_TASK_FAILED:
    case schema::CODE_DEADLINE_PASSED:
    case schema::CODE_RETRIES_EXHAUSTED:
      return ExitCode::kWorkFailed;
    case schema::CODE_OUTCOME_UNKNOWN:
    case schema::CODE_COMMIT_UNKNOWN:
    case schema::CODE_TIMEOUT:
    case schema::CODE_CONNECTION_CLOSED:
      return ExitCode::kOutcomeUnknown;
    case schema::CODE_PEER_UNREACHABLE:
      return ExitCode::kUnreachable;
    case schema::CODE_INTERNAL:
      return ExitCode::kFault;
    default:
      break;
  }
  const int group = static_cast<int>(code) / 100;
  return group == 1 || group == 7 ? ExitCode::kUsage : ExitCode::kRefused;
}

struct Client::Impl : std::enable_shared_from_this<Impl> {
  struct Call {
    HttpRequest request;
    std::chrono::milliseconds timeout;
    RetryPolicy retry_policy = RetryPolicy::kNever;
    std::function<void(Result<HttpResponse>)> done;
    std::optional<Error> may_have_effect;  // Error of a server that may have processed the call.
  };

  std::vector<std::unique_ptr<HttpClient>> servers;
  std::string authorization;

  void SendTo(const std::shared_ptr<Call>& call, std::size_t index) {
    servers[index]->Send(call->request, call->timeout,
                         [self = shared_from_this(), call, index](Result<HttpResponse> response) {
                           self->OnResponse(call, index, std::move(response));
                         });
  }

  void OnResponse(const std::shared_ptr<Call>& call, std::size_t index,
                  Result<HttpResponse> response) {
    if (response) return call->done(std::move(response));
    const bool unsent = response.error().code == schema::CODE_PEER_UNREACHABLE ||
                        response.error().code == schema::CODE_OVERLOADED;
    if (!unsent) call->may_have_effect = response.error();
    const bool may_try_next = unsent || call->retry_policy == RetryPolicy::kIdempotent;
    if (may_try_next && index + 1 < servers.size()) return SendTo(call, index + 1);
    if (call->may_have_effect) return call->done(*call->may_have_effect);
    call->done(std::move(response));
  }
};

Result<std::unique_ptr<Client>> Client::Create(Runtime& runtime, const ClientOptions& options) {
  EnableHttpTls();
  auto impl = std::make_shared<Impl>();
  for (const std::string& server : options.servers) {
    HttpClientOptions http;
    http.address = server;
    http.max_connections = options.max_connections;
    http.tls_ca_file = options.tls_ca_file;
    BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, http));
    impl->servers.push_back(std::move(client));
  }
  if (impl->servers.empty()) return Error{schema::CODE_INVALID_FIELD, "no server was given"};
  if (!options.access_key.empty()) impl->authorization = "Bearer " + options.access_key;
  return std::unique_ptr<Client>(new Client(std::move(impl)));
}

Client::Client(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Client::~Client() = default;

void Client::Send(HttpRequest request, std::chrono::milliseconds timeout, RetryPolicy retry_policy,
                  std::function<void(Result<HttpResponse>)> done) {
  auto call = std::make_shared<Impl::Call>();
  request.authorization = m_impl->authorization;
  call->request = std::move(request);
  call->timeout = timeout;
  call->retry_policy = retry_policy;
  call->done = std::move(done);
  m_impl->SendTo(call, 0);
}

}  // namespace citronsill
