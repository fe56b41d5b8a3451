#include "engine_state.h"

namespace citronsill {
namespace {

// Capacity is reclaimed for short work that has waited for kReclaimAfter, at most once per
// kReclaimPeriod, so that the effect of one round is visible before the next.
constexpr std::chrono::milliseconds kReclaimAfter{50};
constexpr std::chrono::milliseconds kReclaimPeriod{1000};
constexpr std::size_t kMaxReclaimsPerCall = 64;

// Preemption scans all running tasks, so one call frees capacity for at most this many tasks.
constexpr std::size_t kMaxPreemptionsPerCall = 16;

// Fraction of the work that counts as lost when a task is checkpointed. The checkpoint keeps
// most of the work; what is lost is the time to write and read it.
constexpr double kCheckpointCost = 0.1;

// Cost offsets, far above any amount of lost work: interactive tasks cost more than batch tasks
// because a caller waits for them, and services are preempted last.
constexpr double kInteractiveCost = 1e6;
constexpr double kServiceCost = 1e9;

// Minimum run time for the cost, in seconds, so that tasks that have just started still differ by
// size.
constexpr double kMinSeconds = 0.001;

/// @param seconds time that the task has run.
/// @returns the lost work in processor-seconds, plus the offset of the policy.
double PreemptionCost(const JobSpec& spec, double seconds) {
  const double lost = static_cast<double>(std::max<std::int64_t>(spec.size.processors_milli, 1)) /
                      1000.0 * std::max(seconds, kMinSeconds);
  switch (spec.policy) {
    case SchedulingPolicy::kBatch:
      return kCheckpointCost * lost;
    case SchedulingPolicy::kInteractive:
      return kInteractiveCost + lost;
    case SchedulingPolicy::kService:
      break;
  }
  return kServiceCost + lost;
}

}  // namespace

std::vector<PreemptionCandidate> Engine::Impl::FindCandidates(SteadyTime now) const {
  std::vector<PreemptionCandidate> candidates;
  for (const auto& [task, run] : running) {
    const JobSpec& spec = run.job->spec;
    // Stopping one task of a gang job would lose the work of all its tasks, because the program is
    // not known to survive the loss of one.
    const bool may_stop = run.job->is_known && spec.idempotent && !spec.urgent &&
                          !spec.all_at_once && !run.stopping && !run.lost;
    if (!may_stop || holds.contains(run.worker) || !states.at(run.worker).IsSchedulable()) continue;
    const double seconds = std::chrono::duration<double>(now - run.started).count();
    candidates.push_back({task, run.worker, run.size, PreemptionCost(spec, seconds)});
  }
  std::ranges::sort(candidates, {}, &PreemptionCandidate::task);
  return candidates;
}

void Engine::Impl::StopVictim(const TaskKey& task, Running& run, const char* reason) {
  run.stopping = true;
  run.preempted = true;
  Action action;
  action.kind = run.job->spec.policy == SchedulingPolicy::kBatch ? ActionKind::kCheckpoint
                                                                 : ActionKind::kStop;
  action.task = task;
  action.worker = index.Spec(run.worker).id;
  action.message = reason;
  actions.push_back(std::move(action));
}

bool Engine::Impl::PreemptFor(const Job& job, std::vector<PreemptionCandidate>& candidates,
                              SteadyTime now) {
  const std::vector<std::size_t> victims = index.ChooseVictims(job.size, candidates);
  if (victims.empty()) return false;
  const WorkerHandle worker = candidates[victims.front()].worker;
  for (const std::size_t victim : victims) {
    const TaskKey& task = candidates[victim].task;
    StopVictim(task, running.at(task), "preempted to free capacity for urgent work");
  }
  holds[worker] = Hold{now};
  std::erase_if(candidates, [&](const auto& candidate) { return candidate.worker == worker; });
  return true;
}

void Engine::Impl::Preempt(SteadyTime now) {
  if (urgent_waiting <= holds.size()) return;
  std::size_t wanted = std::min(urgent_waiting - holds.size(), kMaxPreemptionsPerCall);
  std::size_t covered = holds.size();
  std::optional<std::vector<PreemptionCandidate>> candidates;
  queue.Visit([&](const WaitingGroup& group, const QueueEntry& entry) {
    if (group.lane != Lane::kUrgent || wanted == 0) return false;
    const JobPtr job = FindJob(entry.job);
    if (!job || !shares.WithinQuota(job->spec.team, job->size, 1)) return true;
    for (std::size_t i = 0; i < entry.tasks.size() && wanted > 0; ++i) {
      // The existing holds cover the tasks that have waited longest.
      if (covered > 0) {
        --covered;
        continue;
      }
      if (!candidates) candidates = FindCandidates(now);
      if (!PreemptFor(*job, *candidates, now)) return true;
      --wanted;
    }
    return true;
  });
}

void Engine::Impl::Reclaim(SteadyTime now) {
  if (!headroom.IsExceeded() || now - last_reclaim < kReclaimPeriod) return;
  std::int64_t wanted = 0;
  queue.VisitLane(Lane::kShort, [&](const WaitingGroup&, const QueueEntry& entry) {
    if (now - entry.since >= kReclaimAfter) {
      wanted += static_cast<std::int64_t>(entry.tasks.size());
    }
    return wanted < static_cast<std::int64_t>(kMaxReclaimsPerCall);
  });
  if (wanted == 0) return;
  last_reclaim = now;
  std::vector<PreemptionCandidate> candidates = FindCandidates(now);
  std::erase_if(candidates, [&](const PreemptionCandidate& candidate) {
    return running.at(candidate.task).job->spec.policy != SchedulingPolicy::kBatch;
  });
  std::ranges::sort(candidates, {}, &PreemptionCandidate::cost);
  for (const PreemptionCandidate& candidate : candidates) {
    if (wanted <= 0) break;
    const std::int64_t places = headroom.PlacesFreed(candidate.worker, candidate.size);
    if (places <= 0) continue;
    StopVictim(candidate.task, running.at(candidate.task),
               "preempted to free capacity for short work");
    wanted -= places;
  }
}

void Engine::Impl::ReleaseHolds(SteadyTime now) {
  const std::size_t before = holds.size();
  std::erase_if(holds, [&](const auto& entry) { return entry.second.since + kHoldTime < now; });
  while (holds.size() > urgent_waiting) holds.erase(std::prev(holds.end()));
  if (holds.size() != before) AdvanceGenerations();
}

}  // namespace citronsill
