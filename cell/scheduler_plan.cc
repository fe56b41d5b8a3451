// The part of the scheduler that passes its state to the planner and applies the plan.
#include <algorithm>
#include <cmath>
#include <map>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/scheduler.h"

namespace citronsill {
namespace {

// An advice request that is expected to take longer than this occupies a request slot for long and
// counts as a long one.
constexpr milliseconds kLongAdviceRequest{150};
// Number of workers assumed for an advice request whose workers are not known yet.
constexpr std::int64_t kTypicalNamedWorkers = 16;
// Progress below this percentage says too little about the end of a run to predict it.
constexpr int kMinUsefulPercent = 5;
// Late work still has value up to this multiple of the time from the job's arrival to its
// objective. It is placed before very late work, which has hardly any value left.
constexpr int kLateFactor = 3;
// Time from the end of a step to the start of the next one without advice: two commits and a start.
constexpr milliseconds kStepOverhead{50};

bool Avoids(const Task& task, const Worker& worker, SteadyTime now) {
  return std::any_of(task.avoided_workers.begin(), task.avoided_workers.end(),
                     [&](const AvoidedWorker& avoided) {
                       return avoided.slot == worker.slot && now < avoided.until;
                     });
}

bool IsWaiting(const Task& task, SteadyTime now) {
  return !task.is_done && task.orders.empty() && !task.has_stray_run && task.retry_at <= now;
}

// @returns whether every waiting task of the step avoids the worker.
bool AllAvoid(const Step& step, const Worker& worker, SteadyTime now) {
  return std::all_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
    return !IsWaiting(task, now) || Avoids(task, worker, now);
  });
}

milliseconds AdviceRequestTime(const schema::AdviceSpec& advice, std::int64_t worker_count) {
  return milliseconds((advice.decide_us() + advice.each_us() * worker_count) / 1000);
}

}  // namespace

AdviceRequestKind Scheduler::RequestKindOf(const schema::QueueSpec& queue) {
  if (queue.priority() == 0) return AdviceRequestKind::kInteractive;
  const bool is_long = AdviceRequestTime(queue.advice(), kTypicalNamedWorkers) > kLongAdviceRequest;
  return is_long ? AdviceRequestKind::kLong : AdviceRequestKind::kBatch;
}

milliseconds Scheduler::ExpectedRun(const std::string& queue, const schema::StepSpec& step) const {
  const milliseconds declared = EstimateOf(step);
  const auto found = m_queues.find(queue);
  return found == m_queues.end() ? declared : found->second.run_times.Expect(declared);
}

milliseconds Scheduler::ExpectedRun(const Step& step) const {
  return ExpectedRun(step.job->spec.queue().name(), *step.spec);
}

// @returns the work of tasks that take `run` each, by the resource of which they need most.
CellTime Scheduler::WorkOf(const Resources& size, std::size_t tasks, milliseconds run) const {
  const auto share = [](std::int64_t need, std::int64_t have) {
    return have > 0 ? static_cast<double>(need) / static_cast<double>(have) : 0.0;
  };
  const double largest = std::max({share(size.processors_milli, m_load.capacity.processors_milli),
                                   share(size.memory_mb, m_load.capacity.memory_mb),
                                   share(size.accelerators, m_load.capacity.accelerators)});
  return CellTime(run) * largest * static_cast<double>(tasks);
}

