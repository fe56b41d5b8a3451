#include "cell/scheduler.h"

#include <algorithm>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"

namespace citronsill {
namespace {

// Run numbers of a term start at (term - 1) times this value, so that they rise across terms
// without being stored.
constexpr std::uint64_t kRunNumbersPerTerm = 1U << 20;
// Fencing tokens of a term start at the term times this value. Each restart of a worker uses one.
constexpr std::uint64_t kFencesPerTerm = 1U << 20;
// The number of a pack has the term in its upper bits, so that no two terms use the same one.
constexpr unsigned kPackTermBits = 32;
// Weight of the newest answer in the moving average of the share of allowed workers: about the last
// 20 answers count.
constexpr double kAverageWeight = 0.1;

// @returns whether the job runs until it is cancelled: its tasks may be started again.
bool LastsOnly(const Job& job) {
  const auto& steps = job.spec.steps();
  return job.spec.occurrences() == 0 &&
         std::all_of(steps.begin(), steps.end(),
                     [](const auto& step) { return step.long_running(); });
}

const char* StateName(schema::JobState state) {
  switch (state) {
    case schema::JOB_STATE_QUEUED:
      return "queued";
    case schema::JOB_STATE_RUNNING:
      return "running";
    case schema::JOB_STATE_SUCCEEDED:
      return "succeeded";
    case schema::JOB_STATE_FAILED:
      return "failed";
    case schema::JOB_STATE_CANCELLED:
      return "cancelled";
    default:
      return "none";
  }
}

}  // namespace

Scheduler::Scheduler(SchedulerOptions options, SchedulerHooks hooks)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_fleet(MakeFleetHooks(), m_options.term * kFencesPerTerm, m_options.lease,
              m_options.max_lease),
      m_packs(m_options.shard, m_hooks.now),
      m_long_leases(m_options.shard, m_hooks.now),
      m_last_pack(m_options.term << kPackTermBits),
      m_job_memory(m_options.max_job_bytes, 0),
      m_run_base((m_options.term - 1) * kRunNumbersPerTerm) {}

Scheduler::~Scheduler() = default;

FleetHooks Scheduler::MakeFleetHooks() {
  FleetHooks hooks;
  hooks.now = m_hooks.now;
  hooks.may_lead = m_hooks.may_lead;
  hooks.start_time_left = m_hooks.start_time_left;
  hooks.start = m_hooks.start;
  hooks.stop = m_hooks.stop;
  hooks.hold = m_hooks.hold;
  hooks.on_reserved = [this](const Order& order) {
    m_customers.Add(order.task->step->job->customer, order.size);
  };
  hooks.on_given_back = [this](const Order& order) {
    m_customers.Remove(order.task->step->job->customer, order.size);
  };
  hooks.on_running = [this](Order& order) { OnRunning(order); };
  hooks.on_ended = [this](Order& order, RunEnd end, const std::string& checkpoint) {
    OnEnded(order, end, checkpoint);
  };
  hooks.on_void = [this](Order& order, VoidReason reason, StartVerdict verdict) {
    OnVoid(order, reason, verdict);
  };
  hooks.on_unclaimed_end = [this](const Worker& worker, const TaskRef& ref, std::uint64_t run,
                                  RunEnd end, const std::string& checkpoint) {
    OnUnclaimedEnd(worker, ref, run, end, checkpoint);
  };
  hooks.on_stray_run = [this](const TaskRef& ref) { SetStrayRun(ref, true); };
  hooks.on_stray_runs_over = [this](const TaskRef& ref) { SetStrayRun(ref, false); };
  hooks.on_ends = [this](Worker& worker, std::uint64_t number) { OnEnds(worker, number); };
  hooks.on_capacity_changed = [this] { m_hooks.plan_soon(); };
  hooks.on_superseded = m_hooks.on_superseded;
  return hooks;
}

milliseconds Scheduler::Since(SteadyTime time) const {
  return std::chrono::duration_cast<milliseconds>(m_hooks.now() - time);
}

// ---- Recovery

void Scheduler::Restore(const StoredShard& shard, SteadyTime lapse) {
  m_long_leases.OnLoaded(shard.has_lease_row);
  std::vector<LongLease> leases;
  for (const auto& [worker, left] : shard.long_leases) {
    leases.push_back({worker, m_hooks.now() + left});
  }
  const SteadyTime earlier_calls_end = lapse - LongestLocalTime(m_options.lease);
  m_fleet.ExpectLongLeases(leases, earlier_calls_end);
  // A start of an earlier scheduler may have been executed by an incarnation that none of them
  // knew, which grants the longest lease.
  SteadyTime all_lapsed =
      earlier_calls_end + kMaxWorkerCallTimeout + LongestLocalTime(m_options.max_lease);
  for (const LongLease& lease : leases) all_lapsed = std::max(all_lapsed, lease.end);
  for (const std::uint64_t pack : shard.packs) m_packs.Add(pack);
  for (const auto& [id, finished] : shard.finished) {
    m_packs.Hold(finished.pack);
    if (finished.earlier.has_job_row) m_packs.RemoveLater({kJobTable, m_options.shard, id});
    if (finished.earlier.has_progress_row) {
      m_packs.RemoveLater(ProgressKey(m_options.shard, id, 0));
    }
    for (std::uint32_t part = 1; part <= finished.earlier.progress_parts; ++part) {
      m_packs.RemoveLater(ProgressKey(m_options.shard, id, part));
    }
    AddFinished(id, finished);
  }
  for (const StoredJob& job : shard.jobs) {
    m_packs.Hold(job.places.job_pack);
    m_packs.Hold(job.places.progress_pack);
    LoadJob(job, lapse, all_lapsed);
  }
  m_packs.ReleaseEmpty();
  RestoreShares();
}

// Counts the jobs of earlier schedulers in the shares of their customers, so that a change of the
// scheduler gives no customer a new share.
void Scheduler::RestoreShares() {
  std::vector<Job*> jobs;
  for (const auto& [id, job] : m_jobs) {
    if (job->customer != kNoCustomer) jobs.push_back(job.get());
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const Job* a, const Job* b) { return a->arrived < b->arrived; });
  for (Job* job : jobs) {
    job->is_beyond_share = !m_customers.CountJob(job->customer, job->arrived);
  }
}

void Scheduler::SetCustomers(const CustomerDirectory& customers) {
  m_customers.SetCustomers(customers);
  // A limit that was raised may let waiting tasks start.
  m_hooks.plan_soon();
}

