// Checks that waiting tasks are started and long-running tasks run, in periods without disruption.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "callers.h"

namespace citronsill::soak {

class WaitingCheck {
 public:
  WaitingCheck(Platform* platform, const Callers* callers)
      : m_platform(platform), m_callers(callers) {}

  // Checks all jobs once. Has to be called several times per second.
  void CheckAll();

  struct Counts {
    std::size_t calm_checks = 0;  // Checks in calm periods, which cover all waiting tasks.
    std::size_t waits = 0;        // Waits with free capacity seen in these checks.
    milliseconds longest{0};      // Longest of these waits.
  };
  [[nodiscard]] const Counts& Total() const { return m_counts; }

 private:
  struct Wait {
    SteadyTime waiting_since;
    std::optional<SteadyTime>
        with_capacity_since;  // Since when there has been free capacity continuously.
  };
  void UpdateUsage();
  [[nodiscard]] bool HasDoubleCapacity(const TaskRef& task, const model::TaskBehavior& step) const;
  bool IsUnderHalfOfLimit(const Callers::CallerJob& job);
  void CheckLongRunning(const Callers::CallerJob& job, bool is_calm);
  void CheckJob(const Callers::CallerJob& job);
  void CheckOccurrence(const Callers::CallerJob& job, std::uint32_t occurrence);
  [[nodiscard]] bool IsDone(const TaskRef& task) const;
  [[nodiscard]] bool HasExhaustedAttempts(const Callers::CallerJob& job) const;
  // Records that a task waits, and reports it when it waits too long with free capacity.
  // @param has_capacity whether there is free capacity for the task now.
  // @param bound longest time that the task may be without a run.
  void OnWaiting(const TaskRef& task, bool has_capacity, milliseconds bound, const char* what);

  Platform* m_platform;
  const Callers* m_callers;
  std::map<std::string, Resources> m_used;  // Resources in use, by worker id.
  // Customers that have less running than half of their limit, as far as known in this check.
  std::map<std::string, bool> m_under_half;
  // Whether the running tasks use more than half of the capacity of all ready workers, in any
  // dimension.
  bool m_is_over_half_used = false;
  std::map<TaskRef, Wait> m_waits;
  std::set<TaskRef> m_has_run;        // Long-running tasks that have run.
  std::set<TaskRef> m_waiting_tasks;  // Tasks found waiting in the current check.
  std::set<TaskRef> m_reported;       // Tasks whose violation was reported; each is reported once.
  Counts m_counts;
};

}  // namespace citronsill::soak
