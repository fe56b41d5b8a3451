#include "citronsill/engine.h"

#include "engine_state.h"

namespace citronsill {
namespace {

// Assumed run time of a task whose job declares none and whose work class is not learned yet.
constexpr std::chrono::milliseconds kUnknownRunTime{1000};

// Long work ends rarely, so its drain rate is averaged over a longer time.
constexpr std::chrono::milliseconds kLongTimeConstant{60000};

// Retry delay given to callers who are refused because the queue is full.
constexpr std::chrono::milliseconds kFullQueueRetry{1000};

// A team may have as many waiting jobs as the queue has free entries, so that a single team fills
// at most half of it. One part in kGuaranteedDivisor of the queue is open to every team, whatever
// the others use.
constexpr std::size_t kGuaranteedDivisor = 64;

AdmissionOptions ShortAdmissionOptions(const EngineOptions& options) {
  AdmissionOptions admission_options;
  admission_options.max_queue_wait = options.max_queue_wait;
  return admission_options;
}

AdmissionOptions LongAdmissionOptions() {
  AdmissionOptions admission_options;
  admission_options.time_constant = kLongTimeConstant;
  return admission_options;
}

}  // namespace

Engine::Impl::Impl(const EngineOptions& engine_options)
    : options(engine_options),
      short_admission(ShortAdmissionOptions(engine_options)),
      long_admission(LongAdmissionOptions()) {}

Lane Engine::Impl::LaneOf(const JobSpec& spec, std::chrono::milliseconds run_time) const {
  if (spec.urgent) return Lane::kUrgent;
  if (spec.policy == SchedulingPolicy::kService) return Lane::kService;
  if (spec.policy == SchedulingPolicy::kBatch) return Lane::kBatch;
  return run_time <= options.short_run_time ? Lane::kShort : Lane::kLong;
}

AdmissionControl& Engine::Impl::AdmissionOf(Lane lane) {
  return lane == Lane::kShort || lane == Lane::kUrgent ? short_admission : long_admission;
}

LearnedEstimate Engine::Impl::EstimateOf(const JobSpec& spec) const {
  const auto declared = spec.run_time.count() > 0 ? spec.run_time : kUnknownRunTime;
  LearnedEstimate estimate = learner.Estimate(spec.work_class, spec.size, declared);
  // A learned size must not make a job infeasible that was admitted with its declared size.
  const std::uint32_t concurrent_tasks = spec.all_at_once ? spec.task_count : 1;
  if (!index.InfeasibilityReason(estimate.size).empty() ||
      !shares.QuotaViolation(spec.team, estimate.size, concurrent_tasks).empty()) {
    estimate.size = spec.size;
  }
  return estimate;
}

double Engine::Impl::WorkOf(const LearnedEstimate& estimate) const {
  // Without workers there is no cell capacity to relate the work to.
  if (slots == 0) return 0.0;
  return shares.DominantShare(estimate.size, 1) *
         std::chrono::duration<double>(estimate.run_time).count();
}

void Engine::Impl::ApplySpec(Job& job, const JobSpec& spec) {
  const LearnedEstimate estimate = EstimateOf(spec);
  job.spec = spec;
  job.is_known = true;
  job.size = estimate.size;
  job.run_time = estimate.run_time;
  job.lane = LaneOf(spec, job.run_time);
  job.work = WorkOf(estimate);
  job.sequence = next_sequence++;
  if (spec.deadline) deadlines.emplace(*spec.deadline - job.run_time, spec.id);
}

Engine::Impl::JobPtr Engine::Impl::FindJob(const std::string& id) const {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : found->second;
}

void Engine::Impl::EraseIfDone(const JobPtr& job) {
  if (const auto found = jobs.find(job->spec.id); found != jobs.end()) EraseIfDone(found);
}

void Engine::Impl::EraseIfDone(JobMap::iterator found) {
  const Job& job = *found->second;
  if (!job.waiting.empty() || !job.running.empty() || !job.interrupted.empty()) return;
  // The health tracker has no results of a job that was never started.
  if (!job.attempts.empty()) health.ForgetJob(job.spec.id);
  jobs.erase(found);
}

bool Engine::Impl::IsQueueFull(const std::string& team) const {
  const std::size_t limit = options.max_waiting_jobs;
  const auto found = waiting_by_team.find(team);
  const std::size_t team_jobs = found == waiting_by_team.end() ? 0 : found->second;
  if (team_jobs < limit / kGuaranteedDivisor) return false;
  return team_jobs >= limit - std::min(limit, waiting_jobs);
}

void Engine::Impl::AddWaitingJob(const Job& job) {
  ++waiting_jobs;
  ++waiting_by_team[job.spec.team];
}

void Engine::Impl::RemoveWaitingJob(const Job& job) {
  --waiting_jobs;
  const auto found = waiting_by_team.find(job.spec.team);
  if (--found->second == 0) waiting_by_team.erase(found);
}

Admission Engine::Impl::CheckAdmission(const JobSpec& spec, SteadyTime now) {
  if (IsQueueFull(spec.team)) {
    return {schema::CODE_OVERLOADED, "the queue has no free entry for another job of this team",
            kFullQueueRetry};
  }
  if (spec.deadline && *spec.deadline <= now) {
    return {schema::CODE_DEADLINE_UNREACHABLE, "the deadline has passed", {}};
  }
  if (slots > 0) {
    std::string reason = index.InfeasibilityReason(spec.size);
    // Gang jobs are not handed over to other instances.
    if (!reason.empty() && (spec.all_at_once || !FitsPeerWorker(spec.size))) {
      return {schema::CODE_NEVER_FITS, std::move(reason), {}};
    }
  }
  const std::uint32_t concurrent_tasks = spec.all_at_once ? spec.task_count : 1;
  if (std::string reason = shares.QuotaViolation(spec.team, spec.size, concurrent_tasks);
      !reason.empty()) {
    return {schema::CODE_QUOTA_EXCEEDED, std::move(reason), {}};
  }
  AdmissionQuery query;
  query.job = spec.id;
  query.team = spec.team;
  const LearnedEstimate estimate = EstimateOf(spec);
  query.run_time = estimate.run_time;
  query.deadline = spec.deadline;
  const Lane lane = LaneOf(spec, query.run_time);
  // Urgent work is placed before all queued work, so the queue does not count for it.
  if (lane == Lane::kUrgent) return AdmissionControl({}).Decide(query, now);
  query.work = WorkOf(estimate) * spec.task_count;
  return AdmissionOf(lane).Decide(query, now);
}

Shape Engine::Impl::ShapeOf(const Job& job, std::uint32_t task_index) const {
  Shape shape;
  shape.size = job.size;
  shape.policy = job.spec.policy;
  if (job.spec.all_at_once) shape.gang_tasks = job.spec.task_count;
  const auto found = job.attempts.find(task_index);
  if (found != job.attempts.end() && !found->second.excluded.empty()) {
    shape.only_job = job.spec.id;
  }
  return shape;
}

void Engine::Impl::Enqueue(const JobPtr& job, std::vector<WaitingTask> tasks, bool at_front,
                           SteadyTime now) {
  if (tasks.empty()) return;
  if (job->waiting.empty()) AddWaitingJob(*job);
  for (const WaitingTask& task : tasks) job->waiting.insert(task.index);
  if (job->lane == Lane::kUrgent) urgent_waiting += tasks.size();
  if (job->lane == Lane::kShort) headroom.AddWaiting(tasks.size());
  AdmissionOf(job->lane).OnQueued(job->spec.team, job->work * static_cast<double>(tasks.size()),
                                  now);
  auto entry = std::make_shared<QueueEntry>();
  entry->job = job->spec.id;
  entry->sequence = job->sequence;
  entry->since = now;
  const Shape shape = ShapeOf(*job, tasks.front().index);
  entry->tasks = std::move(tasks);
  std::erase_if(job->entries, [](const QueueEntryPtr& old) { return old->tasks.empty(); });
  job->entries.push_back(entry);
  queue.Push(job->lane, job->spec.team, shape, std::move(entry), at_front);
}

void Engine::Impl::RecordDropped(Job& job, std::size_t count, SteadyTime now) {
  SubtractWaitingTasks(job, count);
  AdmissionOf(job.lane).OnDropped(job.spec.team, job.work * static_cast<double>(count), now);
}

void Engine::Impl::SubtractWaitingTasks(const Job& job, std::size_t count) {
  if (job.lane == Lane::kUrgent) urgent_waiting -= std::min(urgent_waiting, count);
  if (job.lane == Lane::kShort) headroom.RemoveWaiting(count);
}

void Engine::Impl::DropWaiting(const JobPtr& job, SteadyTime now) {
  if (job->waiting.empty()) return;
  for (const QueueEntryPtr& entry : job->entries) {
    RecordDropped(*job, entry->tasks.size(), now);
    entry->tasks.clear();
  }
  const std::size_t entries = job->entries.size();
  job->entries.clear();
  job->waiting.clear();
  job->delayed.clear();
  RemoveWaitingJob(*job);
  queue.OnDropped(entries);
}

bool Engine::Impl::RemoveWaiting(const JobPtr& job, std::uint32_t task_index, SteadyTime now) {
  if (job->waiting.erase(task_index) == 0) return false;
  job->delayed.erase(task_index);
  for (const QueueEntryPtr& entry : job->entries) {
    const auto removed = std::erase_if(
        entry->tasks, [&](const WaitingTask& task) { return task.index == task_index; });
    if (removed > 0) RecordDropped(*job, removed, now);
  }
  if (job->waiting.empty()) RemoveWaitingJob(*job);
  return true;
}

void Engine::Impl::GiveUp(const JobPtr& job, schema::Code code, const std::string& message,
                          SteadyTime now) {
  DropWaiting(job, now);
  job->closed = true;
  Action action;
  action.kind = ActionKind::kGiveUp;
  action.task.request_id = job->spec.id;
  action.code = code;
  action.message = message;
  actions.push_back(std::move(action));
  EraseIfDone(job);
}

void Engine::Impl::StopRunning(const Job& job) {
  for (const TaskKey& task : job.running) {
    const auto found = running.find(task);
    if (found == running.end()) continue;
    found->second.stopping = true;
    Action action;
    action.kind = ActionKind::kStop;
    action.task = task;
    action.worker = index.Spec(found->second.worker).id;
    action.code = schema::CODE_CANCELLED;
    actions.push_back(std::move(action));
  }
}

Result<std::unique_ptr<Engine>> Engine::Create(const EngineOptions& options) {
  return std::unique_ptr<Engine>(new Engine(options));
}

Engine::Engine(const EngineOptions& options) : m_impl(std::make_unique<Impl>(options)) {}

Engine::~Engine() = default;

void Engine::SetQuota(const std::string& team, const Resources& quota) {
  m_impl->shares.SetQuota(team, quota);
  m_impl->AdvanceGenerations();
}

Admission Engine::Submit(const JobSpec& spec, SteadyTime now) {
  Impl::JobPtr job = m_impl->FindJob(spec.id);
  if (job && job->closed) return {schema::CODE_CANCELLED, "the job was cancelled or given up", {}};
  if (!job) {
    Admission admission = m_impl->CheckAdmission(spec, now);
    if (admission.code != schema::CODE_OK) return admission;
    job = std::make_shared<Impl::Job>();
    m_impl->jobs[spec.id] = job;
    m_impl->ApplySpec(*job, spec);
  } else if (!job->is_known) {
    m_impl->ApplySpec(*job, spec);
  }
  std::vector<WaitingTask> tasks;
  for (std::uint32_t i = 0; i < spec.task_count; ++i) {
    const std::uint32_t task_index = spec.first_index + i;
    // A task that already waits or runs is not queued a second time.
    if (job->waiting.contains(task_index) || Impl::IsRunning(*job, task_index, 0)) continue;
    tasks.push_back({task_index, spec.first_attempt});
    if (spec.first_attempt > 0) job->attempts[task_index].failures = spec.first_attempt;
  }
  m_impl->Enqueue(job, std::move(tasks), false, now);
  m_impl->EraseIfDone(job);
  return {schema::CODE_OK, {}, {}};
}

bool Engine::Cancel(const std::string& id, SteadyTime now) {
  const auto found = m_impl->jobs.find(id);
  if (found == m_impl->jobs.end()) return false;
  const Impl::JobPtr job = found->second;
  const bool holds_reservation = m_impl->IsReservedFor(*job);
  m_impl->DropWaiting(job, now);
  job->closed = true;
  job->interrupted.clear();
  m_impl->StopRunning(*job);
  if (holds_reservation) m_impl->reservation.reset();
  if (holds_reservation) m_impl->AdvanceGenerations();
  m_impl->EraseIfDone(found);
  return true;
}

std::vector<JobSpec> Engine::WaitingTasks(std::size_t max, SteadyTime) const {
  std::vector<JobSpec> tasks;
  m_impl->queue.Visit([&](const WaitingGroup& group, const QueueEntry& entry) {
    if (group.shape.gang_tasks > 0) return true;
    const Impl::JobPtr job = m_impl->FindJob(entry.job);
    if (!job) return true;
    for (const WaitingTask& task : entry.tasks) {
      if (tasks.size() >= max) return false;
      JobSpec part = job->spec;
      part.task_count = 1;
      part.first_index = task.index;
      part.first_attempt = task.attempt;
      tasks.push_back(std::move(part));
    }
    return true;
  });
  return tasks;
}

bool Engine::Withdraw(const TaskKey& task, SteadyTime now) {
  const Impl::JobPtr job = m_impl->FindJob(task.request_id);
  if (!job || !job->waiting.contains(task.index)) return false;
  for (const QueueEntryPtr& entry : job->entries) {
    const auto found = std::find_if(
        entry->tasks.begin(), entry->tasks.end(), [&](const WaitingTask& waiting_task) {
          return waiting_task.index == task.index && waiting_task.attempt == task.attempt;
        });
    if (found == entry->tasks.end()) continue;
    entry->tasks.erase(found);
    job->waiting.erase(task.index);
    if (job->waiting.empty()) m_impl->RemoveWaitingJob(*job);
    m_impl->SubtractWaitingTasks(*job, 1);
    m_impl->AdmissionOf(job->lane).OnTaken(job->spec.team, job->work, now - entry->since, now);
    m_impl->EraseIfDone(job);
    return true;
  }
  return false;
}

std::optional<SteadyTime> Engine::NextWake() const {
  std::optional<SteadyTime> wake;
  const auto wake_by = [&](SteadyTime time) { wake = wake ? std::min(*wake, time) : time; };
  if (!m_impl->deadlines.empty()) wake_by(m_impl->deadlines.begin()->first);
  if (!m_impl->delayed.empty()) wake_by(m_impl->delayed.begin()->first);
  if (!m_impl->overruns.empty()) wake_by(m_impl->overruns.begin()->first);
  for (const auto& [worker, hold] : m_impl->holds) wake_by(hold.since + Impl::kHoldTime);
  if (m_impl->waiting_jobs > 0) wake_by(m_impl->last_refresh + Impl::kRefreshPeriod);
  return wake;
}

void Engine::SetLargestPeerWorkers(std::vector<Resources> largest) {
  m_impl->largest_peer_workers = std::move(largest);
}

EngineStats Engine::Stats() const {
  EngineStats stats;
  stats.workers = m_impl->workers.size();
  stats.waiting_jobs = m_impl->waiting_jobs;
  stats.running_tasks = m_impl->running.size();
  stats.capacity = m_impl->capacity;
  stats.quarantined = m_impl->health.QuarantinedCount();
  for (const auto& [id, worker] : m_impl->workers) {
    const Resources& worker_capacity = m_impl->index.Spec(worker).capacity;
    stats.largest.processors_milli =
        std::max(stats.largest.processors_milli, worker_capacity.processors_milli);
    stats.largest.memory_mb = std::max(stats.largest.memory_mb, worker_capacity.memory_mb);
    stats.largest.accelerators = std::max(stats.largest.accelerators, worker_capacity.accelerators);
    const Resources free = m_impl->index.Free(worker);
    stats.used += m_impl->index.Spec(worker).capacity;
    stats.used -= free;
    stats.free_slots += m_impl->index.FreeSlots(worker);
  }
  return stats;
}

}  // namespace citronsill
