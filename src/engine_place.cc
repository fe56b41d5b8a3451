#include "engine_state.h"

namespace citronsill {
namespace {

// A task gets a reservation when no task of its shape has been started for this long; a gang job
// gets one at once, because it needs all its capacity at the same moment. Reserved capacity stays
// idle: with a limit of 5 s from the submission, every shape of a backlog asked for a reservation.
constexpr std::chrono::milliseconds kReservationAge{30000};

// Once its job has waited this long, a reservation excludes short work too. Before, short work may
// use the reserved workers when no other worker has free capacity.
constexpr std::chrono::milliseconds kStrictAge{30000};

// Age at which a reservation is dropped, so that it is planned again from the current state.
constexpr std::chrono::milliseconds kReservationRefresh{1000};

// Batch work can wait, so the shape that fills a worker best is placed first. Up to
// kMaxShapesCompared shapes of a team are compared, and for each the search adds up to
// kFillSearchDepth more tasks to the worker.
constexpr std::size_t kMaxShapesCompared = 6;
constexpr std::uint32_t kFillSearchDepth = 4;

// A team with waiting work whose share has stayed below kStarvedFraction of an even share for
// kStarvedAfter is placed before all but urgent work until it has an even share. It counts as
// starved until it reaches kSatisfiedFraction: with one bound for both, each task that ended cost
// the team another 5 s.
constexpr double kStarvedFraction = 0.9;
constexpr std::chrono::milliseconds kStarvedAfter{5000};
constexpr double kSatisfiedFraction = 1.1;

bool IsLong(Lane lane) { return lane != Lane::kUrgent && lane != Lane::kShort; }

/// @returns the minimum that stays unused of `left` after adding up to `depth` tasks of the given
/// sizes, as the sum of the fractions of the processors and the memory of `capacity`.
double MinUnusedFraction(const Resources& left, std::uint32_t slots,
                         std::span<const Resources> sizes, const Resources& capacity,
                         std::uint32_t depth = kFillSearchDepth) {
  const auto fraction = [](std::int64_t amount, std::int64_t total) {
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
  };
  double least = fraction(left.processors_milli, capacity.processors_milli) +
                 fraction(left.memory_mb, capacity.memory_mb);
  if (slots == 0 || depth == 0) return least;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    if (!left.Covers(sizes[i])) continue;
    Resources rest = left;
    rest -= sizes[i];
    // Only this size and later ones are added, because the order of the tasks does not matter.
    least =
        std::min(least, MinUnusedFraction(rest, slots - 1, sizes.subspan(i), capacity, depth - 1));
  }
  return least;
}

Action MakeAction(ActionKind kind, const TaskKey& task, const std::string& worker) {
  Action action;
  action.kind = kind;
  action.task = task;
  action.worker = worker;
  return action;
}

}  // namespace

void Engine::Impl::EnqueueDelayed(SteadyTime now) {
  while (!delayed.empty() && delayed.begin()->first <= now) {
    const Delayed due = delayed.begin()->second;
    delayed.erase(delayed.begin());
    const auto found = due.job->delayed.find(due.task.index);
    if (found == due.job->delayed.end() || found->second != due.task.attempt) continue;
    due.job->delayed.erase(found);
    due.job->waiting.erase(due.task.index);
    if (due.job->waiting.empty()) RemoveWaitingJob(*due.job);
    Enqueue(due.job, {due.task}, true, now);
  }
}

void Engine::Impl::ExpireDeadlines(SteadyTime now) {
  while (!deadlines.empty() && deadlines.begin()->first < now) {
    const JobPtr job = FindJob(deadlines.begin()->second);
    deadlines.erase(deadlines.begin());
    if (!job || job->waiting.empty() || !job->spec.deadline) continue;
    if (*job->spec.deadline - job->run_time >= now) continue;
    GiveUp(job, schema::CODE_DEADLINE_PASSED,
           "a task could not be started in time to meet the deadline", now);
  }
}

bool Engine::Impl::IsReservedFor(const Job& job) const {
  return reservation && reservation->job == job.spec.id;
}

bool Engine::Impl::IsGangOrService(const Job& job) {
  return job.spec.all_at_once || job.spec.policy == SchedulingPolicy::kService;
}

