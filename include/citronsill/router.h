/// Hands tasks that do not fit here to other instances, and sends task events to the homes of their
/// requests.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/dispatcher.h"
#include "citronsill/engine.h"
#include "citronsill/result.h"
#include "citronsill/timer.h"
#include "citronsill/types.h"

namespace citronsill {

struct RouterHooks {
  /// @returns whether this instance is the home of the request.
  std::function<bool(const std::string& request_id)> is_home;
  /// @returns the peer address of the request's home, or CODE_NO_OWNER.
  std::function<Result<std::string>(const std::string& request_id)> home_address;
  /// @returns whether this instance owns the worker.
  std::function<bool(const std::string& worker)> owns_worker;
  /// @returns live members other than this instance.
  std::function<std::vector<schema::MemberState>()> peers;
  /// Calls a peer method.
  std::function<void(const std::string& address, const std::string& method, std::string params,
                     std::function<void(Result<std::string>)> done)>
      call;

  // The dispatcher of this instance.
  std::function<Admission(const JobSpec&)> submit;
  std::function<std::vector<JobSpec>(std::size_t max)> withdraw_waiting;
  std::function<EngineStats()> stats;

  // The home role of this instance.
  std::function<schema::Code(const TaskEvent&, std::function<void()> done)> notify_home;
  std::function<void(const Action&, std::uint64_t worker_incarnation,
                     std::function<void(bool)> proceed)>
      before_start;
  std::function<std::optional<TaskJob>(const std::string& request_id)> find_home_job;
  std::function<void(const Action&)> give_up;
  std::function<std::optional<schema::WorkClass>(const std::string& name)> find_class;
  /// Determines the state of a task that must not run twice and was handed to an instance that did
  /// not answer.
  std::function<void(const TaskKey&)> investigate;
};

struct RouterOptions {
  std::string instance;
  /// A task that must not run twice is started by another instance within this time or not at all.
  std::chrono::milliseconds place_validity{5000};
  std::size_t max_tasks_per_round = 64;
};

/// Thread-safe.
class TaskRouter {
 public:
  static Result<std::unique_ptr<TaskRouter>> Create(TimerService& timers,
                                                    const RouterOptions& options,
                                                    RouterHooks hooks);
  ~TaskRouter();

  // Hooks of the dispatcher.
  void BeforeStart(const Action& start, std::uint64_t worker_incarnation,
                   std::function<void(bool)> proceed);
  void OnEvent(const TaskEvent& event, std::function<void()> done);
  void OnGiveUp(const Action& action);
  [[nodiscard]] std::optional<TaskJob> FindJob(const std::string& request_id) const;

  // Peer methods.
  schema::PlaceResult OnPlace(const schema::Place& place);
  /// @returns CODE_OK if the home no longer needs the event, CODE_TIMEOUT if it has to be sent
  /// again.
  schema::Ack OnTaskUpdate(const schema::TaskUpdate& update);
  /// Reports tasks on workers that this instance no longer owns to their homes.
  void OnReleased(const std::vector<TaskEvent>& events);
  /// @returns whether the task was accepted from another instance and is waiting here.
  [[nodiscard]] bool IsWaiting(const TaskKey& task) const;

  /// Hands waiting tasks to instances with free slots. Call it periodically.
  void Offload();

  /// Starts another attempt of each task that was handed to an instance that has failed; tasks that
  /// must not run twice are investigated instead. Call it periodically.
  void CheckPlaced();

  /// Stops accepting tasks from other instances and handing tasks to them.
  void Drain();

 private:
  struct Impl;
  explicit TaskRouter(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
