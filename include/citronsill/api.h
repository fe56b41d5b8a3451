/// HTTP endpoints for callers, operators and the load balancer.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "citronsill/http.h"
#include "citronsill/result.h"

namespace citronsill {

struct ApiHooks {
  /// Submits a validated request; `done` is called once with the final answer.
  std::function<void(schema::Request, std::function<void(schema::Answer)> done)> submit;
  /// @param done gets the state of a request, CODE_NOT_FOUND, or an error if its owner could not be
  /// asked.
  std::function<void(const std::string& id, std::function<void(Result<schema::Answer>)> done)>
      status;
  /// Cancels a request. @param done as for `status`.
  std::function<void(const std::string& id, std::function<void(Result<schema::Answer>)> done)>
      cancel;
  /// @returns whether the instance can take requests.
  std::function<bool()> is_ready;
  /// Starts draining.
  std::function<void()> drain;
  /// @param authorization value of the Authorization header.
  /// @returns the name of the access key, CODE_UNAUTHENTICATED or CODE_FORBIDDEN.
  std::function<Result<std::string>(const std::string& authorization, schema::Role needed)>
      authorize;
  /// Handles a request to an operator endpoint. @returns false if the path or method is none.
  std::function<bool(const HttpRequest&, const std::string& key_name, const HttpReply&)>
      handle_operator_request;
  /// Called when a submitted request was answered. @param work_class empty if the body was invalid.
  std::function<void(const std::string& work_class, schema::Code code,
                     std::chrono::steady_clock::duration elapsed)>
      on_answer;
};

/// Answers /healthz and /readyz without an access key. For all other paths, checks the key and
/// calls the hook.
class Api {
 public:
  static Result<std::unique_ptr<Api>> Create(ApiHooks hooks);

  /// Handles one HTTP request; the handler of an `HttpServer`.
  void Handle(const HttpRequest& request, const HttpReply& reply) const;

 private:
  explicit Api(ApiHooks hooks);
  void Submit(const HttpRequest& request, const HttpReply& reply) const;
  void HandleRequest(const HttpRequest& request, const std::string& path,
                     const HttpReply& reply) const;
  ApiHooks m_hooks;
};

/// @returns the HTTP response for an answer, with its status and Retry-After.
HttpResponse ToResponse(const schema::Answer& answer);

/// @returns the HTTP response for an error.
/// @param not_run whether the error rejects a submitted request, which then certainly did not run.
/// Errors of other calls do not tell whether a request ran.
HttpResponse ToResponse(const Error& error, bool not_run);

}  // namespace citronsill
