#include "waiting.h"

#include <fmt/format.h>

#include <algorithm>

#include "platform/wire.h"

namespace citronsill::soak {
namespace {

// Bounds from the platform's rules: a task whose turn has come is started within 3 s of having free
// capacity, counted from 4 s after the last disruption at the earliest. A long-running task is
// down for at most 6 s.
constexpr milliseconds kStartBound{3000};
constexpr milliseconds kCalmBefore{4000};
constexpr milliseconds kDowntimeBound{6000};

}  // namespace

void WaitingCheck::CheckAll() {
  const bool is_calm = m_platform->loop.Now() >= m_platform->disruptions.any_until + kCalmBefore;
  if (is_calm) {
    ++m_counts.calm_checks;
    UpdateUsage();
  }
  m_waiting_tasks.clear();
  m_under_half.clear();
  for (const auto& [id, job] : m_callers->Jobs()) {
    if (job->phase != Callers::Phase::kAccepted || job->cancel_sent) continue;
    if (job->is_long_running) {
      CheckLongRunning(*job, is_calm);
    } else if (is_calm) {
      CheckJob(*job);
    }
  }
  std::erase_if(m_waits,
                [this](const auto& entry) { return !m_waiting_tasks.contains(entry.first); });
}

void WaitingCheck::UpdateUsage() {
  m_used.clear();
  Resources all_used;
  for (const auto& [task, run] : m_platform->history.running) {
    const Resources size = m_platform->actual_behavior(task).size;
    m_used[run.worker] += size;
    all_used += size;
  }
  Resources twice_used = all_used;
  twice_used += all_used;
  Resources total_capacity;
  for (const auto& worker : m_platform->workers) {
    if (!worker->incarnation->dead && !worker->draining) total_capacity += Platform::Capacity();
  }
  m_is_over_half_used = !total_capacity.Covers(twice_used);
}

// Whether the workers that may run a task have free capacity for twice what has to start together.
bool WaitingCheck::HasDoubleCapacity(const TaskRef& task, const model::TaskBehavior& step) const {
  std::uint32_t missing = 2 * (step.gang ? step.members : 1);
  for (const auto& worker : m_platform->workers) {
    if (worker->incarnation->dead || worker->draining || !m_platform->IsAllowed(task, *worker))
      continue;
    Resources free_capacity = Platform::Capacity();
    if (const auto used = m_used.find(worker->id); used != m_used.end())
      free_capacity -= used->second;
    for (; free_capacity.Covers(step.size); free_capacity -= step.size) {
      if (--missing == 0) return true;
    }
  }
  return false;
}

// Whether the customer of a job has less running than half of its limit.
bool WaitingCheck::IsUnderHalfOfLimit(const Callers::CallerJob& job) {
  if (!m_platform->customers) return true;
  const auto [found, is_new] = m_under_half.try_emplace(job.customer, false);
  if (is_new) {
    found->second =
        m_platform->customers->IsUnderHalf(job.customer, m_callers->RunningOf(job.customer));
  }
  return found->second;
}

void WaitingCheck::CheckLongRunning(const Callers::CallerJob& job, bool is_calm) {
  for (std::uint32_t index = 0; index < job.steps[0].members; ++index) {
    const TaskRef task{job.id, 0, 0, index};
    if (m_platform->history.running.contains(task)) {
      m_has_run.insert(task);
      continue;
    }
    const bool has_run = m_has_run.contains(task);
    // Before its first run, a long-running task has the bound of other tasks.
    const bool has_capacity = is_calm && (has_run || !m_is_over_half_used) &&
                              IsUnderHalfOfLimit(job) && HasDoubleCapacity(task, job.steps[0]);
    OnWaiting(task, has_capacity, has_run ? kDowntimeBound : kStartBound,
              has_run ? "long-running task down" : "task not started");
  }
}

void WaitingCheck::CheckJob(const Callers::CallerJob& job) {
  const auto& running = m_platform->history.running;
  const auto first = running.lower_bound(TaskRef{job.id});
  if (first != running.end() && first->first.job == job.id) return;
  if (HasExhaustedAttempts(job)) return;
  for (std::uint32_t occurrence = 0; occurrence < job.occurrences; ++occurrence) {
    if (Callers::IsDue(job, occurrence, milliseconds(0))) CheckOccurrence(job, occurrence);
  }
}

// Each step depends on the previous one, so only the first step that is not done is checked. A gang
// is done when one of its members is.
void WaitingCheck::CheckOccurrence(const Callers::CallerJob& job, std::uint32_t occurrence) {
  for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
    const model::TaskBehavior& step = job.steps[number];
    bool is_step_done = true;
    bool is_gang_done = false;
    for (std::uint32_t index = 0; index < step.members; ++index) {
      is_gang_done = is_gang_done || (step.gang && IsDone({job.id, occurrence, number, index}));
    }
    for (std::uint32_t index = 0; index < step.members && !is_gang_done; ++index) {
      const TaskRef task{job.id, occurrence, number, index};
      if (IsDone(task)) continue;
      is_step_done = false;
      const bool has_capacity =
          !m_is_over_half_used && IsUnderHalfOfLimit(job) && HasDoubleCapacity(task, step);
      OnWaiting(task, has_capacity, kStartBound, "task not started");
    }
    if (!is_step_done) return;
  }
}

bool WaitingCheck::IsDone(const TaskRef& task) const {
  const auto& ends = m_platform->history.ends;
  for (auto it = ends.lower_bound({task, 0}); it != ends.end() && it->first.first == task; ++it) {
    if (it->second == RunEnd::kDone) return true;
  }
  return false;
}

// Whether a task has used up its attempts, so that no task of the job has to run any more.
bool WaitingCheck::HasExhaustedAttempts(const Callers::CallerJob& job) const {
  std::map<TaskRef, int> failures;
  const auto& ends = m_platform->history.ends;
  for (auto it = ends.lower_bound({TaskRef{job.id}, 0});
       it != ends.end() && it->first.first.job == job.id; ++it) {
    if (it->second == RunEnd::kFailed && ++failures[it->first.first] >= Callers::kAttempts) {
      return true;
    }
  }
  return false;
}

void WaitingCheck::OnWaiting(const TaskRef& task, bool has_capacity, milliseconds bound,
                             const char* what) {
  const SteadyTime now = m_platform->loop.Now();
  m_waiting_tasks.insert(task);
  Wait& wait = m_waits.try_emplace(task, Wait{now, std::nullopt}).first->second;
  if (!has_capacity) {
    wait.with_capacity_since.reset();
    return;
  }
  if (!wait.with_capacity_since) {
    wait.with_capacity_since = now;
    ++m_counts.waits;
  }
  m_counts.longest = std::max(
      m_counts.longest, std::chrono::duration_cast<milliseconds>(now - *wait.with_capacity_since));
  if (now < *wait.with_capacity_since + kStartBound || now < wait.waiting_since + bound) return;
  if (!m_reported.insert(task).second) return;
  m_platform->history.violations.push_back(fmt::format(
      "{} for {} ms, free capacity for twice its size, last disruption {} ms ago: {}", what,
      std::chrono::duration_cast<milliseconds>(now - wait.waiting_since).count(),
      std::chrono::duration_cast<milliseconds>(now - m_platform->disruptions.any_until).count(),
      platform::TaskName(task)));
}

}  // namespace citronsill::soak
