/// Stand-in for a worker: simulates tasks that run under leases. It has no threads and no clock;
/// the caller passes the time. Used by worker_standin over HTTP and by tests directly.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/codec.h"
#include "citronsill/convert.h"
#include "citronsill/types.h"
#include "schema/citronsill.pb.h"

namespace citronsill {

/// Start or end of a task in the history of a worker, for checking the invariants.
struct WorkerHistoryEntry {
  SteadyTime time;
  TaskKey task;
  bool started = false;  ///< True for a start, false for an end.
  schema::TaskEnd end = schema::TASK_END_NONE;
  std::uint64_t epoch = 0;
  Resources used;  ///< Resources in use on the worker after the event.
};

/// Not thread-safe.
class StandinWorker {
 public:
  /// @param incarnation has to differ for each start of the worker.
  explicit StandinWorker(schema::WorkerInfo info, std::uint64_t incarnation = 1)
      : m_info(std::move(info)), m_incarnation(incarnation) {}

  void SetFailTasks(bool fail) { m_fail_tasks = fail; }
  void SetLeaving(bool leaving) { m_leaving = leaving; }

  /// Ends the tasks that are done or whose lease has expired by `now`. `Start`, `Control` and
  /// `Sync` do so first.
  void Advance(SteadyTime now) {
    for (auto entry = m_running.begin(); entry != m_running.end();) {
      const auto& [task, running] = *entry;
      const bool has_expired = running.lease_until <= now && running.lease_until < running.done_at;
      if (!has_expired && running.done_at > now) {
        ++entry;
        continue;
      }
      const SteadyTime at = has_expired ? running.lease_until : running.done_at;
      const schema::TaskEnd end = has_expired    ? schema::TASK_END_LAPSED
                                  : m_fail_tasks ? schema::TASK_END_FAILED
                                                 : schema::TASK_END_SUCCEEDED;
      const TaskKey ended = task;
      ++entry;
      End(ended, end, at);
    }
  }

  schema::WorkerResult Start(const schema::WorkerStart& start, SteadyTime now) {
    Advance(now);
    if (start.epoch() < m_epoch) return Reject(schema::CODE_STALE_EPOCH, "a higher epoch was seen");
    if (start.epoch() == m_epoch && start.session() < m_session) {
      return Reject(schema::CODE_WORKER_REJECTED, "the owner has attached with a higher session");
    }
    if (start.epoch() > m_epoch) m_session = start.session();
    m_epoch = start.epoch();
    const TaskKey task = ToKey(start.task());
    if (m_started.contains(task))
      return Reject(schema::CODE_WORKER_REJECTED, "the task was started before");
    const Resources size = ToResources(start.size());
    Resources needed = m_used;
    needed += size;
    if (!ToResources(m_info.capacity()).Covers(needed) || m_running.size() >= m_info.slots()) {
      ++m_rejected_for_capacity;
      return Reject(schema::CODE_WORKER_REJECTED, "over capacity");
    }
    m_started[task] = true;
    m_used = needed;
    RunningTask running;
    running.size = size;
    running.payload = start.payload();
    running.work_class = start.work_class();
    running.done_at = now + ToMilliseconds(start.run_time());
    running.lease_until = now + ToMilliseconds(start.lease());
    m_running[task] = std::move(running);
    Record(task, true, schema::TASK_END_NONE, now);
    schema::WorkerResult result;
    result.set_epoch(m_epoch);
    return result;
  }

  schema::WorkerResult Control(const schema::WorkerControl& control, SteadyTime now) {
    Advance(now);
    if (control.epoch() < m_epoch) {
      return Reject(schema::CODE_STALE_EPOCH, "a higher epoch was seen");
    }
    m_epoch = control.epoch();
    const TaskKey task = ToKey(control.task());
    const auto found = m_running.find(task);
    if (found != m_running.end() && control.operation() == "throttle") {
      // A throttled task runs at half speed: its remaining time doubles.
      found->second.done_at += (found->second.done_at - now);
    } else if (found != m_running.end()) {
      End(task, schema::TASK_END_STOPPED, now);
    }
    schema::WorkerResult result;
    result.set_epoch(m_epoch);
    return result;
  }

