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
  kRefused = 3,         ///< Not accepted or not run; nothing has happened.
  kUnreachable = 4,     ///< No server could be reached; nothing was sent.
  kOutcomeUnknown = 5,  ///< It may have happened; ask by id, or repeat with the same key.
  kConflict = 6,        ///< Another change or another content came first.
  kNotFound = 7,        ///< No such request or record.
  kFault = 8,           ///< A fault in citronsill, or an answer that cannot be understood.
};

/// @returns the exit code that goes with a result code.
ExitCode ExitCodeOf(schema::Code code);

/// Whether a call may be sent again after it may have taken effect.
enum class Repeat {
  kNever,  ///< Only when nothing was sent.
  kSafe,   ///< Read-only, or made safe by a key or id in the body.
};

struct ClientOptions {
  std::vector<std::string> servers;  ///< IP:port each, tried in turn.
  std::string access_key;
  std::string tls_ca_file;
  std::size_t max_connections = 32;
};

class Client {
 public:
  static Result<std::unique_ptr<Client>> Create(Runtime& runtime, const ClientOptions& options);
  ~Client();

  /// Sends to the first server that can be reached.
  /// @param done gets the response; CODE_PEER_UNREACHABLE when nothing was sent to any server;
  /// CODE_TIMEOUT or CODE_CONNECTION_CLOSED when it may have taken effect.
  void Send(HttpRequest request, std::chrono::milliseconds timeout, Repeat repeat,
            std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
