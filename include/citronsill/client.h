/// Client of the HTTP interface, for the command line.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "citronsill/http.h"
#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

/// Exit codes of the command line; scripts may rely on them.
enum class ExitCode {
  kSuccess = 0,
  kWorkFailed = 1,      ///< The work ran and failed, was cancelled, or missed its deadline.
  kUsage = 2,           ///< Wrong command line, file, record or settings.
  kRefused = 3,         ///< Not accepted or not run; the call had no effect.
  kUnreachable = 4,     ///< No server could be reached; nothing was sent.
  kOutcomeUnknown = 5,  ///< It may have had an effect; query by id or retry with the same key.
  kConflict = 6,        ///< A concurrent change, or the same key with different content.
  kNotFound = 7,        ///< No such request or record.
  kFault = 8,           ///< An internal error, or an answer that cannot be parsed.
};

/// @returns the exit code for a result code.
ExitCode ExitCodeOf(schema::Code code);

/// Whether a call may be sent again after it may have taken effect.
enum class RetryPolicy {
  kNever,       ///< Only if nothing was sent.
  kIdempotent,  ///< Read-only, or made safe by a key or id in the body.
};

struct ClientOptions {
  std::vector<std::string> servers;  ///< IP:port each, tried in this order.
  std::string access_key;
  std::string tls_ca_file;
  std::size_t max_connections = 32;
};

/// Client of several equivalent servers.
class Client {
 public:
  /// @returns CODE_INVALID_FIELD for an invalid address or an empty list of servers;
  /// CODE_SETTINGS_UNREADABLE for an unusable CA file.
  static Result<std::unique_ptr<Client>> Create(Runtime& runtime, const ClientOptions& options);
  ~Client();

  /// Sends to the servers in order until one responds. After an error it goes on to the next server
  /// if nothing was sent or `retry_policy` is kIdempotent.
  /// @param timeout limit for each server that is tried, not for the whole call.
  /// @param done gets the response; CODE_PEER_UNREACHABLE if nothing was sent to any server;
  /// CODE_TIMEOUT or CODE_CONNECTION_CLOSED if the call may have taken effect.
  void Send(HttpRequest request, std::chrono::milliseconds timeout, RetryPolicy retry_policy,
            std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
