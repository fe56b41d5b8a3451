#include "citronsill/api.h"

#include "citronsill/entry.h"
#include "citronsill/log.h"
#include "internal.h"

namespace citronsill {
namespace {

constexpr std::string_view kRequestsPath = "/v1/requests";

HttpResponse Text(unsigned status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = body;
  return response;
}

std::function<void(Result<schema::Answer>)> ReplyWith(const HttpReply& reply) {
  return [reply](Result<schema::Answer> answer) {
    reply(answer ? ToResponse(answer.value()) : ToResponse(answer.error(), false));
  };
}

}  // namespace

HttpResponse ToResponse(const schema::Answer& answer) {
  HttpResponse response;
  response.status = HttpStatus(answer.code());
  const bool pending =
      answer.state() == schema::STATE_WAITING || answer.state() == schema::STATE_RUNNING;
  if (answer.code() == schema::CODE_OK && pending) response.status = 202;
  if (answer.has_retry_after()) response.retry_after = ToMilliseconds(answer.retry_after());
  response.body = ToJson(answer);
  return response;
}

HttpResponse ToResponse(const Error& error, bool not_run) {
  schema::Answer answer;
  answer.set_state(not_run ? schema::STATE_REFUSED : schema::STATE_UNKNOWN);
  answer.set_code(error.code);
  answer.set_message(error.message);
  answer.set_not_run(not_run);
  return ToResponse(answer);
}

Result<std::unique_ptr<Api>> Api::Create(ApiHooks hooks) {
  return std::unique_ptr<Api>(new Api(std::move(hooks)));
}

Api::Api(ApiHooks hooks) : m_hooks(std::move(hooks)) {}

void Api::Handle(const HttpRequest& request, const HttpReply& reply) const {
  const std::string path = request.target.substr(0, request.target.find('?'));
  // The load balancer has no access key.
  if (path == "/healthz") return reply(Text(200, "ok\n"));
  if (path == "/readyz") {
    return reply(m_hooks.is_ready() ? Text(200, "ready\n") : Text(503, "not ready\n"));
  }
  const bool is_request = path.starts_with(kRequestsPath);
  const auto key_name = m_hooks.authorize(request.authorization,
                                          is_request ? schema::ROLE_CALLER : schema::ROLE_OPERATOR);
  if (!key_name) {
    spdlog::warn("event=access_refused code={} method={} path={}",
                 static_cast<int>(key_name.error().code), LogText(request.method), LogText(path));
    const bool is_submit = path == kRequestsPath && request.method == "POST";
    return reply(ToResponse(key_name.error(), is_submit));
  }
  if (is_request) return HandleRequest(request, path, reply);
  if (path == "/v1/drain" && request.method == "POST") {
    spdlog::info("event=drain key={}", LogText(key_name.value()));
    m_hooks.drain();
    return reply(Text(202, "draining\n"));
  }
  if (m_hooks.handle_operator_request(request, key_name.value(), reply)) return;
  static const std::map<std::string, const char*> methods{{"/metrics", "GET"},
                                                          {"/v1/report", "GET"},
                                                          {"/v1/records", "GET or POST"},
                                                          {"/v1/log-level", "PUT"},
                                                          {"/v1/drain", "POST"}};
  if (const auto allowed_method = methods.find(path); allowed_method != methods.end()) {
    return reply(ToResponse(Error{schema::CODE_METHOD_NOT_ALLOWED,
                                  std::string("use ") + allowed_method->second + " " + path},
                            false));
  }
  reply(ToResponse(Error{schema::CODE_NOT_FOUND, "unknown path " + LogText(path)}, false));
}

void Api::HandleRequest(const HttpRequest& request, const std::string& path,
                        const HttpReply& reply) const {
  if (path == kRequestsPath) {
    if (request.method == "POST") return Submit(request, reply);
    return reply(ToResponse(Error{schema::CODE_METHOD_NOT_ALLOWED, "use POST " + path}, false));
  }
  const std::string id = path.substr(kRequestsPath.size());
  if (id.size() < 2 || id.front() != '/') {
    return reply(ToResponse(Error{schema::CODE_NOT_FOUND, "unknown path " + LogText(path)}, false));
  }
  if (request.method == "GET") return m_hooks.status(id.substr(1), ReplyWith(reply));
  if (request.method == "DELETE") return m_hooks.cancel(id.substr(1), ReplyWith(reply));
  reply(ToResponse(Error{schema::CODE_METHOD_NOT_ALLOWED, "use GET or DELETE " + LogText(path)},
                   false));
}

void Api::Submit(const HttpRequest& request, const HttpReply& reply) const {
  const auto received_at = std::chrono::steady_clock::now();
  schema::Request message;
  auto checked = FromJson(request.body, UnknownFields::kReject, &message);
  if (checked) checked = CheckRequest(message);
  if (!checked) {
    m_hooks.on_answer("", checked.error().code, std::chrono::steady_clock::now() - received_at);
    return reply(ToResponse(checked.error(), true));
  }
  const std::string work_class = message.work_class();
  m_hooks.submit(
      std::move(message), [this, received_at, work_class, reply](const schema::Answer& answer) {
        const auto elapsed = std::chrono::steady_clock::now() - received_at;
        const auto level =
            answer.code() == schema::CODE_OK ? spdlog::level::debug : spdlog::level::info;
        spdlog::log(level, "event=answer id={} class={} code={} ms={}", answer.id(),
                    LogText(work_class), static_cast<int>(answer.code()),
                    std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
        m_hooks.on_answer(work_class, answer.code(), elapsed);
        reply(ToResponse(answer));
      });
}

}  // namespace citronsill
