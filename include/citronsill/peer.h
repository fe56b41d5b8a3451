/// JSON-RPC 2.0 between instances. A frame is a 4-byte big-endian length followed by the body.
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

/// Server side. `libjsonrpccpp` parses and dispatches requests; the transport is implemented here.
class PeerServer {
 public:
  /// Gets the parameters and returns the result, both as JSON text, without blocking.
  using Handler = std::function<Result<std::string>(const std::string& params)>;

  /// @param address IP:port; port 0 selects a free port.
  /// @returns CODE_INVALID_FIELD for an invalid address; CODE_SETTINGS_INVALID if it cannot be
  /// used.
  static Result<std::unique_ptr<PeerServer>> Create(Runtime& runtime, const std::string& address);
  ~PeerServer();

  /// Registers a method. Call it before `Start`.
  void Handle(const std::string& method, Handler handler);

  void Start();
  void Close();
  [[nodiscard]] std::uint16_t Port() const;

 private:
  struct Impl;
  explicit PeerServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Client side: one connection per address, which carries concurrent calls. A connection on which a
/// call missed its deadline is closed, and the next call opens a new one.
class PeerClient {
 public:
  static Result<std::unique_ptr<PeerClient>> Create(Runtime& runtime);
  ~PeerClient();

  /// Calls `method` at `address` with JSON text as parameters.
  /// @param done gets the result as JSON text, the error that the peer returned, CODE_TIMEOUT,
  /// CODE_PEER_UNREACHABLE or CODE_CONNECTION_CLOSED; CODE_INVALID_FIELD for an invalid address;
  /// CODE_TOO_LARGE if the frame exceeds `kMaxPeerFrameBytes`; CODE_MALFORMED for an invalid
  /// response.
  void Call(const std::string& address, const std::string& method, std::string params,
            std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);

 private:
  struct Impl;
  explicit PeerClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
