#include "engine_state.h"

namespace citronsill {
namespace {

// A short task counts as long once it has run for kOverrunFactor times its expected run time and
// for at least kMinOverrun: run times vary, and short ones more than long ones.
constexpr int kOverrunFactor = 3;
constexpr std::chrono::milliseconds kMinOverrun{500};

// A start that a worker or the journal rejected is retried after a delay that doubles each time, up
// to kMaxRetryDelay, so that an outage of minutes costs about one try a second.
constexpr std::chrono::milliseconds kFirstRetryDelay{50};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};

// Maximum number of workers that a task avoids because it failed there; more would leave small
// cells without a choice.
constexpr std::size_t kMaxExcluded = 8;

std::chrono::milliseconds RetryDelay(std::uint32_t tries) {
  const auto delay = kFirstRetryDelay * (1U << std::min(tries, 5U));
  return std::min<std::chrono::milliseconds>(delay, kMaxRetryDelay);
}

}  // namespace

void Engine::Impl::UpdateCapacity() {
  capacity = {};
  slots = 0;
  for (const auto& [id, worker] : workers) {
    capacity += index.Spec(worker).capacity;
    slots += index.Spec(worker).slots;
  }
  shares.SetCapacity(capacity, slots);
  AdvanceGenerations();
}

void Engine::Impl::UpdateHeadroom(WorkerHandle worker) {
  headroom.SetFree(worker, index.Free(worker), index.FreeSlots(worker),
                   states[worker].IsSchedulable());
}

void Engine::Impl::UpdateSchedulable(WorkerHandle worker, SteadyTime now) {
  WorkerState& state = states[worker];
  const std::string& id = index.Spec(worker).id;
  const bool was_schedulable = state.IsSchedulable();
  state.may_place = health.MayPlace(id, now);
  if (state.may_place && health.IsQuarantined(id)) {
    probes.insert(worker);
  } else {
    probes.erase(worker);
  }
  index.SetAccepting(worker, state.IsSchedulable());
  if (was_schedulable == state.IsSchedulable()) return;
  UpdateHeadroom(worker);
  if (state.IsSchedulable()) AdvanceGenerations();
}

void Engine::Impl::UpdateHealth(SteadyTime now) {
  if (health.QuarantinedCount() == 0 && probes.empty()) return;
  for (const auto& [id, worker] : workers) UpdateSchedulable(worker, now);
}

void Engine::Impl::ReportResult(const Running& run, TaskOutcome outcome, SteadyTime now) {
  const std::string& worker = index.Spec(run.worker).id;
  const std::string& job = run.job->spec.id;
  if (outcome == TaskOutcome::kSucceeded || outcome == TaskOutcome::kFailed) {
    health.OnResult(worker, job, outcome == TaskOutcome::kSucceeded, now);
  } else {
    health.OnNoResult(worker, job, now);
  }
  UpdateSchedulable(run.worker, now);
}

void Engine::Impl::Reserve(const JobPtr& job, const TaskKey& task, WorkerHandle worker,
                           const Resources& size, SteadyTime now) {
  Running run;
  run.job = job;
  run.worker = worker;
  run.size = size;
  run.team = job->spec.team;
  run.started = now;
  run.expected_end = now + job->run_time;
  run.is_short =
      job->spec.policy == SchedulingPolicy::kInteractive && job->run_time <= options.short_run_time;
  index.Reserve(worker, run.size);
  shares.Add(run.team, run.size, run.is_short);
  UpdateHeadroom(worker);
  if (run.is_short) {
    headroom.AddShort(run.size);
    run.overrun_at = now + std::max(kOverrunFactor * job->run_time, kMinOverrun);
    overruns.emplace(run.overrun_at, task);
  } else {
    ++long_running;
  }
  states[worker].tasks.insert(task);
  job->running.insert(task);
  std::uint32_t& next_attempt = job->attempts[task.index].next;
  next_attempt = std::max(next_attempt, task.attempt + 1);
  running.emplace(task, std::move(run));
}

bool Engine::Impl::Release(const TaskKey& task) {
  const auto found = running.find(task);
  if (found == running.end()) return false;
  const Running& run = found->second;
  index.Release(run.worker, run.size);
  shares.Remove(run.team, run.size, run.is_short);
  UpdateHeadroom(run.worker);
  if (run.is_short) {
    headroom.RemoveShort();
    overruns.erase({run.overrun_at, task});
  } else {
    --long_running;
    ++long_generation;
  }
  states[run.worker].tasks.erase(task);
  run.job->running.erase(task);
  running.erase(found);
  ++generation;
  return true;
}