// @param lapse when the leases on a known incarnation have ended of which nothing else is known.
// @param all_lapsed when the leases on all workers have ended.
void Scheduler::LoadJob(const StoredJob& stored, SteadyTime lapse, SteadyTime all_lapsed) {
  const schema::JobRow& row = stored.job;
  auto job = std::make_unique<Job>();
  job->spec = row.spec();
  NormalizeJob(&job->spec);  // Earlier versions stored the lists as they were submitted.
  job->accepted_unix_ms = row.accepted_unix_ms();
  job->stored = true;
  job->places = stored.places;
  job->stored_state = schema::JOB_STATE_QUEUED;
  const milliseconds age = std::chrono::duration_cast<milliseconds>(
      m_hooks.wall() - WallTime(milliseconds(row.accepted_unix_ms())));
  job->arrived = m_hooks.now() - std::max(age, milliseconds(0));
  const std::vector<StoredAssignment> assignments =
      RestoreProgress(stored.progress.value_or(schema::ProgressRow()), job.get());
  if (job->state == schema::JOB_STATE_NONE) job->state = schema::JOB_STATE_QUEUED;
  if (job->IsFinal()) job->stored_state = job->state;
  Job* raw = AddJob(std::move(job));
  for (const auto& step : raw->steps) {
    for (Task& task : step->tasks) task.last_run = m_run_base;
  }
  for (const StoredAssignment& assignment : assignments) {
    m_fleet.Adopt(assignment.task, assignment.row, lapse);
  }
  if (stored.completeness != Completeness::kComplete) HoldUnknownTasks(raw, all_lapsed);
  for (const auto& step : raw->steps) RestoreGang(step.get(), stored.completeness);
  if (stored.completeness == Completeness::kLost && !LastsOnly(*raw)) {
    Finish(raw, schema::JOB_STATE_FAILED, {"progress-lost", {}, 0, 0, ""});
  }
  if (raw->IsFinal()) {
    for (const auto& step : raw->steps) {
      for (const Task& task : step->tasks) {
        for (Order* order : std::vector<Order*>(task.orders)) m_fleet.Stop(order);
      }
    }
  }
  RefreshReady(raw, raw->steps);
  ArchiveIfFinished(raw);
}

// A member of a gang that has ended must not start again under the run number of the gang. A gang
// that lacks a member counts as ending unless its row tells that the member has yet to be placed:
// rows of earlier versions and incomplete ones do not tell.
void Scheduler::RestoreGang(Step* step, Completeness completeness) {
  if (!step->spec->gang()) return;
  const std::uint64_t stored_run = std::exchange(step->gang_run, 0);
  bool is_ending = std::exchange(step->gang_ending, false);
  bool lacks_member = false;
  for (const Task& task : step->tasks) {
    lacks_member |= task.orders.empty();
    for (const Order* order : task.orders) step->gang_run = std::max(step->gang_run, order->run);
  }
  if (step->gang_run == 0) return;
  const bool is_known = stored_run == step->gang_run && completeness == Completeness::kComplete;
  is_ending |= lacks_member && !is_known;
  if (is_ending && !step->IsDone()) StopGang(step);
}

// Tasks about which nothing is known may run on any worker. They are not started before the leases
// of earlier schedulers have ended: by then, workers have reported the runs that have ended.
// The next scheduler has to wait as well: the rows that are written now lack these runs, too.
// @param lapse when these leases have ended.
void Scheduler::HoldUnknownTasks(Job* job, SteadyTime lapse) {
  job->runs_unknown_until = lapse;
  std::size_t held = 0;
  for (const auto& step : job->steps) {
    for (Task& task : step->tasks) {
      if (task.is_done || !task.orders.empty()) continue;
      task.retry_at = std::max(task.retry_at, lapse);
      ++held;
    }
  }
  Log(LogLevel::kError, "tasks-unknown")
      .Field("job", job->spec.id())
      .Field("tasks", held)
      .Field("held_ms", std::chrono::duration_cast<milliseconds>(lapse - m_hooks.now()));
}

// Stores that the wait is over, so that the next scheduler does not hold the tasks again.
void Scheduler::EndUnknownRuns(Job* job, SteadyTime now) {
  if (!job->runs_unknown_until || now < *job->runs_unknown_until) return;
  job->runs_unknown_until.reset();
  MarkDirty(job);
}

// ---- Calls

void Scheduler::Submit(const schema::JobSpec& spec, milliseconds waited, JobStateCallback done) {
  if (m_finished.contains(spec.id())) return done(schema::JOB_STATE_QUEUED);
  if (const auto found = m_jobs.find(spec.id()); found != m_jobs.end()) {
    if (found->second->stored_state != schema::JOB_STATE_NONE)
      return done(schema::JOB_STATE_QUEUED);
    m_submitters[spec.id()].push_back(std::move(done));
    return;
  }
  schema::JobSpec normalized = spec;
  NormalizeJob(&normalized);
  if (auto checked = ValidateJob(normalized); !checked) return done(checked.error());
  if (auto checked = CheckCustomerLimit(normalized); !checked) return done(checked.error());
  const CustomerIndex customer = m_customers.IndexOf(spec.customer());
  const bool is_within_share = m_customers.IsWithinShare(customer, m_hooks.now());
  const bool is_interactive = spec.queue().priority() == 0;
  const std::size_t waiting = is_interactive ? m_load.waiting_interactive : m_load.waiting_tasks;
  const std::size_t tasks_ahead =
      is_within_share ? waiting - std::min(waiting, m_load.waiting_beyond_share) : waiting;
  if (!m_admission.Accepts(m_hooks.now(), tasks_ahead, is_interactive)) {
    return RefuseOverload(spec, "too many tasks wait to be started", tasks_ahead, done);
  }
  if (m_live_tasks >= kMaxLiveTasks) {
    return RefuseOverload(spec, "too many tasks exist", tasks_ahead, done);
  }
  if (const char* reason = m_job_memory.WhyRefused(normalized); reason != nullptr) {
    return RefuseOverload(spec, reason, tasks_ahead, done);
  }
  const JobNeeds needs = NeedsOf(normalized, waited);
  if (const RoomDecision decision = DecideRoom(m_load.queued, needs);
      decision.verdict != RoomVerdict::kAccepted) {
    return RefuseForRoom(spec, needs, decision, done);
  }
  AddAccepted(needs, &m_load.queued);
  auto job = std::make_unique<Job>();
  job->spec = std::move(normalized);
  job->accepted_unix_ms =
      std::chrono::duration_cast<milliseconds>(m_hooks.wall().time_since_epoch()).count();
  job->arrived = m_hooks.now() - waited;
  job->is_beyond_share = !m_customers.CountJob(customer, m_hooks.now());
  Job* raw = AddJob(std::move(job));
  m_submitters[spec.id()].push_back(std::move(done));
  if (spec.occurrences() == 0) BeginOccurrence(raw);
  for (const auto& step : raw->steps) {
    m_live_tasks += step->tasks.size();
    m_job_memory.AddStep(*step);
    for (Task& task : step->tasks) task.last_run = m_run_base;
  }
  RefreshReady(raw, raw->steps);
  MarkDirty(raw);
  raw->submission = ++m_submissions;
  AfterStored([this, id = spec.id(), submission = raw->submission, accepted_at = m_hooks.now()] {
    const auto found = m_jobs.find(id);
    // A job that was refused may have been submitted again; the new submission is not stored yet.
    if (found != m_jobs.end() && found->second->submission != submission) return;
    NodeMetrics::Get().ObserveStage(Stage::kAccept, Since(accepted_at));
    if (found != m_jobs.end() && found->second->stored_state == schema::JOB_STATE_NONE) {
      found->second->stored_state = schema::JOB_STATE_QUEUED;
    }
    auto node = m_submitters.extract(id);
    if (node.empty()) return;
    for (const JobStateCallback& submitter : node.mapped()) submitter(schema::JOB_STATE_QUEUED);
  });
  Log(LogLevel::kInfo, "job-taken")
      .Field("job", spec.id())
      .Field("queue", spec.queue().name())
      .Field("config", spec.queue().config_version())
      .Field("steps", spec.steps_size())
      .Field("waited_ms", waited)
      .Field("customer", spec.customer())
      .Field("beyond_share", !is_within_share)
      .Field("active_jobs", m_jobs.size());
  m_hooks.plan_soon();
}