// A job that lasts or has times needs no room at the moment of its submission.
JobNeeds Scheduler::NeedsOf(const schema::JobSpec& spec, milliseconds waited) {
  const schema::QueueSpec& queue = spec.queue();
  JobNeeds needs;
  needs.is_interactive = queue.priority() == 0;
  needs.is_within_share =
      m_customers.IsWithinShare(m_customers.IndexOf(spec.customer()), m_hooks.now());
  milliseconds overhead = kStepOverhead;
  if (queue.has_advice()) overhead += AdviceRequestTime(queue.advice(), kTypicalNamedWorkers);
  // Steps follow earlier ones only.
  std::vector<milliseconds> path_to(static_cast<std::size_t>(spec.steps_size()));
  milliseconds critical_path{0};
  bool has_lasting = spec.occurrences() > 0;
  for (int number = 0; number < spec.steps_size(); ++number) {
    const schema::StepSpec& step = spec.steps(number);
    const milliseconds run = ExpectedRun(queue.name(), step);
    milliseconds& path = path_to[static_cast<std::size_t>(number)];
    for (const std::uint32_t before : step.after()) path = std::max(path, path_to[before]);
    path += run + overhead;
    critical_path = std::max(critical_path, path);
    has_lasting |= step.long_running();
    needs.work += WorkOf(RequiredResources(step), step.task_count(), run);
  }
  if (has_lasting) {
    needs.is_within_share = true;
    needs.work = CellTime(0);
    needs.objective_slack = needs.late_slack = kMaxTaskEstimate;
    return needs;
  }
  const milliseconds objective =
      milliseconds(queue.target_ms()) +
      std::chrono::duration_cast<milliseconds>(critical_path * queue.stretch());
  needs.objective_slack = objective - critical_path - waited;
  needs.late_slack = kLateFactor * objective - critical_path - waited;
  return needs;
}

// Adds the waiting tasks of a unit to the work that new jobs have to wait for.
void Scheduler::CountQueuedWork(const PlanUnit& unit, milliseconds run) {
  const CellTime work = WorkOf(unit.size, unit.count, run);
  const SteadyTime end = m_hooks.now() + unit.critical_path;
  if (end > unit.late_limit) return;  // Goes behind all other work.
  QueuedWork& queued = m_load.queued;
  if (unit.is_beyond_share) {
    queued.beyond_share += work;
  } else if (end > unit.objective) {
    queued.late += work;
  } else {
    (unit.priority == 0 ? queued.interactive : queued.batch) += work;
  }
}

milliseconds Scheduler::ExpectedCriticalPath(const Step& step) const {
  // Steps follow earlier ones only, so the paths through the last steps are known first.
  const auto steps = StepsOf(*step.job, step.occurrence).subspan(step.number);
  const schema::QueueSpec& queue = step.job->spec.queue();
  milliseconds overhead = kStepOverhead;
  if (queue.has_advice()) overhead += AdviceRequestTime(queue.advice(), kTypicalNamedWorkers);
  std::vector<milliseconds> longest_after(step.number + steps.size());
  milliseconds path{0};
  for (auto next = steps.rbegin(); next != steps.rend(); ++next) {
    const Step& other = **next;
    path = ExpectedRun(other) + overhead + longest_after[other.number];
    for (const std::uint32_t before : other.spec->after()) {
      longest_after[before] = std::max(longest_after[before], path);
    }
  }
  return path;  // That of `step`, which comes last.
}

SteadyTime Scheduler::ExpectedEndOf(const Order& order) const {
  const Step& step = *order.task->step;
  if (step.spec->long_running()) return SteadyTime::max();
  if (step.spec->gang()) return ExpectedGangEnd(order.task->step);
  return ExpectedRunEnd(order);
}

SteadyTime Scheduler::ExpectedRunEnd(const Order& order) const {
  const Step& step = *order.task->step;
  const SteadyTime now = m_hooks.now();
  if (order.state == OrderState::kRunning) {
    const int progress = order.percent - order.first_percent;
    if (progress >= kMinUsefulPercent) {
      const auto elapsed = order.percent_changed - order.running_since;
      return std::max(now, order.percent_changed + elapsed * (100 - order.percent) / progress);
    }
    return std::max(now, order.running_since + ExpectedRunOn(step, *order.worker));
  }
  return now + ExpectedRunOn(step, *order.worker);
}

std::uint32_t Scheduler::IdOf(const std::string& name, NameIds* ids) {
  const auto next = static_cast<std::uint32_t>(ids->size() + 1);
  return ids->try_emplace(name, next).first->second;
}

milliseconds Scheduler::SendDelay() const {
  return std::min(milliseconds(static_cast<std::int64_t>(m_send_delay_ms)), kMaxSendDelay);
}

