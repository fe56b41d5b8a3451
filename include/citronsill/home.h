/// Home role: manages the requests of the partitions that this instance owns, from arrival to
/// answer.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/dispatcher.h"
#include "citronsill/journal.h"
#include "citronsill/ledger.h"
#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

struct HomeHooks {
  /// @returns the epoch under which this instance owns the partition; none when it does not.
  std::function<std::optional<std::uint64_t>(PartitionId)> owned_epoch;
  /// Sends an answer to the entry instance that waits for it.
  std::function<void(const Waiter&, std::shared_ptr<const schema::Answer>)> deliver;
  /// Submits a job to the engine.
  std::function<Admission(const JobSpec&)> submit;
  /// Cancels the job of a request in the engine.
  std::function<bool(const std::string& request_id)> cancel;
  std::function<std::optional<schema::WorkClass>(const std::string& name)> find_class;
  DelayFunction after;
  /// Asks the owner of a worker, named as by `WorkerRef`, what it knows about an attempt. Asks all
  /// owners when the name is empty.
  std::function<void(const TaskKey&, const std::string& worker,
                     std::function<void(Result<TaskKnowledge>)> done)>
      query_task;
  /// @returns whether the worker, named as by `WorkerRef`, was removed permanently.
  std::function<bool(const std::string& worker)> is_removed;
  /// Removes journal streams from the row of a partition, after all entries that they have of this
  /// partition were copied. Idempotent.
  std::function<void(PartitionId, const std::vector<std::string>& streams)> retire_streams;
  std::function<SteadyTime()> now;  ///< The steady clock when not set.
  /// @returns milliseconds since the Unix epoch; the system clock when not set.
  std::function<std::int64_t()> unix_ms;
};

struct HomeOptions {
  std::uint32_t partition_count = 64;
  std::size_t max_pending = 20000;      ///< Requests that have not ended; further ones are refused.
  std::size_t max_journal_rows = 1024;  ///< Rows of the own stream above which it is compacted.
  /// Delay before the accepted entry of a request is written, so that the start of its task can
  /// share the journal batch.
  std::chrono::milliseconds accept_delay{5};
  /// After a recovery, work that may run more than once is submitted again only after this time, in
  /// which workers report what still runs.
  std::chrono::milliseconds recovery_grace{2000};
  /// Period of the checks for removed workers, journal rows to compact and streams to erase.
  std::chrono::milliseconds maintain_period{5000};
};

/// Thread-safe.
class Home {
 public:
  /// @returns CODE_INVALID_FIELD when the hook `after` is not set.
  static Result<std::unique_ptr<Home>> Create(Ledger& ledger, Journal& journal,
                                              const HomeOptions& options, HomeHooks hooks);
  ~Home();

  /// Handles a request that an entry instance forwarded. The answer is delivered later.
  /// @returns CODE_OK when received, CODE_NOT_OWNER when the partition is not owned or is still
  /// being recovered.
  schema::Ack OnForward(const schema::Forward& forward);

  /// Writes the journal entries that have to be durable before a task starts, then calls `proceed`
  /// with whether it may start.
  /// @remarks After `proceed(false)` the task must be reported as ended with kNotStarted.
  void BeforeStart(const Action& start, std::function<void(bool)> proceed);

  /// Handles a report, by the instance that owns a worker, that a task runs or has ended. Events
  /// may be late, repeated and out of order.
  /// @param done is called once the worker may drop the result. It is not called when the partition
  /// is lost before that; the worker then reports to the next owner.
  /// @returns CODE_OK when the event was accepted, CODE_NOT_OWNER when the partition is not owned.
  schema::Code OnTaskEvent(const TaskEvent& event, std::function<void()> done);

  /// Ends a request because the engine gave up on its job.
  void OnGiveUp(const Action& action);

  /// Recovers the requests of a partition from the journal `streams`, then serves it.
  void OnGained(PartitionId partition, const std::vector<std::string>& streams);
  /// Drops the requests of a partition that this instance no longer owns.
  void OnLost(PartitionId partition);

  /// Starts queries about an assigned task whose executor does not answer.
  void QueryTask(const TaskKey& task);

  /// @returns the job of a request whose home is this instance.
  [[nodiscard]] std::optional<TaskJob> FindJob(const std::string& request_id) const;

  /// Cancels a request. Its assigned attempts are stopped, and it ends when they have ended.
  /// @returns CODE_NOT_OWNER when its partition is not served here, CODE_NOT_FOUND when the request
  /// is not known.
  Result<void> Cancel(const std::string& request_id);

  /// @returns the answer, or the state of a request that has none yet; none when it is not known.
  [[nodiscard]] std::optional<schema::Answer> Status(const std::string& request_id) const;

  /// @returns whether the partition is owned and has been recovered.
  [[nodiscard]] bool IsServing(PartitionId partition) const;

 private:
  struct Impl;
  explicit Home(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