void Scheduler::RefuseForRoom(const schema::JobSpec& spec, const JobNeeds& needs,
                              const RoomDecision& decision, const JobStateCallback& done) const {
  const char* const reason = RoomVerdictName(decision.verdict);
  NodeMetrics::Get().CountRoomRefusal(reason);
  const auto in_ms = [](CellTime work) { return std::chrono::duration_cast<milliseconds>(work); };
  Log(LogLevel::kInfo, "job-refused")
      .Field("job", spec.id())
      .Field("reason", reason)
      .Field("customer", spec.customer())
      .Field("wait_ms", decision.expected_wait)
      .Field("objective_slack_ms", needs.objective_slack)
      .Field("late_slack_ms", needs.late_slack)
      .Field("work_ms", in_ms(needs.work))
      .Field("interactive_ms", in_ms(m_load.queued.interactive))
      .Field("batch_ms", in_ms(m_load.queued.batch))
      .Field("beyond_share_ms", in_ms(m_load.queued.beyond_share))
      .Field("retry_after_ms", decision.retry_after);
  done(Error{schema::CODE_OVERLOADED, std::string("too little room: ") + reason});
}

milliseconds Scheduler::RetryAfter(const schema::JobSpec& spec) {
  if (m_load.queued.All() < kMinBacklogWait) return milliseconds(0);
  const RoomDecision decision = DecideRoom(m_load.queued, NeedsOf(spec, milliseconds(0)));
  const CustomerIndex customer = m_customers.IndexOf(spec.customer());
  if (decision.verdict == RoomVerdict::kAccepted) return milliseconds(0);
  // A job within its share has its turn sooner.
  const milliseconds to_share = m_customers.TimeToShare(customer, m_hooks.now());
  return decision.verdict == RoomVerdict::kBeyondShare
             ? std::clamp(to_share, kMinRoomRetryAfter, decision.retry_after)
             : decision.retry_after;
}

// A gang that is larger than the limit of its customer would wait for ever; so would a task.
Result<void> Scheduler::CheckCustomerLimit(const schema::JobSpec& spec) {
  const CustomerIndex customer = m_customers.IndexOf(spec.customer());
  for (const schema::StepSpec& step : spec.steps()) {
    const std::uint32_t together = step.gang() ? step.task_count() : 1;
    if (m_customers.CanEverRun(customer, RequiredResources(step), together)) continue;
    Log(LogLevel::kInfo, "job-refused")
        .Field("job", spec.id())
        .Field("reason", "customer-limit")
        .Field("customer", spec.customer())
        .Field("tasks", together);
    return Error{schema::CODE_QUOTA_EXCEEDED, "a step needs more than the limit of its customer"};
  }
  return Success();
}

void Scheduler::RefuseOverload(const schema::JobSpec& spec, const char* reason,
                               std::size_t tasks_ahead, const JobStateCallback& done) const {
  Log(LogLevel::kInfo, "job-refused")
      .Field("job", spec.id())
      .Field("reason", reason)
      .Field("waiting_tasks", tasks_ahead)
      .Field("live_tasks", m_live_tasks)
      .Field("job_bytes", m_job_memory.Bytes())
      .Field("starts_per_s", static_cast<std::int64_t>(m_admission.StartsPerSecond()))
      .Field("window", m_order_window.Size())
      .Field("call_ms", m_fleet.Calls().Mean());
  done(Error{schema::CODE_OVERLOADED, std::string("the scheduler is overloaded: ") + reason});
}

std::size_t Scheduler::RefuseUnsent(const Error& error,
                                    const std::function<bool(const std::string& id)>& is_refused) {
  std::vector<Job*> unsent;
  for (const auto& [id, job] : m_jobs) {
    const bool is_unsent = !job->stored && job->stored_state == schema::JOB_STATE_NONE;
    if (!is_unsent || job->IsFinal()) continue;
    if (!is_refused || is_refused(id)) unsent.push_back(job.get());
  }
  if (unsent.empty()) return 0;
  for (Job* job : unsent) EraseUnstored(job, error);
  SkipWithdrawn();
  RunEffects();
  return unsent.size();
}

// Withdrawn positions are never stored. Effects that wait for one run once everything before it is
// stored.
void Scheduler::SkipWithdrawn() {
  while (!m_withdrawn.empty() && *m_withdrawn.begin() <= m_stored_position + 1) {
    m_stored_position = std::max(m_stored_position, *m_withdrawn.begin());
    m_withdrawn.erase(m_withdrawn.begin());
  }
}

void Scheduler::Cancel(const std::string& id, JobStateCallback done) {
  if (const auto finished = m_finished.find(id); finished != m_finished.end()) {
    return done(finished->second.state);
  }
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return done(Error{schema::CODE_NOT_FOUND, "there is no job " + id});
  }
  Job* job = found->second.get();
  Log(LogLevel::kInfo, "job-cancel")
      .Field("job", id)
      .Field("state", StateName(job->state))
      .Field("live_orders", job->live_orders);
  Finish(job, schema::JOB_STATE_CANCELLED, {"cancel-call", {}, 0, 0, ""});
  AfterStored([done = std::move(done)] { done(schema::JOB_STATE_CANCELLED); });
}

std::optional<schema::JobState> Scheduler::State(const std::string& id) const {
  if (const auto finished = m_finished.find(id); finished != m_finished.end()) {
    return finished->second.state;
  }
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) return std::nullopt;
  const Job& job = *found->second;
  if (job.stored_state == schema::JOB_STATE_NONE) return std::nullopt;
  if (job.stored_state != schema::JOB_STATE_QUEUED) return job.stored_state;
  return job.ever_started ? schema::JOB_STATE_RUNNING : schema::JOB_STATE_QUEUED;
}

bool Scheduler::MayAccess(const std::string& id, const std::string& customer) const {
  if (customer.empty()) return true;
  const auto is_own = [&](const std::string& owner) { return owner.empty() || owner == customer; };
  if (const auto finished = m_finished.find(id); finished != m_finished.end()) {
    return is_own(finished->second.customer);
  }
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() || is_own(found->second->spec.customer());
}

std::uint64_t Scheduler::WaitingJobCount(const std::string& queue) const {
  return static_cast<std::uint64_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) {
        const Job& job = *entry.second;
        return job.spec.queue().name() == queue && !job.ever_started && !job.IsFinal() &&
               job.stored_state != schema::JOB_STATE_NONE;
      }));
}

// ---- Jobs

Job* Scheduler::AddJob(std::unique_ptr<Job> job) {
  Job* raw = job.get();
  raw->number = ++m_last_job_number;
  raw->customer = m_customers.IndexOf(raw->spec.customer());
  raw->spec_bytes = SpecBytes(raw->spec);
  m_job_memory.AddSpec(*raw);
  m_jobs[raw->spec.id()] = std::move(job);
  Reopen(raw);
  return raw;
}