// The preferred rack of a step: the one that holds its data, or the one on which its tasks already
// run.
std::uint32_t Scheduler::PreferredRack(const Step& step) {
  if (const std::string& rack = step.spec->data_rack(); !rack.empty()) return IdOf(rack, &m_racks);
  if (!step.spec->rack_local()) return 0;
  for (const Task& task : step.tasks) {
    if (!task.orders.empty()) return IdOf(task.orders[0]->worker->description.rack, &m_racks);
  }
  return 0;
}

std::vector<PlanWorker> Scheduler::MakePlanWorkers() {
  const SteadyTime now = m_hooks.now();
  m_plan_max_free = {};
  m_load.workers = 0;
  m_load.free = {};
  m_load.capacity = {};
  m_load.examined_units = 0;
  m_plan_workers = m_fleet.BySlot();
  std::vector<PlanWorker> workers(m_plan_workers.size());
  for (std::size_t slot = 0; slot < workers.size(); ++slot) {
    Worker* const worker = m_plan_workers[slot];
    if (worker == nullptr) continue;
    PlanWorker& out = workers[slot];
    out.takes_work = worker->TakesWork() && worker->avoided_until <= now;
    out.free = worker->Free();
    out.capacity = worker->description.capacity;
    out.speed = SpeedOn(*worker);
    if (worker->rack == 0) worker->rack = IdOf(worker->description.rack, &m_racks);
    if (worker->service == 0) worker->service = IdOf(worker->description.service, &m_services);
    out.rack = worker->rack;
    if (out.takes_work) {
      ++m_load.workers;
      m_load.free += out.free;
      m_load.capacity += out.capacity;
      m_plan_max_free.ElementwiseMax(out.free);
    }
  }
  return workers;
}

// Sets the objective of a job from what is known of its queue's run times by now. A scheduler that
// has just taken over only knows the declared durations, which may be a tenth of the real ones:
// with an objective from them a job would count as late for good, and wait behind all others.
void Scheduler::SetObjective(Job* job) {
  const schema::QueueSpec& queue = job->spec.queue();
  const auto stats = m_queues.find(queue.name());
  const std::uint64_t runs = stats == m_queues.end() ? 0 : stats->second.run_times.Count();
  const bool is_set = job->objective != SteadyTime{};
  if (is_set && runs < job->objective_runs + 1 + job->objective_runs / 8) return;
  job->objective_runs = runs;
  // The occurrences of a job are alike.
  milliseconds critical_path{0};
  if (!job->steps.empty()) {
    for (const auto& step : StepsOf(*job, job->steps.front()->occurrence))
      critical_path = std::max(critical_path, ExpectedCriticalPath(*step));
  }
  job->objective = job->arrived + milliseconds(queue.target_ms()) +
                   std::chrono::duration_cast<milliseconds>(critical_path * queue.stretch());
}

