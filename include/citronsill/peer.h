/// JSON-RPC 2.0 between instances, in frames of a 4-byte big-endian length and a body.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace google::protobuf {
class Message;
}

namespace citronsill {

/// Server side. `libjsonrpccpp` parses and dispatches; the transport is ours.
class PeerServer {
 public:
  /// A handler gets the parameters and the answer as JSON text and returns at once.
  using Handler = std::function<Result<std::string>(const std::string& params)>;

  /// @param address IP:port; port 0 takes a free one.
  static Result<std::unique_ptr<PeerServer>> Create(Runtime& runtime, const std::string& address);
  ~PeerServer();

  /// Registers a method. Only before `Start`.
  void Handle(const std::string& method, Handler handler);

  void Start();
  void Close();
  [[nodiscard]] std::uint16_t Port() const;

 private:
  struct Impl;
  explicit PeerServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Client side: one connection for each address, with many calls at a time on it. A connection on
/// which a call missed its deadline is closed, and the next call opens a new one.
class PeerClient {
 public:
  static Result<std::unique_ptr<PeerClient>> Create(Runtime& runtime);
  ~PeerClient();

  /// Calls `method` at `address` with JSON text as parameters.
  /// @param done gets the result as JSON text, the error of the other side, CODE_TIMEOUT,
  /// CODE_PEER_UNREACHABLE or CODE_CONNECTION_CLOSED.
  void Call(const std::string& address, const std::string& method, std::string params,
            std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);

 private:
  struct Impl;
  explicit PeerClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