void Scheduler::EraseJob(const std::string& id) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) return;
  m_open_jobs.erase(found->second->number);
  m_jobs.erase(found);
}

// Makes the next planning passes look at a job again: a step has become ready, or a task has lost
// its order.
void Scheduler::Reopen(Job* job) {
  if (job->IsFinal()) return;
  m_open_jobs.emplace(job->number, job);
  if (!m_min_waiting_size) return;
  for (const auto& step : job->steps) {
    if (step->ready && !step->IsDone()) LowerMinWaitingSize(*step);
  }
}

// Guards against a job that is never looked at again because an event did not reopen it.
void Scheduler::ReopenMissing(SteadyTime now) {
  if (now < m_next_open_check) return;
  m_next_open_check = now + kOpenJobCheckPeriod;
  for (const auto& [id, job] : m_jobs) {
    if (job->IsFinal() || m_open_jobs.contains(job->number)) continue;
    const bool has_waiting = std::any_of(job->steps.begin(), job->steps.end(),
                                         [](const auto& step) { return HasUnassigned(*step); });
    if (!has_waiting) continue;
    Log(LogLevel::kError, "job-reopened").Field("job", id);
    Reopen(job.get());
    m_hooks.plan_soon();
  }
}

// ---- Store

void Scheduler::MarkDirty(Job* job) {
  if (job->dirty_position == 0) {
    job->dirty_position = ++m_last_position;
    job->dirty_since = m_hooks.now();
    m_dirty.push_back(job);
  }
  m_hooks.has_writes();
}

void Scheduler::AfterStored(std::function<void()> effect) {
  if (m_stored_position == m_last_position && m_effects.empty()) return effect();
  m_effects.push_back({m_last_position, std::move(effect), m_hooks.now()});
}

Scheduler::StartRate Scheduler::CurrentStartRate() const {
  return {m_fleet.OrdersInFlight(), m_order_window.Size(), m_fleet.Calls().Mean(),
          m_admission.StartsPerSecond(), m_admission.IsLimited(m_hooks.now())};
}

Scheduler::Backlog Scheduler::StoreBacklog() const {
  Backlog backlog;
  backlog.effects = m_effects.size();
  backlog.changes = m_dirty.size();
  if (!m_effects.empty()) backlog.oldest_effect = Since(m_effects.front().since);
  if (!m_dirty.empty()) backlog.oldest_change = Since(m_dirty.front()->dirty_since);
  backlog.removals = m_packs.Removals();
  backlog.oldest_removal = m_packs.OldestRemoval();
  return backlog;
}

WriteBatch Scheduler::TakeBatch(std::size_t max_entries, std::size_t max_bytes) {
  constexpr std::size_t kOpenPacks = 2;
  WriteBatch batch;
  std::size_t bytes = 0;
  const auto next_pack = [this] { return ++m_last_pack; };
  PackWriter active(m_options.shard, &m_packs, next_pack, &batch);
  PackWriter finished(m_options.shard, &m_packs, next_pack, &batch);
  const bool is_divided = m_max_batch_jobs != SIZE_MAX;
  const bool packs = m_dirty.size() > max_entries && !is_divided;
  m_batch_jobs.clear();
  m_long_leases.Append(m_fleet.LongLeases(), &batch);
  while (!m_dirty.empty() && m_batch_jobs.size() < m_max_batch_jobs) {
    Job* job = m_dirty.front();
    JobChange change = ChangeOf(*job);
    const bool is_packed =
        packs && change.progress.size() <= 1 && change.bytes <= kMaxPackedJobBytes;
    const std::size_t all_bytes = bytes + active.Bytes() + finished.Bytes();
    const std::size_t entries =
        batch.Entries() + (packs ? kOpenPacks : 0) + (is_packed ? 1 : change.entries);
    // What is stored about one job always fits into a transaction of its own.
    const bool is_first = all_bytes == 0 && batch.Entries() == 0;
    if (!is_first && (entries > max_entries || all_bytes + change.bytes > max_bytes)) break;
    m_dirty.pop_front();
    batch.position = job->dirty_position;
    job->dirty_position = 0;
    m_batch_jobs.emplace_back(batch.position, job->spec.id());
    if (is_packed) {
      AppendPacked(job, std::move(change), &active, &finished, &batch);
    } else {
      bytes += change.bytes;
      AppendRows(job, std::move(change), &batch);
    }
  }
  active.Finish();
  finished.Finish();
  m_packs.CancelRemovals(batch);
  // The rows that replace those to be removed may be among the changes that were refused.
  if (!is_divided && m_hooks.now() >= m_removals_paused_until) {
    m_packs.AppendRemovals(max_entries, &batch);
    RemoveExpiredFinished(max_entries, &batch);
  }
  m_batch_removals = batch.removals;
  return batch;
}

// Removes finished jobs whose retention time is over. The removals go along with other writes.
//
// The final state of a job is kept until all its earlier records are gone from the store: a pack
// with such a record would otherwise make the next scheduler run the job again.
void Scheduler::RemoveExpiredFinished(std::size_t max_entries, WriteBatch* batch) {
  const auto oldest = std::chrono::duration_cast<milliseconds>(
      m_hooks.wall().time_since_epoch() - m_options.keep_finished - kKeepFinishedMargin);
  for (std::size_t left = kMaxFinishedRemovals; left > 0 && !m_finished_by_time.empty(); --left) {
    const auto first = m_finished_by_time.begin();
    if (first->first > oldest.count() || m_packs.HasRemovals()) return;
    if (batch->Entries() >= max_entries) return;
    const FinishedJob& finished = m_finished.at(first->second);
    if (m_packs.IsStored(finished.earlier.job_pack) ||
        m_packs.IsStored(finished.earlier.progress_pack)) {
      return;
    }
    if (finished.pack == 0) {
      batch->removals.push_back({kFinishedTable, m_options.shard, first->second});
    } else {
      m_packs.Release(finished.pack);
    }
    m_finished.erase(first->second);
    m_finished_by_time.erase(first);
  }
}

void Scheduler::AddFinished(const std::string& id, const FinishedJob& finished) {
  if (const auto [place, is_new] = m_finished.insert_or_assign(id, finished); is_new) {
    m_finished_by_time.emplace(finished.finished_unix_ms, id);
  }
}

schema::FinishedRow Scheduler::MakeFinishedRow(const Job& job) const {
  schema::FinishedRow row;
  row.set_state(job.state);
  row.set_customer(job.spec.customer());
  row.set_finished_unix_ms(
      std::chrono::duration_cast<milliseconds>(m_hooks.wall().time_since_epoch()).count());
  return row;
}

bool Scheduler::HasProgress(const Job& job) {
  return job.ever_started || job.IsFinal() || job.live_orders > 0 || job.runs_unknown_until;
}

