/// Connections between instances: schema messages in frames of a 4-byte big-endian length, calls
/// with replies, and pings that notice a silent peer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cell/types.h"
#include "citronsill/result.h"
#include "citronsill/runtime.h"
#include "citronsill/timer.h"
#include "schema/cell.pb.h"

namespace citronsill {

/// One connection to another instance. After `on_closed` nothing arrives any more.
class Link {
 public:
  using Reply = std::function<void(Result<schema::LinkMessage>)>;

  virtual ~Link() = default;

  /// Sends a message that expects no reply. Messages of one turn of the event loop go out together.
  virtual void Send(schema::LinkMessage message) = 0;
  /// Sends a call. @param done gets the reply, CODE_TIMEOUT or CODE_CONNECTION_CLOSED; the call may
  /// have been carried out all the same.
  virtual void Call(schema::LinkMessage message, milliseconds timeout, Reply done) = 0;
  /// Answers a call.
  virtual void Answer(const schema::LinkMessage& call, schema::LinkMessage reply) = 0;
  virtual void Close(const std::string& reason) = 0;

  /// @returns when the last message arrived, by `BootNow`.
  [[nodiscard]] virtual SteadyTime Heard() const = 0;
  [[nodiscard]] virtual bool IsOpen() const = 0;
  /// @returns what the peer said of itself; empty until it did.
  [[nodiscard]] virtual const schema::Hello& Peer() const = 0;
  /// @returns its last ping; empty until there was one.
  [[nodiscard]] virtual const schema::Ping& LastPing() const = 0;
};
using LinkPtr = std::shared_ptr<Link>;

struct LinkHooks {
  /// A call or a message arrived. Replies to own calls, `Hello` and pings are not passed on.
  std::function<void(const LinkPtr&, const schema::LinkMessage&)> on_message;
  /// The peer has said who it is, which is the first thing that it does.
  std::function<void(const LinkPtr&)> on_open;
  std::function<void(const LinkPtr&, const std::string& reason)> on_closed;
  /// A ping of the peer arrived.
  std::function<void(const LinkPtr&, const schema::Ping&)> on_ping;
  /// @returns the ping to send to a peer.
  std::function<schema::Ping(const LinkPtr&)> make_ping;
};

/// Accepts and makes links.
class LinkService {
 public:
  /// @param address IP:port to listen on.
  /// @param self what is said to peers.
  static Result<std::unique_ptr<LinkService>> Create(Runtime& runtime, TimerService& timers,
                                                     const std::string& address, schema::Hello self,
                                                     LinkHooks hooks);
  ~LinkService();

  /// Connects to another instance. `on_open` or `on_closed` follows.
  LinkPtr Connect(const std::string& address);

  /// Calls `visit` for each open link.
  void ForEach(const std::function<void(const LinkPtr&)>& visit) const;

  /// Takes no new links. Open ones go on.
  void StopListening();

 private:
  struct Impl;
  explicit LinkService(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
