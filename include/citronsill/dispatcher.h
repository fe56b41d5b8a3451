/// Executes the engine's decisions on the workers that this instance owns.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/engine.h"
#include "citronsill/result.h"
#include "citronsill/timer.h"
#include "citronsill/types.h"
#include "citronsill/worker.h"

namespace citronsill {

/// A worker that this instance owns.
struct OwnedWorker {
  std::string id;
  std::string address;
  std::uint64_t epoch = 0;  ///< Epoch of the worker's partition.
  bool leaving = false;     ///< The worker gets no new tasks.
};

/// A change in the state of a task, for the home of its request.
struct TaskEvent {
  TaskKey task;
  std::string worker;
  std::uint64_t worker_incarnation = 0;
  bool ended = false;  ///< If false, the event only tells which worker may have the task.
  TaskOutcome outcome = TaskOutcome::kNotStarted;
  bool will_retry = false;  ///< The engine will start another attempt.
  std::string result;       ///< Result of the task, or the reason why it was not started.
};

/// What the dispatcher needs to start a task and to handle a worker that does not answer.
struct TaskJob {
  std::shared_ptr<const schema::Request> request;  ///< With the defaults of its class filled in.
  bool idempotent = false;  ///< The task may run again after an attempt with unknown outcome.
  bool exclusive = true;    ///< Two attempts must not run at the same time.
  bool interactive = false;
};

/// What the dispatcher knows about a task.
enum class TaskKnowledge {
  kUnknown,       ///< A worker that may have the task is not attached or not owned.
  kRunning,       ///< It is waiting, being started, or running.
  kEnded,         ///< It ended; the report is being sent to the home.
  kNeverStarted,  ///< It was not started, and a late start would be rejected.
  kLost,          ///< The worker has restarted since.
};

struct DispatcherHooks {
  /// Called before a start is sent. The start is sent if `proceed` is called with true, and dropped
  /// otherwise.
  std::function<void(const Action& start, std::uint64_t worker_incarnation,
                     std::function<void(bool)> proceed)>
      before_start;
  /// @param done is called once the home has accepted the event; the next sync then acknowledges
  /// the result, so that the worker drops it.
  std::function<void(const TaskEvent&, std::function<void()> done)> on_event;
  /// Called when the engine gives up on a job.
  std::function<void(const Action&)> on_give_up;
  /// Called with the tasks on workers that this instance no longer owns; their next owner reports
  /// on them.
  std::function<void(const std::vector<TaskEvent>&)> on_released;
  /// Called when a worker has seen a higher epoch than this instance's.
  std::function<void(const std::string& worker)> on_stale_epoch;
  /// @returns what is needed to run the tasks of a request, if this instance knows the request.
  std::function<std::optional<TaskJob>(const std::string& request_id)> find_job;
};

struct DispatcherOptions {
  std::string instance;  ///< Id of this instance.
  std::chrono::milliseconds task_lease{30000};
  std::chrono::milliseconds sync_wait{1000};  ///< Wait of a sync with a worker that has tasks.
  /// Wait of a sync with a worker without tasks. Syncs of idle workers are most of the traffic of
  /// an idle instance.
  std::chrono::milliseconds idle_wait{2000};
  /// A worker whose answer is overdue by this much gets no new tasks.
  std::chrono::milliseconds unreachable_after{3000};
};

/// Thread-safe; one mutex guards the engine.
class Dispatcher {
 public:
  static Result<std::unique_ptr<Dispatcher>> Create(Runtime& runtime, TimerService& timers,
                                                    WorkerLinkFactory links,
                                                    const DispatcherOptions& options,
                                                    const EngineOptions& engine_options,
                                                    DispatcherHooks hooks);
  ~Dispatcher();

  /// Sets the workers that this instance owns. New ones are attached; those no longer owned are
  /// released without a message, because their next owner reports on their tasks.
  void SetWorkers(const std::vector<OwnedWorker>& workers);

  /// Handles the removal of a worker by the platform: its tasks are lost.
  void RemoveWorker(const std::string& worker);

  /// Sets the sizes of the largest workers of the other instances.
  void SetLargestPeerWorkers(std::vector<Resources> largest);

  /// Sets the maximum resources that a team's running tasks may use on this instance's workers.
  void SetQuota(const std::string& team, const Resources& quota);

  /// Submits a job to the engine.
  Admission Submit(const JobSpec& job);

  /// Cancels a job: waiting tasks are dropped, running ones are stopped.
  /// @returns whether the job was known.
  bool Cancel(const std::string& job);

  /// Withdraws up to `max` waiting tasks that do not fit here, so that other instances can run
  /// them.
  std::vector<JobSpec> WithdrawWaiting(std::size_t max);

  /// @param worker id of the worker that may have the task; if it is empty, all owned workers are
  /// searched.
  /// @param worker_incarnation 0 if it is not known.
  [[nodiscard]] TaskKnowledge Query(const TaskKey& task, const std::string& worker,
                                    std::uint64_t worker_incarnation) const;

  [[nodiscard]] EngineStats Stats() const;

 private:
  struct Impl;
  explicit Dispatcher(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
