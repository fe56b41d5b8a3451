/// Finds out what became of a task: asks the owner of its worker, or all owners when the worker is
/// not known.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citronsill/dispatcher.h"
#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

struct TaskQuerierHooks {
  /// @returns the peer address of the worker's owner, empty for this instance.
  std::function<Result<std::string>(const std::string& worker)> owner_address;
  /// @returns the peer addresses of all other live instances.
  std::function<std::vector<std::string>()> peer_addresses;
  std::function<void(const std::string& address, const std::string& method, std::string params,
                     std::function<void(Result<std::string>)> done)>
      call;
  /// What this instance knows itself.
  std::function<schema::TaskQueryResult(const TaskKey&, const std::string& worker,
                                        std::uint64_t worker_incarnation)>
      ask_self;
  std::function<SteadyTime()> now;
};

struct TaskQuerierOptions {
  std::uint32_t partition_count = 64;
  /// An instance that took a task whose answer is missing may still start it within this time.
  std::chrono::milliseconds settle{10000};
};

/// Thread-safe.
class TaskQuerier {
 public:
  static Result<std::unique_ptr<TaskQuerier>> Create(const TaskQuerierOptions& options,
                                                     TaskQuerierHooks hooks);
  ~TaskQuerier();

  /// @param worker as by `WorkerRef`, or empty when it is not known.
  /// @param done gets kNeverStarted only when no worker has the task and none can start it any
  /// more.
  void Ask(const TaskKey& task, const std::string& worker,
           std::function<void(Result<TaskKnowledge>)> done);

 private:
  struct Impl;
  explicit TaskQuerier(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