bool Engine::Impl::LeavesHeadroom(const Job& job, const QueueEntry& entry,
                                  std::span<const WorkerHandle> chosen, SteadyTime now) const {
  if (!IsLong(job.lane) || long_running == 0) return true;
  // A service or gang job that holds the reservation and has waited for kStrictAge may exceed the
  // limit, because other long work keeps overtaking it. A single batch task may not, because a
  // backlog of them would use up the headroom.
  if (IsReservedFor(job) && now - entry.since >= kStrictAge && IsGangOrService(job)) return true;
  std::map<WorkerHandle, std::uint32_t> counts;
  for (const WorkerHandle worker : chosen) ++counts[worker];
  std::int64_t places = 0;
  for (const auto& [worker, count] : counts) {
    places += headroom.PlacesTaken(worker, job.size, count);
  }
  return headroom.Allows(places);
}

bool Engine::Impl::ConflictsWithReservation(const Job& job, SteadyTime now) const {
  if (!reservation || IsReservedFor(job) || job.lane == Lane::kUrgent) return false;
  const bool is_unbounded = job.spec.policy == SchedulingPolicy::kService;
  return is_unbounded || now + job.run_time > reservation->start;
}

std::vector<WorkerHandle> Engine::Impl::ExcludedFor(const Job& job, std::uint32_t task_index,
                                                    SteadyTime now) const {
  std::vector<WorkerHandle> excluded;
  if (job.lane != Lane::kUrgent) {
    for (const auto& [worker, hold] : holds) excluded.push_back(worker);
  }
  if (ConflictsWithReservation(job, now)) {
    excluded.insert(excluded.end(), reservation->workers.begin(), reservation->workers.end());
  }
  // Quarantined workers are probed only with work that can safely be restarted elsewhere.
  const bool may_probe = job.spec.idempotent && !job.spec.exclusive && !job.spec.all_at_once &&
                         job.lane != Lane::kUrgent;
  if (!may_probe) excluded.insert(excluded.end(), probes.begin(), probes.end());
  const auto found = job.attempts.find(task_index);
  // If the task has failed on every worker of the cell, one of them has to be used again.
  if (found == job.attempts.end() || found->second.excluded.size() >= workers.size()) {
    return excluded;
  }
  for (const std::string& id : found->second.excluded) {
    if (const auto worker = workers.find(id); worker != workers.end()) {
      excluded.push_back(worker->second);
    }
  }
  return excluded;
}

std::optional<WorkerHandle> Engine::Impl::ChooseWorker(const Job& job, std::uint32_t task_index,
                                                       SteadyTime now) const {
  const std::vector<WorkerHandle> excluded = ExcludedFor(job, task_index, now);
  std::vector<WorkerHandle> siblings;
  if (job.spec.policy == SchedulingPolicy::kService) {
    for (const TaskKey& task : job.running) siblings.push_back(running.at(task).worker);
  }
  PlacementQuery query;
  query.size = job.size;
  query.policy = job.spec.policy;
  query.siblings = siblings;
  query.excluded = excluded;
  auto worker = index.Choose(query);
  const bool may_use_reserved = job.lane == Lane::kShort && reservation && !reservation->strict;
  if (worker || !may_use_reserved || excluded.empty()) return worker;
  std::vector<WorkerHandle> held;
  for (const auto& [held_worker, hold] : holds) held.push_back(held_worker);
  query.excluded = held;
  return index.Choose(query);
}

void Engine::Impl::Start(const JobPtr& job, QueueEntry& entry, WorkerHandle worker,
                         SteadyTime now) {
  const WaitingTask next = entry.tasks.front();
  entry.tasks.erase(entry.tasks.begin());
  job->waiting.erase(next.index);
  if (job->waiting.empty()) RemoveWaitingJob(*job);
  SubtractWaitingTasks(*job, 1);
  if (job->lane == Lane::kUrgent) holds.erase(worker);
  AdmissionOf(job->lane).OnTaken(job->spec.team, job->work, now - entry.since, now);
  const TaskKey task{job->spec.id, next.index, next.attempt};
  if (next.attempt == 0) retry_budgets[job->spec.team].OnFirstAttempt();
  health.OnPlaced(index.Spec(worker).id, job->spec.id, now);
  if (probes.contains(worker)) UpdateSchedulable(worker, now);
  Reserve(job, task, worker, job->size, now);
  Action action = MakeAction(ActionKind::kStart, task, index.Spec(worker).id);
  action.size = job->size;
  action.latest_start = job->spec.deadline;
  actions.push_back(std::move(action));
}