Scheduler::JobChange Scheduler::ChangeOf(const Job& job) {
  constexpr std::size_t kFinishedRowOverhead = 32;
  JobChange change;
  change.is_final = job.IsFinal() && (job.live_orders == 0 || job.is_unstorable);
  if (change.is_final) {
    change.bytes = kFinishedRowOverhead + job.spec.customer().size();
    change.entries = 3 + job.places.progress_parts;  // Its row, and removals of the earlier ones.
    return change;
  }
  const bool unpacks_job = job.is_to_unpack && job.places.job_pack != 0;
  change.has_job = !job.stored || unpacks_job;
  if (change.has_job) {
    change.bytes += job.spec.ByteSizeLong() + kJobRowOverhead;
    ++change.entries;
  }
  if (change.has_job && !unpacks_job && !HasProgress(job)) return change;
  change.progress = ToProgressRows(job);
  for (const schema::ProgressRow& row : change.progress) change.bytes += row.ByteSizeLong();
  change.entries += std::max<std::size_t>(change.progress.size(), job.places.progress_parts + 1);
  return change;
}

void Scheduler::AppendRows(Job* job, JobChange change, WriteBatch* batch) {
  const std::string& id = job->spec.id();
  RowPlaces& places = job->places;
  const auto write = [batch](RowKey key, const google::protobuf::MessageLite& row) {
    batch->writes.push_back(Row{std::move(key), row.SerializeAsString()});
  };
  if (change.is_final) {
    write({kFinishedTable, m_options.shard, id}, MakeFinishedRow(*job));
    if (std::exchange(places.has_job_row, false)) {
      batch->removals.push_back({kJobTable, m_options.shard, id});
    }
    if (std::exchange(places.has_progress_row, false)) {
      batch->removals.push_back(ProgressKey(m_options.shard, id, 0));
    }
    RemoveProgressRows(job, 0, batch);
    if (!job->has_finished_row && job->finished_pack == 0) {
      m_packs.Release(places.job_pack);
      m_packs.Release(places.progress_pack);
    }
    m_packs.Release(std::exchange(job->finished_pack, 0));
    job->has_finished_row = true;
    m_archiving.emplace_back(batch->position, id);
    return;
  }
  job->is_to_unpack = false;
  if (change.has_job) {
    schema::JobRow row;
    *row.mutable_spec() = job->spec;
    row.set_accepted_unix_ms(job->accepted_unix_ms);
    write({kJobTable, m_options.shard, id}, row);
    job->stored = true;
    places.has_job_row = true;
    m_packs.Release(std::exchange(places.job_pack, 0));
  }
  if (change.progress.empty()) return;
  for (std::uint32_t part = 0; part < change.progress.size(); ++part) {
    write(ProgressKey(m_options.shard, id, part), change.progress[part]);
  }
  places.has_progress_row = true;
  const auto parts = static_cast<std::uint32_t>(change.progress.size() - 1);
  RemoveProgressRows(job, parts, batch);
  places.progress_parts = parts;
  m_packs.Release(std::exchange(places.progress_pack, 0));
}

// Removes the further rows of the progress of a job but for the first `parts_left` of them.
void Scheduler::RemoveProgressRows(Job* job, std::size_t parts_left, WriteBatch* batch) const {
  std::uint32_t& parts = job->places.progress_parts;
  for (; parts > parts_left; --parts) {
    batch->removals.push_back(ProgressKey(m_options.shard, job->spec.id(), parts));
  }
}

// Stores the changes of a job in a pack, whatever rows it has. Its own rows are removed later.
void Scheduler::AppendPacked(Job* job, JobChange change, PackWriter* active, PackWriter* finished,
                             WriteBatch* batch) {
  const std::string& id = job->spec.id();
  RowPlaces& places = job->places;
  schema::PackedJob record;
  record.set_id(id);
  const auto remove_parts = [&] {
    for (; places.progress_parts > 0; --places.progress_parts) {
      m_packs.RemoveLater(ProgressKey(m_options.shard, id, places.progress_parts));
    }
  };
  if (change.is_final) {
    *record.mutable_finished() = MakeFinishedRow(*job);
    const std::uint64_t pack = finished->Add(std::move(record));
    const auto remove = [&](const char* table) {
      m_packs.RemoveLater({table, m_options.shard, id});
    };
    if (std::exchange(places.has_job_row, false)) remove(kJobTable);
    if (std::exchange(places.has_progress_row, false)) remove(kProgressTable);
    remove_parts();
    if (!job->has_finished_row && job->finished_pack == 0) {
      m_packs.Release(places.job_pack);
      m_packs.Release(places.progress_pack);
    }
    if (std::exchange(job->has_finished_row, false)) remove(kFinishedTable);
    m_packs.Release(std::exchange(job->finished_pack, pack));
    m_archiving.emplace_back(batch->position, id);
    return;
  }
  const bool is_new = !job->stored;
  if (is_new) {
    *record.mutable_job()->mutable_spec() = job->spec;
    record.mutable_job()->set_accepted_unix_ms(job->accepted_unix_ms);
    job->stored = true;
  }
  const bool has_progress = !change.progress.empty();
  if (has_progress) *record.mutable_progress() = std::move(change.progress.front());
  const std::uint64_t pack = active->Add(std::move(record));
  // After a refusal, an earlier record of the job may be in a pack as well.
  if (is_new) m_packs.Release(std::exchange(places.job_pack, pack));
  if (!has_progress) return;
  remove_parts();
  // Both records of a new job are in the pack.
  if (is_new) m_packs.Hold(pack);
  m_packs.Release(std::exchange(places.progress_pack, pack));
}

// Gives jobs whose records have been in packs for long rows of their own, while little else is to
// be stored.
void Scheduler::UnpackOldJobs(SteadyTime now) {
  if (now < m_next_unpack || m_packs.Packs() == 0 || m_dirty.size() > kMaxUnpackedJobs) return;
  m_next_unpack = now + kUnpackPeriod;
  std::size_t left = kMaxUnpackedJobs;
  for (const auto& [id, job] : m_jobs) {
    if (!m_packs.IsOld(job->places.job_pack) && !m_packs.IsOld(job->places.progress_pack)) continue;
    job->is_to_unpack = true;
    MarkDirty(job.get());
    if (--left == 0) return;
  }
}

// Puts a job whose changes were refused back in front, with the position that others wait for. What
// it has changed since is stored along with it.
void Scheduler::QueueAgain(Job* job, std::uint64_t position) {
  if (job->dirty_position != 0) {
    std::erase(m_dirty, job);
    m_withdrawn.insert(job->dirty_position);
  }
  job->dirty_position = position;
  job->dirty_since = m_hooks.now();
  job->stored = false;  // Its spec may have been among the refused changes.
  m_dirty.push_front(job);
}

void Scheduler::OnRefused(std::uint64_t position) {
  m_long_leases.OnRefused();
  const auto jobs = std::exchange(m_batch_jobs, {});
  auto removals = std::exchange(m_batch_removals, {});
  // Removed when all of the other changes are stored.
  for (RowKey& key : removals) m_packs.RemoveLater(std::move(key));
  if (jobs.empty()) {
    // An earlier record of a job must not outlast its final state, so they are tried again.
    Log(LogLevel::kError, "removals-refused").Field("rows", m_packs.Removals());
    m_removals_paused_until = m_hooks.now() + kRefusedRemovalsPause;
    return;
  }
  m_refused_until = std::max(m_refused_until, position);
  m_max_batch_jobs = std::max<std::size_t>(1, jobs.size() / 2);
  for (auto entry = jobs.rbegin(); entry != jobs.rend(); ++entry) {
    const auto found = m_jobs.find(entry->second);
    if (found == m_jobs.end()) {
      m_withdrawn.insert(entry->first);
      continue;
    }
    if (jobs.size() == 1) {
      GiveUp(found->second.get(), entry->first);
    } else {
      QueueAgain(found->second.get(), entry->first);
    }
  }
  OnStored(m_stored_position);
  m_hooks.has_writes();
}