  /// @returns the answer without reports, with a code if the sync is rejected.
  /// `HasUnreportedResults` tells whether it should be sent before the wait time of the sync has
  /// passed.
  schema::WorkerSyncResult Sync(const schema::WorkerSync& sync, SteadyTime now) {
    Advance(now);
    schema::WorkerSyncResult result;
    if (sync.epoch() < m_epoch) {
      result.set_code(schema::CODE_STALE_EPOCH);
      result.set_epoch(m_epoch);
      return result;
    }
    if (sync.epoch() > m_epoch) m_session = 0;
    m_epoch = sync.epoch();
    m_session = std::max(m_session, sync.session());
    for (const schema::TaskRef& ref : sync.renew()) {
      if (auto found = m_running.find(ToKey(ref)); found != m_running.end()) {
        found->second.lease_until = now + ToMilliseconds(sync.lease());
      }
    }
    for (const schema::TaskRef& ref : sync.acknowledge()) m_unacknowledged_tasks.erase(ToKey(ref));
    if (sync.attach()) {
      for (auto& [task, ended] : m_unacknowledged_tasks) ended.reported = false;
    }
    return result;
  }

  /// @returns whether there are results that were not reported since the last attach.
  [[nodiscard]] bool HasUnreportedResults() const {
    return std::any_of(m_unacknowledged_tasks.begin(), m_unacknowledged_tasks.end(),
                       [](const auto& entry) { return !entry.second.reported; });
  }

  /// Adds the task reports to the answer of an accepted sync and marks the results as reported.
  /// @param attach whether the sync attached; only then the answer includes the worker's info.
  void Report(bool attach, schema::WorkerSyncResult* result) {
    result->set_epoch(m_epoch);
    result->set_incarnation(m_incarnation);
    if (attach) *result->mutable_info() = m_info;
    result->set_leaving(m_leaving);
    for (const auto& [task, running] : m_running) {
      schema::TaskReport* report = result->add_tasks();
      *report->mutable_task() = ToRef(task);
      SetResources(running.size, report->mutable_size());
      SetResources(running.size, report->mutable_used());
    }
    for (auto& [task, ended] : m_unacknowledged_tasks) {
      if (ended.reported) continue;
      ended.reported = true;
      schema::TaskReport* report = result->add_tasks();
      *report->mutable_task() = ToRef(task);
      report->set_end(ended.end);
      report->set_result(ended.result);
    }
  }

  [[nodiscard]] const schema::WorkerInfo& Info() const { return m_info; }
  [[nodiscard]] const std::vector<WorkerHistoryEntry>& History() const { return m_history; }
  /// @returns the number of starts rejected for lack of free resources or slots.
  [[nodiscard]] std::uint64_t RejectedForCapacity() const { return m_rejected_for_capacity; }
  [[nodiscard]] std::size_t Running() const { return m_running.size(); }

 private:
  struct RunningTask {
    Resources size;
    std::string payload;
    std::string work_class;
    SteadyTime done_at;
    SteadyTime lease_until;
  };

  struct EndedTask {
    schema::TaskEnd end = schema::TASK_END_NONE;
    std::string result;
    bool reported = false;
  };

  schema::WorkerResult Reject(schema::Code code, const std::string& message) const {
    schema::WorkerResult result;
    result.set_code(code);
    result.set_epoch(m_epoch);
    result.set_message(message);
    return result;
  }

  void End(const TaskKey& task, schema::TaskEnd end, SteadyTime at) {
    const auto found = m_running.find(task);
    EndedTask ended;
    ended.end = end;
    if (end == schema::TASK_END_SUCCEEDED) {
      ended.result = found->second.work_class + " done: " + found->second.payload;
    }
    m_used -= found->second.size;
    m_running.erase(found);
    m_unacknowledged_tasks[task] = std::move(ended);
    Record(task, false, end, at);
  }

  void Record(const TaskKey& task, bool started, schema::TaskEnd end, SteadyTime at) {
    m_history.push_back({at, task, started, end, m_epoch, m_used});
  }

  schema::WorkerInfo m_info;
  std::uint64_t m_incarnation;
  bool m_fail_tasks = false;
  bool m_leaving = false;
  std::uint64_t m_epoch = 0;    // Highest epoch seen; calls with a lower one are rejected.
  std::uint64_t m_session = 0;  // Highest session seen; reset by a start or sync of a higher epoch.
  std::uint64_t m_rejected_for_capacity = 0;
  Resources m_used;
  std::map<TaskKey, bool> m_started;  // All tasks ever started; none is started twice.
  std::map<TaskKey, RunningTask> m_running;
  std::map<TaskKey, EndedTask> m_unacknowledged_tasks;  // Ended; erased by the acknowledgement.
  std::vector<WorkerHistoryEntry> m_history;
};

}  // namespace citronsill