bool Engine::Impl::PlaceOne(WaitingGroup& group, const JobPtr& job, SteadyTime now) {
  QueueEntry& entry = *group.entries.front();
  if (!shares.WithinQuota(job->spec.team, job->size, 1)) return false;
  const auto worker = ChooseWorker(*job, entry.tasks.front().index, now);
  if (!worker) {
    const SteadyTime since = std::max(entry.since, group.last_placed);
    if (IsLong(job->lane) && now - since >= kReservationAge) PlanReservation(*job, entry, now);
    return false;
  }
  if (!LeavesHeadroom(*job, entry, {&*worker, 1}, now)) {
    if (IsGangOrService(*job)) PlanReservation(*job, entry, now);
    return false;
  }
  Start(job, entry, *worker, now);
  if (IsReservedFor(*job)) reservation.reset();
  return true;
}

bool Engine::Impl::PlaceGang(const JobPtr& job, QueueEntry& entry, SteadyTime now) {
  const auto count = static_cast<std::uint32_t>(entry.tasks.size());
  if (!shares.WithinQuota(job->spec.team, job->size, count)) return false;
  const std::vector<WorkerHandle> excluded = ExcludedFor(*job, entry.tasks.front().index, now);
  PlacementQuery query;
  query.size = job->size;
  query.policy = job->spec.policy;
  query.excluded = excluded;
  const std::vector<WorkerHandle> chosen = index.ChooseGang(query, count);
  if (chosen.empty() || !LeavesHeadroom(*job, entry, chosen, now)) {
    PlanReservation(*job, entry, now);
    return false;
  }
  for (const WorkerHandle worker : chosen) Start(job, entry, worker, now);
  if (IsReservedFor(*job)) reservation.reset();
  return true;
}

void Engine::Impl::PlaceGroup(WaitingGroup* group, SteadyTime now) {
  if (!queue.DropEmptyEntries(group)) return;
  QueueEntry& entry = *group->entries.front();
  const JobPtr job = FindJob(entry.job);
  const bool placed =
      group->shape.gang_tasks > 0 ? PlaceGang(job, entry, now) : PlaceOne(*group, job, now);
  if (!placed) {
    group->blocked_at = GenerationOf(group->lane);
    return;
  }
  group->last_placed = now;
  queue.DropEmptyEntries(group);
}

WaitingGroup* Engine::Impl::BestFit(WaitingGroup* oldest, SteadyTime now) {
  if (oldest->shape.gang_tasks > 0 || now - oldest->last_placed >= kReservationAge) return oldest;
  const std::vector<WaitingGroup*> groups =
      queue.UnblockedGroups(*oldest, long_generation, kMaxShapesCompared);
  if (groups.size() < 2) return oldest;
  std::vector<Resources> sizes;
  sizes.reserve(groups.size());
  for (const WaitingGroup* group : groups) sizes.push_back(group->shape.size);
  WaitingGroup* best = oldest;
  double min_unused = std::numeric_limits<double>::max();
  for (WaitingGroup* group : groups) {
    if (group->shape.gang_tasks > 0) continue;
    PlacementQuery query;
    query.size = group->shape.size;
    query.policy = group->shape.policy;
    const auto worker = index.Choose(query);
    if (!worker) continue;
    Resources left = index.Free(*worker);
    left -= group->shape.size;
    const double unused_fraction =
        MinUnusedFraction(left, index.FreeSlots(*worker) - 1, sizes, index.Spec(*worker).capacity);
    if (unused_fraction >= min_unused) continue;
    min_unused = unused_fraction;
    best = group;
  }
  return best;
}

