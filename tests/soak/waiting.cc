#include "waiting.h"

#include <fmt/format.h>

#include <algorithm>

#include "platform/wire.h"

namespace citronsill::soak {
namespace {

// Bounds of the platform's rules: a task whose turn has come is started within 3 s of room for it,
// which count from 4 s after the last disruption; a lasting task is away for no longer than 6 s.
constexpr milliseconds kStartBound{3000};
constexpr milliseconds kCalmBefore{4000};
constexpr milliseconds kAwayBound{6000};

}  // namespace

void WaitingCheck::Look() {
  const bool is_calm = m_platform->loop.Now() >= m_platform->calm.disturbed + kCalmBefore;
  if (is_calm) {
    ++m_counts.calm_looks;
    CountRoom();
  }
  m_seen.clear();
  for (const auto& [id, job] : m_callers->Jobs()) {
    if (job->phase != Callers::Phase::kAccepted || job->cancel_sent) continue;
    if (job->lasts) {
      LookAtLasting(*job, is_calm);
    } else if (is_calm) {
      LookAtJob(*job);
    }
  }
  std::erase_if(m_waits, [this](const auto& entry) { return !m_seen.contains(entry.first); });
}

void WaitingCheck::CountRoom() {
  m_used.clear();
  Resources all;
  for (const auto& [task, run] : m_platform->history.running) {
    const Resources size = m_platform->truth(task).size;
    m_used[run.worker] += size;
    all += size;
  }
  Resources twice = all;
  twice += all;
  Resources room;
  for (const auto& worker : m_platform->workers) {
    if (!worker->incarnation->dead && !worker->draining) room += Platform::Capacity();
  }
  m_is_half_full = !room.Covers(twice);
}

// Whether workers that may run it have room for twice what is to be started at once.
bool WaitingCheck::HasRoomTwice(const TaskRef& task, const model::TaskBehavior& step) const {
  const std::string name = platform::StepName(task);
  std::uint32_t missing = 2 * (step.gang ? step.members : 1);
  for (const auto& worker : m_platform->workers) {
    if (worker->incarnation->dead || worker->draining || !m_platform->IsAllowed(name, *worker))
      continue;
    Resources room = Platform::Capacity();
    if (const auto used = m_used.find(worker->id); used != m_used.end()) room -= used->second;
    for (; room.Covers(step.size); room -= step.size) {
      if (--missing == 0) return true;
    }
  }
  return false;
}

void WaitingCheck::LookAtLasting(const Callers::CallerJob& job, bool is_calm) {
  for (std::uint32_t index = 0; index < job.steps[0].members; ++index) {
    const TaskRef task{job.id, 0, 0, index};
    if (m_platform->history.running.contains(task)) {
      m_begun.insert(task);
      continue;
    }
    const bool has_begun = m_begun.contains(task);
    // Before its first run it is a task as any other.
    const bool has_room =
        is_calm && (has_begun || !m_is_half_full) && HasRoomTwice(task, job.steps[0]);
    OnWaiting(task, has_room, has_begun ? kAwayBound : kStartBound,
              has_begun ? "lasting task away" : "task not started");
  }
}

void WaitingCheck::LookAtJob(const Callers::CallerJob& job) {
  const auto& running = m_platform->history.running;
  const auto first = running.lower_bound(TaskRef{job.id});
  if (first != running.end() && first->first.job == job.id) return;
  if (IsHopeless(job)) return;
  for (std::uint32_t occurrence = 0; occurrence < job.occurrences; ++occurrence) {
    if (Callers::IsDue(job, occurrence, milliseconds(0))) LookAtOccurrence(job, occurrence);
  }
}

// Each step comes after the one before it.
void WaitingCheck::LookAtOccurrence(const Callers::CallerJob& job, std::uint32_t occurrence) {
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
      OnWaiting(task, !m_is_half_full && HasRoomTwice(task, step), kStartBound, "task not started");
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

// Whether a task has used its attempts up: nothing of the job has to run any more.
bool WaitingCheck::IsHopeless(const Callers::CallerJob& job) const {
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

void WaitingCheck::OnWaiting(const TaskRef& task, bool has_room, milliseconds bound,
                             const char* what) {
  const SteadyTime now = m_platform->loop.Now();
  m_seen.insert(task);
  Wait& wait = m_waits.try_emplace(task, Wait{now, std::nullopt}).first->second;
  if (!has_room) {
    wait.with_room.reset();
    return;
  }
  if (!wait.with_room) {
    wait.with_room = now;
    ++m_counts.waits;
  }
  m_counts.longest =
      std::max(m_counts.longest, std::chrono::duration_cast<milliseconds>(now - *wait.with_room));
  if (now < *wait.with_room + kStartBound || now < wait.away + bound) return;
  if (!m_reported.insert(task).second) return;
  m_platform->history.violations.push_back(fmt::format(
      "{} for {} ms with room twice over, calm for {} ms: {}", what,
      std::chrono::duration_cast<milliseconds>(now - wait.away).count(),
      std::chrono::duration_cast<milliseconds>(now - m_platform->calm.disturbed).count(),
      platform::TaskName(task)));
}

}  // namespace citronsill::soak
