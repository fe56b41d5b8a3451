/// Requests whose home is this instance: their state machine, and lookup by idempotency key.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

/// @returns the id of a request: a hash of its team and idempotency key, so that every instance
/// maps a repeated request to the same id.
std::string RequestIdOf(const std::string& team, const std::string& key);

/// Result of the arrival of a request.
enum class Arrival {
  kNew,       ///< Not seen before.
  kPending,   ///< Known, but its answer is not available yet; the waiter was added.
  kFinished,  ///< Known and ended; its answer is available.
  kKeyReused  ///< The idempotency key was used before with different content.
};

/// An entry instance that waits for a request's answer.
struct Waiter {
  std::string instance;
  std::string address;
  std::uint64_t submission = 0;  ///< Id of the submission; tells a late answer from a current one.
  auto operator<=>(const Waiter&) const = default;
};

/// Properties of a request. All but `accepted` are fixed when it arrives.
struct RequestProperties {
  bool durable = false;      ///< Accepted only once its accepted entry is in the journal.
  bool single_copy = false;  ///< Exclusive or non-idempotent: starts are journaled beforehand.
  bool idempotent = true;
  bool accepted = false;  ///< The accepted entry is in the journal.
  std::uint32_t max_attempts = 1;
  std::uint32_t first_attempt = 0;  ///< Lowest attempt number under the present epoch.
  std::uint64_t epoch = 0;          ///< Epoch of the partition when the request arrived.
  std::uint64_t submission = 0;     ///< Id of the submission that brought the request.
  std::int64_t accepted_unix_ms = 0;
  std::int64_t deadline_unix_ms = 0;  ///< 0 for none.
};

/// The end of a request: what the caller has to write and to deliver.
struct Finished {
  std::shared_ptr<const schema::Answer> answer;
  std::vector<Waiter> waiters;  ///< Those that get the answer now.
  bool durable = false;         ///< The end has to be written to the journal.
  std::uint64_t content_hash = 0;
  bool forgotten = false;  ///< The request was refused and removed; its key may be used again.
};

/// Effect of an attempt's end on its request.
enum class EndEffect {
  kIgnored,   ///< The report is late, repeated or of an unknown request.
  kRecorded,  ///< Recorded; the request goes on.
  kFinished,  ///< The request ended.
  kUnknown,   ///< Whether the attempt still runs is unknown; nothing follows until it is known.
  kRetry,     ///< The task has to be submitted again as `retry`.
};

/// What the caller has to do after the end of an attempt.
struct Ended {
  EndEffect effect = EndEffect::kIgnored;
  bool must_write = false;           ///< The end of the attempt has to be written to the journal.
  TaskKey retry;                     ///< The next attempt, for kRetry.
  std::optional<Finished> finished;  ///< For kFinished.
};

/// A task that has not ended.
struct OpenTask {
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;  ///< The assigned attempt, or the next one when none is assigned.
  bool assigned = false;
  std::string worker;
};

/// Thread-safe; requests are divided among shards, each with its own lock.
class Ledger {
 public:
  /// @param max_finished approximate number of ended requests that are kept to answer repeated
  /// submissions, each for at most `kFinishedRetention`.
  /// @param unix_ms returns milliseconds since the Unix epoch; the system clock when empty.
  static Result<std::unique_ptr<Ledger>> Create(std::size_t max_finished,
                                                std::function<std::int64_t()> unix_ms = {});
  ~Ledger();

  /// Records the arrival of a request.
  /// @param answer set only for kFinished.
  Arrival Arrive(const std::string& id, const schema::Request& request,
                 const schema::WorkClass& work_class, const RequestProperties& properties,
                 const Waiter& waiter, std::shared_ptr<const schema::Answer>* answer);

  /// @returns the accepted entry of a durable request on the first call, then none.
  std::optional<schema::JournalEntry> TakeAcceptedEntry(const std::string& id);

  /// Records that the accepted entry is in the journal.
  /// @returns the entry instances to be notified: for a request with `no_wait` all its waiters,
  /// which wait for nothing else; otherwise none.
  std::vector<Waiter> SetAccepted(const std::string& id);

  /// Records that the end of a request is in the journal, so that its answer may be delivered.
  /// @returns the entry instances that still wait for the answer.
  std::vector<Waiter> SetFinished(const std::string& id);

  /// Records that an attempt of a task was assigned; from here on it may have run.
  /// @returns false when it must not be started: the request ended or was not accepted, or another
  /// attempt of a single-copy task may run.
  bool Assign(const TaskKey& task, const std::string& worker);

  /// Records that a worker runs the task.
  void MarkRunning(const TaskKey& task, const std::string& worker);

  /// Records the end of an attempt.
  /// @param will_retry whether the engine starts another attempt by itself, so that the caller need
  /// not submit the task again.
  Ended EndTask(const TaskKey& task, const std::string& worker, TaskOutcome outcome,
                const std::string& result, bool will_retry);

  /// Ends a task whose outcome will never be known, because its worker was removed.
  Ended EndRemoved(const TaskKey& task, const std::string& worker);

  /// Ends a request that will not be run any further, at once or when its assigned attempts have
  /// ended.
  /// @returns the end, if it is at once.
  std::optional<Finished> GiveUp(const std::string& id, const Error& error,
                                 std::chrono::milliseconds retry_after);

  /// Removes a request that was not accepted.
  /// @returns the refusal to be delivered to those that wait for it.
  std::optional<Finished> Refuse(const std::string& id, const Error& error,
                                 std::chrono::milliseconds retry_after);

  /// Restores one request from its journal entries, unless it is already known.
  /// @param first_attempt returns the lowest attempt number under the present epoch for a request
  /// that was accepted under `epoch`.
  void Restore(const std::string& id, const std::vector<const schema::JournalEntry*>& entries,
               const std::function<std::uint32_t(std::uint64_t epoch)>& first_attempt);

  /// @returns the journal entries that restore all accepted requests for which `wanted` holds.
  /// Their partition is not set.
  [[nodiscard]] std::vector<schema::JournalEntry> Export(
      const std::function<bool(const std::string& id)>& wanted) const;

  /// @returns the answer if it may be delivered, otherwise the present state of the request.
  [[nodiscard]] std::optional<schema::Answer> Status(const std::string& id) const;
  [[nodiscard]] std::optional<schema::Request> Find(const std::string& id) const;
  [[nodiscard]] std::optional<schema::WorkClass> FindClass(const std::string& id) const;
  [[nodiscard]] std::optional<RequestProperties> Properties(const std::string& id) const;

  /// @returns the tasks that have not ended; none for a request that ended or will not be run.
  [[nodiscard]] std::vector<OpenTask> OpenTasks(const std::string& id) const;

  /// @returns all assigned attempts with their workers.
  [[nodiscard]] std::vector<std::pair<TaskKey, std::string>> Assigned() const;

  /// @returns whether this attempt is assigned.
  [[nodiscard]] bool IsAssigned(const TaskKey& task) const;

  /// Drops requests for which `drop` holds; for partitions that were lost.
  void Drop(const std::function<bool(const std::string& id)>& drop);

  /// @returns the number of requests that have not ended.
  [[nodiscard]] std::size_t Pending() const;

 private:
  struct Impl;
  explicit Ledger(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