// Gives up a job that the store does not take, so that the others go on.
void Scheduler::GiveUp(Job* job, std::uint64_t position) {
  Log(LogLevel::kError, "job-unstorable")
      .Field("job", job->spec.id())
      .Field("state", StateName(job->state))
      .Field("spec_bytes", job->spec.ByteSizeLong())
      .Field("live_orders", job->live_orders);
  if (job->stored_state == schema::JOB_STATE_NONE) {
    m_withdrawn.insert(position);
    return EraseUnstored(job, {schema::CODE_INVALID_FIELD, "the job cannot be stored"});
  }
  if (job->is_unstorable) {
    // What was to replace its rows is not stored.
    m_packs.KeepRowsOf(job->spec.id());
    m_withdrawn.insert(position);
    return;
  }
  job->is_unstorable = true;
  Finish(job, schema::JOB_STATE_FAILED, {"store-refused", {}, 0, 0, ""});
  QueueAgain(job, position);
}

// Forgets a job that is not in the store, and tells its submitters.
void Scheduler::EraseUnstored(Job* job, const Error& error) {
  for (const auto& step : job->steps) {
    for (const Task& task : step->tasks) {
      for (Order* order : std::vector<Order*>(task.orders)) m_fleet.Drop(order);
    }
  }
  std::erase(m_dirty, job);
  if (job->dirty_position != 0) m_withdrawn.insert(job->dirty_position);
  auto submitters = m_submitters.extract(job->spec.id());
  EraseJob(job->spec.id());
  if (submitters.empty()) return;
  for (const JobStateCallback& submitter : submitters.mapped()) submitter(error);
}

void Scheduler::OnStored(std::uint64_t position) {
  m_stored_position = std::max(m_stored_position, position);
  SkipWithdrawn();
  if (m_stored_position >= m_refused_until) m_max_batch_jobs = SIZE_MAX;
  RunEffects();
  while (!m_archiving.empty() && m_archiving.front().first <= m_stored_position) {
    const std::string id = std::move(m_archiving.front().second);
    m_archiving.pop_front();
    const auto found = m_jobs.find(id);
    // A job that has changed since is written once more.
    if (found == m_jobs.end() || found->second->dirty_position != 0) continue;
    const Job& job = *found->second;
    if (job.live_orders > 0) continue;  // Written once more when these have ended.
    AddFinished(id, {job.state, MakeFinishedRow(job).finished_unix_ms(), job.finished_pack,
                     job.places, job.spec.customer()});
    EraseJob(id);
  }
}

void Scheduler::RunEffects() {
  while (!m_effects.empty() && m_effects.front().position <= m_stored_position) {
    const std::function<void()> run = std::move(m_effects.front().run);
    m_effects.pop_front();
    run();
  }
}

// ---- Ends of runs

void Scheduler::OnRunning(Order& order) {
  Job* job = order.task->step->job;
  if (!job->ever_started) NodeMetrics::Get().ObserveStage(Stage::kStart, Since(job->arrived));
  job->ever_started = true;
  if (job->state == schema::JOB_STATE_QUEUED) job->state = schema::JOB_STATE_RUNNING;
  // The next scheduler waits longer for a run that is not known to be confirmed, but for tasks that
  // last.
  const bool is_stored = order.confirmed && !order.task->step->spec->long_running();
  if (is_stored && !job->IsFinal()) MarkDirty(job);
}

// A worker keeps its ends until they are acknowledged, which must not happen before they are
// stored.
void Scheduler::OnEnds(Worker& worker, std::uint64_t number) {
  AfterStored([this, id = worker.description.id, incarnation = worker.incarnation, number] {
    m_fleet.Acknowledge(id, incarnation, number);
  });
}

void Scheduler::OnEnded(Order& order, RunEnd end, const std::string& checkpoint) {
  Task* task = order.task;
  Step* step = task->step;
  Job* job = step->job;
  job->ever_started = true;
  task->last_run_over_at = m_hooks.now();
  Reopen(job);
  MarkDirty(job);
  KeepCheckpoint(checkpoint, task);
  if (job->IsFinal() || task->is_done) return ArchiveIfFinished(job);
  switch (end) {
    case RunEnd::kDone:
      OnTaskDone(order);
      break;
    case RunEnd::kFailed:
      OnTaskFailed(order);
      break;
    default:
      break;
  }
  if (step->spec->gang() && !job->IsFinal()) {
    if (!step->IsDone()) StopGang(step);
    ResetGangIfGone(step);
  }
  ArchiveIfFinished(job);
  m_hooks.plan_soon();
}

void Scheduler::OnTaskDone(const Order& order) {
  Task* task = order.task;
  Step* step = task->step;
  order.worker->failures_in_row = 0;
  order.worker->times_avoided = 0;
  if (step->spec->long_running()) return;
  LearnRunTime(order);
  MarkDone(task);
  LearnSpeeds(step);
}

void Scheduler::MarkDone(Task* task) {
  Step* step = task->step;
  if (step->spec->gang()) {
    // A gang ends as a whole: the end of one member counts for all members.
    for (Task& member : step->tasks) member.is_done = true;
    step->done_count = static_cast<std::uint32_t>(step->tasks.size());
  } else {
    task->is_done = true;
    ++step->done_count;
    for (Order* copy : std::vector<Order*>(task->orders)) m_fleet.Stop(copy);
  }
  if (step->IsDone()) OnStepDone(step);
}

// A silent worker may have finished a run before its lease ran out. Its end is acknowledged like
// any other and has to count: the task must not run again.
void Scheduler::OnUnclaimedEnd(const Worker& worker, const TaskRef& ref, std::uint64_t run,
                               RunEnd end, const std::string& checkpoint) {
  Step* step = FindStep(ref);
  if (step == nullptr || ref.index >= step->tasks.size()) return;
  Job* job = step->job;
  Task* task = &step->tasks[ref.index];
  if (job->IsFinal() || task->is_done || step->spec->long_running()) return;
  if (end == RunEnd::kDone) {
    if (step->spec->gang()) StopGang(step);
    MarkDone(task);
  } else if (end == RunEnd::kFailed && std::erase(task->expired_runs, run) > 0) {
    // Only failures of runs that this term gave up when their lease expired: others may have been
    // counted before they were acknowledged.
    CountFailure(task, run, worker.description.id);
  } else {
    return;
  }
  // Ignores checkpoints of gang members, which all start from the same one, and checkpoints of runs
  // that a newer run has overtaken.
  const bool is_newest = run == task->last_run && task->orders.empty();
  if (!step->spec->gang() && is_newest) KeepCheckpoint(checkpoint, task);
  MarkDirty(job);
  ArchiveIfFinished(job);
  m_hooks.plan_soon();
}