// @returns whether a task of the job waits, or will after a pause.
bool Scheduler::AddUnits(Job* job, std::vector<PlanUnit>* units, std::vector<PlanWorker>* workers) {
  if (job->IsFinal()) return false;
  bool has_unassigned = false;
  const SteadyTime now = m_hooks.now();
  SetObjective(job);
  std::size_t runs_left =
      (kMaxAssignmentBytes - std::min(kMaxAssignmentBytes, job->assignment_bytes)) /
      kMaxAssignmentRowBytes;
  for (const auto& step : job->steps) {
    if (!HasUnassigned(*step)) continue;
    has_unassigned = true;
    LowerMinWaitingSize(*step);
    auto waiting = static_cast<std::uint32_t>(
        std::count_if(step->tasks.begin(), step->tasks.end(),
                      [now](const Task& task) { return IsWaiting(task, now); }));
    // The runs of a job have to fit into its progress rows.
    if (!step->spec->gang()) waiting = std::min(waiting, static_cast<std::uint32_t>(runs_left));
    if (waiting == 0 || waiting > runs_left) continue;
    // A gang starts as a whole.
    const bool is_whole_gang = step->spec->gang() && step->gang_run == 0;
    if (is_whole_gang && waiting < step->tasks.size()) {
      step->reserved_room.clear();
      continue;
    }
    runs_left -= waiting;
    if (is_whole_gang && !CanEverFit(step.get(), now)) {
      step->reserved_room.clear();
      continue;
    }
    const bool waits_for_limit = !HasRoomBelowLimit(*step, waiting);
    step->is_over_limit = waits_for_limit;
    if (waits_for_limit) {
      m_load.waiting_for_limit += waiting;
      // A gang is passed on, so that later work of its customer leaves it the room below the limit.
      if (!step->spec->gang()) continue;
    } else {
      CountWaiting(*step, waiting);
    }
    step->waiting = waiting;
    // While thousands of steps wait and the cell is full, steps that fit on no worker and about
    // which no advice request can be sent are left out of the sort.
    const bool may_ask =
        m_plan_has_request_slot && step->advice_requests == 0 && job->spec.queue().has_advice();
    if (!step->spec->gang() && !may_ask && !m_plan_max_free.Covers(step->size)) continue;
    // Members that are missing from a running gang are placed one by one. A gang that is ending has
    // to end first.
    const bool is_refill = step->spec->gang() && step->gang_run != 0;
    if (step->gang_ending) continue;
    if (step->examined_round == m_plan_round && step->reserved_room.empty()) continue;
    PlanUnit unit;
    unit.count = waiting;
    unit.gang = step->spec->gang() && !is_refill;
    FillStepFields(step.get(), &unit);
    if (!waits_for_limit && !step->spec->long_running()) {
      CountQueuedWork(unit, ExpectedRun(*step));
    }
    unit.goes_first = unit.may_use_reserved_slots = is_refill || step->spec->long_running();
    if (unit.gang) SubtractReservedRoom(*step, &unit, workers);
    const auto add = [&](PlanUnit part) {
      part.id = static_cast<std::uint32_t>(m_plan_steps.size());
      m_plan_steps.push_back(step.get());
      units->push_back(std::move(part));
    };
    // While interactive work alone exceeds what the scheduler can start, accepted batch work would
    // wait until the peak is over. For this reason, the first task of a job without orders goes
    // first once its step has been ready for `kFirstTaskUrgentAfter`.
    const bool is_due = m_admission.IsLimited(now) && job->live_orders == 0 &&
                        now > step->ready_since + kFirstTaskUrgentAfter;
    // A step with a limit of tasks per worker is not split: its parts would not count each other's
    // tasks.
    if (is_due && !unit.gang && unit.count > 1 && unit.max_per_worker == 0) {
      PlanUnit first = unit;
      first.count = 1;
      first.goes_first = true;
      add(std::move(first));
      --unit.count;
    } else {
      unit.goes_first |= is_due;
    }
    add(std::move(unit));
  }
  return has_unassigned;
}

// Applies the stored answers of an earlier scheduler about the current incarnations of workers.
void Scheduler::ApplyStoredAnswers(Step* step) {
  if (!step->has_earlier_answers || step->answers_applied_at == m_fleet.ChangeNumber()) return;
  step->answers_applied_at = m_fleet.ChangeNumber();
  for (const Worker* worker : m_plan_workers) {
    if (worker == nullptr) continue;
    if (step->advice.size() <= worker->slot) step->advice.resize(worker->slot + 1);
    WorkerAdvice& advice = step->advice[worker->slot];
    const bool is_known = worker->description.born_unix_ms != 0;
    if (advice.looked_up || advice.asked || !is_known) continue;
    advice.looked_up = true;
    const auto found = step->stored_answers.find(AnswerKey(worker->description));
    if (found == step->stored_answers.end()) continue;
    advice.asked = true;
    advice.allowed = found->second;
    advice.incarnation = worker->incarnation;
    if (advice.allowed) step->allowed_slots.push_back(worker->slot);
  }
}

