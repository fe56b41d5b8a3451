/// Determines the state of a task by querying the owner of its worker, or all instances if the
/// worker is not known.
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
  /// @returns the peer address of the worker's owner; empty if this instance is the owner.
  std::function<Result<std::string>(const std::string& worker)> owner_address;
  /// @returns the peer addresses of all other live instances.
  std::function<std::vector<std::string>()> peer_addresses;
  std::function<void(const std::string& address, const std::string& method, std::string params,
                     std::function<void(Result<std::string>)> done)>
      call;
  /// Answers the query from this instance's own state.
  std::function<schema::TaskQueryResult(const TaskKey&, const std::string& worker,
                                        std::uint64_t worker_incarnation)>
      query_self;
  std::function<SteadyTime()> now;
};

struct TaskQuerierOptions {
  std::uint32_t partition_count = 64;
  /// For this long after the first query of a task without a known worker, the answer is kUnknown:
  /// an instance that accepted the task, but whose answer was lost, may still start it.
  std::chrono::milliseconds settle_time{10000};
};

/// Thread-safe.
class TaskQuerier {
 public:
  static Result<std::unique_ptr<TaskQuerier>> Create(const TaskQuerierOptions& options,
                                                     TaskQuerierHooks hooks);
  ~TaskQuerier();

  /// @param worker in the form of `WorkerRef`, or empty if it is not known.
  /// @param done gets kNeverStarted only if no worker has the task and none can start it anymore;
  /// CODE_NO_OWNER, or the error of the call to the owner, if the worker is known.
  void Query(const TaskKey& task, const std::string& worker,
             std::function<void(Result<TaskKnowledge>)> done);

 private:
  struct Impl;
  explicit TaskQuerier(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