// The job may be unknown: what a worker lists may come from anywhere.
void Scheduler::SetStrayRun(const TaskRef& ref, bool has_stray_run) {
  Step* step = FindStep(ref);
  if (step == nullptr || ref.index >= step->tasks.size()) return;
  Task* task = &step->tasks[ref.index];
  const bool had_stray_run = std::exchange(task->has_stray_run, has_stray_run);
  if (!had_stray_run || has_stray_run) return;
  task->last_run_over_at = m_hooks.now();
  m_hooks.plan_soon();
}

void Scheduler::OnTaskFailed(const Order& order) {
  Task* task = order.task;
  Step* step = task->step;
  CountWorkerFailure(order.worker, task);
  if (step->spec->long_running()) {
    task->retry_at = m_hooks.now() + kRestartDelay;
    return;
  }
  CountFailure(task, order.run, order.worker->description.id);
}

void Scheduler::CountFailure(Task* task, std::uint64_t run, const std::string& worker) {
  Step* step = task->step;
  std::uint32_t failures = 0;
  const auto record_failure = [&] {
    step->job->failures.push_back({step->occurrence, step->number, task->index, run, worker});
  };
  if (step->spec->gang()) {
    auto& counted_runs = step->gang_failed_runs;
    if (std::find(counted_runs.begin(), counted_runs.end(), run) == counted_runs.end()) {
      counted_runs.push_back(run);
      ++step->gang_failures;
      record_failure();
    }
    failures = step->gang_failures;
  } else {
    failures = ++task->failures;
    record_failure();
  }
  if (failures >= step->job->spec.queue().max_attempts()) {
    Finish(step->job, schema::JOB_STATE_FAILED, AttemptsUsedUp(*task, failures));
  }
}

void Scheduler::AvoidWorker(Task* task, const Worker& worker) {
  const SteadyTime now = m_hooks.now();
  std::erase_if(task->avoided_workers,
                [now](const AvoidedWorker& avoided) { return avoided.until <= now; });
  task->avoided_workers.push_back({worker.slot, now + kTaskAvoidPeriod});
}

void Scheduler::CountWorkerFailure(Worker* worker, Task* task) {
  AvoidWorker(task, *worker);
  if (++worker->failures_in_row < kFailuresToAvoid) return;
  const int doublings = static_cast<int>(std::min(worker->times_avoided, kMaxAvoidDoublings));
  worker->avoided_until = m_hooks.now() + kFirstAvoidPeriod * (1 << doublings);
  ++worker->times_avoided;
  // A single failure after the pause is enough to avoid the worker again.
  worker->failures_in_row = kFailuresToAvoid - 1;
  Log(LogLevel::kWarn, "worker-avoided")
      .Field("worker", worker->description.id)
      .Field("reason", "failures")
      .Field("for_ms", kFirstAvoidPeriod * (1 << doublings));
}

void Scheduler::OnVoid(Order& order, VoidReason reason, StartVerdict verdict) {
  Task* task = order.task;
  Step* step = task->step;
  Job* job = step->job;
  Reopen(job);
  MarkDirty(job);
  if (order.state == OrderState::kRunning) task->last_run_over_at = m_hooks.now();
  if (reason == VoidReason::kLeaseExpired) task->expired_runs.push_back(order.run);
  if (reason == VoidReason::kRefused) {
    switch (verdict) {
      case StartVerdict::kBadTicket:
        if (order.worker->slot < step->advice.size()) {
          step->advice[order.worker->slot].ticket_until = SteadyTime{};
        }
        break;
      case StartVerdict::kOldRun:
        task->last_run = std::max(task->last_run, order.run + kRunsToSkip);
        break;
      default:
        order.worker->avoided_until = m_hooks.now() + kRefusalAvoidPeriod;
        break;
    }
  }
  if (job->IsFinal() || task->is_done) return ArchiveIfFinished(job);
  if (step->spec->gang()) {
    // A member that never started is placed on another worker while the other members wait, if
    // enough of their time is left. That holds also for a start without an answer, once its worker
    // has confirmed a stop: the stop of a single member does not end the gang.
    const bool never_ran = reason != VoidReason::kLeaseExpired &&
                           reason != VoidReason::kWorkerGone &&
                           order.state != OrderState::kRunning && !step->gang_ending;
    const bool in_time = m_hooks.now() < step->gang_started_at + m_options.gang_time / 2;
    AvoidWorker(task, *order.worker);
    if (!never_ran || !in_time) StopGang(step);
    ResetGangIfGone(step);
  }
  ArchiveIfFinished(job);
  m_hooks.plan_soon();
}

void Scheduler::StopGang(Step* step) {
  if (step->gang_ending) return;
  step->gang_ending = true;
  MarkDirty(step->job);
  for (Task& task : step->tasks) {
    for (Order* order : std::vector<Order*>(task.orders)) m_fleet.Stop(order);
  }
}

// Allows a gang to start again once none of its members is left.
void Scheduler::ResetGangIfGone(Step* step) {
  if (!step->spec->gang() || step->gang_run == 0) return;
  std::string checkpoint;
  for (const Task& task : step->tasks) {
    if (!task.orders.empty()) return;
    if (checkpoint.empty()) checkpoint = task.checkpoint;
  }
  // A checkpoint of any member is valid for all members, and all have to start from the same one.
  for (Task& task : step->tasks) {
    task.checkpoint = checkpoint;
    task.last_run = std::max(task.last_run, step->gang_run);
  }
  step->gang_run = 0;
  step->gang_ending = false;
}

void Scheduler::OnStepDone(Step* step) {
  Job* job = step->job;
  RefreshReady(job, StepsOf(*job, step->occurrence));
  const bool all_done = std::all_of(job->steps.begin(), job->steps.end(),
                                    [](const auto& other) { return other->IsDone(); });
  if (all_done && job->occurrences_begun == OccurrenceCount(*job)) {
    Finish(job, schema::JOB_STATE_SUCCEEDED, {"done", {}, 0, 0, ""});
  }
}

std::vector<CountedFailure> Scheduler::CountedFailures(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? std::vector<CountedFailure>{} : found->second->failures;
}

void Scheduler::Finish(Job* job, schema::JobState state, const FinalCause& cause) {
  if (job->IsFinal()) return;
  NodeMetrics::Get().CountFinal(StateName(state));
  LogLine line(LogLevel::kInfo, "job-final");
  line.Field("job", job->spec.id())
      .Field("queue", job->spec.queue().name())
      .Field("state", StateName(state))
      .Field("age_ms", std::chrono::duration_cast<milliseconds>(m_hooks.now() - job->arrived))
      .Field("objective_ms",
             std::chrono::duration_cast<milliseconds>(job->objective - job->arrived))
      .Field("cause", cause.cause);
  if (cause.task) {
    line.Field("task", *cause.task)
        .Field("failures", cause.failures)
        .Field("attempts", cause.attempts)
        .Field("runs", cause.runs);
  }
  job->state = state;
  for (const auto& step : job->steps) {
    for (const Task& task : step->tasks) {
      for (Order* order : std::vector<Order*>(task.orders)) m_fleet.Stop(order);
    }
  }
  MarkDirty(job);
  AfterStored([this, id = job->spec.id(), ended = m_hooks.now()] {
    NodeMetrics::Get().ObserveStage(Stage::kPublish, Since(ended));
    if (const auto found = m_jobs.find(id); found != m_jobs.end()) {
      found->second->stored_state = found->second->state;
    }
  });
}