void Engine::Impl::PlaceLane(Lane lane, SteadyTime now) {
  // Short work is ordered by the team's share of short work only, so that the team's own batch work
  // does not delay it. Urgent work is ordered by arrival alone: ordered by shares, a later task
  // took the capacity that was being freed for an earlier one, which then waited for two stops.
  const WaitingQueue::ShareOf share_of = [this, lane](const std::string& team) {
    if (lane == Lane::kUrgent) return 0.0;
    return lane == Lane::kShort ? shares.ShortShare(team) : shares.Share(team);
  };
  while (WaitingGroup* group = queue.NextGroup(lane, GenerationOf(lane), share_of)) {
    // All entries of the group may have been cancelled.
    if (!queue.DropEmptyEntries(group)) continue;
    PlaceGroup(lane == Lane::kBatch ? BestFit(group, now) : group, now);
  }
}

void Engine::Impl::PlaceStarved(SteadyTime now) {
  std::set<std::string> waiting_teams;
  for (const Lane lane : {Lane::kShort, Lane::kService, Lane::kLong, Lane::kBatch}) {
    for (std::string& team : queue.Teams(lane)) waiting_teams.insert(std::move(team));
  }
  std::erase_if(starved_since,
                [&](const auto& entry) { return !waiting_teams.contains(entry.first); });
  const double even_share = shares.EvenShare(waiting_teams);
  for (const std::string& team : waiting_teams) {
    const SteadyTime since = starved_since.try_emplace(team, now).first->second;
    const bool is_starved = now - since >= kStarvedAfter;
    if (shares.Share(team) >= (is_starved ? kSatisfiedFraction : kStarvedFraction) * even_share) {
      starved_since.erase(team);
      continue;
    }
    if (!is_starved) continue;
    for (const Lane lane : {Lane::kShort, Lane::kService, Lane::kLong, Lane::kBatch}) {
      while (shares.Share(team) < even_share) {
        WaitingGroup* group = queue.NextGroupOf(lane, team, GenerationOf(lane));
        if (group == nullptr) break;
        PlaceGroup(group, now);
      }
    }
  }
}

void Engine::Impl::RefreshReservation(SteadyTime now) {
  if (!reservation) return;
  const JobPtr job = FindJob(reservation->job);
  const bool is_old = now - reservation->computed_at >= kReservationRefresh;
  if (job && !job->waiting.empty() && !is_old) return;
  reservation.reset();
  AdvanceGenerations();
}

void Engine::Impl::PlanReservation(const Job& job, const QueueEntry& entry, SteadyTime now) {
  if (reservation) return;
  auto plan = ComputeReservation(
      job.size, static_cast<std::uint32_t>(job.spec.all_at_once ? entry.tasks.size() : 1), now);
  if (!plan) return;
  reservation = std::move(plan);
  reservation->job = job.spec.id;
  reservation->strict = now - entry.since >= kStrictAge;
}

std::vector<Action> Engine::Poll(SteadyTime now) {
  Impl& impl = *m_impl;
  if (now - impl.last_refresh >= Impl::kRefreshPeriod) {
    impl.last_refresh = now;
    impl.AdvanceGenerations();
    impl.UpdateHealth(now);
  }
  impl.ReclassifyOverruns(now);
  impl.headroom.Observe(now);
  const double short_rate = impl.slots > 0 ? std::max(0.05, impl.headroom.ShortFraction()) : 0.0;
  impl.short_admission.SetExpectedRate(short_rate);
  impl.long_admission.SetExpectedRate(impl.slots > 0 ? 1.0 : 0.0);
  impl.EnqueueDelayed(now);
  impl.ExpireDeadlines(now);
  impl.RefreshReservation(now);
  impl.ReleaseHolds(now);
  impl.PlaceLane(Lane::kUrgent, now);
  impl.Preempt(now);
  impl.PlaceStarved(now);
  impl.PlaceLane(Lane::kShort, now);
  impl.Reclaim(now);
  for (const Lane lane : {Lane::kService, Lane::kLong, Lane::kBatch}) {
    impl.PlaceLane(lane, now);
  }
  std::vector<Action> actions = std::move(impl.actions);
  impl.actions.clear();
  return actions;
}

}  // namespace citronsill
