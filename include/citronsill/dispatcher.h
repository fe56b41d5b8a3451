/// Carries out the engine's decisions on the workers that this instance owns.
#pragma once

#include <functional>
#include <memory>
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
  bool ended = false;
  TaskOutcome outcome = TaskOutcome::kNotStarted;
  bool again = false;  ///< The engine starts another attempt.
  std::string result;
};

struct DispatcherHooks {
  /// Called before a start is sent; the start is sent if `go` gets true, and dropped otherwise.
  std::function<void(const Action& start, std::function<void(bool)> go)> before_start;
  /// @param done is called once the home has taken the event; the worker then drops the result.
  std::function<void(const TaskEvent&, std::function<void()> done)> on_event;
  /// The engine gave a job up.
  std::function<void(const Action&)> on_give_up;
  /// A worker knows a higher epoch than ours.
  std::function<void(const std::string& worker)> on_stale_epoch;
  /// @returns the request behind a task, for its payload.
  std::function<std::optional<schema::Request>(const std::string& request_id)> find_request;
};

struct DispatcherOptions {
  std::string instance;  ///< Id of this instance.
  std::chrono::milliseconds task_lease{30000};
  std::chrono::milliseconds sync_wait{1000};
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

  /// Sets the workers that this instance owns: new ones are attached, others are let go.
  void SetWorkers(const std::vector<OwnedWorker>& workers);

  Admission Submit(const JobSpec& job);
  bool Cancel(const std::string& job);
  [[nodiscard]] EngineStats Stats() const;

 private:
  struct Impl;
  explicit Dispatcher(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