// Queues a final job for archiving once none of its runs is left.
void Scheduler::ArchiveIfFinished(Job* job) {
  if (job->IsFinal() && job->live_orders == 0) MarkDirty(job);
}

void Scheduler::RefreshReady(Job* job, std::span<const std::unique_ptr<Step>> steps) {
  for (const auto& step : steps) {
    if (step->ready || !PredecessorsDone(*step)) continue;
    step->ready = true;
    step->ready_since = m_hooks.now();
    Reopen(job);
    if (m_min_waiting_size) LowerMinWaitingSize(*step);
    CountWaiting(*step, step->tasks.size());
  }
}

Step* Scheduler::FindStep(const TaskRef& ref) {
  const auto found = m_jobs.find(ref.job);
  if (found == m_jobs.end()) return nullptr;
  return citronsill::FindStep(*found->second, ref.occurrence, ref.step);
}

// Stores answers for the case that a scheduler dies while many gangs wait: without them, its
// successor has to ask about all workers again for each gang, and an advice request occupies a
// request slot for half a second.
void Scheduler::StoreAnswer(const Worker& worker, bool is_allowed, Step* step) {
  if (RequestKindOf(step->job->spec.queue()) != AdviceRequestKind::kLong) return;
  if (step->stored_answers.size() >= kMaxStoredAnswers) return;
  if (step->stored_answers.try_emplace(AnswerKey(worker.description), is_allowed).second) {
    MarkDirty(step->job);
  }
}

void Scheduler::OnAdvice(const TaskRef& ref, const std::vector<std::string>& asked,
                         const Result<AdviceAnswer>& result) {
  m_hooks.plan_soon();
  Step* step = FindStep(ref);
  if (step == nullptr) return;
  if (step->advice_requests > 0) --step->advice_requests;
  if (!result) {
    step->advice_retry_at = m_hooks.now() + kAdviceRetry;
    Log(LogLevel::kInfo, "advice-failed").Field("step", ref).Field("reason", result.error());
    return;
  }
  const AdviceAnswer& answer = result.value();
  const SteadyTime until = m_hooks.now() + answer.valid - kTicketMargin;
  std::size_t allowed_count = 0;
  for (const std::string& id : asked) {
    Worker* worker = m_fleet.Find(id);
    if (worker == nullptr) continue;
    if (step->advice.size() <= worker->slot) step->advice.resize(worker->slot + 1);
    WorkerAdvice& advice = step->advice[worker->slot];
    advice = {};
    advice.asked = true;
    advice.incarnation = worker->incarnation;
    for (const Ticket& ticket : answer.tickets) {
      if (ticket.worker != id) continue;
      advice.allowed = true;
      advice.ticket = ticket.ticket;
      advice.ticket_until = until;
      step->allowed_slots.push_back(worker->slot);
      ++allowed_count;
    }
    StoreAnswer(*worker, advice.allowed, step);
  }
  QueueStats& queue = m_queues[step->job->spec.queue().name()];
  const double share =
      asked.empty() ? 0.0 : static_cast<double>(allowed_count) / static_cast<double>(asked.size());
  queue.allowed_share += kAverageWeight * (share - queue.allowed_share);
  Log(LogLevel::kInfo, "advice")
      .Field("step", ref)
      .Field("asked", asked.size())
      .Field("good", allowed_count)
      .Field("valid_ms", answer.valid);
}

// ---- Time

void Scheduler::Tick() {
  const SteadyTime now = m_hooks.now();
  m_fleet.Tick();
  m_order_window.Adjust(now, m_fleet.Calls().Mean(), std::exchange(m_window_was_full, false));
  m_admission.Update(now, m_fleet.StartsSent(), m_order_window.IsLimiting());
  std::uint64_t live_tasks = 0;
  JobMemory memory(m_options.max_job_bytes, m_finished.size());
  for (const auto& [id, job] : m_jobs) {
    if (!job->IsFinal()) {
      BeginDueOccurrences(job.get());
      EndUnknownRuns(job.get(), now);
    }
    memory.AddSpec(*job);
    for (const auto& step : job->steps) {
      live_tasks += step->tasks.size();
      memory.AddStep(*step);
      if (step->gang_run != 0 && !job->IsFinal()) CheckGang(step.get(), now);
    }
  }
  m_live_tasks = live_tasks;
  m_job_memory = memory;
  CheckStalled(now);
  ReopenMissing(now);
  UnpackOldJobs(now);
}

void Scheduler::BeginDueOccurrences(Job* job) {
  if (job->spec.occurrences() == 0) return;
  RemoveEndedOccurrences(job);
  const auto now = std::chrono::floor<milliseconds>(m_hooks.wall().time_since_epoch());
  const auto is_due = [&] {
    return job->occurrences_begun < OccurrenceCount(*job) &&
           OccurrenceDue(*job, job->occurrences_begun) <= now;
  };
  if (!is_due()) return;
  const std::uint64_t count = OccurrencesToBegin(*job);
  std::uint64_t begun = 0;
  const auto has_room = [&] {
    return m_live_tasks < kMaxLiveTasks && m_job_memory.HasRoomForOccurrences();
  };
  for (; begun < count && is_due() && has_room(); ++begun) {
    const auto steps = BeginOccurrence(job);
    for (const auto& step : steps) {
      m_live_tasks += step->tasks.size();
      m_job_memory.AddStep(*step);
      for (Task& task : step->tasks) task.last_run = m_run_base;
    }
    RefreshReady(job, steps);
  }
  if (begun == 0) return;
  MarkDirty(job);
  m_hooks.plan_soon();
}

// Members that have started wait for the others for a limited time only. A gang that is not
// complete in time is stopped before its members give up by themselves.
void Scheduler::CheckGang(Step* step, SteadyTime now) {
  if (step->gang_ending || !step->gang_start_sent || step->IsDone()) return;
  if (now < step->gang_started_at + m_options.gang_time * kGangTimeoutPercent / 100) return;
  for (const Task& task : step->tasks) {
    const bool is_there = !task.orders.empty() && task.orders[0]->state == OrderState::kRunning;
    if (is_there) continue;
    Log(LogLevel::kInfo, "gang-incomplete")
        .Field("task", step->Ref(task.index))
        .Field("run", step->gang_run);
    StopGang(step);
    return ResetGangIfGone(step);
  }
}

// @returns whether a worker other than this one may run tasks of the step, as far as the policy
// service allows.
bool Scheduler::HasOtherWorker(const Step& step, const Worker& worker) {
  const SteadyTime now = m_hooks.now();
  const std::string& service = step.job->spec.queue().service();
  const std::string& label = step.spec->required_label();
  return std::any_of(m_fleet.Workers().begin(), m_fleet.Workers().end(), [&](const auto& entry) {
    const Worker& other = *entry.second;
    const auto& labels = other.description.labels;
    return &other != &worker && other.TakesWork() && other.avoided_until <= now &&
           other.description.service == service && other.description.capacity.Covers(step.size) &&
           (label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end());
  });
}

}  // namespace citronsill
