/// Scheduling decisions of one instance. Pure: no sockets, threads, table or clock of its own.
/// Events and the time go in; actions come out.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

enum class SchedulingPolicy {
  kInteractive,  ///< A caller waits; short; ordered before all else.
  kBatch,        ///< May wait; packed; may be checkpointed.
  kService,      ///< Runs until stopped; spread over failure domains and racks.
};

struct WorkerSpec {
  std::string id;
  std::string rack;
  std::string failure_domain;
  Resources capacity;
  std::uint32_t slots = 0;  ///< Most tasks at a time.
};

/// A job as the engine sees it.
struct JobSpec {
  std::string id;
  std::string work_class;
  std::string team;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  Resources size;                         ///< Declared, of one task.
  std::chrono::milliseconds run_time{0};  ///< Declared, of one task.
  std::uint32_t task_count = 1;
  bool all_at_once = false;
  bool urgent = false;
  bool idempotent = true;
  bool exclusive = false;
  std::uint32_t max_attempts = 3;
  std::optional<SteadyTime> deadline;
  std::uint32_t first_attempt = 0;  ///< Attempt number of the first start; earlier ones were used.
  std::uint32_t first_index = 0;    ///< Index of the first task; for a part of a larger job.
};

/// Verdict on a job that was submitted.
struct Admission {
  schema::Code code{};  ///< CODE_OK, or why the job was refused.
  std::string message;
  std::chrono::milliseconds retry_after{0};  ///< When to come back, if that makes sense.
};

enum class ActionKind {
  kStart,       ///< Start `task` on `worker`. Its room is reserved already.
  kStop,        ///< Stop `task` on `worker`; its end is reported by `OnEnded`.
  kThrottle,    ///< Throttle `task` on `worker`.
  kCheckpoint,  ///< Checkpoint `task` on `worker` and stop it.
  kGiveUp,      ///< The job will not be run any further; `code` says why.
};

struct Action {
  ActionKind kind = ActionKind::kStart;
  TaskKey task;
  std::string worker;
  Resources size;
  std::optional<SteadyTime> latest_start;
  schema::Code code{};
  std::string message;
  std::chrono::milliseconds retry_after{0};
};

struct EngineOptions {
  std::uint64_t seed = 1;
  std::size_t max_waiting_jobs = 20000;
  /// Interactive tasks that are expected to end within this time are short work.
  std::chrono::milliseconds short_run_time{5000};
  /// Longest queue of short work, in time to drain it; more is refused.
  std::chrono::milliseconds max_queue_wait{1000};
};

struct EngineStats {
  std::size_t workers = 0;
  std::size_t quarantined = 0;
  std::size_t waiting_jobs = 0;
  std::size_t running_tasks = 0;
  Resources capacity;
  Resources used;
  Resources largest;  ///< Largest capacity of a worker, in each dimension.
  std::uint32_t free_slots = 0;
};

/// Not thread-safe: the caller holds the lock of the instance's engine.
class Engine {
 public:
  static Result<std::unique_ptr<Engine>> Create(const EngineOptions& options);
  ~Engine();

  /// Adds a worker, or changes its capacity. Running tasks stay.
  void PutWorker(const WorkerSpec& spec, SteadyTime now);

  /// Removes a worker.
  /// @returns the tasks that were on it; they are not started again, except by `Requeue`.
  std::vector<TaskKey> RemoveWorker(const std::string& worker, SteadyTime now);

  /// A leaving or unreachable worker gets no new work.
  void SetAccepting(const std::string& worker, bool accepting, SteadyTime now);

  /// Records a task that was found running on a worker.
  /// @param job with a work class, the job is taken as accepted and its task may be started again;
  /// without one, only the id and the size count, and the task is left alone until it ends.
  void AdoptTask(const JobSpec& job, const TaskKey& task, const std::string& worker,
                 SteadyTime now);

  /// Sets the largest workers of other instances: a task that fits only there is admitted, and
  /// waits until it is handed over.
  void SetOtherShapes(std::vector<Resources> largest);

  /// Sets the most that running tasks of a team may hold. Jobs above it wait.
  /// @param quota 0 stands for no limit in a dimension.
  void SetQuota(const std::string& team, const Resources& quota);

  /// Admits a job into the queue or refuses it. A job that is known gets further tasks: parts of a
  /// larger job may arrive one by one.
  Admission Submit(const JobSpec& job, SteadyTime now);

  /// Cancels a job: waiting tasks are dropped, running ones get a stop action.
  /// @returns whether the job was known.
  bool Cancel(const std::string& job, SteadyTime now);

  /// @returns up to `max` tasks that are due but have no room here, in the order of their turn,
  /// each as a job of one task. Gang jobs are left out.
  [[nodiscard]] std::vector<JobSpec> WaitingTasks(std::size_t max, SteadyTime now) const;

  /// Takes a waiting task away, because another instance runs it.
  /// @returns false when it does not wait any more.
  bool Withdraw(const TaskKey& task, SteadyTime now);

  /// The worker confirmed the start.
  void OnStarted(const TaskKey& task, SteadyTime now);

  /// An attempt ended. Frees its room, except for kLost, whose room stays reserved until the worker
  /// reports or is removed. A failed attempt is started again when the job allows it.
  /// @returns whether another attempt of the task follows.
  bool OnEnded(const TaskKey& task, TaskOutcome outcome, SteadyTime now);

  /// Starts a task again that was on a removed worker. Only for the owner of the job, who knows
  /// that a second run does no harm.
  /// @remarks Ignored for tasks that are unknown, not idempotent or exclusive.
  void Requeue(const TaskKey& task, SteadyTime now);

  /// Usage of a running task, reported by its worker with a lag.
  void OnUsage(const TaskKey& task, const Resources& used, SteadyTime now);

  /// @returns the decisions that are due. To be called after every event and at `NextWake`.
  std::vector<Action> Poll(SteadyTime now);

  /// @returns when `Poll` has something to do although no event arrives.
  [[nodiscard]] std::optional<SteadyTime> NextWake() const;

  [[nodiscard]] EngineStats Stats() const;

 private:
  struct Impl;
  explicit Engine(const EngineOptions& options);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
