/// Home role: owns requests of the partitions that this instance owns, from arrival to answer.
#pragma once

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
  /// @returns whether this instance owns the partition.
  std::function<bool(PartitionId)> owns;
  /// Sends an answer to the entry instance that waits for it.
  std::function<void(const Waiter&, std::shared_ptr<const schema::Answer>)> deliver;
  std::function<Admission(const JobSpec&)> submit;
  std::function<bool(const std::string& request_id)> cancel;
  std::function<std::optional<schema::WorkClass>(const std::string& name)> find_class;
};

struct HomeOptions {
  std::uint32_t partition_count = 64;
};

/// Thread-safe.
class Home {
 public:
  static Result<std::unique_ptr<Home>> Create(Ledger& ledger, Journal& journal,
                                              const HomeOptions& options, HomeHooks hooks);
  ~Home();

  /// Takes a request that an entry instance forwarded. The answer is delivered later.
  /// @returns CODE_OK when received, CODE_NOT_OWNER when the partition is not owned or is still
  /// being recovered.
  schema::Ack OnForward(const schema::Forward& forward);

  /// Writes what has to be durable before a task starts.
  /// @param worker_incarnation 0 when another instance chooses the worker.
  void BeforeStart(const Action& start, std::uint64_t worker_incarnation,
                   std::function<void(bool)> go);

  /// @param done is called once the worker may drop the result.
  void OnTaskEvent(const TaskEvent& event, std::function<void()> done);

  void OnGiveUp(const Action& action);

  /// Recovers the requests of a partition from the journal, then serves it.
  void OnGained(PartitionId partition, const std::vector<std::string>& streams);
  void OnLost(PartitionId partition);

  /// @returns the job of a request that is homed here.
  [[nodiscard]] std::optional<TaskJob> FindJob(const std::string& request_id) const;

  Result<void> Cancel(const std::string& request_id);
  [[nodiscard]] std::optional<schema::Answer> Status(const std::string& request_id) const;

 private:
  struct Impl;
  explicit Home(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
