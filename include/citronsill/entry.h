/// Entry role: takes requests from callers, forwards them to their homes, and waits for the
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
  /// @param done gets the owner's answer; CODE_NO_OWNER when nothing was sent.
  std::function<void(const schema::Forward&, std::function<void(Result<schema::Ack>)> done)>
      forward;
  /// @returns the instance that a forward of the request would be sent to; empty for none.
  std::function<std::string(const std::string& request_id)> owner;
};

struct EntryOptions {
  std::string instance;
  std::string peer_address;
  std::chrono::milliseconds default_deadline{10000};
  std::chrono::milliseconds retry_period{300};
  std::size_t max_waiting = 20000;
};

/// Thread-safe; waiters are in shards, each under its own lock.
class Entry {
 public:
  using Done = std::function<void(schema::Answer)>;

  static Result<std::unique_ptr<Entry>> Create(TimerService& timers, const EntryOptions& options,
                                               EntryHooks hooks);
  ~Entry();

  /// Takes a checked request. `done` is called once, at the deadline at the latest.
  void Submit(schema::Request request, Done done);

  /// Hands an answer that a home delivered to the callers that wait for it. An answer to another
  /// submission is ignored.
  void OnDeliver(const schema::Deliver& deliver);

  /// From now on requests are refused with CODE_DRAINING.
  void Drain();

  [[nodiscard]] std::size_t Waiting() const;

 private:
  struct Impl;
  explicit Entry(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Checks sizes, names and ranges of a request.
Result<void> CheckRequest(const schema::Request& request);

}  // namespace citronsill