void Engine::Impl::MarkAsLong(Running& run) {
  shares.Remove(run.team, run.size, true);
  shares.Add(run.team, run.size, false);
  headroom.RemoveShort();
  ++long_running;
  run.is_short = false;
}

void Engine::Impl::ReclassifyOverruns(SteadyTime now) {
  while (!overruns.empty() && overruns.begin()->first <= now) {
    const TaskKey task = overruns.begin()->second;
    overruns.erase(overruns.begin());
    if (const auto found = running.find(task); found != running.end()) MarkAsLong(found->second);
  }
}

bool Engine::Impl::IsRunning(const Job& job, std::uint32_t task_index, std::uint32_t from_attempt) {
  const auto found = job.running.lower_bound({job.spec.id, task_index, from_attempt});
  return found != job.running.end() && found->index == task_index;
}

bool Engine::Impl::HasLaterAttempt(const Job& job, const TaskKey& task) {
  return job.waiting.contains(task.index) || IsRunning(job, task.index, task.attempt + 1);
}

bool Engine::Impl::MayRetry(Job& job, const TaskKey& task, TaskOutcome outcome, bool preempted) {
  if (job.closed || outcome == TaskOutcome::kSucceeded) return false;
  // If a later attempt exists, for example when the task was found running after a restart of it,
  // no third attempt is started.
  if (HasLaterAttempt(job, task)) return false;
  Attempts& attempts = job.attempts[task.index];
  if (outcome == TaskOutcome::kNotStarted) {
    ++attempts.not_started;
    return true;
  }
  if (!job.spec.idempotent) return false;
  if (preempted && outcome == TaskOutcome::kStopped) return true;
  ++attempts.failures;
  if (attempts.failures >= job.spec.max_attempts || health.IsJobFailing(job.spec.id)) return false;
  return retry_budgets[job.spec.team].TryTake();
}

void Engine::Impl::Retry(const JobPtr& job, const TaskKey& task, TaskOutcome outcome,
                         SteadyTime now) {
  const WaitingTask next{task.index, job->attempts[task.index].next};
  if (outcome != TaskOutcome::kNotStarted) return Enqueue(job, {next}, true, now);
  if (job->waiting.empty()) AddWaitingJob(*job);
  job->waiting.insert(task.index);
  job->delayed[next.index] = next.attempt;
  const std::uint32_t tries = job->attempts[task.index].not_started;
  delayed.emplace(now + RetryDelay(tries), Delayed{job, next});
}

void Engine::Impl::Learn(const Running& run, SteadyTime now) {
  const JobSpec& spec = run.job->spec;
  if (!run.job->is_known || spec.work_class.empty()) return;
  learner.Observe(spec.work_class, spec.size, run.peak_usage,
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - run.started));
}

bool Engine::Impl::EndRunning(const TaskKey& task, TaskOutcome outcome, SteadyTime now) {
  const Running run = running.at(task);
  if (outcome == TaskOutcome::kSucceeded) Learn(run, now);
  if (outcome == TaskOutcome::kFailed) {
    auto& excluded = run.job->attempts[task.index].excluded;
    const std::string& worker = index.Spec(run.worker).id;
    if (excluded.size() < kMaxExcluded && std::ranges::find(excluded, worker) == excluded.end()) {
      excluded.push_back(worker);
    }
  }
  Release(task);
  ReportResult(run, outcome, now);
  const bool will_retry = run.job->is_known && MayRetry(*run.job, task, outcome, run.preempted);
  if (will_retry) Retry(run.job, task, outcome, now);
  EraseIfDone(run.job);
  return will_retry || HasLaterAttempt(*run.job, task);
}

bool Engine::Impl::EndInterrupted(const JobPtr& job, const TaskKey& task, TaskOutcome outcome,
                                  SteadyTime now) {
  if (outcome == TaskOutcome::kLost) return false;
  job->interrupted.erase(task);
  const bool will_retry =
      outcome == TaskOutcome::kNotStarted && MayRetry(*job, task, outcome, false);
  if (will_retry) Retry(job, task, outcome, now);
  EraseIfDone(job);
  return will_retry;
}

void Engine::Impl::Interrupt(const JobPtr& job, const TaskKey& task) {
  job->interrupted.insert(task);
  interrupted_order.push_back(task);
  if (interrupted_order.size() <= options.max_waiting_jobs) return;
  const TaskKey oldest = interrupted_order.front();
  interrupted_order.pop_front();
  if (const JobPtr old = FindJob(oldest.request_id)) {
    old->interrupted.erase(oldest);
    EraseIfDone(old);
  }
}

