/// Requests whose home is this instance: their state machine and the index of idempotency keys.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

/// @returns the id of a request: a hash of its team and idempotency key, so that every instance
/// maps a repeated request to the same id.
std::string RequestIdOf(const std::string& team, const std::string& key);

/// What became of a request that arrived.
enum class Arrival {
  kNew,       ///< Not seen before.
  kPending,   ///< Known and not ended; the entry instance was added to those that get the answer.
  kFinished,  ///< Known and ended; the answer is there.
  kKeyReused  ///< The idempotency key came with other content before.
};

/// Where a request's answer is sent.
struct Waiter {
  std::string instance;
  std::string address;
  auto operator<=>(const Waiter&) const = default;
};

/// What a change of a request asks its caller to do.
struct Finished {
  std::shared_ptr<const schema::Answer> answer;
  std::vector<Waiter> waiters;
  bool durable = false;  ///< The end has to be written to the journal.
};

/// Thread-safe; requests are in shards, each under its own lock.
class Ledger {
 public:
  /// @param max_finished ended requests kept for repeats.
  static Result<std::unique_ptr<Ledger>> Create(std::size_t max_finished);
  ~Ledger();

  /// @param answer set for kFinished.
  Arrival Arrive(const std::string& id, const schema::Request& request, bool durable,
                 const Waiter& waiter, std::shared_ptr<const schema::Answer>* answer);

  /// Records that a task was assigned; from here on it may have run.
  void Assign(const TaskKey& task);

  /// Records the end of an attempt.
  /// @param again whether another attempt follows.
  /// @returns the answer when this ended the request.
  std::optional<Finished> EndTask(const TaskKey& task, TaskOutcome outcome,
                                  const std::string& result, bool again);

  /// Ends a request that will not be run any further.
  std::optional<Finished> GiveUp(const std::string& id, const Error& error,
                                 std::chrono::milliseconds retry_after);

  [[nodiscard]] std::optional<schema::Answer> Status(const std::string& id) const;
  [[nodiscard]] std::optional<schema::Request> Find(const std::string& id) const;

  /// @returns whether a task of the request may have been started.
  [[nodiscard]] bool MayHaveRun(const std::string& id) const;

  /// Drops requests for which `drop` holds; for partitions that were lost.
  void Drop(const std::function<bool(const std::string& id)>& drop);

  [[nodiscard]] std::size_t Pending() const;

 private:
  struct Impl;
  explicit Ledger(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
