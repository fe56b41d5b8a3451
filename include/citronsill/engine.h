/// Scheduling engine of one instance: takes events with the current time and returns actions. It
/// has no sockets, threads, table access or clock of its own.
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
  kInteractive,  ///< A caller waits; short tasks start before services and batch.
  kBatch,        ///< May wait; packed onto workers; checkpointed when preempted.
  kService,      ///< Runs until stopped; spread over failure domains and racks.
};

struct WorkerSpec {
  std::string id;
  std::string rack;
  std::string failure_domain;
  Resources capacity;
  std::uint32_t slots = 0;  ///< Maximum number of concurrent tasks.
};

/// The properties of a job that the engine uses.
struct JobSpec {
  std::string id;
  std::string work_class;
  std::string team;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  Resources size;                         ///< Declared size of one task.
  std::chrono::milliseconds run_time{0};  ///< Declared run time of one task; 0 if none is declared.
  std::uint32_t task_count = 1;
  bool all_at_once = false;        ///< Gang job: all tasks start at the same moment, or none does.
  bool urgent = false;             ///< Placed before all other work; may preempt it.
  bool idempotent = true;          ///< A task that was started may be run again.
  bool exclusive = false;          ///< Two attempts of a task must never run at the same time.
  std::uint32_t max_attempts = 3;  ///< Number of failures after which a task is not retried.
  std::optional<SteadyTime> deadline;
  std::uint32_t first_attempt = 0;  ///< Attempt number of the first start; lower ones are used up.
  std::uint32_t first_index = 0;    ///< Index of the first task; above 0 in parts of a larger job.
};

/// Admission decision for a submitted job.
struct Admission {
  schema::Code code{};  ///< CODE_OK, or why the job was refused.
  std::string message;
  std::chrono::milliseconds retry_after{0};  ///< Delay before resubmitting; 0 if it would not help.
};

enum class ActionKind {
  kStart,       ///< Start `task` on `worker`; its resources are already reserved.
  kStop,        ///< Stop `task` on `worker`; its end is reported by `OnEnded`.
  kThrottle,    ///< Throttle `task` on `worker`. The engine does not issue it.
  kCheckpoint,  ///< Checkpoint `task` on `worker` and stop it.
  kGiveUp,      ///< The engine starts no further task of the job; `code` is the reason.
};

struct Action {
  ActionKind kind = ActionKind::kStart;
  TaskKey task;
  std::string worker;
  Resources size;
  std::optional<SteadyTime> latest_start;  ///< The deadline of the job, if it has one.
  schema::Code code{};
  std::string message;
  std::chrono::milliseconds retry_after{0};
};

struct EngineOptions {
  std::uint64_t seed = 1;
  /// Maximum number of jobs with waiting tasks. When it is
  /// reached, each team may still have 1/64 of it waiting.
  std::size_t max_waiting_jobs = 20000;
  /// Interactive tasks with at most this expected run time are short work.
  std::chrono::milliseconds short_run_time{5000};
  /// Maximum queue of short work, as the time needed to drain it; jobs beyond it are refused.
  std::chrono::milliseconds max_queue_wait{1000};
};

struct EngineStats {
  std::size_t workers = 0;
  std::size_t quarantined = 0;   ///< Number of workers.
  std::size_t waiting_jobs = 0;  ///< Number of jobs with waiting tasks.
  std::size_t running_tasks = 0;
  Resources capacity;
  Resources used;     ///< Reserved for running tasks.
  Resources largest;  ///< Maximum capacity over all workers, per dimension.
  std::uint32_t free_slots = 0;
};

/// Not thread-safe: the caller holds the lock of the instance's engine.
class Engine {
 public:
  /// @returns an engine without workers. Reports no errors.
  static Result<std::unique_ptr<Engine>> Create(const EngineOptions& options);
  ~Engine();

  /// Adds a worker or updates its capacity. Running tasks keep their reservations.
  void PutWorker(const WorkerSpec& spec, SteadyTime now);

  /// Removes a worker.
  /// @returns the tasks that were on it; they are not started again, except by `Requeue`.
  std::vector<TaskKey> RemoveWorker(const std::string& worker, SteadyTime now);

  /// Sets whether the worker gets new tasks. A draining or unreachable worker gets none.
  void SetAccepting(const std::string& worker, bool accepting, SteadyTime now);

  /// Records a task that was found running on a worker.
  /// @param job if it has a work class, it counts as admitted and its task may be restarted;
  /// otherwise only its id, team and size are used, and the task is never restarted or preempted.
  void AdoptTask(const JobSpec& job, const TaskKey& task, const std::string& worker,
                 SteadyTime now);

  /// Sets the capacities of the largest workers of other instances. A task that fits only on one of
  /// them is admitted and waits until it is handed over.
  void SetLargestPeerWorkers(std::vector<Resources> largest);

  /// Limits the total size of a team's running tasks. Jobs above the limit wait.
  /// @param quota 0 means no limit in that dimension.
  void SetQuota(const std::string& team, const Resources& quota);

  /// Admits a job into the queue or refuses it. Tasks submitted for a known job are added to it,
  /// because the parts of a larger job may arrive one by one.
  /// @returns CODE_OK, CODE_OVERLOADED, CODE_DEADLINE_UNREACHABLE, CODE_NEVER_FITS,
  /// CODE_QUOTA_EXCEEDED, or CODE_CANCELLED if the job was cancelled or given up before.
  Admission Submit(const JobSpec& job, SteadyTime now);

  /// Cancels a job: waiting tasks are dropped, running ones get a stop action.
  /// @returns whether the job was known.
  bool Cancel(const std::string& job, SteadyTime now);

  /// @returns up to `max` queued tasks, ordered by lane, team and arrival, each as a job of one
  /// task. Gang jobs and tasks in retry delay are left out.
  [[nodiscard]] std::vector<JobSpec> WaitingTasks(std::size_t max, SteadyTime now) const;

  /// Removes a waiting task that another instance runs instead.
  /// @returns false if the task no longer waits or is in retry delay.
  bool Withdraw(const TaskKey& task, SteadyTime now);

  /// Reports that the worker confirmed the start. Has no
  /// effect: a task counts as running from its start action.
  void OnStarted(const TaskKey& task, SteadyTime now);

  /// Reports the end of an attempt and releases its resources. After kLost they stay reserved until
  /// the worker reports the end or is removed. A failed attempt is retried if the job allows it.
  /// @returns whether another attempt of the task follows.
  bool OnEnded(const TaskKey& task, TaskOutcome outcome, SteadyTime now);

  /// Queues a task of a removed worker again. To be called only by the owner of the job, which
  /// knows that a second run does no harm.
  /// @remarks Ignored for tasks that are unknown, not idempotent or exclusive.
  void Requeue(const TaskKey& task, SteadyTime now);

  /// Reports the resource usage of a running task. Reports of workers lag behind.
  void OnUsage(const TaskKey& task, const Resources& used, SteadyTime now);

  /// Makes the decisions that are due. Must be called after every event and at `NextWake`.
  /// @returns the resulting actions.
  std::vector<Action> Poll(SteadyTime now);

  /// @returns the time at which `Poll` must be called next if no event arrives before, or none.
  [[nodiscard]] std::optional<SteadyTime> NextWake() const;

  [[nodiscard]] EngineStats Stats() const;

 private:
  struct Impl;
  explicit Engine(const EngineOptions& options);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