void Scheduler::FillStepFields(Step* step, PlanUnit* unit) {
  const Job& job = *step->job;
  const schema::QueueSpec& queue = job.spec.queue();
  unit->priority = queue.priority();
  unit->customer = job.customer;
  unit->is_beyond_share = job.is_beyond_share;
  unit->arrived = job.arrived;
  unit->objective = job.objective;
  unit->late_limit = job.arrived + kLateFactor * (job.objective - job.arrived);
  unit->critical_path = ExpectedCriticalPath(*step);
  unit->size = step->size;
  unit->rack_local = step->spec->rack_local();
  unit->max_per_worker = step->spec->max_per_worker();
  unit->may_ask =
      queue.has_advice() && step->advice_requests == 0 && step->advice_retry_at <= m_hooks.now();
  if (!queue.has_advice()) return;
  unit->request_kind = RequestKindOf(queue);
  unit->advice_time = AdviceRequestTime(queue.advice(), kTypicalNamedWorkers);
  unit->ticket_valid = milliseconds(queue.advice().valid_ms()) - kTicketMargin;
}

// Fills in the fields of a unit that depend on workers. Of an advised step, only the workers that
// may be allowed are looked at.
void Scheduler::FillWorkerFields(PlanUnit* unit) {
  Step* step = m_plan_steps[unit->id];
  const schema::QueueSpec& queue = step->job->spec.queue();
  unit->duration = ExpectedRun(*step);
  unit->preferred_rack = PreferredRack(*step);
  // The tasks of the step on each worker.
  if (unit->max_per_worker > 0) {
    unit->present.resize(m_plan_workers.size());
    for (const Task& task : step->tasks) {
      for (const Order* order : task.orders) ++unit->present[order->worker->slot];
    }
  }
  const WorkerFilter filter = FilterOf(*step);
  if (!queue.has_advice()) {
    unit->fits.resize(m_plan_workers.size(), Fit::kNever);
    for (std::uint32_t slot = 0; slot < m_plan_workers.size(); ++slot) {
      const Worker* worker = m_plan_workers[slot];
      if (worker != nullptr && MayUse(filter, *worker)) unit->fits[slot] = Fit::kReady;
    }
    return;
  }
  unit->allowed_share = std::max(0.05, m_queues[queue.name()].allowed_share);
  ApplyStoredAnswers(step);
  // A ticket has to be valid until the assignment is stored.
  const SteadyTime expected_send_time = m_hooks.now() + SendDelay();
  std::sort(step->allowed_slots.begin(), step->allowed_slots.end());
  const auto last = std::unique(step->allowed_slots.begin(), step->allowed_slots.end());
  step->allowed_slots.erase(last, step->allowed_slots.end());
  std::erase_if(step->allowed_slots, [&](std::uint32_t slot) {
    const Worker* worker = m_plan_workers[slot];
    const WorkerAdvice& advice = step->advice[slot];
    // Answers are about one incarnation of a worker.
    if (worker == nullptr || !advice.allowed || advice.incarnation != worker->incarnation) {
      return true;
    }
    if (MayUse(filter, *worker)) {
      const bool is_ready = advice.ticket_until > expected_send_time;
      unit->known.push_back({slot, is_ready ? Fit::kReady : Fit::kAllowed});
    }
    return false;
  });
}

Scheduler::WorkerFilter Scheduler::FilterOf(const Step& step) {
  WorkerFilter filter;
  filter.step = &step;
  filter.service = IdOf(step.job->spec.queue().service(), &m_services);
  filter.now = m_hooks.now();
  filter.all_have_avoided_workers =
      std::none_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
        return task.avoided_workers.empty() && IsWaiting(task, filter.now);
      });
  return filter;
}

