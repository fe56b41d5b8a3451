/// Requests whose home is this instance: their state machine and the index of idempotency keys.
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
  std::uint64_t submission = 0;  ///< Of the forward, so that a late answer is known as such.
  auto operator<=>(const Waiter&) const = default;
};

/// What is fixed about a request when it arrives.
struct RequestFacts {
  bool durable = false;      ///< Accepted only once it is in the journal.
  bool single_copy = false;  ///< Exclusive or non-idempotent: each start is journaled before.
  bool idempotent = true;
  bool accepted = false;  ///< The accepted entry is in the journal.
  std::uint32_t max_attempts = 1;
  std::uint32_t first_attempt = 0;  ///< Lowest number of an attempt under the present epoch.
  std::uint64_t epoch = 0;          ///< Of the partition when the request arrived.
  std::uint64_t submission = 0;     ///< Of the forward that the request came with.
  std::int64_t accepted_unix_ms = 0;
  std::int64_t deadline_unix_ms = 0;  ///< 0 for none.
};

/// What a change of a request asks its caller to do.
struct Finished {
  std::shared_ptr<const schema::Answer> answer;
  std::vector<Waiter> waiters;
  bool durable = false;  ///< The end has to be written to the journal.
  std::uint64_t content_hash = 0;
  bool forgotten = false;  ///< The request was refused; its key may come again.
};

/// What the end of an attempt means for its request.
enum class EndEffect {
  kIgnored,   ///< Late, repeated or unknown.
  kKept,      ///< Taken; the request goes on.
  kFinished,  ///< The request ended.
  kUnknown,   ///< It is not known whether the attempt runs; nothing follows until it is known.
  kRetry,     ///< The task has to be submitted again as `retry`.
};

struct Ended {
  EndEffect effect = EndEffect::kIgnored;
  bool write = false;  ///< The end of the attempt has to be written to the journal.
  TaskKey retry;
  std::optional<Finished> finished;
};

/// A task that has not ended.
struct OpenTask {
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;  ///< The one that is assigned, else the next one.
  bool assigned = false;
  std::string worker;
};

/// Thread-safe; requests are in shards, each under its own lock.
class Ledger {
 public:
  /// @param max_finished ended requests kept for repeats.
  /// @param unix_ms time of day; the system's clock when empty.
  static Result<std::unique_ptr<Ledger>> Create(std::size_t max_finished,
                                                std::function<std::int64_t()> unix_ms = {});
  ~Ledger();

  /// @param answer set for kFinished.
  Arrival Arrive(const std::string& id, const schema::Request& request,
                 const schema::WorkClass& work_class, const RequestFacts& facts,
                 const Waiter& waiter, std::shared_ptr<const schema::Answer>* answer);

  /// @returns the accepted entry of a durable request on the first call, then none.
  std::optional<schema::JournalEntry> TakeAccepted(const std::string& id);

  /// Records that the accepted entry is in the journal.
  /// @returns the entry instances that are told so; they wait for nothing else.
  std::vector<Waiter> SetAccepted(const std::string& id);

  /// Records that the end of a request is in the journal.
  /// @returns the entry instances that still wait for the answer.
  std::vector<Waiter> Settle(const std::string& id);

  /// Records that a task was assigned; from here on it may have run.
  /// @returns false when it must not be started: the request ended or was not accepted, or another
  /// attempt of a single-copy task may run.
  bool Assign(const TaskKey& task, const std::string& worker);

  /// Records that a worker runs the task.
  void MarkRunning(const TaskKey& task, const std::string& worker);

  /// Records the end of an attempt.
  /// @param again whether the engine starts another attempt.
  Ended EndTask(const TaskKey& task, const std::string& worker, TaskOutcome outcome,
                const std::string& result, bool again);

  /// Ends a task whose outcome will never be known, because its worker was removed.
  Ended EndRemoved(const TaskKey& task, const std::string& worker);

  /// Ends a request that will not be run any further, at once or when its assigned tasks have
  /// ended.
  std::optional<Finished> GiveUp(const std::string& id, const Error& error,
                                 std::chrono::milliseconds retry_after);

  /// Forgets a request that was not accepted and answers those that wait for it.
  std::optional<Finished> Refuse(const std::string& id, const Error& error,
                                 std::chrono::milliseconds retry_after);

  /// Puts back what the journal has about one request, over what is there.
  /// @param first_attempt lowest number of an attempt under the present epoch.
  void Restore(const std::string& id, const std::vector<const schema::JournalEntry*>& entries,
               const std::function<std::uint32_t(std::uint64_t epoch)>& first_attempt);

  /// @returns the journal entries that restore all accepted requests for which `wanted` holds; each
  /// lacks only its partition.
  [[nodiscard]] std::vector<schema::JournalEntry> Export(
      const std::function<bool(const std::string& id)>& wanted) const;

  [[nodiscard]] std::optional<schema::Answer> Status(const std::string& id) const;
  [[nodiscard]] std::optional<schema::Request> Find(const std::string& id) const;
  [[nodiscard]] std::optional<schema::WorkClass> FindClass(const std::string& id) const;
  [[nodiscard]] std::optional<RequestFacts> Facts(const std::string& id) const;

  /// @returns the tasks that have not ended; none for a request that ended or will not be run.
  [[nodiscard]] std::vector<OpenTask> OpenTasks(const std::string& id) const;

  /// @returns all assigned attempts with their workers.
  [[nodiscard]] std::vector<std::pair<TaskKey, std::string>> Assigned() const;

  /// @returns whether this attempt is assigned.
  [[nodiscard]] bool IsAssigned(const TaskKey& task) const;

  /// Drops requests for which `drop` holds; for partitions that were lost.
  void Drop(const std::function<bool(const std::string& id)>& drop);

  [[nodiscard]] std::size_t Pending() const;

 private:
  struct Impl;
  explicit Ledger(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