void Engine::PutWorker(const WorkerSpec& spec, SteadyTime now) {
  const WorkerHandle worker = m_impl->index.Put(spec);
  m_impl->workers[spec.id] = worker;
  m_impl->states.try_emplace(worker);
  m_impl->headroom.SetWorker(worker, spec);
  m_impl->health.AddWorker(spec.id);
  m_impl->UpdateSchedulable(worker, now);
  m_impl->UpdateHeadroom(worker);
  m_impl->UpdateCapacity();
}

std::vector<TaskKey> Engine::RemoveWorker(const std::string& id, SteadyTime) {
  const auto found = m_impl->workers.find(id);
  if (found == m_impl->workers.end()) return {};
  const WorkerHandle worker = found->second;
  const auto& on_worker = m_impl->states[worker].tasks;
  std::vector<TaskKey> tasks(on_worker.begin(), on_worker.end());
  std::ranges::sort(tasks);
  for (const TaskKey& task : tasks) {
    const Impl::Running run = m_impl->running.at(task);
    m_impl->Release(task);
    if (run.job->is_known && !run.job->closed) m_impl->Interrupt(run.job, task);
    m_impl->EraseIfDone(run.job);
  }
  m_impl->holds.erase(worker);
  m_impl->probes.erase(worker);
  m_impl->health.RemoveWorker(id);
  m_impl->reservation.reset();
  m_impl->states.erase(worker);
  m_impl->headroom.RemoveWorker(worker);
  m_impl->index.Remove(worker);
  m_impl->workers.erase(found);
  m_impl->UpdateCapacity();
  return tasks;
}

void Engine::SetAccepting(const std::string& id, bool accepting, SteadyTime now) {
  const auto found = m_impl->workers.find(id);
  if (found == m_impl->workers.end()) return;
  Impl::WorkerState& state = m_impl->states[found->second];
  if (state.accepting == accepting) return;
  const bool was_schedulable = state.IsSchedulable();
  state.accepting = accepting;
  m_impl->UpdateSchedulable(found->second, now);
  if (was_schedulable != state.IsSchedulable()) m_impl->UpdateHeadroom(found->second);
  m_impl->AdvanceGenerations();
}

void Engine::AdoptTask(const JobSpec& spec, const TaskKey& task, const std::string& worker,
                       SteadyTime now) {
  const auto found = m_impl->workers.find(worker);
  if (found == m_impl->workers.end() || m_impl->running.contains(task)) return;
  Impl::JobPtr job = m_impl->FindJob(task.request_id);
  if (!job) {
    job = std::make_shared<Impl::Job>();
    m_impl->ApplySpec(*job, spec);
    // A job of which only the id and the size are known is never restarted or preempted.
    job->is_known = !spec.work_class.empty();
    job->spec.id = task.request_id;
    m_impl->jobs[task.request_id] = job;
  }
  m_impl->RemoveWaiting(job, task.index, now);
  job->interrupted.erase(task);
  m_impl->Reserve(job, task, found->second, spec.size, now);
}

void Engine::Requeue(const TaskKey& task, SteadyTime now) {
  const Impl::JobPtr job = m_impl->FindJob(task.request_id);
  if (!job || job->closed || !job->spec.idempotent || job->spec.exclusive) return;
  if (job->interrupted.erase(task) == 0) return;
  if (Impl::HasLaterAttempt(*job, task)) return;
  m_impl->Enqueue(job, {{task.index, job->attempts[task.index].next}}, true, now);
}

void Engine::OnStarted(const TaskKey&, SteadyTime) {}

bool Engine::OnEnded(const TaskKey& task, TaskOutcome outcome, SteadyTime now) {
  const Impl::JobPtr job = m_impl->FindJob(task.request_id);
  const auto found = m_impl->running.find(task);
  if (found == m_impl->running.end()) {
    if (job && job->interrupted.contains(task)) {
      return m_impl->EndInterrupted(job, task, outcome, now);
    }
    // The end was already reported.
    return job && Impl::HasLaterAttempt(*job, task);
  }
  if (outcome == TaskOutcome::kLost) {
    found->second.lost = true;
    return false;
  }
  return m_impl->EndRunning(task, outcome, now);
}

void Engine::OnUsage(const TaskKey& task, const Resources& used, SteadyTime) {
  const auto found = m_impl->running.find(task);
  if (found == m_impl->running.end()) return;
  Resources& peak = found->second.peak_usage;
  peak.processors_milli = std::max(peak.processors_milli, used.processors_milli);
  peak.memory_mb = std::max(peak.memory_mb, used.memory_mb);
  peak.accelerators = std::max(peak.accelerators, used.accelerators);
}

}  // namespace citronsill