// @returns whether tasks of the step may run on the worker, as far as the policy service allows.
bool Scheduler::MayUse(const WorkerFilter& filter, const Worker& worker) {
  if (worker.service != filter.service) return false;
  if (filter.all_have_avoided_workers && AllAvoid(*filter.step, worker, filter.now)) return false;
  const std::string& label = filter.step->spec->required_label();
  if (label.empty()) return true;
  const auto& labels = worker.description.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Returns whether a gang would fit if nothing else ran. One that never does must not keep others
// from room, counts for nothing when jobs are admitted, and is not worth an advice request.
bool Scheduler::CanEverFit(Step* step, SteadyTime now) {
  const bool has_changed = step->fit_change_number != m_fleet.ChangeNumber();
  if (now < step->fit_check_at && (step->can_fit || !has_changed)) return step->can_fit;
  step->fit_check_at = now + kGangFitPeriod;
  step->fit_change_number = m_fleet.ChangeNumber();
  WorkerFilter filter;
  filter.step = step;
  filter.service = IdOf(step->job->spec.queue().service(), &m_services);
  const std::uint32_t max_per_worker =
      step->spec->max_per_worker() > 0 ? step->spec->max_per_worker() : UINT32_MAX;
  auto without_room = static_cast<std::uint32_t>(step->tasks.size());
  for (std::uint32_t slot = 0; slot < m_plan_workers.size() && without_room > 0; ++slot) {
    const Worker* worker = m_plan_workers[slot];
    const bool stays =
        worker != nullptr && worker->listed && !worker->gone && !worker->description.draining;
    if (!stays || !MayUse(filter, *worker)) continue;
    const bool is_denied = slot < step->advice.size() && step->advice[slot].asked &&
                           !step->advice[slot].allowed &&
                           step->advice[slot].incarnation == worker->incarnation;
    if (is_denied) continue;
    without_room -=
        FitCount(worker->description.capacity, step->size, std::min(without_room, max_per_worker));
  }
  const bool fits = without_room == 0;
  if (step->can_fit != fits) {
    Log(LogLevel::kInfo, fits ? "gang-fits" : "gang-cannot-fit")
        .Field("task", step->Ref(0))
        .Field("members", step->tasks.size())
        .Field("without_room", without_room)
        .Field("workers", m_fleet.Workers().size());
  }
  step->can_fit = fits;
  return fits;
}

std::vector<std::uint32_t> Scheduler::ListUnknown(const PlanUnit& unit,
                                                  const std::vector<PlanWorker>& workers) {
  const Step& step = *m_plan_steps[unit.id];
  const WorkerFilter filter = FilterOf(step);
  std::vector<std::uint32_t> unknown;
  for (std::uint32_t slot = 0; slot < m_plan_workers.size(); ++slot) {
    if (!workers[slot].takes_work || !MayUse(filter, *m_plan_workers[slot])) continue;
    const bool is_asked = slot < step.advice.size() && step.advice[slot].asked &&
                          step.advice[slot].incarnation == m_plan_workers[slot]->incarnation;
    if (!is_asked) unknown.push_back(slot);
  }
  return unknown;
}

// Subtracts the room that is reserved for a gang from the free resources. Room on a worker that has
// left or started a new incarnation is no longer reserved.
void Scheduler::SubtractReservedRoom(const Step& step, PlanUnit* unit,
                                     std::vector<PlanWorker>* workers) {
  for (const ReservedRoom& reserved : step.reserved_room) {
    const Worker* worker = m_plan_workers[reserved.slot];
    if (worker == nullptr || worker->incarnation != reserved.incarnation) continue;
    unit->reserved.push_back({reserved.slot, reserved.count});
    for (std::uint32_t i = 0; i < reserved.count; ++i) (*workers)[reserved.slot].free -= step.size;
  }
}

// @returns whether the customer of the step may start a task of it; of a gang, `count` tasks.
bool Scheduler::HasRoomBelowLimit(const Step& step, std::uint32_t count) const {
  if (m_plan_customer_room.empty()) return true;
  const std::uint32_t needed = step.spec->gang() && step.gang_run == 0 ? count : 1;
  return FitCount(m_plan_customer_room[step.job->customer], step.size, needed) == needed;
}

void Scheduler::CountWaiting(const Step& step, std::size_t tasks) {
  m_load.waiting_tasks += tasks;
  if (step.job->is_beyond_share) m_load.waiting_beyond_share += tasks;
  if (step.job->spec.queue().priority() == 0) m_load.waiting_interactive += tasks;
  ++m_load.waiting_units;
  if (step.spec->gang()) ++m_load.waiting_gangs;
}

void Scheduler::CountPlaced(Step* step) {
  --m_load.waiting_tasks;
  if (step->job->is_beyond_share) --m_load.waiting_beyond_share;
  if (step->job->spec.queue().priority() == 0) --m_load.waiting_interactive;
  if (--step->waiting > 0) return;
  --m_load.waiting_units;
  if (step->spec->gang()) --m_load.waiting_gangs;
}

void Scheduler::LowerMinWaitingSize(const Step& step) {
  if (!m_min_waiting_size) m_min_waiting_size = step.size;
  m_min_waiting_size->ElementwiseMin(step.size);
}

// While the cell is full for seconds at a time, each task that ends requests a pass. While no
// worker has room for the smallest waiting step and no advice request can be sent, a pass can
// decide nothing, however much work waits, and is left out.
bool Scheduler::HasRoomOrRequestSlot() const {
  return m_plan_has_request_slot || !m_min_waiting_size ||
         m_plan_max_free.Covers(*m_min_waiting_size);
}

void Scheduler::Plan() {
  if (!m_hooks.may_lead()) return;
  if (m_hooks.start_time_left && m_hooks.start_time_left() <= milliseconds(0)) return;
  // A tenth of a second after a burst nothing waits, and hundreds of workers are still reporting
  // ends, each of which requests a pass.
  if (m_open_jobs.empty()) {
    m_load.ClearWaiting();
    if (m_hooks.now() < m_load_counted_at + kIdleLoadPeriod) return;
    m_load_counted_at = m_hooks.now();
  }
  std::vector<PlanWorker> workers = MakePlanWorkers();
  if (m_open_jobs.empty()) return;
  PlanLimits limits;
  limits.now = m_hooks.now();
  limits.advice_capacity = m_hooks.advice_capacity();
  m_plan_has_request_slot = limits.advice_capacity.free > 0;
  if (!HasRoomOrRequestSlot()) return;
  m_load.ClearWaiting();
  m_plan_customer_room = m_customers.Room();
  m_plan_steps.clear();
  m_min_waiting_size.reset();
  std::vector<PlanUnit> units;
  std::erase_if(m_open_jobs,
                [&](const auto& entry) { return !AddUnits(entry.second, &units, &workers); });
  if (units.empty()) return;
  limits.max_placements = m_order_window.Room(m_fleet.OrdersInFlight());
  limits.max_examined = kMaxExaminedPerPass;
  limits.customer_room = m_plan_customer_room;
  limits.fill_worker_fields = [this](PlanUnit* unit) { FillWorkerFields(unit); };
  limits.list_unknown = [this, &workers](const PlanUnit& unit) {
    return ListUnknown(unit, workers);
  };
  limits.list_ends = [this](std::uint32_t slot) {
    std::vector<ExpectedEnd> ends;
    for (const Order* order : m_plan_workers[slot]->orders) {
      ends.push_back({ExpectedEndOf(*order), order->size});
    }
    return ends;
  };
  const citronsill::Plan plan = MakePlan(limits, std::move(units), &workers);
  m_load.examined_units = plan.examined;
  m_load.examined_pairs = plan.pairs;
  m_window_was_full |= plan.placement_limit_reached;
  // Units that were examined without a decision are examined again only after all others had their
  // turn.
  if (plan.examine_limit_reached) {
    for (const std::uint32_t unit : plan.undecided) {
      m_plan_steps[unit]->examined_round = m_plan_round;
    }
  } else {
    ++m_plan_round;
  }
  ApplyPlan(plan);
}

void Scheduler::ApplyPlan(const citronsill::Plan& plan) {
  const SteadyTime now = m_hooks.now();
  for (Step* step : m_plan_steps) {
    step->reserved_room.clear();
    step->yields_to_gangs = false;
    step->is_over_limit = false;
  }
  for (const std::uint32_t unit : plan.over_limit) m_plan_steps[unit]->is_over_limit = true;
  for (const std::uint32_t unit : plan.yielding) m_plan_steps[unit]->yields_to_gangs = true;
  m_set_aside.clear();
  for (const SetAsideRoom& room : plan.set_aside) {
    m_set_aside[m_plan_workers[room.worker]->slot] = room.size;
  }
  for (const Reservation& reservation : plan.reservations) {
    for (const Share& share : reservation.shares) {
      const Worker& worker = *m_plan_workers[share.worker];
      m_plan_steps[reservation.unit]->reserved_room.push_back(
          {worker.slot, worker.incarnation, share.count});
      const Resources& size = m_plan_steps[reservation.unit]->size;
      for (std::uint32_t i = 0; i < share.count; ++i) m_set_aside[worker.slot] += size;
    }
  }
  std::vector<std::uint64_t> orders;
  for (const Placement& placement : plan.placements) {
    Step* step = m_plan_steps[placement.unit];
    Worker* worker = m_plan_workers[placement.worker];
    if (step->spec->gang() && step->gang_run == 0) {
      std::uint64_t run = 0;
      for (const Task& task : step->tasks) run = std::max(run, task.last_run + 1);
      step->gang_run = run;
      step->gang_start_sent = false;
      step->gang_started_at = m_hooks.now();
    }
    for (Task& task : step->tasks) {
      if (!IsWaiting(task, now) || Avoids(task, *worker, now)) continue;
      const std::uint64_t run = step->spec->gang() ? step->gang_run : task.last_run + 1;
      orders.push_back(Assign(&task, worker, run)->id);
      CountPlaced(step);
      break;
    }
  }
  if (!orders.empty()) {
    AfterStored([this, orders = std::move(orders)] {
      for (const std::uint64_t id : orders) {
        Order* order = m_fleet.FindOrder(id);
        if (order == nullptr || order->state != OrderState::kStoring) continue;
        const auto waited =
            std::chrono::duration_cast<milliseconds>(m_hooks.now() - order->created);
        m_send_delay_ms +=
            kSendDelayWeight * (static_cast<double>(waited.count()) - m_send_delay_ms);
        const Task& task = *order->task;
        if (task.step->spec->gang() && !task.step->gang_start_sent) {
          task.step->gang_start_sent = true;
          task.step->gang_started_at = m_hooks.now();
        }
        m_fleet.Send(order, task.step->job->spec.payload(), task.checkpoint);
      }
    });
  }
  for (const AdviceRequest& request : plan.advice_requests) {
    Step* step = m_plan_steps[request.unit];
    std::vector<std::string> workers;
    for (const std::uint32_t index : request.workers) {
      workers.push_back(m_plan_workers[index]->description.id);
    }
    ++step->advice_requests;
    step->advice_request_since = now;
    m_hooks.request_advice(step->Ref(0), std::move(workers),
                           RequestKindOf(step->job->spec.queue()));
  }
}

Order* Scheduler::Assign(Task* task, Worker* worker, std::uint64_t run) {
  Step* step = task->step;
  task->last_run = std::max(task->last_run, run);
  Order* order = m_fleet.Reserve(task, worker, run);
  if (step->job->spec.queue().has_advice() && worker->slot < step->advice.size()) {
    order->ticket = step->advice[worker->slot].ticket;
    order->ticket_until = step->advice[worker->slot].ticket_until;
  }
  MarkDirty(step->job);
  Log(LogLevel::kInfo, "assigned")
      .Field("task", step->Ref(task->index))
      .Field("run", run)
      .Field("worker", worker->description.id)
      .Field("born", worker->description.born_unix_ms)
      .Field("fence", worker->fence)
      .Field("gang", step->spec->gang())
      .Field("free_milli", worker->Free().processors_milli)
      .Field("free_mb", worker->Free().memory_mb)
      .Field("heard_ms_ago",
             std::chrono::duration_cast<milliseconds>(m_hooks.now() - worker->heard))
      .Field("waited_ms",
             std::chrono::duration_cast<milliseconds>(m_hooks.now() - step->job->arrived));
  return order;
}

}  // namespace citronsill
