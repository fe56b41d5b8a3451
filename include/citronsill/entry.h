/// Entry role: accepts requests from callers, forwards them to their homes, and waits for the
/// answers.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "citronsill/result.h"
#include "citronsill/timer.h"
#include "citronsill/types.h"

namespace citronsill {

struct EntryHooks {
  /// Sends a request to the owner of its partition, which may be this instance.
  /// @param done gets the owner's answer; CODE_NO_OWNER if nothing was sent.
  std::function<void(const schema::Forward&, std::function<void(Result<schema::Ack>)> done)>
      forward;
  /// @returns the instance that a forward of the request would be sent to; empty if there is none.
  std::function<std::string(const std::string& request_id)> owner;
};

struct EntryOptions {
  std::string instance;
  std::string peer_address;
  std::chrono::milliseconds default_deadline{10000};
  /// Delay before a request is forwarded again; 5 times as long if the last forward was received.
  std::chrono::milliseconds retry_period{300};
  std::size_t max_waiting = 20000;  ///< Further requests are rejected with CODE_OVERLOADED.
};

/// Thread-safe; waiting requests are sharded, with one mutex per shard.
class Entry {
 public:
  using Done = std::function<void(schema::Answer)>;

  static Result<std::unique_ptr<Entry>> Create(TimerService& timers, const EntryOptions& options,
                                               EntryHooks hooks);
  ~Entry();

  /// Accepts a validated request. `done` is called once, at the deadline at the latest. A request
  /// with the team and key of one that is already waiting is answered together with it, at that
  /// one's deadline at the latest.
  void Submit(schema::Request request, Done done);

  /// Passes an answer from a home to the callers that wait for it. An answer to another submission
  /// is ignored.
  void OnDeliver(const schema::Deliver& deliver);

  /// Rejects all further requests with CODE_DRAINING.
  void Drain();

  /// @returns the number of requests that wait for an answer.
  [[nodiscard]] std::size_t Waiting() const;

 private:
  struct Impl;
  explicit Entry(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Validates the sizes, names and ranges in a request.
/// @returns CODE_INVALID_FIELD.
Result<void> CheckRequest(const schema::Request& request);

}  // namespace citronsill
