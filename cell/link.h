/// Connections between instances. Frames consist of a 4-byte big-endian length and a schema
/// message. Supports calls with replies, and pings that detect an unresponsive peer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cell/types.h"
#include "citronsill/connection_budget.h"
#include "citronsill/listen.h"
#include "citronsill/result.h"
#include "citronsill/runtime.h"
#include "citronsill/timer.h"
#include "schema/cell.pb.h"

namespace citronsill {

/// One connection to another instance. After `on_closed`, nothing more is received.
class Link {
 public:
  using Reply = std::function<void(Result<schema::LinkMessage>)>;

  virtual ~Link() = default;

  /// Sends a message without expecting a reply. A message of more than `kMaxLinkFrameBytes` is
  /// dropped and logged. Messages sent in one turn of the event loop are written together.
  virtual void Send(schema::LinkMessage message) = 0;
  /// Sends a call. @param done gets the reply, CODE_TIMEOUT or CODE_CONNECTION_CLOSED; after an
  /// error, the call may still have been carried out.
  virtual void Call(schema::LinkMessage message, milliseconds timeout, Reply done) = 0;
  /// Answers a call.
  virtual void Answer(const schema::LinkMessage& call, schema::LinkMessage reply) = 0;
  /// Closes the link: pending calls fail with CODE_CONNECTION_CLOSED, and `on_closed` is called.
  virtual void Close(const std::string& reason) = 0;

  /// @returns when the last message arrived, by `BootNow`.
  [[nodiscard]] virtual SteadyTime Heard() const = 0;
  [[nodiscard]] virtual bool IsOpen() const = 0;
  /// @returns whether part of a message has arrived, and bytes of it within the last `kMaxPartGap`.
  /// False for links that cannot tell.
  [[nodiscard]] virtual bool IsReceiving() const { return false; }
  /// @returns the `Hello` of the peer; empty until it has arrived.
  [[nodiscard]] virtual const schema::Hello& Peer() const = 0;
  /// @returns the last ping of the peer; empty until one has arrived.
  [[nodiscard]] virtual const schema::Ping& LastPing() const = 0;
};
using LinkPtr = std::shared_ptr<Link>;

struct LinkHooks {
  /// A call or a one-way message arrived. Not called for replies, `Hello` and pings.
  std::function<void(const LinkPtr&, const schema::LinkMessage&)> on_message;
  /// The `Hello` of the peer has arrived, which is the first message on a link.
  std::function<void(const LinkPtr&)> on_open;
  std::function<void(const LinkPtr&, const std::string& reason)> on_closed;
  /// A ping of the peer arrived.
  std::function<void(const LinkPtr&, const schema::Ping&)> on_ping;
  /// @returns the ping to send to a peer; the next one follows after its `period_ms`.
  std::function<schema::Ping(const LinkPtr&)> make_ping;
};

/// Limits on the links that other processes open. Links that this instance opens do not count, but
/// have the receive buffer of `listen`.
struct LinkLimits {
  /// A further link replaces one whose peer has not sent its `Hello`; without one, it is closed.
  std::size_t max_accepted = ConnectionBudgetLimits::kUnlimited;
  /// Budget of what the links have received and not handled; null for one without limit. The link
  /// that holds most is closed.
  std::shared_ptr<ConnectionBudget> budget;
  /// While more than this waits to be written on all links, those whose peers do not read are
  /// closed, the one with most of it first.
  std::size_t max_queued_bytes = ConnectionBudgetLimits::kUnlimited;
  /// What the system holds for a link counts towards the budget like the link itself.
  ListenOptions listen;
  /// Called when a limit is exceeded. @param limit "links", "link-evicted", "link-unread",
  /// "link-frame" or "link-hello". May be empty.
  std::function<void(std::string_view limit)> on_limit;
};

/// Accepts and opens links.
class LinkService {
 public:
  /// @param address IP:port to listen on.
  /// @param self `Hello` that is sent to peers.
  /// @returns CODE_INVALID_FIELD when `address` is not of the form IP:port; CODE_SETTINGS_INVALID
  /// when it cannot be listened on.
  static Result<std::unique_ptr<LinkService>> Create(Runtime& runtime, TimerService& timers,
                                                     const std::string& address, schema::Hello self,
                                                     LinkHooks hooks, LinkLimits limits = {});
  ~LinkService();

  /// Connects to another instance. `on_open` or `on_closed` follows.
  LinkPtr Connect(const std::string& address);

  /// Calls `visit` for each open link.
  void ForEach(const std::function<void(const LinkPtr&)>& visit) const;

  /// Stops accepting links. Open ones stay open.
  void StopListening();

 private:
  struct Impl;
  explicit LinkService(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
