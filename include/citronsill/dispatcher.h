/// Carries out the engine's decisions on the workers that this instance owns.
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
  bool leaving = false;
};

/// What happened to a task, for the home of its request.
struct TaskEvent {
  TaskKey task;
  std::string worker;
  std::uint64_t worker_incarnation = 0;
  bool ended = false;
  TaskOutcome outcome = TaskOutcome::kNotStarted;
  bool again = false;  ///< The engine starts another attempt.
  std::string result;
};

/// What has to be known of a task to start it and to act when its worker does not answer.
struct TaskJob {
  std::shared_ptr<const schema::Request> request;  ///< With the defaults of its class filled in.
  bool idempotent = false;
  bool exclusive = true;
  bool interactive = false;
};

/// What the dispatcher knows of a task.
enum class TaskKnowledge {
  kUnknown,       ///< A worker that may have the task is not attached.
  kRunning,       ///< It waits, is being started, or runs.
  kEnded,         ///< It ended; the report is on its way to the home.
  kNeverStarted,  ///< It was not started, and a late start would be rejected.
  kLost,          ///< The worker restarted since.
};

struct DispatcherHooks {
  /// Called before a start is sent; the start is sent if `go` gets true, and dropped otherwise.
  std::function<void(const Action& start, std::uint64_t worker_incarnation,
                     std::function<void(bool)> go)>
      before_start;
  /// @param done is called once the home has taken the event; the worker then drops the result.
  std::function<void(const TaskEvent&, std::function<void()> done)> on_event;
  /// The engine gave a job up.
  std::function<void(const Action&)> on_give_up;
  /// Tasks on workers that this instance no longer owns; the next owner reports on them.
  std::function<void(const std::vector<TaskEvent>&)> on_released;
  /// A worker knows a higher epoch than ours.
  std::function<void(const std::string& worker)> on_stale_epoch;
  /// @returns the job behind a task, if this instance knows it.
  std::function<std::optional<TaskJob>(const std::string& request_id)> find_job;
};

struct DispatcherOptions {
  std::string instance;  ///< Id of this instance.
  std::chrono::milliseconds task_lease{30000};
  std::chrono::milliseconds sync_wait{1000};  ///< Of a worker that runs tasks.
  /// Of a worker without tasks: syncs of idle workers are most of an instance's traffic at rest.
  std::chrono::milliseconds idle_wait{2000};
  /// A worker whose answer is late by this gets no new work.
  std::chrono::milliseconds unreachable_after{3000};
};

/// Thread-safe; the engine is under one lock.
class Dispatcher {
 public:
  static Result<std::unique_ptr<Dispatcher>> Create(Runtime& runtime, TimerService& timers,
                                                    WorkerLinkFactory links,
                                                    const DispatcherOptions& options,
                                                    const EngineOptions& engine_options,
                                                    DispatcherHooks hooks);
  ~Dispatcher();

  /// Sets the workers that this instance owns: new ones are attached, others are let go without a
  /// word, because their next owner reports on their tasks.
  void SetWorkers(const std::vector<OwnedWorker>& workers);

  /// The platform removed a worker: its tasks are lost.
  void RemoveWorker(const std::string& worker);

  /// Sets the largest workers of the other instances.
  void SetOtherShapes(std::vector<Resources> largest);

  /// Sets the most that running tasks of a team may hold on this instance's workers.
  void SetQuota(const std::string& team, const Resources& quota);

  Admission Submit(const JobSpec& job);
  bool Cancel(const std::string& job);

  /// Takes up to `max` waiting tasks without room away, because other instances run them.
  std::vector<JobSpec> TakeWaiting(std::size_t max);

  [[nodiscard]] TaskKnowledge Query(const TaskKey& task, const std::string& worker,
                                    std::uint64_t worker_incarnation) const;

  [[nodiscard]] EngineStats Stats() const;

 private:
  struct Impl;
  explicit Dispatcher(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
