#include "citronsill/api.h"

#include "citronsill/entry.h"
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
    reply(answer ? ToResponse(answer.value()) : ToResponse(answer.error()));
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

HttpResponse ToResponse(const Error& error) {
  schema::Answer answer;
  answer.set_state(schema::STATE_REFUSED);
  answer.set_code(error.code);
  answer.set_message(error.message);
  answer.set_not_run(true);
  return ToResponse(answer);
}

Result<std::unique_ptr<Api>> Api::Create(ApiHooks hooks) {
  return std::unique_ptr<Api>(new Api(std::move(hooks)));
}

Api::Api(ApiHooks hooks) : m_hooks(std::move(hooks)) {}

void Api::Handle(const HttpRequest& request, const HttpReply& reply) const {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/healthz") return reply(Text(200, "ok\n"));
  if (path == "/readyz") {
    return reply(m_hooks.is_ready() ? Text(200, "ready\n") : Text(503, "not ready\n"));
  }
  if (path == "/metrics") return reply(Text(200, m_hooks.metrics()));
  if (path == "/v1/drain" && request.method == "POST") {
    m_hooks.drain();
    return reply(Text(202, "draining\n"));
  }
  if (path == kRequestsPath) {
    if (request.method != "POST") {
      return reply(ToResponse(Error{schema::CODE_METHOD_NOT_ALLOWED, "use POST " + path}));
    }
    schema::Request message;
    auto checked = FromJson(request.body, UnknownFields::kReject, &message);
    if (checked) checked = CheckRequest(message);
    if (!checked) return reply(ToResponse(checked.error()));
    return m_hooks.submit(std::move(message),
                          [reply](const schema::Answer& answer) { reply(ToResponse(answer)); });
  }
  if (path.size() > kRequestsPath.size() + 1 && path.starts_with(kRequestsPath)) {
    const std::string id = path.substr(kRequestsPath.size() + 1);
    if (request.method == "GET") return m_hooks.status(id, ReplyWith(reply));
    if (request.method == "DELETE") return m_hooks.cancel(id, ReplyWith(reply));
    return reply(ToResponse(Error{schema::CODE_METHOD_NOT_ALLOWED, "use GET or DELETE " + path}));
  }
  reply(ToResponse(Error{schema::CODE_NOT_FOUND, "no address " + path}));
}

}  // namespace citronsill
