#include "citronsill/result.h"

#include "schema/codes.pb.h"

namespace citronsill {

std::string_view CodeName(schema::Code code) {
  constexpr std::string_view kPrefix = "CODE_";
  std::string_view name = schema::Code_Name(code);
  if (name.substr(0, kPrefix.size()) == kPrefix) name.remove_prefix(kPrefix.size());
  return name.empty() ? std::string_view("UNRECOGNIZED") : name;
}

unsigned HttpStatus(schema::Code code) {
  switch (code) {
    case schema::CODE_OK:
      return 200;
    case schema::CODE_TOO_LARGE:
      return 413;
    case schema::CODE_NOT_FOUND:
      return 404;
    case schema::CODE_METHOD_NOT_ALLOWED:
      return 405;
    case schema::CODE_KEY_REUSED:
    case schema::CODE_CONFLICT:
    case schema::CODE_CANCELLED:
      return 409;
    case schema::CODE_UNAUTHENTICATED:
      return 401;
    case schema::CODE_FORBIDDEN:
      return 403;
    case schema::CODE_QUOTA_EXCEEDED:
      return 429;
    case schema::CODE_NEVER_FITS:
    case schema::CODE_DEADLINE_UNREACHABLE:
      return 422;
    case schema::CODE_TASK_FAILED:
    case schema::CODE_RETRIES_EXHAUSTED:
    case schema::CODE_WORKER_REJECTED:
    case schema::CODE_WORKER_UNREACHABLE:
      return 502;
    case schema::CODE_OUTCOME_UNKNOWN:
    case schema::CODE_DEADLINE_PASSED:
    case schema::CODE_NOT_RUN:
    case schema::CODE_TIMEOUT:
      return 504;
    case schema::CODE_INTERNAL:
      return 500;
    default:
      break;
  }
  const int number = static_cast<int>(code);
  return number >= 100 && number < 200 ? 400 : 503;
}

std::string Describe(const Error& error) {
  return std::string(CodeName(error.code)) + " (" + std::to_string(static_cast<int>(error.code)) +
         "): " + error.message;
}

}  // namespace citronsill
